package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/work"
)

const (
	// reachEvery is the time between two looks, and reachWait bounds one question.
	reachEvery = 300 * time.Millisecond
	reachWait  = 300 * time.Millisecond
	// readWithin is how old the last read of the log may be while all is well: a few reads,
	// each of a slow store.
	readWithin = 900 * time.Millisecond
	// aloneRetry is the advice of a box that reaches nobody: the next try meets another box.
	aloneRetry = 100 * time.Millisecond
	// balancerMoves is how long the balancer takes to send new connections elsewhere: it asks
	// every second and wants two misses. Boxes that are cut off together advise to wait for it.
	balancerMoves = 2100 * time.Millisecond
)

// boxes is the part of the view that a reach uses.
type boxes interface {
	Live() []work.Box
	ReadAge() time.Duration
}

// pinger asks whether a box answers.
type pinger interface {
	Ping(ctx context.Context, box work.Box) bool
}

// reach finds out whether this box is cut off: it reaches neither the log nor half of the
// boxes. The log alone may be away for all; then nobody is better off with another box.
type reach struct {
	self   string
	boxes  boxes
	pinger pinger
	logger *slog.Logger
	cut    atomic.Bool
	// since is when the box was found to be cut off, in nanoseconds of the Unix time.
	since atomic.Int64
	// alone says that no other box is reached.
	alone  atomic.Bool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newReach(self string, boxes boxes, pinger pinger, logger *slog.Logger) *reach {
	return &reach{self: self, boxes: boxes, pinger: pinger, logger: logger}
}

// CutOff reports whether this box is cut off.
func (r *reach) CutOff() bool {
	return r.cut.Load()
}

// Elsewhere is when a caller that comes again is likely to meet a box that is not cut off.
func (r *reach) Elsewhere() time.Duration {
	if r.alone.Load() {
		return aloneRetry
	}
	left := balancerMoves - time.Since(time.Unix(0, r.since.Load()))
	return max(left, aloneRetry)
}

// Start implements a service.
func (r *reach) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { kernel.Every(ctx, reachEvery, func() { r.look(ctx) }) })
	return nil
}

// Stop implements a service.
func (r *reach) Stop(context.Context) error {
	r.cancel()
	r.done.Wait()
	return nil
}

func (r *reach) look(ctx context.Context) {
	cut := false
	if age := r.boxes.ReadAge(); age > readWithin {
		reached, all := r.count(ctx)
		cut = 2*reached < all
		r.alone.Store(reached <= 1)
		if cut && !r.cut.Load() {
			r.since.Store(time.Now().UnixNano())
			r.logger.Warn("node: cut off", "log_silent", age, "reached", reached, "boxes", all)
		}
	}
	if was := r.cut.Swap(cut); was && !cut {
		r.logger.Info("node: cut off no longer")
	}
}

// count asks all boxes at once; this one counts as reached.
func (r *reach) count(ctx context.Context) (reached, all int) {
	ctx, stop := context.WithTimeout(ctx, reachWait)
	defer stop()
	live := r.boxes.Live()
	answers := make(chan bool, len(live))
	for _, box := range live {
		go func() { answers <- box.Name == r.self || r.pinger.Ping(ctx, box) }()
	}
	for range live {
		if <-answers {
			reached++
		}
	}
	return reached, len(live)
}
