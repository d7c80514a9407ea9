package front

import (
	"net/http"
	"slices"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/prog"
)

const maxMessages = 10_000

// createProgram begins a program. The box that receives the caller's request chooses the id,
// so that forwarding it again does not create a second program.
func (f *Front) createProgram(c *call) error {
	var body types.NewProgram
	if err := c.decode(&body); err != nil {
		return err
	}
	begin, err := f.newBegin(c.workspace, body)
	if err != nil {
		return err
	}
	if err := f.setBudget(&begin, body.Budget); err != nil {
		return err
	}
	begin.ID, err = f.newID(c, begin)
	if err != nil {
		return err
	}
	slot, err := ident.ProgramSlot(begin.ID)
	if err != nil {
		return err
	}
	return f.runOnOwner(c, slot, PathPrograms+"?id="+begin.ID, func() error {
		return f.writeState(c, http.StatusCreated)(f.programs.Begin(c.r.Context(), begin, ""))
	})
}

// newBegin validates a request for a program or a sub-agent and applies the default limits.
func (f *Front) newBegin(workspace string, body types.NewProgram) (types.Begin, error) {
	if _, err := f.policies.Model(body.Model); err != nil {
		return types.Begin{}, err
	}
	if body.DataClass == "" || len(body.DataClass) > ident.MaxLen || len(body.Kind) > ident.MaxLen {
		return types.Begin{}, fault.Refuse(fault.BadRequest, "data_class is missing, or a name is too long")
	}
	limits := body.Limits
	if body.Deadline < 0 || body.Budget < 0 || limits.Turns < 0 || limits.Depth < 0 || limits.FanOut < 0 || limits.Idle < 0 {
		return types.Begin{}, fault.Refuse(fault.BadRequest, "a limit is negative")
	}
	defaults := f.policies.Defaults()
	now := time.Now()
	begin := types.Begin{
		Workspace: workspace, Model: body.Model, DataClass: body.DataClass, Kind: body.Kind, Created: now,
		Deadline: now.Add(time.Duration(boundedDuration(body.Deadline, defaults.Deadline))),
		Limits: types.Limits{
			Turns: boundedLimit(limits.Turns, defaults.Turns), Depth: boundedLimit(limits.Depth, defaults.Depth),
			FanOut: boundedLimit(limits.FanOut, defaults.FanOut), Idle: boundedDuration(limits.Idle, defaults.Idle),
		},
	}
	return begin, nil
}

// boundedLimit returns the requested limit, or the configured one if none is requested or the
// requested one is larger.
func boundedLimit(requested, configured int) int {
	if requested == 0 || requested > configured {
		return configured
	}
	return requested
}

// boundedDuration is boundedLimit for durations.
func boundedDuration(requested, configured types.Duration) types.Duration {
	return types.Duration(boundedLimit(int(requested), int(configured)))
}

// setBudget sets a root program's budget to the requested one, limited by the policy.
func (f *Front) setBudget(begin *types.Begin, requested int64) error {
	if requested == 0 {
		return fault.Refuse(fault.BadRequest, "budget is missing")
	}
	begin.Budget = requested
	maxBudget := f.policies.BudgetLimit(ruleInput(*begin))
	begin.Budget = min(requested, maxBudget)
	if begin.Budget <= 0 {
		return fault.Refuse(fault.BudgetSpent, "the policy gives the program no budget")
	}
	return nil
}

func ruleInput(b types.Begin) types.RuleInput {
	return types.RuleInput{
		Workspace: b.Workspace, DataClass: b.DataClass, Kind: b.Kind, Model: b.Model, Depth: int64(b.Depth), Budget: b.Budget,
	}
}

// newID returns an id in a slot whose zone the policy allows: preferably a slot of this box, then
// one of this zone, then any. A forwarded request keeps its id.
func (f *Front) newID(c *call, begin types.Begin) (string, error) {
	if id := c.r.URL.Query().Get("id"); c.peer && id != "" {
		return id, nil
	}
	if f.allowedIn(begin, f.opts.Zone) {
		if slot, ok := f.owners.PickOwned(c.id); ok {
			return ident.NewProgramID(slot), nil
		}
	}
	var names []string
	for _, slot := range f.policies.Slots() {
		if f.allowedIn(begin, slot.Zone) {
			names = append(names, slot.String())
		}
	}
	if len(names) == 0 {
		return "", fault.Refuse(fault.NoAllowedPlace, "the policy allows no box for the data")
	}
	local := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		slot, err := ident.ParseSlot(name)
		return err != nil || slot.Zone != f.opts.Zone
	})
	if len(local) > 0 {
		names = local
	}
	slot, err := ident.ParseSlot(ident.Rendezvous(c.id, names))
	if err != nil {
		return "", err
	}
	return ident.NewProgramID(slot), nil
}

// allowedIn reports whether the policy allows the program's plaintext and checkpoints in the zone.
func (f *Front) allowedIn(begin types.Begin, zone string) bool {
	in := ruleInput(begin)
	in.Zone = zone
	in.Use = "plaintext"
	if !f.policies.Allowed(in) {
		return false
	}
	in.Use = "checkpoint"
	return f.policies.Allowed(in)
}

