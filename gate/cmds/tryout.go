package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
)

// runSampleProgram creates a program through the first box, runs a turn through the second and
// a booking through the last, and prints the answers.
func runSampleProgram(ctx context.Context, out io.Writer, allSettings []conf.Settings) error {
	caller := &caller{http: client.New("tryout", nil), token: sample.Token("flanders")}
	var state types.ProgramState
	body := types.NewProgram{Model: "planner", DataClass: "personal", Kind: "booking", Budget: 100_000}
	if err := caller.call(ctx, allSettings[0], "/v1/programs", "", body, &state); err != nil {
		return err
	}
	var answer types.TurnAnswer
	turn := types.TurnRequest{
		Turn: 1, MaxTokens: 32, Continuation: state.Continuation,
		Messages: []types.Message{{Role: "user", Content: "move my slot to Friday"}},
	}
	if err := caller.call(ctx, allSettings[1], "/v1/programs/"+state.ID+"/turns", "", turn, &answer); err != nil {
		return err
	}
	var booked types.ServiceAnswer
	call := types.ServiceCall{Input: json.RawMessage(`{"chair":7}`), Continuation: answer.Continuation}
	if err := caller.call(ctx, allSettings[len(allSettings)-1], "/v1/programs/"+state.ID+"/calls/booking", "friday-1", call, &booked); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "program %s\nanswer %s\nbooking %s\n", state.ID, answer.Choices[0].Message.Content, booked.Output)
	return err
}

// caller is a client that sends requests with the token of one workspace.
type caller struct {
	http  *client.Client
	token string
}

func (c *caller) call(ctx context.Context, settings conf.Settings, path, key string, in, out any) error {
	url := "http://" + settings.Listen.Callers.String() + path
	return c.http.CallAs(ctx, client.Auth{Token: c.token, Key: key}, http.MethodPost, url, in, out)
}
