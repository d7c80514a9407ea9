package prog

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/fold"
)

// TurnCall is a call of one turn.
type TurnCall struct {
	Program   string
	Workspace string
	Request   string
	Body      types.TurnRequest
}

// view is what a turn needs of the program, copied out of the slot's memory.
type view struct {
	begin types.Begin
	turns []types.Turn
	ended string
}

// Turn starts the turn, joins it if it runs, or finds its kept answer.
func (p *Prog) Turn(ctx context.Context, ask TurnCall) (*Run, error) {
	slot, err := ident.ProgramSlot(ask.Program)
	if err != nil {
		return nil, err
	}
	cont, err := p.open(ask.Workspace, ask.Program, ask.Body.Continuation)
	if err != nil {
		return nil, err
	}
	seen, err := p.look(ctx, slot, ask, cont)
	if err != nil {
		return nil, err
	}
	if err := p.placed(input(seen.begin)); err != nil {
		return nil, err
	}
	job, err := p.prepare(slot, ask, seen)
	if err != nil {
		return nil, err
	}
	return p.start(ctx, job)
}

// look adopts the continuation and copies the program.
func (p *Prog) look(ctx context.Context, slot ident.Slot, ask TurnCall, cont *types.Continuation) (view, error) {
	var seen view
	_, err := p.owner.Do(ctx, slot, desk.Lazy, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		recs, err := adopt(d, cont)
		if err != nil {
			return nil, err
		}
		prog, err := d.Program(ask.Program, ask.Workspace)
		if err != nil {
			return recs, err
		}
		seen = view{begin: prog.Begin, turns: prog.Turns[:len(prog.Turns):len(prog.Turns)], ended: prog.Ended}
		return recs, nil
	})
	return seen, err
}

// job is a turn with all that its run needs.
type job struct {
	slot    ident.Slot
	ask     TurnCall
	begin   types.Begin
	digest  []byte
	history []types.Message
	// known is the length of the history, in tokens; prompt bounds the whole prompt.
	known  int
	prompt int64
	// attained is the service that the program had so far, in tokens.
	attained  int64
	maxTokens int
	started   time.Time
}

// bytesPerMessage covers what a model adds around a message; a token is never shorter
// than a byte, so bytes bound the tokens of text that was not counted yet.
const bytesPerMessage = 8

func (p *Prog) prepare(slot ident.Slot, ask TurnCall, seen view) (*job, error) {
	j := &job{slot: slot, ask: ask, begin: seen.begin, digest: digest(ask.Body.Messages), started: time.Now()}
	before := min(max(ask.Body.Turn-1, 0), len(seen.turns))
	for _, turn := range seen.turns[:before] {
		content, err := p.unseal(seen.begin, turn)
		if err != nil {
			return nil, err
		}
		j.history = append(j.history, content.Request...)
		j.history = append(j.history, content.Answer)
		j.known = content.Usage.PromptTokens + content.Usage.CompletionTokens
		j.attained += int64(content.Usage.PromptTokens - content.Usage.CachedTokens + content.Usage.CompletionTokens)
	}
	j.prompt = int64(j.known)
	for _, m := range append(ask.Body.Messages, types.Message{}) {
		j.prompt += int64(len(m.Content) + bytesPerMessage)
	}
	j.maxTokens = ask.Body.MaxTokens
	if j.maxTokens == 0 {
		j.maxTokens = p.policies.Defaults().MaxTokens
	}
	return j, nil
}

// digest identifies what a caller sent, to tell a repeat from another request.
func digest(messages []types.Message) []byte {
	raw, _ := json.Marshal(messages)
	sum := sha256.Sum256(raw)
	return sum[:]
}

// start decides on the turn in the slot's loop.
func (p *Prog) start(ctx context.Context, j *job) (*Run, error) {
	defaults := p.policies.Defaults()
	run := newRun(p.ctx, ident.RandomID())
	var start desk.TurnStart
	var cont types.Continuation
	covered := false
	ticket, err := p.owner.Do(ctx, j.slot, desk.Lazy, func(now time.Time, d *desk.Desk) ([]types.Record, error) {
		if err := tailFits(d, j.ask.Program, defaults.TailBytes); err != nil {
			return nil, err
		}
		var recs []types.Record
		var err error
		start, recs, err = d.StartTurn(now, desk.TurnAsk{
			Program: j.ask.Program, Workspace: j.ask.Workspace, Turn: j.ask.Body.Turn, Ask: j.digest,
			Prompt: j.prompt, MaxTokens: int64(j.maxTokens), Chunk: defaults.GrantChunk,
		})
		if err != nil {
			return recs, err
		}
		if start.Run != nil {
			start.Run.Run = run
			covered = d.Covered(start.Program.Begin.Root)
		}
		cont = d.Continuation(start.Program, startTurn(start))
		return recs, nil
	})
	if err != nil {
		return nil, err
	}
	switch {
	case start.Join != nil:
		joined, ok := start.Join.(*Run)
		if !ok {
			return nil, fault.Fail(fault.Internal, "the run is of another kind")
		}
		return joined, nil
	case start.Stored != nil:
		return p.kept(j, run, *start.Stored, cont)
	}
	if covered {
		ticket = nil
	}
	j.maxTokens = int(start.MaxTokens)
	p.notes.Record(types.TraceEvent{Request: j.ask.Request, Program: j.ask.Program, Event: "turn started"})
	p.runs.Go(func() { p.execute(j, run, start.Run, cont, ticket) })
	return run, nil
}

// startTurn is the turn that the continuation taken at the start is of: the stored one,
// or the one before the run.
func startTurn(start desk.TurnStart) int {
	if start.Stored != nil {
		return start.Stored.Number
	}
	return fold.LastTurn(start.Program)
}

// tailFits bounds what continuations have to carry while the log is away.
func tailFits(d *desk.Desk, program string, most int) error {
	prog, ok := d.State.Programs[program]
	if !ok {
		return nil
	}
	logged, _ := d.Logged(program)
	size := 0
	for _, turn := range prog.Turns[min(logged, len(prog.Turns)):] {
		size += len(turn.Sealed)
	}
	if size > most {
		return fault.Refuse(fault.TailTooLong, "the log has been away too long for this program").WithRetryAfter(time.Second)
	}
	return nil
}

// kept gives the answer of a turn that was answered before.
func (p *Prog) kept(j *job, run *Run, turn types.Turn, cont types.Continuation) (*Run, error) {
	content, err := p.unseal(j.begin, turn)
	if err != nil {
		return nil, err
	}
	token, err := p.token(cont)
	if err != nil {
		return nil, err
	}
	run.add(content.Answer.Content)
	run.finish(reply(j, content, token), nil)
	return run, nil
}

func reply(j *job, content types.TurnContent, token string) types.TurnAnswer {
	usage := content.Usage
	answer := content.Answer
	return types.TurnAnswer{
		ID: content.ID, Object: "chat.completion", Model: j.begin.Model, Program: j.ask.Program, Turn: j.ask.Body.Turn,
		Choices: []types.Choice{{Message: &answer, FinishReason: content.Finish}}, Usage: &usage, Continuation: token,
	}
}
