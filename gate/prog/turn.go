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

// TurnCall is a caller's request to run one turn of a program. Request is its request id.
type TurnCall struct {
	Program   string
	Workspace string
	Request   string
	Body      types.TurnRequest
}

// programView is the part of a program that a turn needs, copied from the slot's state.
type programView struct {
	begin types.Begin
	turns []types.Turn
	ended string
}

// Turn starts the turn, joins it if it is running, or returns its stored answer.
func (p *Prog) Turn(ctx context.Context, call TurnCall) (*Run, error) {
	slot, err := ident.ProgramSlot(call.Program)
	if err != nil {
		return nil, err
	}
	cont, err := p.openToken(call.Workspace, call.Program, call.Body.Continuation)
	if err != nil {
		return nil, err
	}
	program, err := p.adoptAndRead(ctx, slot, call, cont)
	if err != nil {
		return nil, err
	}
	if err := p.checkPlacement(ruleInput(program.begin)); err != nil {
		return nil, err
	}
	job, err := p.prepare(slot, call, program)
	if err != nil {
		return nil, err
	}
	return p.startTurn(ctx, job)
}

// adoptAndRead adopts the continuation, if any, and returns a copy of the program.
func (p *Prog) adoptAndRead(ctx context.Context, slot ident.Slot, call TurnCall, cont *types.Continuation) (programView, error) {
	var program programView
	_, err := p.owner.Do(ctx, slot, desk.Lazy, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		recs, err := adoptContinuation(s, cont)
		if err != nil {
			return nil, err
		}
		prog, err := s.Program(call.Program, call.Workspace)
		if err != nil {
			return recs, err
		}
		program = programView{begin: prog.Begin, turns: prog.Turns[:len(prog.Turns):len(prog.Turns)], ended: prog.Ended}
		return recs, nil
	})
	return program, err
}

// turnJob is a requested turn with everything that its run needs.
type turnJob struct {
	slot    ident.Slot
	call    TurnCall
	begin   types.Begin
	digest  []byte
	history []types.Message
	// historyTokens is the length of the history and promptTokens an upper bound on the length
	// of the whole prompt.
	historyTokens int
	promptTokens  int64
	// attained is the work done for the program so far: computed prompt and output tokens.
	attained  int64
	maxTokens int
	started   time.Time
}

// bytesPerMessage allows for the tokens that a model adds to each message. A token has at least
// one byte, so the number of bytes is an upper bound on the tokens of text not counted yet.
const bytesPerMessage = 8

func (p *Prog) prepare(slot ident.Slot, call TurnCall, program programView) (*turnJob, error) {
	j := &turnJob{slot: slot, call: call, begin: program.begin, digest: requestDigest(call.Body.Messages), started: time.Now()}
	answered := min(max(call.Body.Turn-1, 0), len(program.turns))
	for _, turn := range program.turns[:answered] {
		content, err := p.unseal(program.begin, turn)
		if err != nil {
			return nil, err
		}
		j.history = append(j.history, content.Request...)
		j.history = append(j.history, content.Answer)
		j.historyTokens = content.Usage.PromptTokens + content.Usage.CompletionTokens
		j.attained += int64(content.Usage.PromptTokens - content.Usage.CachedTokens + content.Usage.CompletionTokens)
	}
	j.promptTokens = int64(j.historyTokens)
	for _, m := range append(call.Body.Messages, types.Message{}) {
		j.promptTokens += int64(len(m.Content) + bytesPerMessage)
	}
	j.maxTokens = call.Body.MaxTokens
	if j.maxTokens == 0 {
		j.maxTokens = p.policies.Defaults().MaxTokens
	}
	return j, nil
}

// requestDigest returns a hash of the caller's messages, which tells a repeated request from a
// different one.
func requestDigest(messages []types.Message) []byte {
	raw, _ := json.Marshal(messages)
	sum := sha256.Sum256(raw)
	return sum[:]
}

