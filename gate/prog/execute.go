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
	grantTimeout  = 2 * time.Second
	finishTimeout = 5 * time.Second
	maxAttempts   = 4
	// expectedOutputShare is the expected length of an answer as a share of max_tokens.
	expectedOutputShare = 0.5
)

// execute waits for the grant if ticket is not nil, and runs the turn to its end, even if all
// callers disconnect.
func (p *Prog) execute(j *turnJob, run *Run, turnRun *desk.TurnRun, cont types.Continuation, ticket *desk.Ticket) {
	ctx, stop := context.WithDeadline(run.ctx, j.begin.Deadline)
	defer stop()
	if ticket != nil {
		if err := p.awaitGrant(ctx, ticket); err != nil {
			p.failTurn(j, run, turnRun, 0, err)
			return
		}
	}
	end, attempt, err := p.runWithRetries(ctx, j, run, turnRun)
	if err != nil {
		p.failTurn(j, run, turnRun, attempt.charge, preferEndedReason(run, err))
		return
	}
	content := types.TurnContent{
		Request: j.call.Body.Messages, Answer: types.Message{Role: "assistant", Content: run.text()},
		Usage: end.Usage, Finish: end.Finish, ID: attempt.id,
	}
	p.completeTurn(j, run, turnRun, cont, content)
}

func (p *Prog) awaitGrant(ctx context.Context, ticket *desk.Ticket) error {
	ctx, stop := context.WithTimeout(ctx, grantTimeout)
	defer stop()
	if err := ticket.Wait(ctx); err != nil {
		return fault.Refuse(fault.LogUnavailable, "the log did not confirm the grant in time").WithRetryAfter(time.Second).WithCause(err)
	}
	return nil
}

// preferEndedReason returns the cause of the run's cancellation if the program was ended, and err
// otherwise.
func preferEndedReason(run *Run, err error) error {
	if cause := context.Cause(run.ctx); cause != nil && fault.Is(cause, fault.ProgramEnded) {
		return cause
	}
	return err
}

// attempt is one attempt to run the call on an engine.
type attempt struct {
	id string
	// charge is what a failed attempt may have cost, in tokens.
	charge int64
}

// runWithRetries tries engines until one returns the complete answer, at most maxAttempts
// times. An attempt that may have run is charged in full before the next one.
func (p *Prog) runWithRetries(ctx context.Context, j *turnJob, run *Run, turnRun *desk.TurnRun) (types.EngineEvent, attempt, error) {
	var failed []string
	mayHaveRun := false
	for n := 1; ; n++ {
		try := attempt{id: run.attempt + "." + strconv.Itoa(n)}
		end, target, err := p.tryEngine(ctx, j, run, try.id, failed)
		if err == nil {
			return end, try, nil
		}
		f := fault.From(err)
		if !f.NotRun {
			mayHaveRun = true
			try.charge = turnRun.Reserved
		}
		p.trace.Record(types.TraceEvent{Request: j.call.Request, Program: j.call.Program, Event: "attempt failed", Reason: string(f.Kind), Target: target})
		if target == "" || n == maxAttempts || ctx.Err() != nil {
			return end, try, clearNotRun(f, mayHaveRun)
		}
		p.counts.Count("prog.retries", 1)
		failed = append(failed, target)
		if f.NotRun {
			continue
		}
		run.reset()
		if err := p.reserveRetry(ctx, j, turnRun); err != nil {
			return end, attempt{id: try.id}, clearNotRun(fault.From(err), true)
		}
	}
}

// clearNotRun returns a copy of the fault with NotRun cleared if an engine may have run the call.
func clearNotRun(f *fault.Fault, mayHaveRun bool) error {
	copied := *f
	copied.NotRun = f.NotRun && !mayHaveRun
	return &copied
}

