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
	// GrantChunk is the minimum increase of the program's grant, in tokens.
	GrantChunk int64
	// Continuation is the program's decrypted continuation, if the caller sent one.
	Continuation *types.Continuation
}

// Plain is the service that runs calls of tools and plain services.
type Plain struct {
	owner        Owner
	replicas     Replicas
	sealer       Sealer
	counts       Counts
	logger       *slog.Logger
	runsInFlight sync.WaitGroup
}

// New creates the service.
func New(owner Owner, replicas Replicas, sealer Sealer, counts Counts, logger *slog.Logger) *Plain {
	return &Plain{owner: owner, replicas: replicas, sealer: sealer, counts: counts, logger: logger}
}

// Start does nothing; it makes Plain a kernel.Service.
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
func (p *Plain) Call(ctx context.Context, slot ident.Slot, call ServiceCall) (types.ServiceAnswer, error) {
	if !call.Service.Repeatable && call.Key != "" {
		return p.callWithKey(ctx, slot, call)
	}
	if err := p.chargeCall(ctx, slot, call); err != nil {
		return types.ServiceAnswer{}, err
	}
	body := Body{Key: ident.RandomID(), Input: call.Body}
	if call.Key != "" {
		body.Key = scopedKey(call)
	}
	send := p.replicas.SendRepeatable
	if !call.Service.Repeatable {
		send = p.replicas.SendOnce
	}
	output, err := send(ctx, call.Service, call.Input, body)
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	return types.ServiceAnswer{ID: body.Key, Output: output}, nil
}

// scopedKey returns the key under which the call is logged and sent: the caller's key, prefixed
// with its workspace.
func scopedKey(call ServiceCall) string {
	return call.Input.Workspace + "/" + call.Key
}

// chargeCall charges the program for a call that has no intent, before it is sent.
func (p *Plain) chargeCall(ctx context.Context, slot ident.Slot, call ServiceCall) error {
	if call.Program == "" || call.Service.Price == 0 {
		return nil
	}
	intent := types.Intent{Workspace: call.Input.Workspace, Program: call.Program}
	req := desk.CallRequest{Intent: intent, Price: call.Service.Price, GrantChunk: call.GrantChunk}
	ticket, err := p.owner.Do(ctx, slot, desk.Durable, func(now time.Time, s *desk.OwnerState) ([]types.Record, error) {
		adopted, err := adoptContinuation(s, call.Continuation)
		if err != nil {
			return nil, err
		}
		recs, err := s.ChargeCall(now, req)
		return append(adopted, recs...), err
	})
	if err != nil {
		return err
	}
	return p.awaitLog(ctx, ticket)
}

func adoptContinuation(s *desk.OwnerState, cont *types.Continuation) ([]types.Record, error) {
	if cont == nil {
		return nil, nil
	}
	return s.Adopt(*cont)
}

func (p *Plain) awaitLog(ctx context.Context, ticket *desk.Ticket) error {
	ctx, stop := context.WithTimeout(ctx, intentTimeout)
	defer stop()
	return ticket.Wait(ctx)
}

