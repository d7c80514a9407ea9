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
	call    lease.Request
	rank    int64
	arrived time.Time
	reply   chan acquireReply
	// stop stops watching the caller's context.
	stop func() bool
	// replied is set once the reply is sent.
	replied bool
}

// respond sends the reply, unless one was sent.
func (r *request) respond(a acquireReply) {
	if r.replied {
		return
	}
	r.replied = true
	r.stop()
	r.reply <- a
}

// enqueue queues a call or refuses it at once.
func (l *Scheduler) enqueue(m acquireMsg) {
	now := time.Now()
	if err := l.checkAdmission(now, m.call); err != nil {
		l.counts.Count("admit.refused", 1)
		m.reply <- acquireReply{err: err}
		return
	}
	req := &request{call: m.call, rank: sched.Rank(l.opts.Order, m.call.Progress), arrived: now, reply: m.reply}
	req.stop = context.AfterFunc(m.ctx, func() { l.send(cancelMsg{req: req}) })
	l.queue = append(l.queue, req)
}

// checkAdmission refuses calls that have no usable engine or would wait too long.
func (l *Scheduler) checkAdmission(now time.Time, call lease.Request) error {
	permitted, usable := l.countEngines(call)
	if permitted == 0 && len(l.engines) > 0 {
		return fault.Refuse(fault.NoAllowedPlace, "the policy allows no target for the data")
	}
	if usable == 0 {
		return fault.Refuse(fault.NoTarget, "no allowed target currently serves the model").WithRetryAfter(time.Second)
	}
	if len(l.queue) >= maxQueue {
		return fault.Refuse(fault.Overloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	decision, after := l.queueFor(call).Decide(now, call.Deadline, call.NewProgram, l.opts.MaxWait)
	switch decision {
	case sched.RejectNewProgram:
		return fault.Refuse(fault.Overloaded, "no new programs are accepted under the current load").WithRetryAfter(after)
	case sched.RejectLate:
		return fault.Refuse(fault.DeadlineTooNear, "the deadline cannot be met").WithRetryAfter(after)
	default:
		return nil
	}
}

// queueFor returns the state of the queue as the call would find it on arrival.
func (l *Scheduler) queueFor(call lease.Request) sched.Queue {
	q := sched.Queue{ServiceTime: l.serviceTime, Backlog: time.Duration(math.MaxInt64)}
	for _, e := range l.engines {
		if !l.usable(e, call) {
			continue
		}
		q.Slots += max(1, e.limit.Limit())
		q.Backlog = min(q.Backlog, e.backlog())
	}
	rank := sched.Rank(l.opts.Order, call.Progress)
	for _, req := range l.queue {
		if req.rank >= rank {
			q.Ahead++
		}
	}
	return q
}

// cancel removes a call whose caller has gone or whose time is up from the queue.
func (l *Scheduler) cancel(req *request) {
	if i := slices.Index(l.queue, req); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		l.counts.Count("admit.timed_out", 1)
	}
	req.respond(acquireReply{err: fault.Refuse(fault.DeadlineMissed, "no target was free in time").WithRetryAfter(l.serviceTime)})
}

// dispatch places as many queued calls as it can, in order.
func (l *Scheduler) dispatch() {
	if len(l.queue) == 0 {
		return
	}
	now := time.Now()
	l.sortQueue(now)
	remaining := l.queue[:0]
	failed := 0
	for i, req := range l.queue {
		if failed > maxFailedPlacements {
			remaining = append(remaining, l.queue[i:]...)
			break
		}
		granted := l.place(now, req)
		if granted == nil {
			failed++
			remaining = append(remaining, req)
			continue
		}
		l.counts.Time("admit.wait", granted.Waited)
		req.respond(acquireReply{lease: granted})
	}
	clear(l.queue[len(remaining):])
	l.queue = remaining
}

// maxFailedPlacements bounds the calls in one pass over the queue that no engine can take.
const maxFailedPlacements = 32

// sortQueue orders the queue: starved calls first, then by priority, fair share and rank.
func (l *Scheduler) sortQueue(now time.Time) {
	sort.SliceStable(l.queue, func(i, j int) bool {
		return sched.Before(now, l.opts.StarvationAge, l.waitingCall(l.queue[i]), l.waitingCall(l.queue[j]))
	})
}

// waitingCall returns the properties of a request that determine its order.
func (l *Scheduler) waitingCall(r *request) sched.WaitingCall {
	return sched.WaitingCall{Arrived: r.arrived, Priority: r.call.Progress.Priority, Served: l.fairShare.Level(r.call.Input.Workspace), Rank: r.rank}
}
