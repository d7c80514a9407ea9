package admit

import (
	"context"
	"math"
	"slices"
	"sort"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/sched"
)

// request is a call in the queue.
type request struct {
	ask     lease.Request
	rank    int64
	arrived time.Time
	reply   chan answer
	stop    func() bool
	done    bool
}

func (r *request) answer(a answer) {
	if r.done {
		return
	}
	r.done = true
	r.stop()
	r.reply <- a
}

func (l *Loop) enter(m askMsg) {
	now := time.Now()
	if err := l.early(now, m.ask); err != nil {
		l.counts.Count("admit.refused", 1)
		m.reply <- answer{err: err}
		return
	}
	req := &request{ask: m.ask, rank: sched.Rank(l.opts.Order, m.ask.Progress), arrived: now, reply: m.reply}
	req.stop = context.AfterFunc(m.ctx, func() { l.send(goneMsg{req: req}) })
	l.queue = append(l.queue, req)
}

// early refuses what has no allowed target, and what would wait too long.
func (l *Loop) early(now time.Time, ask lease.Request) error {
	places, live := l.allowed(ask)
	if places == 0 && len(l.engines) > 0 {
		return fault.Refuse(fault.NoAllowedPlace, "the policy allows no target for the data")
	}
	if live == 0 {
		return fault.Refuse(fault.NoTarget, "no allowed target serves the model now").WithRetryAfter(time.Second)
	}
	if len(l.queue) >= maxQueue {
		return fault.Refuse(fault.Overloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	decision, after := l.waiting(ask).Decide(now, ask.Deadline, ask.NewProgram, l.opts.MaxWait)
	switch decision {
	case sched.RejectNewProgram:
		return fault.Refuse(fault.Overloaded, "no new programs are taken now").WithRetryAfter(after)
	case sched.RejectLate:
		return fault.Refuse(fault.DeadlineTooNear, "the deadline cannot be met").WithRetryAfter(after)
	default:
		return nil
	}
}

// waiting is the queue as a call finds it that enters now.
func (l *Loop) waiting(ask lease.Request) sched.Queue {
	q := sched.Queue{ServiceTime: l.service, Backlog: time.Duration(math.MaxInt64)}
	for _, e := range l.engines {
		if !l.usable(e, ask) {
			continue
		}
		q.Slots += max(1, e.limit.Limit())
		q.Backlog = min(q.Backlog, e.backlog())
	}
	rank := sched.Rank(l.opts.Order, ask.Progress)
	for _, req := range l.queue {
		if req.rank >= rank {
			q.Ahead++
		}
	}
	return q
}

// leave takes a call out whose caller has gone or whose time is up.
func (l *Loop) leave(req *request) {
	if i := slices.Index(l.queue, req); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		l.counts.Count("admit.timed_out", 1)
	}
	req.answer(answer{err: fault.Refuse(fault.DeadlineMissed, "no target was free in time").WithRetryAfter(l.service)})
}

// serve places what can be placed, in order.
func (l *Loop) serve() {
	if len(l.queue) == 0 {
		return
	}
	now := time.Now()
	l.sortQueue(now)
	left := l.queue[:0]
	full := 0
	for i, req := range l.queue {
		if full > maxMisses {
			left = append(left, l.queue[i:]...)
			break
		}
		given := l.place(now, req)
		if given == nil {
			full++
			left = append(left, req)
			continue
		}
		l.counts.Time("admit.wait", given.Waited)
		req.answer(answer{lease: given})
	}
	clear(l.queue[len(left):])
	l.queue = left
}

// maxMisses bounds the calls looked at in vain in one round.
const maxMisses = 32

// sortQueue puts starved calls first, then goes by priority, the workspaces' fair shares and rank.
func (l *Loop) sortQueue(now time.Time) {
	sort.SliceStable(l.queue, func(i, j int) bool {
		return sched.Before(now, l.opts.Starve, l.seat(l.queue[i]), l.seat(l.queue[j]))
	})
}

// seat is what orders a request.
func (l *Loop) seat(r *request) sched.WaitingCall {
	return sched.WaitingCall{Arrived: r.arrived, Priority: r.ask.Progress.Priority, Served: l.fair.Level(r.ask.Input.Workspace), Rank: r.rank}
}