func (p *Plain) callWithKey(ctx context.Context, slot ident.Slot, call ServiceCall) (types.ServiceAnswer, error) {
	hash := sha256.New()
	_, _ = hash.Write([]byte(call.Service.Name + "\x00"))
	_, _ = hash.Write(call.Body)
	intent := types.Intent{
		Key: scopedKey(call), Attempt: ident.RandomID(), Workspace: call.Input.Workspace, Service: call.Service.Name,
		Program: call.Program, RequestDigest: hash.Sum(nil), At: time.Now(),
	}
	run := newKeyedRun(intent.Attempt)
	var start desk.CallStart
	ticket, err := p.owner.Do(ctx, slot, desk.Durable, func(now time.Time, s *desk.OwnerState) ([]types.Record, error) {
		adopted, err := adoptContinuation(s, call.Continuation)
		if err != nil {
			return nil, err
		}
		var recs []types.Record
		start, recs, err = s.StartCall(now, desk.CallRequest{Intent: intent, Price: call.Service.Price, GrantChunk: call.GrantChunk})
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
		return p.storedAnswer(call, *start.Stored)
	case start.Unknown != nil:
		return p.resolveUnknown(ctx, slot, call, *start.Unknown)
	case start.Join != nil:
		joined, ok := start.Join.(*keyedRun)
		if !ok {
			return types.ServiceAnswer{}, fault.Fail(fault.Internal, "the running call has an unexpected type")
		}
		return joined.join(ctx)
	}
	p.runsInFlight.Go(func() { p.dispatchOnce(slot, call, start.Run, run, ticket) })
	return run.wait(ctx)
}

// dispatchOnce waits until the log has confirmed the intent, dispatches the call once if a caller
// still waits, and logs the outcome.
func (p *Plain) dispatchOnce(slot ident.Slot, call ServiceCall, callRun *desk.CallRun, run *keyedRun, ticket *desk.Ticket) {
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
	out, err := p.replicas.SendOnce(ctx, call.Service, call.Input, Body{Key: callRun.Intent.Key, Input: call.Body})
	p.logOutcome(slot, call, callRun, run, out, err)
}

// logOutcome logs the outcome of a dispatched call and then answers the callers. A fault with
// NotRun frees the key; any other failure leaves the outcome unknown.
func (p *Plain) logOutcome(slot ident.Slot, call ServiceCall, callRun *desk.CallRun, run *keyedRun, out json.RawMessage, err error) {
	if err != nil {
		f := fault.From(err)
		p.finishCall(slot, callRun, types.Outcome{NotRun: f.NotRun, Unknown: !f.NotRun})
		if !f.NotRun {
			f = fault.Fail(fault.OutcomeUnknown, "the call was dispatched and its outcome is not known").WithCause(err)
		}
		run.finish(types.ServiceAnswer{}, f)
		return
	}
	sealed, err := p.seal(call, out)
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
	_, err := p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		return s.FinishCall(callRun, out), nil
	})
	if err != nil {
		p.counts.Count("plain.outcomes_unlogged", 1)
		p.logger.Info("plain: cannot log outcome", "attempt", out.Attempt, "error", err)
	}
}

func (p *Plain) seal(call ServiceCall, out json.RawMessage) ([]byte, error) {
	ring, err := p.sealer.Keyring()
	if err != nil {
		return nil, err
	}
	return ring.Seal(call.Input.Workspace, scopedKey(call), out)
}

func (p *Plain) storedAnswer(call ServiceCall, out types.Outcome) (types.ServiceAnswer, error) {
	ring, err := p.sealer.Keyring()
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	output, err := ring.Open(call.Input.Workspace, scopedKey(call), out.Sealed)
	if err != nil {
		return types.ServiceAnswer{}, fault.Fail(fault.OutcomeUnknown, "the stored answer cannot be opened").WithCause(err)
	}
	return types.ServiceAnswer{ID: out.Attempt, Output: output, Stored: true}, nil
}

// resolveUnknown probes the service for the outcome of an intent if the service has a probe
// path. It never runs the call again.
func (p *Plain) resolveUnknown(ctx context.Context, slot ident.Slot, call ServiceCall, intent types.Intent) (types.ServiceAnswer, error) {
	unknown := fault.Fail(fault.OutcomeUnknown, "the call was started and its outcome is not known")
	if call.Service.ProbePath == "" {
		return types.ServiceAnswer{}, unknown
	}
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	out, done, err := p.replicas.Probe(ctx, call.Service, call.Input, intent.Key)
	if err != nil || !done {
		return types.ServiceAnswer{}, unknown.WithCause(err)
	}
	sealed, err := p.seal(call, out)
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	outcome := types.Outcome{Key: intent.Key, Attempt: intent.Attempt, Status: 200, Sealed: sealed, At: time.Now()}
	_, err = p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		return s.ResolveCall(outcome), nil
	})
	if err != nil {
		p.logger.Debug("plain: cannot log probed outcome", "attempt", intent.Attempt, "error", err)
	}
	return types.ServiceAnswer{ID: intent.Attempt, Output: out, Stored: true}, nil
}
