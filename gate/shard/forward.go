package shard

import (
	"context"
	"slices"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// hedgeDelay is how long one box may take to write the records before the next candidate is asked as
	// well, so that a box that hangs does not delay delivery to the actual owner. It allows for a claim in
	// progress and a call to the log. A slow write is not repeated: a repeat would queue behind it.
	hedgeDelay = 700 * time.Millisecond
	// deliverTimeout bounds one delivery: a claim in progress and the longest call to the log.
	deliverTimeout = claimTimeout + callTimeout
	// maxCandidates is the number of boxes that are asked: the designated owner and the next in rank,
	// one of which holds the slot while boxes join or leave.
	maxCandidates = 4
	// forwardRetryDelay is the time between two attempts to deliver to the candidates.
	forwardRetryDelay = 100 * time.Millisecond
)

// forward delivers records to the current owner of the slot, retrying until ctx ends.
func (m *Manager) forward(ctx context.Context, number int, recs []work.Record) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f := &forwarder{manager: m, number: number, recs: recs, results: make(chan deliverResult), pending: map[string]bool{}}
	for {
		if f.tryCandidates(ctx) {
			m.counts.Count("shard.forwarded", 1)
			return nil
		}
		if ctx.Err() != nil {
			return fault.Fail(fault.LogUnavailable, "no owner accepted the records").WithCause(f.lastErr)
		}
		m.logger.Info("shard: failed to forward records to the slot's owner", "slot", number, "cause", f.lastErr)
		m.LookUpOwner(ctx, number) // it learns the owner, whom the next attempt asks first
	}
}

// deliverResult is the outcome of a delivery to one box.
type deliverResult struct {
	box string
	err error
}

// forwarder delivers the records of one turn to the owner of a slot.
type forwarder struct {
	manager *Manager
	number  int
	recs    []work.Record
	// results receives the outcomes. A delivery whose context has ended drops its outcome.
	results chan deliverResult
	// pending holds the names of the boxes that have not answered yet.
	pending map[string]bool
	lastErr error
}

// tryCandidates asks the boxes that may hold the slot, the most likely first, and reports whether one
// has written the records. A failed attempt ends with a delay of forwardRetryDelay.
func (f *forwarder) tryCandidates(ctx context.Context) bool {
	boxes := f.candidates()
	if len(boxes) == 0 {
		f.lastErr = fault.Refuse(fault.OwnerUnavailable, "no box owns the slot")
	}
	for _, box := range boxes {
		if f.pending[box.Name] {
			continue
		}
		f.pending[box.Name] = true
		go f.deliver(ctx, box)
		if f.waitForResult(ctx, box.Name, hedgeDelay) {
			return true
		}
	}
	return f.waitForResult(ctx, "", forwardRetryDelay)
}

// candidates returns the owner of the slot, if it is known, and the boxes that may hold it by their rank.
func (f *forwarder) candidates() []work.Box {
	boxes := f.manager.boxes.Owners(f.manager.layout.Name(f.number), maxCandidates)
	if owner, ok := f.manager.KnownOwner(f.number); ok {
		others := slices.DeleteFunc(slices.Clone(boxes), func(box work.Box) bool { return box.Name == owner.Box.Name })
		boxes = slices.Insert(others, 0, owner.Box)
	}
	return boxes
}

// waitForResult waits at most limit for the outcome at the given box. It returns true as soon as any
// box has written the records.
func (f *forwarder) waitForResult(ctx context.Context, box string, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case got := <-f.results:
			delete(f.pending, got.box)
			if got.err == nil {
				return true
			}
			f.lastErr = got.err
			f.manager.learnFrom(f.number, got.err)
			if got.box == box {
				return false
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// deliver sends the records to one box and reports the outcome.
func (f *forwarder) deliver(ctx context.Context, box work.Box) {
	got := deliverResult{box: box.Name, err: f.manager.deliverTo(ctx, box, f.number, f.recs)}
	select {
	case f.results <- got:
	case <-ctx.Done():
	}
}

func (m *Manager) deliverTo(ctx context.Context, box work.Box, number int, recs []work.Record) error {
	ctx, stop := context.WithTimeout(ctx, deliverTimeout)
	defer stop()
	if box.Name == m.self.Name {
		return m.Deliver(ctx, number, recs)
	}
	return m.peers.Deliver(ctx, box, number, recs)
}
