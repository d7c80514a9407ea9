package view

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// pollResult is the result of a poll.
type pollResult struct {
	// own is the result of this box's own check.
	own Contact
	// asked is the number of witnesses, unreached and reached those that have answered that they do not or do reach
	// the suspect.
	asked, unreached, reached int
	// onlyGone is set if there is no witness in a third availability zone, though there are several zones;
	// thirdUnreached is set if a witness there does not reach the suspect. Otherwise only the link between the zones of
	// this box and the suspect may be broken.
	onlyGone, thirdUnreached bool
}

// confirms reports whether a failure is confirmed: this box does not reach the suspect, and neither does
// a majority of the asked boxes, of which those without an answer count as reaching it. A silent box must be silent to
// a third availability zone as well. If there is none, or no box to ask, only a box whose process is certainly gone counts
// as failed, since the link to it may be broken.
func (r pollResult) confirms() bool {
	if r.asked == 0 {
		return r.own == Gone
	}
	return (r.own == Gone || r.own == Silent && r.thirdUnreached && !r.onlyGone) && 2*r.unreached > r.asked
}

// refutes reports whether the failure can't be confirmed any more.
func (r pollResult) refutes() bool {
	return r.own == Answered || r.asked > 0 && 2*r.reached >= r.asked
}

// poll tries to connect to the suspect and, unless that answers within answerTime, asks the witnesses to. It ends
// early once the result is certain, and closes doubted if it is not after another answerTime.
func (f *Failover) poll(ctx context.Context, box work.Box, doubted chan struct{}) pollResult {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ownAnswer := make(chan Contact, 1)
	go func() { ownAnswer <- f.prober.Contact(ctx, box) }()
	var got pollResult
	select {
	case got.own = <-ownAnswer:
		if got.own != Gone && got.own != Silent {
			return got
		}
	case <-time.After(answerTime):
	case <-ctx.Done():
		return got
	}
	witnesses := chooseWitnesses(f.Live(), f.self, box, f.regions)
	got.asked = len(witnesses)
	inThird := f.thirdZone(box)
	got.onlyGone = !slices.ContainsFunc(witnesses, inThird)
	type answer struct {
		contact Contact
		third   bool
	}
	answers := make(chan answer, got.asked)
	for _, witness := range witnesses {
		go func() { answers <- answer{f.prober.AskContact(ctx, witness, box), inThird(witness)} }()
	}
	doubt := time.After(answerTime)
	for left := got.asked; (got.own == "" || left > 0) && !got.confirms() && !got.refutes(); {
		select {
		case got.own = <-ownAnswer:
			if got.own == Unknown {
				return got
			}
		case next := <-answers:
			left--
			got.count(next.contact, next.third)
		case <-doubt:
			close(doubted)
		case <-ctx.Done():
			return got
		}
	}
	return got
}

// thirdZone returns a function that reports whether a witness is in neither the zone of this box nor that of the suspect.
// If the live boxes of the region are all in one zone, no link between zones is involved, and it holds for all.
func (f *Failover) thirdZone(suspect work.Box) func(witness work.Box) bool {
	oneZone := !slices.ContainsFunc(f.Live(), func(box work.Box) bool {
		return box.Zone != suspect.Zone && f.regions[box.Zone] == f.regions[suspect.Zone]
	})
	return func(witness work.Box) bool {
		return oneZone || witness.Zone != f.self.Zone && witness.Zone != suspect.Zone
	}
}

// count adds the answer of a witness, which may be in a third zone.
func (r *pollResult) count(answer Contact, third bool) {
	switch answer {
	case Gone, Silent:
		r.unreached++
		r.thirdUnreached = r.thirdUnreached || third
	case Answered:
		r.reached++
	case Unknown:
	}
}

// chooseWitnesses returns the boxes to ask whether they reach the suspect: boxes of its region in all
// availability zones, at most maxZoneWitnesses in each, but only one in its own, since that zone may be cut off as a
// whole. Fast boxes come first, as their answers arrive in time.
func chooseWitnesses(live []work.Box, self, suspect work.Box, regions work.Regions) []work.Box {
	zones := map[string][]work.Box{}
	for _, box := range live {
		if box.Name != self.Name && box.Name != suspect.Name && regions[box.Zone] == regions[suspect.Zone] {
			zones[box.Zone] = append(zones[box.Zone], box)
		}
	}
	type candidate struct {
		box  work.Box
		rank int
	}
	var candidates []candidate
	for zone, boxes := range zones {
		weight := func(i int) (string, float64) { return boxes[i].Name, slotWeight(boxes[i]) }
		for rank, i := range ident.WeightedRendezvousTop(suspect.Name, len(boxes), weight, maxWitnesses) {
			if zone == suspect.Zone && len(zones) > 1 {
				if rank > 0 {
					break
				}
				rank = maxWitnesses / 3
			} else if len(zones) > 1 && rank >= maxZoneWitnesses {
				break
			}
			candidates = append(candidates, candidate{box: boxes[i], rank: rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.box.Name, b.box.Name))
	})
	var witnesses []work.Box
	for _, next := range candidates[:min(len(candidates), maxWitnesses)] {
		witnesses = append(witnesses, next.box)
	}
	return witnesses
}

// Witness tries to connect to the box on behalf of another one. It returns Unknown if this box may be cut off
// itself.
func (f *Failover) Witness(ctx context.Context, box work.Box) Contact {
	if !f.inContact() {
		return Unknown
	}
	return f.prober.Contact(ctx, box)
}