// startTurn decides in the slot's event loop whether to run the turn, to join a running one or
// to return a stored answer.
func (p *Prog) startTurn(ctx context.Context, j *turnJob) (*Run, error) {
	defaults := p.policies.Defaults()
	run := newRun(p.ctx, ident.RandomID())
	var decision desk.TurnStart
	var cont types.Continuation
	covered := false
	ticket, err := p.owner.Do(ctx, j.slot, desk.Lazy, func(now time.Time, s *desk.OwnerState) ([]types.Record, error) {
		if err := checkTailSize(s, j.call.Program, defaults.TailBytes); err != nil {
			return nil, err
		}
		var recs []types.Record
		var err error
		decision, recs, err = s.StartTurn(now, desk.TurnRequest{
			Program: j.call.Program, Workspace: j.call.Workspace, Turn: j.call.Body.Turn, RequestDigest: j.digest,
			PromptTokens: j.promptTokens, MaxTokens: int64(j.maxTokens), GrantChunk: defaults.GrantChunk,
		})
		if err != nil {
			return recs, err
		}
		if decision.Run != nil {
			decision.Run.Run = run
			covered = s.Covered(decision.Program.Begin.Root)
		}
		cont = s.Continuation(decision.Program, continuationTurn(decision))
		return recs, nil
	})
	if err != nil {
		return nil, err
	}
	switch {
	case decision.Join != nil:
		joined, ok := decision.Join.(*Run)
		if !ok {
			return nil, fault.Fail(fault.Internal, "the running turn has an unexpected type")
		}
		return joined, nil
	case decision.Stored != nil:
		return p.storedAnswer(j, run, *decision.Stored, cont)
	}
	if covered {
		ticket = nil
	}
	j.maxTokens = int(decision.MaxTokens)
	p.trace.Record(types.TraceEvent{Request: j.call.Request, Program: j.call.Program, Event: "turn started"})
	p.runs.Go(func() { p.execute(j, run, decision.Run, cont, ticket) })
	return run, nil
}

// continuationTurn returns the turn that the first continuation refers to: the stored turn, or
// the last answered turn before the run.
func continuationTurn(decision desk.TurnStart) int {
	if decision.Stored != nil {
		return decision.Stored.Number
	}
	return fold.LastTurn(decision.Program)
}

// checkTailSize returns an error if the program's turns that the log has not confirmed exceed
// maxBytes, since continuations have to carry them.
func checkTailSize(s *desk.OwnerState, program string, maxBytes int) error {
	prog, ok := s.State.Programs[program]
	if !ok {
		return nil
	}
	logged, _ := s.Logged(program)
	size := 0
	for _, turn := range prog.Turns[min(logged, len(prog.Turns)):] {
		size += len(turn.Sealed)
	}
	if size > maxBytes {
		return fault.Refuse(fault.TailTooLong, "the log has been unavailable too long for this program").WithRetryAfter(time.Second)
	}
	return nil
}

// storedAnswer finishes the run with the stored answer of a turn that was answered before.
func (p *Prog) storedAnswer(j *turnJob, run *Run, turn types.Turn, cont types.Continuation) (*Run, error) {
	content, err := p.unseal(j.begin, turn)
	if err != nil {
		return nil, err
	}
	token, err := p.sealToken(cont)
	if err != nil {
		return nil, err
	}
	run.appendPiece(content.Answer.Content)
	run.finish(turnAnswer(j, content, token), nil)
	return run, nil
}

func turnAnswer(j *turnJob, content types.TurnContent, token string) types.TurnAnswer {
	usage := content.Usage
	answer := content.Answer
	return types.TurnAnswer{
		ID: content.ID, Object: "chat.completion", Model: j.begin.Model, Program: j.call.Program, Turn: j.call.Body.Turn,
		Choices: []types.Choice{{Message: &answer, FinishReason: content.Finish}}, Usage: &usage, Continuation: token,
	}
}
