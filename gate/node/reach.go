package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/ident"
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
	// mostAsked bounds the boxes that are asked. While the log is away every box asks at every look:
	// of 200 boxes that all ask all, each would send and answer 650 questions a second. Of sixteen, a box
	// that reaches a fifth of the fleet reaches eight less than once in a thousand looks.
	mostAsked = 16
)

// neighbours is the part of the view that a reach uses.
type neighbours interface {
	Live() []work.Box
	ReadAge() time.Duration
}

// pinger asks whether a box answers.
type pinger interface {
	Ping(ctx context.Context, box work.Box) bool
}

// reach finds out whether this box is cut off: it reaches neither the log nor half of the
// boxes that it asks. The log alone may be away for all; then nobody is better off with another box.
type reach struct {
	self   string
	boxes  neighbours
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

func newReach(self string, boxes neighbours, pinger pinger, logger *slog.Logger) *reach {
	return &reach{self: self, boxes: boxes, pinger: pinger, logger: logger}
}

// CutOff reports whether this box is cut off.
func (r *reach) CutOff() bool {
	return r.cut.Load()
}

// RetryDelay is when a caller that comes again is likely to meet a box that is not cut off.
func (r *reach) RetryDelay() time.Duration {
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

// count asks some boxes at once; this one counts as reached.
func (r *reach) count(ctx context.Context) (reached, all int) {
	ctx, stop := context.WithTimeout(ctx, reachWait)
	defer stop()
	boxes := r.sample()
	answers := make(chan bool, len(boxes))
	for _, box := range boxes {
		go func() { answers <- r.pinger.Ping(ctx, box) }()
	}
	reached = 1
	for range boxes {
		if <-answers {
			reached++
		}
	}
	return reached, 1 + len(boxes)
}

// asked is a box with its place among those of its availability zone, 0 to 1.
type asked struct {
	box   work.Box
	place float64
}

// sample returns the other boxes to ask, from each availability zone in proportion to its size: a cut
// runs along zones. They stay the same while the fleet does, so that connections to them are kept.
func (r *reach) sample() []work.Box {
	zones := map[string][]work.Box{}
	for _, box := range r.boxes.Live() {
		if box.Name != r.self {
			zones[box.Zone] = append(zones[box.Zone], box)
		}
	}
	var all []asked
	for _, boxes := range zones {
		name := func(i int) string { return boxes[i].Name }
		for place, i := range ident.RendezvousTop(r.self, len(boxes), name, mostAsked) {
			all = append(all, asked{box: boxes[i], place: (float64(place) + 0.5) / float64(len(boxes))})
		}
	}
	slices.SortFunc(all, func(a, b asked) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.box.Name, b.box.Name))
	})
	boxes := make([]work.Box, 0, mostAsked)
	for _, one := range all[:min(mostAsked, len(all))] {
		boxes = append(boxes, one.box)
	}
	return boxes
}
