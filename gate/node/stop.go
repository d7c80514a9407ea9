package node

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/drain"
	"mulleingate.dev/gate/entry"
	"mulleingate.dev/gate/relay"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// Stop performs a planned stop. While the box still serves, its slots are handed over and the load balancer
// takes it out; then its services stop and complete what they have accepted.
func (n *Node) Stop(ctx context.Context) error {
	n.drain.Begin()
	n.deps.Logger.Info("node: leaving", "ends_within", n.schedule.End)
	ctx, stop := context.WithTimeout(ctx, n.schedule.End)
	defer stop()
	acceptOver := time.After(n.schedule.Accept) // also runs while leave waits for the log
	n.leave(ctx)
	select {
	case <-acceptOver:
	case <-ctx.Done():
	}
	err := n.kern.Stop(ctx)
	n.deps.Logger.Info("node: stopped")
	return err
}

// Handle serves one call; see entry.Entry.Handle.
func (n *Node) Handle(ctx context.Context, call *work.Call, left time.Duration, out work.Answer) error {
	if n.feed.Config() != nil && !n.feed.Ready() {
		return fault.Refuse(fault.NoConfig, "the list of replicas is not known yet").WithRetryAfter(time.Second)
	}
	return n.drain.Run(ctx, func(ctx context.Context) error { return n.entry.Handle(ctx, call, left, out) })
}

// WhileReading returns a context for reading the body of a call of which the rest is known. It ends with a fault with
// NotRun once the box would refuse the call.
func (n *Node) WhileReading(ctx context.Context, call *work.Call, left time.Duration) (context.Context, context.CancelFunc) {
	return n.drain.WhileReading(ctx, n.entry.Deadline(call, left))
}

// forwardedTurns runs the turns that other boxes forward.
type forwardedTurns struct {
	*entry.Entry
	drain *drain.State
}

// RunHere implements remote.Turns. Another box may own the slot by now, or soon: the box that forwarded a turn that is
// refused here tries it there.
func (f forwardedTurns) RunHere(ctx context.Context, slot int, unreached []work.Box, call *work.Call, route *work.Route, out work.Answer) error {
	err := f.drain.Run(ctx, func(ctx context.Context) error { return f.Entry.RunHere(ctx, slot, unreached, call, route, out) })
	if fault.Is(err, fault.Stopping) && fault.From(err).NotRun {
		return fault.Refuse(fault.OwnerUnavailable, "the owner of the slot stops").WithCause(err)
	}
	return err
}

// drainSender refuses calls that have waited too long to be passed on in a planned stop, unless a replica may have run them.
type drainSender struct {
	relay.Sender
	drain *drain.State
}

// Send implements relay.Sender. The kind of its fault says nothing about the replica.
func (s drainSender) Send(ctx context.Context, lease *target.Lease, call *work.Call, left time.Duration) (work.Reply, error) {
	if err := s.drain.Check(call.Deadline); err != nil && !call.MayHaveRun {
		return work.Reply{}, fault.Refuse(fault.Overloaded, "the call has waited too long to be passed on").WithCause(err)
	}
	return s.Sender.Send(ctx, lease, call, left)
}
