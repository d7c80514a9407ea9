package prog

import (
	"context"
	"strconv"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/fold"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/sched"
)

const (
	grantWait   = 2 * time.Second
	finishWait  = 5 * time.Second
	maxAttempts = 4
	// expectShare of max_tokens is what an answer is expected to take.
	expectShare = 0.5
)

// execute runs the turn to its end. It goes on when its callers go: a repeat joins it.
func (p *Prog) execute(j *job, run *Run, turnRun *desk.TurnRun, cont types.Continuation, ticket *desk.Ticket) {
	ctx, stop := context.WithDeadline(run.ctx, j.begin.Deadline)
	defer stop()
	if ticket != nil {
		if err := p.granted(ctx, ticket); err != nil {
			p.fail(j, run, turnRun, 0, err)
			return
		}
	}
	end, attempt, err := p.attempts(ctx, j, run, turnRun)
	if err != nil {
		p.fail(j, run, turnRun, attempt.spent, ended(run, err))
		return
	}
	content := types.TurnContent{
		Request: j.ask.Body.Messages, Answer: types.Message{Role: "assistant", Content: run.text()},
		Usage: end.Usage, Finish: end.Finish, ID: attempt.id,
	}
	p.conclude(j, run, turnRun, cont, content)
}

func (p *Prog) granted(ctx context.Context, ticket *desk.Ticket) error {
	ctx, stop := context.WithTimeout(ctx, grantWait)
	defer stop()
	if err := ticket.Wait(ctx); err != nil {
		return fault.Refuse(fault.LogUnavailable, "the log has not granted the call in time").WithRetryAfter(time.Second).WithCause(err)
	}
	return nil
}

// ended prefers the reason for which the run was cancelled.
func ended(run *Run, err error) error {
	if cause := context.Cause(run.ctx); cause != nil && fault.Is(cause, fault.ProgramEnded) {
		return cause
	}
	return err
}

// attempt is one try at an engine.
type attempt struct {
	id string
	// spent is what the try may have cost if it failed, in tokens.
	spent int64
}

// attempts tries engines until one gives the whole answer. A try that may have begun is
// charged in full before the next.
func (p *Prog) attempts(ctx context.Context, j *job, run *Run, turnRun *desk.TurnRun) (types.EngineEvent, attempt, error) {
	var avoid []string
	touched := false
	for n := 1; ; n++ {
		try := attempt{id: run.attempt + "." + strconv.Itoa(n)}
		end, target, err := p.try(ctx, j, run, try.id, avoid)
		if err == nil {
			return end, try, nil
		}
		f := fault.From(err)
		if !f.NotRun {
			touched = true
			try.spent = turnRun.Reserved
		}
		p.notes.Record(types.TraceEvent{Request: j.ask.Request, Program: j.ask.Program, Event: "attempt failed", Reason: string(f.Kind), Target: target})
		if target == "" || n == maxAttempts || ctx.Err() != nil {
			return end, try, told(f, touched)
		}
		p.counts.Count("prog.retries", 1)
		avoid = append(avoid, target)
		if f.NotRun {
			continue
		}
		run.restart()
		if err := p.again(ctx, j, turnRun); err != nil {
			return end, attempt{id: try.id}, told(fault.From(err), true)
		}
	}
}

// told takes NotRun back if an engine may have begun the call.
func told(f *fault.Fault, touched bool) error {
	out := *f
	out.NotRun = f.NotRun && !touched
	return &out
}

// again charges the broken try and reserves for another.
func (p *Prog) again(ctx context.Context, j *job, turnRun *desk.TurnRun) error {
	chunk := p.policies.Defaults().GrantChunk
	covered := false
	ticket, err := p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		recs, err := d.Rerun(j.ask.Program, turnRun, turnRun.Reserved, chunk)
		covered = d.Covered(j.begin.Root)
		return recs, err
	})
	if err != nil || covered {
		return err
	}
	return p.granted(ctx, ticket)
}

// try runs the call on one engine. The target is empty if none was given.
func (p *Prog) try(ctx context.Context, j *job, run *Run, id string, avoid []string) (types.EngineEvent, string, error) {
	in := input(j.begin)
	in.Turn = int64(j.ask.Body.Turn)
	work := sched.ProgramProgress{Priority: p.policies.Order(in), Started: j.begin.Created, Arrived: j.started, Attained: j.attained}
	place, err := p.queue.Acquire(ctx, lease.Request{
		Input: in, Program: j.ask.Program, Progress: work, PromptTokens: j.known + tokens(j.ask.Body.Messages),
		ExpectedTokens: int(float64(j.maxTokens) * expectShare), NewProgram: j.ask.Body.Turn == 1 && j.begin.Depth == 0,
		Deadline: j.begin.Deadline, Exclude: avoid,
	})
	if err != nil {
		return types.EngineEvent{}, "", err
	}
	p.notes.Record(types.TraceEvent{
		Request: j.ask.Request, Program: j.ask.Program, Event: "target chosen", Target: place.Target.Name, Candidates: place.Candidates,
	})
	call := types.EngineCall{
		Attempt: id, Model: j.begin.Model, Messages: append(j.history[:len(j.history):len(j.history)], j.ask.Body.Messages...),
		MaxTokens: j.maxTokens, Priority: place.Rank, CacheKey: j.ask.Program,
		Hold: place.KeepCache, Class: j.begin.Kind,
	}
	end, err := p.stream(ctx, j, run, place, call)
	return end, place.Target.Name, err
}

