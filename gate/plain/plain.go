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

// Owner decides on a slot's memory.
type Owner interface {
	Do(ctx context.Context, id ident.Slot, mode desk.Mode, op desk.Op) (*desk.Ticket, error)
}

// Replicas sends calls to services.
type Replicas interface {
	SendOnce(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error)
	SendRepeatable(ctx context.Context, svc types.Service, in types.RuleInput, body Body) (json.RawMessage, error)
	Probe(ctx context.Context, svc types.Service, in types.RuleInput, key string) (json.RawMessage, bool, error)
}

// Sealer encrypts what the log keeps.
type Sealer interface {
	Ring() (*seal.Keyring, error)
}

const (
	// intentWait bounds how long a caller waits for the log to hold the intent.
	intentWait  = 2 * time.Second
	outcomeWait = 2 * time.Second
	callTimeout = 30 * time.Second
	probeWait   = 2 * time.Second
)

// ServiceCall is a call to a tool or plain service.
type ServiceCall struct {
	Service types.Service
	Input   types.RuleInput
	// Key is empty for calls without one. It is the caller's, within its workspace.
	Key     string
	Program string
	Body    json.RawMessage
	Chunk   int64
	// Continuation is the program's opened continuation, if the caller sent one.
	Continuation *types.Continuation
}

// Plain is the service.
type Plain struct {
	owner  Owner
	pools  Replicas
	sealer Sealer
	counts Counts
	logger *slog.Logger
	done   sync.WaitGroup
}

// New makes the service.
func New(owner Owner, pools Replicas, sealer Sealer, counts Counts, logger *slog.Logger) *Plain {
	return &Plain{owner: owner, pools: pools, sealer: sealer, counts: counts, logger: logger}
}

// Start implements a service.
func (p *Plain) Start(context.Context) error {
	return nil
}

// Stop waits for the calls under way.
func (p *Plain) Stop(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		p.done.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return nil
}

// Call runs the call on the slot's owner.
func (p *Plain) Call(ctx context.Context, slot ident.Slot, ask ServiceCall) (types.ServiceAnswer, error) {
	if !ask.Service.Repeatable && ask.Key != "" {
		return p.keyed(ctx, slot, ask)
	}
	if err := p.pay(ctx, slot, ask); err != nil {
		return types.ServiceAnswer{}, err
	}
	body := Body{Key: ident.RandomID(), Input: ask.Body}
	if ask.Key != "" {
		body.Key = scoped(ask)
	}
	send := p.pools.SendRepeatable
	if !ask.Service.Repeatable {
		send = p.pools.SendOnce
	}
	out, err := send(ctx, ask.Service, ask.Input, body)
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	return types.ServiceAnswer{ID: body.Key, Output: out}, nil
}

// scoped is the key as the log and the service see it.
func scoped(ask ServiceCall) string {
	return ask.Input.Workspace + "/" + ask.Key
}

// pay charges a call without an intent before it is sent.
func (p *Plain) pay(ctx context.Context, slot ident.Slot, ask ServiceCall) error {
	if ask.Program == "" || ask.Service.Price == 0 {
		return nil
	}
	intent := types.Intent{Workspace: ask.Input.Workspace, Program: ask.Program}
	price := desk.CallAsk{Intent: intent, Price: ask.Service.Price, Chunk: ask.Chunk}
	ticket, err := p.owner.Do(ctx, slot, desk.Durable, func(now time.Time, d *desk.Desk) ([]types.Record, error) {
		adopted, err := adopt(d, ask.Continuation)
		if err != nil {
			return nil, err
		}
		recs, err := d.PayCall(now, price)
		return append(adopted, recs...), err
	})
	if err != nil {
		return err
	}
	return p.logged(ctx, ticket)
}

func adopt(d *desk.Desk, cont *types.Continuation) ([]types.Record, error) {
	if cont == nil {
		return nil, nil
	}
	return d.Adopt(*cont)
}

func (p *Plain) logged(ctx context.Context, ticket *desk.Ticket) error {
	ctx, stop := context.WithTimeout(ctx, intentWait)
	defer stop()
	return ticket.Wait(ctx)
}

func (p *Plain) keyed(ctx context.Context, slot ident.Slot, ask ServiceCall) (types.ServiceAnswer, error) {
	sum := sha256.New()
	_, _ = sum.Write([]byte(ask.Service.Name + "\x00"))
	_, _ = sum.Write(ask.Body)
	intent := types.Intent{
		Key: scoped(ask), Attempt: ident.RandomID(), Workspace: ask.Input.Workspace, Service: ask.Service.Name,
		Program: ask.Program, RequestDigest: sum.Sum(nil), At: time.Now(),
	}
	fl := newFlight(intent.Attempt)
	var start desk.CallStart
	ticket, err := p.owner.Do(ctx, slot, desk.Durable, func(now time.Time, d *desk.Desk) ([]types.Record, error) {
		adopted, err := adopt(d, ask.Continuation)
		if err != nil {
			return nil, err
		}
		var recs []types.Record
		start, recs, err = d.StartCall(now, desk.CallAsk{Intent: intent, Price: ask.Service.Price, Chunk: ask.Chunk})
		if start.Run != nil {
			start.Run.Run = fl
		}
		return append(adopted, recs...), err
	})
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	switch {
	case start.Stored != nil:
		return p.stored(ask, *start.Stored)
	case start.Unknown != nil:
		return p.unknown(ctx, slot, ask, *start.Unknown)
	case start.Join != nil:
		joined, ok := start.Join.(*flight)
		if !ok {
			return types.ServiceAnswer{}, fault.Fail(fault.Internal, "the run is of another kind")
		}
		return joined.join(ctx)
	}
	p.done.Go(func() { p.fly(slot, ask, start.Run, fl, ticket) })
	return fl.wait(ctx)
}