// createAgent begins a sub-agent in its parent's slot.
func (f *Front) createAgent(c *call) error {
	var body types.NewProgram
	if err := c.decode(&body); err != nil {
		return err
	}
	begin, err := f.newBegin(c.workspace, body)
	if err != nil {
		return err
	}
	begin.Parent = c.pathParam("id")
	slot, err := ident.ProgramSlot(begin.Parent)
	if err != nil {
		return err
	}
	begin.ID = ident.NewProgramID(slot)
	if id := c.r.URL.Query().Get("id"); c.peer && id != "" {
		begin.ID = id
	}
	path := PathPrograms + "/" + begin.Parent + "/agents?id=" + begin.ID
	return f.runOnOwner(c, slot, path, func() error {
		return f.writeState(c, http.StatusCreated)(f.programs.Begin(c.r.Context(), begin, body.Continuation))
	})
}

// writeState returns a function that writes a program's state as the response, unless it is
// given an error.
func (f *Front) writeState(c *call, status int) func(body types.ProgramState, err error) error {
	return func(body types.ProgramState, err error) error {
		if err != nil {
			return err
		}
		server.WriteJSON(c.w, status, body)
		return nil
	}
}

func (f *Front) programState(c *call) error {
	id := c.pathParam("id")
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return err
	}
	token := c.r.URL.Query().Get("continuation")
	return f.runOnOwner(c, slot, c.r.URL.RequestURI(), func() error {
		return f.writeState(c, http.StatusOK)(f.programs.State(c.r.Context(), c.workspace, id, token))
	})
}

func (f *Front) endProgram(c *call) error {
	id := c.pathParam("id")
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return err
	}
	return f.runOnOwner(c, slot, c.r.URL.RequestURI(), func() error {
		return f.writeState(c, http.StatusOK)(f.programs.End(c.r.Context(), c.workspace, id))
	})
}

func (f *Front) runTurn(c *call) error {
	var body types.TurnRequest
	if err := c.decode(&body); err != nil {
		return err
	}
	if err := checkTurn(body); err != nil {
		return err
	}
	id := c.pathParam("id")
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return err
	}
	turn := prog.TurnCall{Program: id, Workspace: c.workspace, Request: c.id, Body: body}
	return f.runOnOwner(c, slot, PathPrograms+"/"+id+"/turns", func() error {
		run, err := f.programs.Turn(c.r.Context(), turn)
		if err != nil {
			return err
		}
		if body.Stream {
			return f.streamAnswer(c, run, turn)
		}
		answer, err := run.Answer(c.r.Context())
		if err != nil {
			return err
		}
		server.WriteJSON(c.w, http.StatusOK, answer)
		return nil
	})
}

func checkTurn(body types.TurnRequest) error {
	if body.Turn < 1 {
		return fault.Refuse(fault.BadRequest, "turn must be at least 1")
	}
	if len(body.Messages) == 0 || len(body.Messages) > maxMessages {
		return fault.Refuse(fault.BadRequest, "messages are missing or too many")
	}
	if body.MaxTokens < 0 {
		return fault.Refuse(fault.BadRequest, "max_tokens is negative")
	}
	for _, m := range body.Messages {
		if m.Role == "" {
			return fault.Refuse(fault.BadRequest, "a message has no role")
		}
	}
	return nil
}

// streamAnswer sends the answer of a turn as server-sent events. The sequence numbers start
// again at 1 if the run starts its answer anew.
func (f *Front) streamAnswer(c *call, run *prog.Run, turn prog.TurnCall) error {
	// An error before the first piece is still returned as a regular error response.
	piece, err := run.Next(c.r.Context(), 0, 0)
	if err != nil {
		return err
	}
	if piece.Done {
		if _, err := run.Answer(c.r.Context()); err != nil {
			return err
		}
	}
	c.responseStarted = true
	out := server.NewStream(c.w)
	round, i := piece.Round, 0
	for !piece.Done {
		if err := out.Send(chunk(turn, i+1, piece.Text)); err != nil {
			return err
		}
		i++
		piece, err = run.Next(c.r.Context(), round, i)
		if err != nil {
			return err
		}
		if piece.Round != round {
			round, i = piece.Round, 0
		}
	}
	answer, err := run.Answer(c.r.Context())
	if err != nil {
		return err
	}
	if err := out.Send(finalChunk(answer, i+1)); err != nil {
		return err
	}
	return out.Close()
}

func chunk(turn prog.TurnCall, seq int, text string) types.TurnAnswer {
	delta := types.Message{Role: "assistant", Content: text}
	return types.TurnAnswer{
		ID: turn.Request, Object: "chat.completion.chunk", Program: turn.Program, Turn: turn.Body.Turn, Sequence: seq,
		Choices: []types.Choice{{Delta: &delta}},
	}
}

// finalChunk returns the last event of a streamed answer: without text, but with its finish
// reason and the other fields of the answer.
func finalChunk(answer types.TurnAnswer, seq int) types.TurnAnswer {
	answer.Object = "chat.completion.chunk"
	answer.Sequence = seq
	finish := answer.Choices[0].FinishReason
	answer.Choices = []types.Choice{{Delta: &types.Message{Role: "assistant"}, FinishReason: finish}}
	return answer
}