// reserveRetry charges the failed attempt, reserves tokens for another one, and waits for the
// log to confirm the grant if one is needed.
func (p *Prog) reserveRetry(ctx context.Context, j *turnJob, turnRun *desk.TurnRun) error {
	chunk := p.policies.Defaults().GrantChunk
	covered := false
	ticket, err := p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		recs, err := s.RetryTurn(j.call.Program, turnRun, turnRun.Reserved, chunk)
		covered = s.Covered(j.begin.Root)
		return recs, err
	})
	if err != nil || covered {
		return err
	}
	return p.awaitGrant(ctx, ticket)
}

// tryEngine runs the call on one engine and returns the target's name, which is empty if the
// queue assigned none.
func (p *Prog) tryEngine(ctx context.Context, j *turnJob, run *Run, id string, failed []string) (types.EngineEvent, string, error) {
	in := ruleInput(j.begin)
	in.Turn = int64(j.call.Body.Turn)
	progress := sched.ProgramProgress{Priority: p.policies.Priority(in), Started: j.begin.Created, Arrived: j.started, Attained: j.attained}
	engineLease, err := p.queue.Acquire(ctx, lease.Request{
		Input: in, Program: j.call.Program, Progress: progress, PromptTokens: j.historyTokens + estimateTokens(j.call.Body.Messages),
		ExpectedTokens: int(float64(j.maxTokens) * expectedOutputShare), NewProgram: j.call.Body.Turn == 1 && j.begin.Depth == 0,
		Deadline: j.begin.Deadline, Exclude: failed,
	})
	if err != nil {
		return types.EngineEvent{}, "", err
	}
	p.trace.Record(types.TraceEvent{
		Request: j.call.Request, Program: j.call.Program, Event: "target chosen", Target: engineLease.Target.Name, Candidates: engineLease.Candidates,
	})
	call := types.EngineCall{
		Attempt: id, Model: j.begin.Model, Messages: append(j.history[:len(j.history):len(j.history)], j.call.Body.Messages...),
		MaxTokens: j.maxTokens, Priority: engineLease.Rank, CacheKey: j.call.Program,
		Hold: engineLease.KeepCache, Class: j.begin.Kind,
	}
	end, err := p.streamAnswer(ctx, j, run, engineLease, call)
	return end, engineLease.Target.Name, err
}

// estimateTokens estimates the length of messages whose tokens were not counted yet.
func estimateTokens(messages []types.Message) int {
	n := 0
	for _, m := range messages {
		n += 1 + len(m.Content)/4
	}
	return n
}

// streamAnswer runs the call on the leased engine, appends the streamed text to the run, and
// finishes the lease with the result and the observed latencies.
func (p *Prog) streamAnswer(ctx context.Context, j *turnJob, run *Run, engineLease *lease.Lease, call types.EngineCall) (types.EngineEvent, error) {
	started := time.Now()
	firstToken := time.Time{}
	end, err := p.engines.Run(ctx, engineLease.Target, call, func(ev types.EngineEvent) {
		if firstToken.IsZero() {
			firstToken = time.Now()
			p.counts.Latency("prog.first_token", j.begin.Workspace, j.begin.DataClass, firstToken.Sub(j.started))
		}
		run.appendPiece(ev.Text)
	})
	result := lease.Result{OK: err == nil, Program: j.call.Program, Usage: end.Usage}
	if err != nil {
		result.Refused = fault.From(err).NotRun
		if ctx.Err() != nil {
			p.goroutines.Go(func() { p.engines.Cancel(engineLease.Target, call.Attempt) })
			err = fault.Fail(fault.DeadlineMissed, "the call was stopped").WithCause(ctx.Err())
		}
		engineLease.Finish(result)
		return end, err
	}
	result.TimeToFirstToken = firstToken.Sub(started)
	if n := end.Usage.CompletionTokens; n > 1 {
		result.TimePerToken = time.Since(firstToken) / time.Duration(n-1)
		p.counts.Time("prog.token_gap", result.TimePerToken)
	}
	engineLease.Finish(result)
	if cachedElsewhere(engineLease) {
		p.goroutines.Go(func() { p.engines.Trim(j.call.Program, engineLease.Target.Name) })
	}
	return end, nil
}

