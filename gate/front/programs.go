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

// create begins a program. The box that takes the call chooses the id, so that a forward
// can be repeated.
func (f *Front) create(c *call) error {
	var body types.NewProgram
	if err := c.decode(&body); err != nil {
		return err
	}
	begin, err := f.begin(c.workspace, body)
	if err != nil {
		return err
	}
	if err := f.budget(&begin, body.Budget); err != nil {
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
	return f.onOwner(c, slot, PathPrograms+"?id="+begin.ID, func() error {
		return f.answer(c, http.StatusCreated)(f.programs.Begin(c.r.Context(), begin, ""))
	})
}

// begin checks what both programs and sub-agents ask for.
func (f *Front) begin(workspace string, body types.NewProgram) (types.Begin, error) {
	if _, err := f.policies.Model(body.Model); err != nil {
		return types.Begin{}, err
	}
	if body.DataClass == "" || len(body.DataClass) > ident.MaxLen || len(body.Kind) > ident.MaxLen {
		return types.Begin{}, fault.Refuse(fault.BadRequest, "data_class is missing, or a name is too long")
	}
	lim := body.Limits
	if body.Deadline < 0 || body.Budget < 0 || lim.Turns < 0 || lim.Depth < 0 || lim.FanOut < 0 || lim.Idle < 0 {
		return types.Begin{}, fault.Refuse(fault.BadRequest, "a limit is negative")
	}
	def := f.policies.Defaults()
	now := time.Now()
	begin := types.Begin{
		Workspace: workspace, Model: body.Model, DataClass: body.DataClass, Kind: body.Kind, Created: now,
		Deadline: now.Add(time.Duration(shortest(body.Deadline, def.Deadline))),
		Limits: types.Limits{
			Turns: least(lim.Turns, def.Turns), Depth: least(lim.Depth, def.Depth),
			FanOut: least(lim.FanOut, def.FanOut), Idle: shortest(lim.Idle, def.Idle),
		},
	}
	return begin, nil
}

// least is the caller's bound within the configured one.
func least(asked, most int) int {
	if asked == 0 || asked > most {
		return most
	}
	return asked
}

func shortest(asked, most types.Duration) types.Duration {
	return types.Duration(least(int(asked), int(most)))
}

// budget bounds a root program by the policy.
func (f *Front) budget(begin *types.Begin, asked int64) error {
	if asked == 0 {
		return fault.Refuse(fault.BadRequest, "budget is missing")
	}
	begin.Budget = asked
	bound := f.policies.Spend(ruleInput(*begin))
	begin.Budget = min(asked, bound)
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

// newID names a slot of this box if the data may be here, else any where it may be.
func (f *Front) newID(c *call, begin types.Begin) (string, error) {
	if id := c.r.URL.Query().Get("id"); c.peer && id != "" {
		return id, nil
	}
	if f.placeable(begin, f.opts.Zone) {
		if slot, ok := f.owners.Pick(c.id); ok {
			return ident.NewProgram(slot), nil
		}
	}
	var names []string
	for _, slot := range f.policies.Slots() {
		if f.placeable(begin, slot.Zone) {
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
	return ident.NewProgram(slot), nil
}

func (f *Front) placeable(begin types.Begin, zone string) bool {
	in := ruleInput(begin)
	in.Zone = zone
	in.Use = "plaintext"
	if !f.policies.Allowed(in) {
		return false
	}
	in.Use = "checkpoint"
	return f.policies.Allowed(in)
}

// agent begins a sub-agent in its parent's slot.
func (f *Front) agent(c *call) error {
	var body types.NewProgram
	if err := c.decode(&body); err != nil {
		return err
	}
	begin, err := f.begin(c.workspace, body)
	if err != nil {
		return err
	}
	begin.Parent = c.path("id")
	slot, err := ident.ProgramSlot(begin.Parent)
	if err != nil {
		return err
	}
	begin.ID = ident.NewProgram(slot)
	if id := c.r.URL.Query().Get("id"); c.peer && id != "" {
		begin.ID = id
	}
	path := PathPrograms + "/" + begin.Parent + "/agents?id=" + begin.ID
	return f.onOwner(c, slot, path, func() error {
		return f.answer(c, http.StatusCreated)(f.programs.Begin(c.r.Context(), begin, body.Continuation))
	})
}

func (f *Front) answer(c *call, status int) func(body types.ProgramState, err error) error {
	return func(body types.ProgramState, err error) error {
		if err != nil {
			return err
		}
		server.WriteJSON(c.w, status, body)
		return nil
	}
}

func (f *Front) state(c *call) error {
	id := c.path("id")
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return err
	}
	token := c.r.URL.Query().Get("continuation")
	return f.onOwner(c, slot, c.r.URL.RequestURI(), func() error {
		return f.answer(c, http.StatusOK)(f.programs.State(c.r.Context(), c.workspace, id, token))
	})
}

func (f *Front) end(c *call) error {
	id := c.path("id")
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return err
	}
	return f.onOwner(c, slot, c.r.URL.RequestURI(), func() error {
		return f.answer(c, http.StatusOK)(f.programs.End(c.r.Context(), c.workspace, id))
	})
}

func (f *Front) turn(c *call) error {
	var body types.TurnRequest
	if err := c.decode(&body); err != nil {
		return err
	}
	if err := checkTurn(body); err != nil {
		return err
	}
	id := c.path("id")
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return err
	}
	ask := prog.TurnCall{Program: id, Workspace: c.workspace, Request: c.id, Body: body}
	return f.onOwner(c, slot, PathPrograms+"/"+id+"/turns", func() error {
		run, err := f.programs.Turn(c.r.Context(), ask)
		if err != nil {
			return err
		}
		if body.Stream {
			return f.stream(c, run, ask)
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
		return fault.Refuse(fault.BadRequest, "turn counts from 1")
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

// stream sends the answer as server-sent events.
func (f *Front) stream(c *call, run *prog.Run, ask prog.TurnCall) error {
	// A failure before the first piece is still a plain problem.
	piece, err := run.Next(c.r.Context(), 0, 0)
	if err != nil {
		return err
	}
	if piece.Done {
		if _, err := run.Answer(c.r.Context()); err != nil {
			return err
		}
	}
	c.sent = true
	out := server.NewStream(c.w)
	round, i := piece.Round, 0
	for !piece.Done {
		if err := out.Send(chunk(ask, i+1, piece.Text)); err != nil {
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
	if err := out.Send(last(answer, i+1)); err != nil {
		return err
	}
	return out.Close()
}

func chunk(ask prog.TurnCall, seq int, text string) types.TurnAnswer {
	delta := types.Message{Role: "assistant", Content: text}
	return types.TurnAnswer{
		ID: ask.Request, Object: "chat.completion.chunk", Program: ask.Program, Turn: ask.Body.Turn, Sequence: seq,
		Choices: []types.Choice{{Delta: &delta}},
	}
}

// last closes a streamed answer: no more text, but all that comes with it.
func last(answer types.TurnAnswer, seq int) types.TurnAnswer {
	answer.Object = "chat.completion.chunk"
	answer.Sequence = seq
	finish := answer.Choices[0].FinishReason
	answer.Choices = []types.Choice{{Delta: &types.Message{Role: "assistant"}, FinishReason: finish}}
	return answer
}
