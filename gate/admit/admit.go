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

// Places says where a use of a program's data is allowed.
type Places interface {
	Allowed(in types.RuleInput) bool
	Share(workspace string) int
}

// Counts receives figures.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
	Gauge(name string, v int64)
}

// Options are the ways to decide that can be compared with one another.
type Options struct {
	Strategy sched.Strategy
	Order    sched.Order
	// MaxWait is the longest expected wait at which a new program is still taken.
	MaxWait time.Duration
	// Starve is the wait after which a call goes before all others.
	Starve time.Duration
	// Holds turns holding of caches over pauses on.
	Holds bool
	Seed  uint64
}

const (
	inboxSize = 1024
	// tickEvery only bounds how late an ejection's end is seen; all else comes as a message.
	tickEvery    = 100 * time.Millisecond
	startLimit   = 4
	spareLimit   = 4
	maxQueue     = 20_000
	slowGain     = 0.1
	serviceGain  = 0.05
	firstService = 200 * time.Millisecond
	// queueShare is the queue, as a share of the batch, from which a target counts as crowded.
	queueShare = 0.5
)

type message interface{ isMessage() }

type askMsg struct {
	ask   lease.Request
	ctx   context.Context
	reply chan answer
}

type answer struct {
	lease *lease.Lease
	err   error
}

type finishMsg struct {
	lease *lease.Lease
	res   lease.Result
}

// toldMsg wraps what other services tell.
type toldMsg struct{ m lease.Message }

type goneMsg struct{ req *request }

type queryMsg struct{ run func(l *Loop) }

func (askMsg) isMessage()    {}
func (finishMsg) isMessage() {}
func (toldMsg) isMessage()   {}
func (goneMsg) isMessage()   {}
func (queryMsg) isMessage()  {}

// Loop is the service.
type Loop struct {
	zone    string
	opts    Options
	places  Places
	counts  Counts
	logger  *slog.Logger
	inbox   chan message
	rng     *rand.Rand
	engines map[string]*engine
	others  map[string]map[string]int
	queue   []*request
	eject   *limit.Ejector
	pauses  *sched.TurnStats
	fair    *sched.FairShare
	// service is the mean time that a call holds a place.
	service time.Duration

	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}
}

// New makes the service for a box in zone.
func New(zone string, opts Options, places Places, counts Counts, logger *slog.Logger) *Loop {
	ctx, stop := context.WithCancel(context.Background())
	return &Loop{
		ctx: ctx, stop: stop, zone: zone, opts: opts, places: places, counts: counts, logger: logger,
		inbox: make(chan message, inboxSize), rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		engines: map[string]*engine{}, others: map[string]map[string]int{}, eject: limit.NewEjector(),
		pauses: sched.NewTurnStats(), fair: sched.NewFairShare(places), service: firstService, done: make(chan struct{}),
	}
}

// Start begins the loop.
func (l *Loop) Start(context.Context) error {
	go l.run()
	return nil
}

// Stop ends the loop.
func (l *Loop) Stop(context.Context) error {
	l.stop()
	<-l.done
	return nil
}

// Tell sends a message to the loop.
func (l *Loop) Tell(m lease.Message) {
	l.send(toldMsg{m: m})
}

func (l *Loop) send(m message) {
	select {
	case l.inbox <- m:
	case <-l.ctx.Done():
	}
}

// Acquire waits for a place. It refuses early what cannot be served in time.
func (l *Loop) Acquire(ctx context.Context, ask lease.Request) (*lease.Lease, error) {
	reply := make(chan answer, 1)
	l.send(askMsg{ask: ask, ctx: ctx, reply: reply})
	select {
	case a := <-reply:
		return a.lease, a.err
	case <-l.ctx.Done():
		return nil, fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)
	}
}

func (l *Loop) run() {
	defer close(l.done)
	tick := time.NewTicker(tickEvery)
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
		l.drain()
		l.serve()
	}
}

// drain takes what else is in the inbox before a decision.
func (l *Loop) drain() {
	for range inboxSize {
		select {
		case m := <-l.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

func (l *Loop) handle(m message) {
	switch m := m.(type) {
	case askMsg:
		l.enter(m)
	case finishMsg:
		l.finish(m)
	case goneMsg:
		l.leave(m.req)
	case toldMsg:
		l.told(m.m)
	case queryMsg:
		m.run(l)
	}
}

func (l *Loop) refuseAll() {
	for _, req := range l.queue {
		req.answer(answer{err: fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)})
	}
	l.queue = nil
}

func (l *Loop) told(m lease.Message) {
	switch m := m.(type) {
	case lease.Report:
		l.report(m)
	case lease.Targets:
		l.targets(m.List)
	case lease.Leaving:
		if e, ok := l.engines[m.Name]; ok {
			e.leaving = true
		}
	case lease.RemoteStreams:
		l.others[m.Box] = m.Streams
	case lease.Dropped:
		if e, ok := l.engines[m.Target]; ok {
			delete(e.cached, m.Program)
		}
	case lease.Moved:
		l.moved(m)
	case lease.ForgetPrograms:
		l.forget(m.Programs)
	case lease.CacheList:
		if e, ok := l.engines[m.Target]; ok {
			e.cached = m.Tokens
		}
	}
}
