package admit

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/limit"
	"mulleingate.dev/gate/sched"
)

// PlacementPolicy is the policy on where a program's data may be used, and the workspaces' fair shares.
type PlacementPolicy interface {
	// Allowed reports whether the policy allows the use of the data.
	Allowed(in types.RuleInput) bool
	// Share returns the weight of a workspace.
	Share(workspace string) int
}

// Counts receives metrics.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
	Gauge(name string, v int64)
}

// Options configure the scheduling of calls.
type Options struct {
	Strategy sched.Strategy
	Order    sched.Order
	// MaxWait is the expected wait above which new programs are refused.
	MaxWait time.Duration
	// StarvationAge is the wait after which a call goes ahead of all that have not waited as long as that.
	StarvationAge time.Duration
	// HoldCaches makes engines keep a program's cache between turns where that pays.
	HoldCaches bool
	// Seed makes random choices repeatable.
	Seed uint64
}

const (
	inboxSize = 1024
	// tickInterval bounds the delay until the end of an ejection takes effect, which no message announces.
	tickInterval       = 100 * time.Millisecond
	initialLimit       = 4
	limitHeadroom      = 4
	maxQueue           = 20_000
	slowdownGain       = 0.1
	serviceGain        = 0.05
	initialServiceTime = 200 * time.Millisecond
	// overloadedQueueShare is the queue length, as a share of the batch, above which an engine
	// counts as overloaded.
	overloadedQueueShare = 0.5
)

type message interface{ isMessage() }

// acquireMsg asks for a lease; the reply is sent on reply, which is buffered.
type acquireMsg struct {
	call  lease.Request
	ctx   context.Context
	reply chan acquireReply
}

type acquireReply struct {
	lease *lease.Lease
	err   error
}

type finishMsg struct {
	lease *lease.Lease
	res   lease.Result
}

// updateMsg carries a message of another service.
type updateMsg struct{ m lease.Message }

// cancelMsg reports that the context of a queued call has ended.
type cancelMsg struct{ req *request }

// queryMsg runs a function in the event loop.
type queryMsg struct{ run func(l *Scheduler) }

func (acquireMsg) isMessage() {}
func (finishMsg) isMessage()  {}
func (updateMsg) isMessage()  {}
func (cancelMsg) isMessage()  {}
func (queryMsg) isMessage()   {}

// Scheduler queues calls and assigns them to engines. Its methods are safe for concurrent use; the
// event loop alone uses the fields from rng to serviceTime.
type Scheduler struct {
	zone    string
	opts    Options
	places  PlacementPolicy
	counts  Counts
	logger  *slog.Logger
	inbox   chan message
	rng     *rand.Rand
	engines map[string]*engine
	// remoteStreams is the number of streams in flight by box and engine, from other boxes' heartbeats.
	remoteStreams map[string]map[string]int
	queue         []*request
	ejector       *limit.Ejector
	turnStats     *sched.TurnStats
	fairShare     *sched.FairShare
	// serviceTime is the moving average of the time for which a successful call holds its lease.
	serviceTime time.Duration

	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}
}

// New returns a Scheduler for a box in the availability zone.
func New(zone string, opts Options, places PlacementPolicy, counts Counts, logger *slog.Logger) *Scheduler {
	ctx, stop := context.WithCancel(context.Background())
	return &Scheduler{
		ctx: ctx, stop: stop, zone: zone, opts: opts, places: places, counts: counts, logger: logger,
		inbox: make(chan message, inboxSize), rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		engines: map[string]*engine{}, remoteStreams: map[string]map[string]int{}, ejector: limit.NewEjector(),
		turnStats: sched.NewTurnStats(), fairShare: sched.NewFairShare(places), serviceTime: initialServiceTime,
		done: make(chan struct{}),
	}
}

// Start starts the event loop.
func (l *Scheduler) Start(context.Context) error {
	go l.run()
	return nil
}

// Stop refuses all queued calls and stops the event loop.
func (l *Scheduler) Stop(context.Context) error {
	l.stop()
	<-l.done
	return nil
}

// Notify sends a message to the event loop. It drops the message once the loop is stopping.
func (l *Scheduler) Notify(m lease.Message) {
	l.send(updateMsg{m: m})
}

func (l *Scheduler) send(m message) {
	select {
	case l.inbox <- m:
	case <-l.ctx.Done():
	}
}

// Acquire waits for a lease on an engine. It refuses at once calls that cannot be served in
// time, and returns an error once ctx ends.
func (l *Scheduler) Acquire(ctx context.Context, call lease.Request) (*lease.Lease, error) {
	reply := make(chan acquireReply, 1)
	l.send(acquireMsg{call: call, ctx: ctx, reply: reply})
	select {
	case a := <-reply:
		return a.lease, a.err
	case <-l.ctx.Done():
		return nil, fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)
	}
}

func (l *Scheduler) run() {
	defer close(l.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.refuseAll()
			return
		case m := <-l.inbox:
			l.handle(m)
		case <-tick.C:
			l.counts.Gauge("admit.queue", int64(len(l.queue)))
		}
		l.drainInbox()
		l.dispatch()
	}
}

// drainInbox handles the messages that are waiting, so that the next decision uses them.
func (l *Scheduler) drainInbox() {
	for range inboxSize {
		select {
		case m := <-l.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

func (l *Scheduler) handle(m message) {
	switch m := m.(type) {
	case acquireMsg:
		l.enqueue(m)
	case finishMsg:
		l.finish(m)
	case cancelMsg:
		l.cancel(m.req)
	case updateMsg:
		l.applyUpdate(m.m)
	case queryMsg:
		m.run(l)
	}
}

func (l *Scheduler) refuseAll() {
	for _, req := range l.queue {
		req.respond(acquireReply{err: fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)})
	}
	l.queue = nil
}

func (l *Scheduler) applyUpdate(m lease.Message) {
	switch m := m.(type) {
	case lease.Report:
		l.applyReport(m)
	case lease.Targets:
		l.setTargets(m.List)
	case lease.Leaving:
		if e, ok := l.engines[m.Name]; ok {
			e.leaving = true
		}
	case lease.RemoteStreams:
		l.remoteStreams[m.Box] = m.Streams
	case lease.Dropped:
		if e, ok := l.engines[m.Target]; ok {
			delete(e.cached, m.Program)
		}
	case lease.Moved:
		l.moveCache(m)
	case lease.ForgetPrograms:
		l.forgetPrograms(m.Programs)
	case lease.CacheList:
		if e, ok := l.engines[m.Target]; ok {
			e.cached = m.Tokens
		}
	}
}
