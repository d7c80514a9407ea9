package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

func init() {
	commands.RegisterIn(groupProgram, &explain{})
	commands.RegisterIn(groupRequest, &explain{})
}

// explain collects the trace events of a program or request from all boxes, in order of time.
type explain struct {
	commonFlags
}

func (*explain) Aliases() []string          { return []string{"explain"} }
func (*explain) Help() string               { return "tell why: targets weighed, retries, refusals; takes an id" }
func (e *explain) Flags(cmd *cobra.Command) { e.addFlags(cmd) }

// boxEvent is a trace event and the box that recorded it.
type boxEvent struct {
	Box string `json:"box"`
	types.TraceEvent
}

func (e *explain) Execute(ctx context.Context, out io.Writer, args []string) error {
	if len(args) != 1 {
		return fault.Refuse(fault.BadRequest, "exactly one program or request id is required")
	}
	settings, err := e.loadSettings()
	if err != nil {
		return err
	}
	cli := client.New("mgctl", nil)
	var events []boxEvent
	unreachable := 0
	for _, box := range settings.Boxes {
		var boxEvents []types.TraceEvent
		if err := cli.Call(ctx, http.MethodGet, "http://"+box.String()+"/explain/"+url.PathEscape(args[0]), nil, &boxEvents); err != nil {
			unreachable++
			continue
		}
		for _, event := range boxEvents {
			events = append(events, boxEvent{Box: box.String(), TraceEvent: event})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	if unreachable > 0 {
		_, _ = fmt.Fprintf(out, "# %d of %d boxes did not answer\n", unreachable, len(settings.Boxes))
	}
	return e.print(out, events, "AT\tBOX\tREQUEST\tWHAT\tWHY\tTARGET\tWEIGHED", func(w io.Writer) {
		for _, event := range events {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", event.At.Format("15:04:05.000"), event.Box, event.Request, event.Event, event.Reason, event.Target, formatCandidates(event.Candidates))
		}
	})
}

func formatCandidates(candidates []types.ScoredTarget) string {
	parts := make([]string, 0, len(candidates))
	for _, c := range candidates {
		text := fmt.Sprintf("%s=%s(load %d, cached %d)", c.Name, c.Score.Round(time.Millisecond), c.Load, c.CachedTokens)
		if !c.HasRoom {
			text += " full"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " ")
}
