package drain

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
)

// State tells how far the planned stop of a box has got. It is safe for concurrent use.
type State struct {
	schedule Schedule
	// begun ends at the signal to stop, and cut at Schedule.Cut.
	begun, cut       context.Context
	setBegun, setCut context.CancelFunc

	mu sync.Mutex
	// since is the time of the signal; zero before it.
	since time.Time
}

// New returns the state of a box that does not stop yet.
func New(schedule Schedule) *State {
	s := &State{schedule: schedule}
	s.begun, s.setBegun = context.WithCancel(context.Background())
	s.cut, s.setCut = context.WithCancel(context.Background())
	return s
}

// Begin records the signal to stop. Further signals change nothing.
func (s *State) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() {
		return
	}
	s.since = time.Now()
	s.setBegun()
	time.AfterFunc(s.schedule.Cut, s.setCut)
}

// Begun reports whether the box stops.
func (s *State) Begun() bool { return s.begun.Err() != nil }

// IsCut reports whether the calls in progress have been ended.
func (s *State) IsCut() bool { return s.cut.Err() != nil }

// Check returns a fault with NotRun if the box stops and must refuse a call with the given deadline that has not been
// passed on to a replica yet; see Schedule.RefuseAt. A zero deadline bounds nothing.
func (s *State) Check(deadline time.Time) error {
	if !s.Begun() || time.Now().Before(s.refuseAt(deadline)) {
		return nil
	}
	return refusal()
}

// refusal returns the fault of a call that the box refuses. It advises no delay, since any other box can take the call.
func refusal() error {
	return fault.Refuse(fault.Stopping, "the box stops before the call could end")
}

func (s *State) refuseAt(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if deadline.IsZero() {
		return s.since.Add(s.schedule.Serve)
	}
	return s.since.Add(s.schedule.RefuseAt(deadline.Sub(s.since)))
}

// WhileReading returns a context for reading the request of a call with the given deadline. It ends with the fault of
// Check once that refuses the call, so that a request that arrives slowly, or never ends, does not delay the stop.
func (s *State) WhileReading(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	if err := s.Check(deadline); err != nil {
		end(err)
	}
	undo := context.AfterFunc(s.begun, func() {
		refuse := time.NewTimer(time.Until(s.refuseAt(deadline)))
		defer refuse.Stop()
		select {
		case <-refuse.C:
			end(refusal())
		case <-ctx.Done():
		}
	})
	return ctx, func() { undo(); end(nil) }
}

// Run runs a call with a context that ends at Schedule.Cut. The fault of a call that was ended so does not say that its
// caller has left, so that the caller gets an answer.
func (s *State) Run(ctx context.Context, call func(context.Context) error) error {
	limited, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(s.cut, end)()
	err := call(limited)
	if err == nil || ctx.Err() != nil || limited.Err() == nil || !fault.Is(err, fault.CallerGone) {
		return err
	}
	return &fault.Fault{Kind: fault.TimedOut, Detail: "the box stopped before the answer", NotRun: fault.From(err).NotRun}
}
