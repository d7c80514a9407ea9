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
func (r *request) respond(reply acquireReply) {
	if r.replied {
		return
	}
	r.replied = true
	r.stop()
	r.reply <- reply
}

// enqueue queues a call or refuses it at once.
func (s *Scheduler) enqueue(m acquireMsg) {
	now := time.Now()
	if err := s.checkAdmission(now, m.call); err != nil {
		s.counts.Count("admit.refused", 1)
		m.reply <- acquireReply{err: err}
		return
	}
	req := &request{call: m.call, rank: sched.Rank(s.opts.Order, m.call.Progress), arrived: now, reply: m.reply}
	req.stop = context.AfterFunc(m.ctx, func() { s.send(cancelMsg{req: req}) })
	s.queue = append(s.queue, req)
}

// checkAdmission refuses calls that have no usable engine or would wait too long.
func (s *Scheduler) checkAdmission(now time.Time, call lease.Request) error {
	permitted, usable := s.countEngines(call)
	if permitted == 0 && len(s.engines) > 0 {
		return fault.Refuse(fault.NoAllowedPlace, "the policy allows no target for the data")
	}
	if usable == 0 {
		return fault.Refuse(fault.NoTarget, "no allowed target currently serves the model").WithRetryAfter(time.Second)
	}
	if len(s.queue) >= maxQueue {
		return fault.Refuse(fault.Overloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	decision, after := s.queueFor(call).Decide(now, call.Deadline, call.NewProgram, s.opts.MaxWait)
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
func (s *Scheduler) queueFor(call lease.Request) sched.Queue {
	q := sched.Queue{ServiceTime: s.serviceTime, Backlog: time.Duration(math.MaxInt64)}
	for _, e := range s.engines {
		if !s.usable(e, call) {
			continue
		}
		q.Slots += max(1, e.limit.Limit())
		q.Backlog = min(q.Backlog, e.backlog())
	}
	rank := sched.Rank(s.opts.Order, call.Progress)
	for _, req := range s.queue {
		if req.rank >= rank {
			q.Ahead++
		}
	}
	return q
}

// cancel removes a call from the queue after its context has ended.
func (s *Scheduler) cancel(req *request) {
	if i := slices.Index(s.queue, req); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.counts.Count("admit.timed_out", 1)
	}
	req.respond(acquireReply{err: fault.Refuse(fault.DeadlineMissed, "no target was free in time").WithRetryAfter(s.serviceTime)})
}

// dispatch places as many queued calls as it can, in order.
func (s *Scheduler) dispatch() {
	if len(s.queue) == 0 {
		return
	}
	now := time.Now()
	s.sortQueue(now)
	remaining := s.queue[:0]
	failed := 0
	for i, req := range s.queue {
		if failed > maxFailedPlacements {
			remaining = append(remaining, s.queue[i:]...)
			break
		}
		granted := s.place(now, req)
		if granted == nil {
			failed++
			remaining = append(remaining, req)
			continue
		}
		s.counts.Time("admit.wait", granted.Waited)
		req.respond(acquireReply{lease: granted})
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
}

// maxFailedPlacements bounds the number of calls that one pass over the queue tries to place
// without success.
const maxFailedPlacements = 32

// sortQueue orders the queue: starved calls first, then by priority, fair share and rank.
func (s *Scheduler) sortQueue(now time.Time) {
	sort.SliceStable(s.queue, func(i, j int) bool {
		return sched.Before(now, s.opts.StarvationAge, s.waitingCall(s.queue[i]), s.waitingCall(s.queue[j]))
	})
}

// waitingCall returns the properties of a request that determine its order.
func (s *Scheduler) waitingCall(r *request) sched.WaitingCall {
	return sched.WaitingCall{Arrived: r.arrived, Priority: r.call.Progress.Priority, Served: s.fairShare.Level(r.call.Input.Workspace), Rank: r.rank}
}