// cachedElsewhere reports whether another candidate engine has a prefix of the program cached.
func cachedElsewhere(engineLease *lease.Lease) bool {
	for _, candidate := range engineLease.Candidates {
		if candidate.CachedTokens > 0 && candidate.Name != engineLease.Target.Name {
			return true
		}
	}
	return false
}

// failTurn ends the run with err and charges the given number of tokens.
func (p *Prog) failTurn(j *turnJob, run *Run, turnRun *desk.TurnRun, spent int64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), finishTimeout)
	defer stop()
	_, doErr := p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		s.FailTurn(j.call.Program, turnRun, spent)
		return nil, nil
	})
	if doErr != nil {
		p.logger.Debug("prog: cannot settle failed turn", "program", j.call.Program, "error", doErr)
	}
	p.counts.Count("prog.failed_turns", 1)
	p.trace.Record(types.TraceEvent{Request: j.call.Request, Program: j.call.Program, Event: "turn failed", Reason: string(fault.From(err).Kind)})
	run.finish(types.TurnAnswer{}, err)
}

// completeTurn records the answered turn and waits a short time for the log. The answer's
// continuation carries the records that the log has not confirmed by then.
func (p *Prog) completeTurn(j *turnJob, run *Run, turnRun *desk.TurnRun, previous types.Continuation, content types.TurnContent) {
	sealed, err := p.seal(j.begin, content)
	if err != nil {
		p.failTurn(j, run, turnRun, turnRun.Reserved, err)
		return
	}
	turn := types.Turn{Program: j.call.Program, Number: j.call.Body.Turn, RequestDigest: j.digest, Sealed: sealed, At: time.Now()}
	turn.Digest = fold.TurnDigest(j.begin, turn, previous.Digest)
	cont, err := p.recordTurn(j, turnRun, turn, content.Usage)
	if fault.Is(err, fault.NotOwner) || fault.Is(err, fault.Stopping) {
		// Another box took the slot over during the run: the token carries the turn to it.
		p.counts.Count("prog.orphaned_turns", 1)
		cont, err = extendContinuation(previous, turn), nil
	}
	if err != nil {
		p.failTurn(j, run, turnRun, turnRun.Reserved, err)
		return
	}
	token, err := p.sealToken(cont)
	if err != nil {
		run.finish(types.TurnAnswer{}, err)
		return
	}
	p.counts.Count("prog.turns", 1)
	p.counts.Latency("prog.turn", j.begin.Workspace, j.begin.DataClass, time.Since(j.started))
	p.trace.Record(types.TraceEvent{Request: j.call.Request, Program: j.call.Program, Event: "turn answered"})
	run.finish(turnAnswer(j, content, token), nil)
}

// extendContinuation returns the continuation with a turn added.
func extendContinuation(cont types.Continuation, turn types.Turn) types.Continuation {
	cont.Tail = append(cont.Tail[:len(cont.Tail):len(cont.Tail)], turn)
	cont.Turn = turn.Number
	cont.Digest = turn.Digest
	return cont
}

func (p *Prog) recordTurn(j *turnJob, turnRun *desk.TurnRun, turn types.Turn, usage types.Usage) (types.Continuation, error) {
	ctx, stop := context.WithTimeout(context.Background(), finishTimeout)
	defer stop()
	spent := int64(usage.PromptTokens + usage.CompletionTokens)
	ticket, err := p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		return s.FinishTurn(j.call.Program, turnRun, turn, spent)
	})
	if err != nil {
		return types.Continuation{}, err
	}
	p.awaitConfirmation(ctx, ticket)
	var cont types.Continuation
	_, err = p.owner.Do(ctx, j.slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		prog, err := s.Program(j.call.Program, j.call.Workspace)
		if err != nil || fold.LastTurn(prog) < turn.Number {
			return nil, fault.Fail(fault.NotOwner, "the program's slot has moved to another box").WithCause(err)
		}
		cont = s.Continuation(prog, turn.Number)
		return nil, nil
	})
	return cont, err
}