// fly waits for the log to hold the intent, dispatches once, and logs the outcome.
func (p *Plain) fly(slot ident.Slot, ask ServiceCall, callRun *desk.CallRun, fl *flight, ticket *desk.Ticket) {
	began := time.Now()
	<-ticket.Done()
	if err := ticket.Wait(context.Background()); err != nil {
		fl.finish(types.ServiceAnswer{}, fault.Refuse(fault.LogUnavailable, "the slot was lost before dispatch").WithRetryAfter(time.Second).WithCause(err))
		return
	}
	p.counts.Time("plain.intent_time", time.Since(began))
	if !fl.dispatch() {
		p.end(slot, callRun, types.Outcome{NotRun: true})
		fl.finish(types.ServiceAnswer{}, fault.Refuse(fault.DeadlineMissed, "all callers had gone before dispatch"))
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	out, err := p.pools.SendOnce(ctx, ask.Service, ask.Input, Body{Key: callRun.Intent.Key, Input: ask.Body})
	p.land(slot, ask, callRun, fl, out, err)
}

// land logs how the dispatched call ended, then tells the callers. A refusal with not_run
// frees the key; any other failure leaves the outcome unknown.
func (p *Plain) land(slot ident.Slot, ask ServiceCall, callRun *desk.CallRun, fl *flight, out json.RawMessage, err error) {
	if err != nil {
		f := fault.From(err)
		p.end(slot, callRun, types.Outcome{NotRun: f.NotRun, Unknown: !f.NotRun})
		if !f.NotRun {
			f = fault.Fail(fault.OutcomeUnknown, "the call was dispatched and its outcome is not known").WithCause(err)
		}
		fl.finish(types.ServiceAnswer{}, f)
		return
	}
	sealed, err := p.seal(ask, out)
	if err != nil {
		p.end(slot, callRun, types.Outcome{Unknown: true})
		fl.finish(types.ServiceAnswer{}, err)
		return
	}
	p.end(slot, callRun, types.Outcome{Status: 200, Sealed: sealed})
	fl.finish(types.ServiceAnswer{ID: callRun.Intent.Attempt, Output: out}, nil)
}

func (p *Plain) end(slot ident.Slot, callRun *desk.CallRun, out types.Outcome) {
	out.Key, out.Attempt, out.At = callRun.Intent.Key, callRun.Intent.Attempt, time.Now()
	ctx, stop := context.WithTimeout(context.Background(), outcomeWait)
	defer stop()
	_, err := p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		return d.FinishCall(callRun, out), nil
	})
	if err != nil {
		p.counts.Count("plain.outcomes_unlogged", 1)
		p.logger.Info("plain: outcome was not logged", "attempt", out.Attempt, "error", err)
	}
}

func (p *Plain) seal(ask ServiceCall, out json.RawMessage) ([]byte, error) {
	ring, err := p.sealer.Ring()
	if err != nil {
		return nil, err
	}
	return ring.Seal(ask.Input.Workspace, scoped(ask), out)
}

func (p *Plain) stored(ask ServiceCall, out types.Outcome) (types.ServiceAnswer, error) {
	ring, err := p.sealer.Ring()
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	plain, err := ring.Open(ask.Input.Workspace, scoped(ask), out.Sealed)
	if err != nil {
		return types.ServiceAnswer{}, fault.Fail(fault.OutcomeUnknown, "the stored answer cannot be opened").WithCause(err)
	}
	return types.ServiceAnswer{ID: out.Attempt, Output: plain, Stored: true}, nil
}

// unknown settles an intent of which nobody here knows the outcome, if the service can
// be asked; it never runs the call again.
func (p *Plain) unknown(ctx context.Context, slot ident.Slot, ask ServiceCall, intent types.Intent) (types.ServiceAnswer, error) {
	failed := fault.Fail(fault.OutcomeUnknown, "the call was begun and its outcome is not known")
	if ask.Service.ProbePath == "" {
		return types.ServiceAnswer{}, failed
	}
	ctx, stop := context.WithTimeout(ctx, probeWait)
	defer stop()
	out, done, err := p.pools.Probe(ctx, ask.Service, ask.Input, intent.Key)
	if err != nil || !done {
		return types.ServiceAnswer{}, failed.WithCause(err)
	}
	sealed, err := p.seal(ask, out)
	if err != nil {
		return types.ServiceAnswer{}, err
	}
	settled := types.Outcome{Key: intent.Key, Attempt: intent.Attempt, Status: 200, Sealed: sealed, At: time.Now()}
	_, err = p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		return d.SettleCall(settled), nil
	})
	if err != nil {
		p.logger.Debug("plain: probed outcome was not logged", "attempt", intent.Attempt, "error", err)
	}
	return types.ServiceAnswer{ID: intent.Attempt, Output: out, Stored: true}, nil
}
