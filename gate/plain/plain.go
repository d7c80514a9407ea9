package plain

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
)

// Owner runs operations on the state of the slots that this box owns.
type Owner interface {
	Do(ctx context.Context, id ident.Slot, mode desk.Mode, op desk.Op) (*desk.Ticket, error)
}

// Replicas sends calls to the replicas of services.
type Replicas interface {
	SendOnce(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error)
	SendRepeatable(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error)
	Probe(ctx context.Context, svc types.Service, in types.RuleInput, key string) (json.RawMessage, bool, error)
}

// Sealer provides the keys that encrypt stored answers.
type Sealer interface {
	Keyring() (*seal.Keyring, error)
}

const (
	// intentTimeout is how long a caller waits for the log to confirm the intent.
	intentTimeout  = 2 * time.Second
	outcomeTimeout = 2 * time.Second
	callTimeout    = 30 * time.Second
	probeTimeout   = 2 * time.Second
)

// ServiceCall is a call to a tool or plain service.
type ServiceCall struct {
	Service types.Service
	Input   types.RuleInput
	// Key is the caller's idempotency key, unique within its workspace; it may be empty.
	Key     string
	Program string
	Body    json.RawMessage
	Chunk   int64
	// Continuation is the program's decrypted continuation, if the caller sent one.
	Continuation *types.Continuation
}

// Plain is the service that runs calls of tools and plain services.
type Plain struct {
	owner        Owner
	pools        Replicas
	sealer       Sealer
	counts       Counts
	logger       *slog.Logger
	runsInFlight sync.WaitGroup
}

// New creates the service.
func New(owner Owner, pools Replicas, sealer Sealer, counts Counts, logger *slog.Logger) *Plain {
	return &Plain{owner: owner, pools: pools, sealer: sealer, counts: counts, logger: logger}
}

// Start implements a service.
func (p *Plain) Start(context.Context) error {
	return nil
}

// Stop waits until calls in flight have ended or ctx ends.
func (p *Plain) Stop(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		p.runsInFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return nil
}

// Call runs a call. This box must own the slot, or be able to claim it, if the call is recorded
// in the slot's stream or charged to a program.
func (p *Plain) Call(ctx context.Context, slot ident.Slot, ask ServiceCall) (types.ServiceAnswer, error) {
	if !ask.Service.Repeatable && ask.Key != "" {
		return p.callWithKey(ctx, slot, ask)
	}
	if err := p.chargeCall(ctx, slot, ask); err != nil {
		return types.ServiceAnswer{}, err
	}
	body := Body{Key: ident.RandomID(), Input: ask.Body}
	if ask.Key != "" {
		body.Key = scopedKey(ask)
	}
	send := p.pools.SendRepeatable
	if !ask.Service.Repeatable {
		send = p.pools.SendOnce
	}
	output, err := send(ctx, ask.Service, ask.Input, body)
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	return types.ServiceAnswer{ID: body.Key, Output: output}, nil
}

// scopedKey returns the caller's key prefixed with its workspace, as logged and sent.
func scopedKey(ask ServiceCall) string {
	return ask.Input.Workspace + "/" + ask.Key
}

// chargeCall charges the program for a call that has no intent, before it is sent.
func (p *Plain) chargeCall(ctx context.Context, slot ident.Slot, ask ServiceCall) error {
	if ask.Program == "" || ask.Service.Price == 0 {
		return nil
	}
	intent := types.Intent{Workspace: ask.Input.Workspace, Program: ask.Program}
	call := desk.CallRequest{Intent: intent, Price: ask.Service.Price, GrantChunk: ask.Chunk}
	ticket, err := p.owner.Do(ctx, slot, desk.Durable, func(now time.Time, d *desk.OwnerState) ([]types.Record, error) {
		adopted, err := adoptContinuation(d, ask.Continuation)
		if err != nil {
			return nil, err
		}
		recs, err := d.ChargeCall(now, call)
		return append(adopted, recs...), err
	})
	if err != nil {
		return err
	}
	return p.awaitLog(ctx, ticket)
}

func adoptContinuation(d *desk.OwnerState, cont *types.Continuation) ([]types.Record, error) {
	if cont == nil {
		return nil, nil
	}
	return d.Adopt(*cont)
}

func (p *Plain) awaitLog(ctx context.Context, ticket *desk.Ticket) error {
	ctx, stop := context.WithTimeout(ctx, intentTimeout)
	defer stop()
	return ticket.Wait(ctx)
}

func (p *Plain) callWithKey(ctx context.Context, slot ident.Slot, ask ServiceCall) (types.ServiceAnswer, error) {
	hash := sha256.New()
	_, _ = hash.Write([]byte(ask.Service.Name + "\x00"))
	_, _ = hash.Write(ask.Body)
	intent := types.Intent{
		Key: scopedKey(ask), Attempt: ident.RandomID(), Workspace: ask.Input.Workspace, Service: ask.Service.Name,
		Program: ask.Program, RequestDigest: hash.Sum(nil), At: time.Now(),
	}
	run := newKeyedRun(intent.Attempt)
	var start desk.CallStart
	ticket, err := p.owner.Do(ctx, slot, desk.Durable, func(now time.Time, d *desk.OwnerState) ([]types.Record, error) {
		adopted, err := adoptContinuation(d, ask.Continuation)
		if err != nil {
			return nil, err
		}
		var recs []types.Record
		start, recs, err = d.StartCall(now, desk.CallRequest{Intent: intent, Price: ask.Service.Price, GrantChunk: ask.Chunk})
		if start.Run != nil {
			start.Run.Run = run
		}
		return append(adopted, recs...), err
	})
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	switch {
	case start.Stored != nil:
		return p.storedAnswer(ask, *start.Stored)
	case start.Unknown != nil:
		return p.resolveUnknown(ctx, slot, ask, *start.Unknown)
	case start.Join != nil:
		joined, ok := start.Join.(*keyedRun)
		if !ok {
			return types.ServiceAnswer{}, fault.Fail(fault.Internal, "the running call has an unexpected type")
		}
		return joined.join(ctx)
	}
	p.runsInFlight.Go(func() { p.dispatchOnce(slot, ask, start.Run, run, ticket) })
	return run.wait(ctx)
}

