package shard

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// deliverWait is how long a box may take to write the records of a turn before the next is
	// asked beside it: a claim under way and a call to the log. A box that hangs must not keep
	// records from the one that holds the slot, nor may a slow write be given up: sent again, it
	// would queue behind itself.
	deliverWait = 700 * time.Millisecond
	// deliverMost bounds one question: the same with the longest call to the log.
	deliverMost = claimWait + callTimeout
	// ownerRanks is how many boxes are asked: the one that should own the slot, and those that
	// would without it, one of which holds the slot while another comes or goes.
	ownerRanks = 4
	// forwardPause is the time between two tries to give records to the next owner.
	forwardPause = 100 * time.Millisecond
)

// forward gives records to whoever owns the slot now, until ctx ends.
func (s *Shards) forward(ctx context.Context, number int, recs []work.Record) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f := &forwarding{shards: s, number: number, recs: recs, answers: make(chan reply), asked: map[string]bool{}}
	for {
		if f.round(ctx) {
			s.counts.Count("shard.forwarded", 1)
			return nil
		}
		if ctx.Err() != nil {
			return fault.Fail(fault.LogUnavailable, "no owner took the records").Because(f.last)
		}
		s.logger.Info("shard: records not given to the next owner", "slot", number, "cause", f.last)
	}
}

// reply is what a box has said to records.
type reply struct {
	box string
	err error
}

// forwarding is records on their way to the owner of a slot.
type forwarding struct {
	shards *Shards
	number int
	recs   []work.Record
	// answers takes the replies until the end of the context that the boxes were asked with.
	answers chan reply
	// asked holds the boxes that have not answered yet.
	asked map[string]bool
	last  error
}

// round asks the boxes that may hold the slot, the likeliest first, and reports whether one has
// written the records. It ends with a pause.
func (f *forwarding) round(ctx context.Context) bool {
	boxes := f.shards.boxes.Owners(f.shards.layout.Name(f.number), ownerRanks)
	if len(boxes) == 0 {
		f.last = fault.Refuse(fault.OwnerUnknown, "no box owns the slot")
	}
	for _, box := range boxes {
		if f.asked[box.Name] {
			continue
		}
		f.asked[box.Name] = true
		go f.ask(ctx, box)
		if f.await(ctx, box.Name, deliverWait) {
			return true
		}
	}
	return f.await(ctx, "", forwardPause)
}

// await waits for the box's answer, and returns true as soon as any box has written the records.
func (f *forwarding) await(ctx context.Context, box string, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case got := <-f.answers:
			delete(f.asked, got.box)
			if got.err == nil {
				return true
			}
			f.last = got.err
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

// ask has one box write the records.
func (f *forwarding) ask(ctx context.Context, box work.Box) {
	got := reply{box: box.Name, err: f.shards.deliverTo(ctx, box, f.number, f.recs)}
	select {
	case f.answers <- got:
	case <-ctx.Done():
	}
}

func (s *Shards) deliverTo(ctx context.Context, box work.Box, number int, recs []work.Record) error {
	ctx, stop := context.WithTimeout(ctx, deliverMost)
	defer stop()
	if box.Name == s.self.Name {
		return s.Deliver(ctx, number, recs)
	}
	return s.peers.Deliver(ctx, box, number, recs)
}