// tokens guesses the length of messages that were not counted yet.
func tokens(messages []types.Message) int {
	n := 0
	for _, m := range messages {
		n += 1 + len(m.Content)/4
	}
	return n
}

// stream follows the call and gives the place back with what was learned.
func (p *Prog) stream(ctx context.Context, j *job, run *Run, place *lease.Lease, call types.EngineCall) (types.EngineEvent, error) {
	began := time.Now()
	first := time.Time{}
	end, err := p.engines.Run(ctx, place.Target, call, func(ev types.EngineEvent) {
		if first.IsZero() {
			first = time.Now()
			p.counts.Latency("prog.first_token", j.begin.Workspace, j.begin.DataClass, first.Sub(j.started))
		}
		run.add(ev.Text)
	})
	res := lease.Result{OK: err == nil, Program: j.ask.Program, Usage: end.Usage}
	if err != nil {
		res.Refused = fault.From(err).NotRun
		if ctx.Err() != nil {
			p.done.Go(func() { p.engines.Cancel(place.Target, call.Attempt) })
			err = fault.Fail(fault.DeadlineMissed, "the call was stopped").WithCause(ctx.Err())
		}
		place.Finish(res)
		return end, err
	}
	res.TimeToFirstToken = first.Sub(began)
	if n := end.Usage.CompletionTokens; n > 1 {
		res.TimePerToken = time.Since(first) / time.Duration(n-1)
		p.counts.Time("prog.token_gap", res.TimePerToken)
	}
	place.Finish(res)
	if movedHere(place) {
		p.done.Go(func() { p.engines.Trim(j.ask.Program, place.Target.Name) })
	}
	return end, nil
}

// movedHere reports whether another engine holds an older prefix of the program.
func movedHere(place *lease.Lease) bool {
	for _, w := range place.Candidates {
		if w.CachedTokens > 0 && w.Name != place.Target.Name {
			return true
		}
	}
	return false
}

// fail ends the run without an answer.
func (p *Prog) fail(j *job, run *Run, turnRun *desk.TurnRun, spent int64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), finishWait)
	defer stop()
	_, doErr := p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		d.FailTurn(j.ask.Program, turnRun, spent)
		return nil, nil
	})
	if doErr != nil {
		p.logger.Debug("prog: failed turn was not settled", "program", j.ask.Program, "error", doErr)
	}
	p.counts.Count("prog.failed_turns", 1)
	p.notes.Record(types.TraceEvent{Request: j.ask.Request, Program: j.ask.Program, Event: "turn failed", Reason: string(fault.From(err).Kind)})
	run.finish(types.TurnAnswer{}, err)
}

// conclude writes the answered turn, gives the log its short time, and answers with a
// continuation that carries whatever the log does not hold by then.
func (p *Prog) conclude(j *job, run *Run, turnRun *desk.TurnRun, before types.Continuation, content types.TurnContent) {
	sealed, err := p.seal(j.begin, content)
	if err != nil {
		p.fail(j, run, turnRun, turnRun.Reserved, err)
		return
	}
	turn := types.Turn{Program: j.ask.Program, Number: j.ask.Body.Turn, RequestDigest: j.digest, Sealed: sealed, At: time.Now()}
	turn.Digest = fold.TurnDigest(j.begin, turn, before.Digest)
	cont, err := p.record(j, turnRun, turn, content.Usage)
	if fault.Is(err, fault.NotOwner) || fault.Is(err, fault.Stopping) {
		// The slot went to another box during the run: the token carries the turn there.
		p.counts.Count("prog.orphaned_turns", 1)
		cont, err = extend(before, turn), nil
	}
	if err != nil {
		p.fail(j, run, turnRun, turnRun.Reserved, err)
		return
	}
	token, err := p.token(cont)
	if err != nil {
		run.finish(types.TurnAnswer{}, err)
		return
	}
	p.counts.Count("prog.turns", 1)
	p.counts.Latency("prog.turn", j.begin.Workspace, j.begin.DataClass, time.Since(j.started))
	p.notes.Record(types.TraceEvent{Request: j.ask.Request, Program: j.ask.Program, Event: "turn answered"})
	run.finish(reply(j, content, token), nil)
}

// extend adds a turn to a continuation.
func extend(cont types.Continuation, turn types.Turn) types.Continuation {
	cont.Tail = append(cont.Tail[:len(cont.Tail):len(cont.Tail)], turn)
	cont.Turn = turn.Number
	cont.Digest = turn.Digest
	return cont
}

func (p *Prog) record(j *job, turnRun *desk.TurnRun, turn types.Turn, usage types.Usage) (types.Continuation, error) {
	ctx, stop := context.WithTimeout(context.Background(), finishWait)
	defer stop()
	spent := int64(usage.PromptTokens + usage.CompletionTokens)
	ticket, err := p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		return d.FinishTurn(j.ask.Program, turnRun, turn, spent)
	})
	if err != nil {
		return types.Continuation{}, err
	}
	p.await(ctx, ticket)
	var cont types.Continuation
	_, err = p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		prog, err := d.Program(j.ask.Program, j.ask.Workspace)
		if err != nil || fold.LastTurn(prog) < turn.Number {
			return nil, fault.Fail(fault.NotOwner, "the program has moved").WithCause(err)
		}
		cont = d.Continuation(prog, turn.Number)
		return nil, nil
	})
	return cont, err
}
