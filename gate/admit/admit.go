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

// PlacementPolicy is the policy on where a program's data may be used and on the workspaces' fair
// shares.
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
	// StarvationAge is the wait after which a call goes ahead of all calls with a shorter wait.
	StarvationAge time.Duration
	// HoldCaches makes engines keep a program's cache between turns if that is expected to save work.
	HoldCaches bool
	// Seed makes random choices repeatable.
	Seed uint64
}

const (
	inboxSize = 1024
	// tickInterval is the time between attempts to dispatch when no message arrives, since no
	// message announces the end of an ejection.
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
type queryMsg struct{ run func(s *Scheduler) }

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
	policy  PlacementPolicy
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
func New(zone string, opts Options, policy PlacementPolicy, counts Counts, logger *slog.Logger) *Scheduler {
	ctx, stop := context.WithCancel(context.Background())
	return &Scheduler{
		ctx: ctx, stop: stop, zone: zone, opts: opts, policy: policy, counts: counts, logger: logger,
		inbox: make(chan message, inboxSize), rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		engines: map[string]*engine{}, remoteStreams: map[string]map[string]int{}, ejector: limit.NewEjector(),
		turnStats: sched.NewTurnStats(), fairShare: sched.NewFairShare(policy), serviceTime: initialServiceTime,
		done: make(chan struct{}),
	}
}

// Start starts the event loop.
func (s *Scheduler) Start(context.Context) error {
	go s.run()
	return nil
}

// Stop refuses all queued calls and stops the event loop.
func (s *Scheduler) Stop(context.Context) error {
	s.stop()
	<-s.done
	return nil
}

// Notify sends a message to the event loop. It drops the message once the loop is stopping.
func (s *Scheduler) Notify(m lease.Message) {
	s.send(updateMsg{m: m})
}

func (s *Scheduler) send(m message) {
	select {
	case s.inbox <- m:
	case <-s.ctx.Done():
	}
}

// Acquire waits for a lease on an engine. It refuses at once calls that cannot be served in
// time, and returns an error once ctx ends.
func (s *Scheduler) Acquire(ctx context.Context, call lease.Request) (*lease.Lease, error) {
	reply := make(chan acquireReply, 1)
	s.send(acquireMsg{call: call, ctx: ctx, reply: reply})
	select {
	case r := <-reply:
		return r.lease, r.err
	case <-s.ctx.Done():
		return nil, fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)
	}
}

func (s *Scheduler) run() {
	defer close(s.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			s.refuseAll()
			return
		case m := <-s.inbox:
			s.handle(m)
		case <-tick.C:
			s.counts.Gauge("admit.queue", int64(len(s.queue)))
		}
		s.drainInbox()
		s.dispatch()
	}
}

// drainInbox handles the messages that are waiting, so that the next decision uses them.
func (s *Scheduler) drainInbox() {
	for range inboxSize {
		select {
		case m := <-s.inbox:
			s.handle(m)
		default:
			return
		}
	}
}

func (s *Scheduler) handle(m message) {
	switch m := m.(type) {
	case acquireMsg:
		s.enqueue(m)
	case finishMsg:
		s.finish(m)
	case cancelMsg:
		s.cancel(m.req)
	case updateMsg:
		s.applyUpdate(m.m)
	case queryMsg:
		m.run(s)
	}
}

func (s *Scheduler) refuseAll() {
	for _, req := range s.queue {
		req.respond(acquireReply{err: fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)})
	}
	s.queue = nil
}

func (s *Scheduler) applyUpdate(m lease.Message) {
	switch m := m.(type) {
	case lease.Report:
		s.applyReport(m)
	case lease.Targets:
		s.setTargets(m.List)
	case lease.EngineLeaving:
		if e, ok := s.engines[m.Name]; ok {
			e.leaving = true
		}
	case lease.RemoteStreams:
		s.remoteStreams[m.Box] = m.Streams
	case lease.CacheDropped:
		if e, ok := s.engines[m.Target]; ok {
			delete(e.cached, m.Program)
		}
	case lease.CacheMoved:
		s.moveCache(m)
	case lease.ForgetPrograms:
		s.forgetPrograms(m.Programs)
	case lease.CacheList:
		if e, ok := s.engines[m.Target]; ok {
			e.cached = m.Tokens
		}
	}
}
