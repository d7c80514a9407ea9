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
	// checkInterval is the time between two checks. requestTimeout bounds the requests to other boxes.
	checkInterval  = 300 * time.Millisecond
	requestTimeout = 300 * time.Millisecond
	// maxReadAge is the age of the view above which the log counts as unreachable.
	maxReadAge = 900 * time.Millisecond
	// aloneRetryDelay is the Retry-After delay if no other box is reached: only this one is cut off, so that
	// a retry probably reaches another. It is also the least delay in other cases.
	aloneRetryDelay = 100 * time.Millisecond
	// balancerFailover is how long the load balancer takes to send new connections elsewhere: two failed health
	// checks, one second apart. If several boxes are cut off together, callers wait that long.
	balancerFailover = 2100 * time.Millisecond
	// maxPings bounds the boxes that are pinged in one check, since all boxes do so during an outage of the
	// log. It is large enough that a box in a minority partition rarely reaches half of its sample.
	maxPings = 16
)

// boxView is the part of view.View that cutOffDetector uses.
type boxView interface {
	Live() []work.Box
	ReadAge() time.Duration
}

// pinger checks whether a box responds.
type pinger interface {
	Ping(ctx context.Context, box work.Box) bool
}

// cutOffDetector detects whether this box is cut off: it reaches neither the log nor half of a sample of the
// boxes. If only the log is unreachable, it may be so for all boxes, and other boxes could serve callers no
// better.
type cutOffDetector struct {
	self   string
	boxes  boxView
	pinger pinger
	logger *slog.Logger
	cutOff atomic.Bool
	// cutOffSince is when the box was first found to be cut off, as a Unix time in nanoseconds.
	cutOffSince atomic.Int64
	// alone is set if the last pings reached no other box.
	alone  atomic.Bool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newCutOffDetector(self string, boxes boxView, pinger pinger, logger *slog.Logger) *cutOffDetector {
	return &cutOffDetector{self: self, boxes: boxes, pinger: pinger, logger: logger}
}

// CutOff reports whether this box is cut off.
func (d *cutOffDetector) CutOff() bool {
	return d.cutOff.Load()
}

// RetryDelay returns how long a caller should wait until a retry is likely to reach a box that is not cut off.
func (d *cutOffDetector) RetryDelay() time.Duration {
	if d.alone.Load() {
		return aloneRetryDelay
	}
	left := balancerFailover - time.Since(time.Unix(0, d.cutOffSince.Load()))
	return max(left, aloneRetryDelay)
}

// Start implements kernel.Service.
func (d *cutOffDetector) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() { kernel.Every(ctx, checkInterval, func() { d.check(ctx) }) })
	return nil
}

// Stop implements kernel.Service.
func (d *cutOffDetector) Stop(context.Context) error {
	d.cancel()
	d.done.Wait()
	return nil
}

func (d *cutOffDetector) check(ctx context.Context) {
	cutOff := false
	if age := d.boxes.ReadAge(); age > maxReadAge {
		reached, total := d.pingSample(ctx)
		cutOff = 2*reached < total
		d.alone.Store(reached <= 1)
		if cutOff && !d.cutOff.Load() {
			d.cutOffSince.Store(time.Now().UnixNano())
			d.logger.Warn("node: cut off from the log and most boxes", "log_silent", age, "reached", reached, "boxes", total)
		}
	}
	if was := d.cutOff.Swap(cutOff); was && !cutOff {
		d.logger.Info("node: no longer cut off")
	}
}

// pingSample pings a sample of the boxes concurrently. Both results include this box.
func (d *cutOffDetector) pingSample(ctx context.Context) (reached, total int) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	boxes := d.sample()
	answers := make(chan bool, len(boxes))
	for _, box := range boxes {
		go func() { answers <- d.pinger.Ping(ctx, box) }()
	}
	reached = 1
	for range boxes {
		if <-answers {
			reached++
		}
	}
	return reached, 1 + len(boxes)
}

// rankedBox is a box with its rendezvous rank among the boxes of its availability zone, scaled to 0 to 1.
type rankedBox struct {
	box  work.Box
	rank float64
}

// sample returns the other boxes to ping, from each availability zone in proportion to its size, since
// partitions tend to separate zones. The choice is stable while the fleet is, so that connections are reused.
func (d *cutOffDetector) sample() []work.Box {
	zones := map[string][]work.Box{}
	for _, box := range d.boxes.Live() {
		if box.Name != d.self {
			zones[box.Zone] = append(zones[box.Zone], box)
		}
	}
	var ranked []rankedBox
	for _, boxes := range zones {
		name := func(i int) string { return boxes[i].Name }
		for rank, i := range ident.RendezvousTop(d.self, len(boxes), name, maxPings) {
			ranked = append(ranked, rankedBox{box: boxes[i], rank: (float64(rank) + 0.5) / float64(len(boxes))})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedBox) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.box.Name, b.box.Name))
	})
	boxes := make([]work.Box, 0, maxPings)
	for _, next := range ranked[:min(maxPings, len(ranked))] {
		boxes = append(boxes, next.box)
	}
	return boxes
}