// dispatchOnce waits until the log has confirmed the intent, dispatches the call once, and
// logs the outcome.
func (p *Plain) dispatchOnce(slot ident.Slot, ask ServiceCall, callRun *desk.CallRun, run *keyedRun, ticket *desk.Ticket) {
	started := time.Now()
	<-ticket.Done()
	if err := ticket.Wait(context.Background()); err != nil {
		run.finish(types.ServiceAnswer{}, fault.Refuse(fault.LogUnavailable, "this box lost the slot before it dispatched the call").WithRetryAfter(time.Second).WithCause(err))
		return
	}
	p.counts.Time("plain.intent_time", time.Since(started))
	if !run.markDispatched() {
		p.finishCall(slot, callRun, types.Outcome{NotRun: true})
		run.finish(types.ServiceAnswer{}, fault.Refuse(fault.DeadlineMissed, "all callers gave up before the call was dispatched"))
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	out, err := p.pools.SendOnce(ctx, ask.Service, ask.Input, Body{Key: callRun.Intent.Key, Input: ask.Body})
	p.logOutcome(slot, ask, callRun, run, out, err)
}

// logOutcome logs the outcome of a dispatched call and then answers the callers. A fault with
// NotRun frees the key; any other failure leaves the outcome unknown.
func (p *Plain) logOutcome(slot ident.Slot, ask ServiceCall, callRun *desk.CallRun, run *keyedRun, out json.RawMessage, err error) {
	if err != nil {
		f := fault.From(err)
		p.finishCall(slot, callRun, types.Outcome{NotRun: f.NotRun, Unknown: !f.NotRun})
		if !f.NotRun {
			f = fault.Fail(fault.OutcomeUnknown, "the call was dispatched and its outcome is not known").WithCause(err)
		}
		run.finish(types.ServiceAnswer{}, f)
		return
	}
	sealed, err := p.seal(ask, out)
	if err != nil {
		p.finishCall(slot, callRun, types.Outcome{Unknown: true})
		run.finish(types.ServiceAnswer{}, err)
		return
	}
	p.finishCall(slot, callRun, types.Outcome{Status: 200, Sealed: sealed})
	run.finish(types.ServiceAnswer{ID: callRun.Intent.Attempt, Output: out}, nil)
}

func (p *Plain) finishCall(slot ident.Slot, callRun *desk.CallRun, out types.Outcome) {
	out.Key, out.Attempt, out.At = callRun.Intent.Key, callRun.Intent.Attempt, time.Now()
	ctx, stop := context.WithTimeout(context.Background(), outcomeTimeout)
	defer stop()
	_, err := p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, d *desk.OwnerState) ([]types.Record, error) {
		return d.FinishCall(callRun, out), nil
	})
	if err != nil {
		p.counts.Count("plain.outcomes_unlogged", 1)
		p.logger.Info("plain: cannot log outcome", "attempt", out.Attempt, "error", err)
	}
}

func (p *Plain) seal(ask ServiceCall, out json.RawMessage) ([]byte, error) {
	ring, err := p.sealer.Keyring()
	if err != nil {
		return nil, err
	}
	return ring.Seal(ask.Input.Workspace, scopedKey(ask), out)
}

func (p *Plain) storedAnswer(ask ServiceCall, out types.Outcome) (types.ServiceAnswer, error) {
	ring, err := p.sealer.Keyring()
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	output, err := ring.Open(ask.Input.Workspace, scopedKey(ask), out.Sealed)
	if err != nil {
		return types.ServiceAnswer{}, fault.Fail(fault.OutcomeUnknown, "the stored answer cannot be opened").WithCause(err)
	}
	return types.ServiceAnswer{ID: out.Attempt, Output: output, Stored: true}, nil
}

// resolveUnknown probes the service for the outcome of an intent if the service has a probe
// path. It never runs the call again.
func (p *Plain) resolveUnknown(ctx context.Context, slot ident.Slot, ask ServiceCall, intent types.Intent) (types.ServiceAnswer, error) {
	unknown := fault.Fail(fault.OutcomeUnknown, "the call was started and its outcome is not known")
	if ask.Service.ProbePath == "" {
		return types.ServiceAnswer{}, unknown
	}
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	out, done, err := p.pools.Probe(ctx, ask.Service, ask.Input, intent.Key)
	if err != nil || !done {
		return types.ServiceAnswer{}, unknown.WithCause(err)
	}
	sealed, err := p.seal(ask, out)
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	outcome := types.Outcome{Key: intent.Key, Attempt: intent.Attempt, Status: 200, Sealed: sealed, At: time.Now()}
	_, err = p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, d *desk.OwnerState) ([]types.Record, error) {
		return d.ResolveCall(outcome), nil
	})
	if err != nil {
		p.logger.Debug("plain: cannot log probed outcome", "attempt", intent.Attempt, "error", err)
	}
	return types.ServiceAnswer{ID: intent.Attempt, Output: out, Stored: true}, nil
}
