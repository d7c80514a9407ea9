package load

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/work"
)

const (
	// maxRequestsPerMessage is the number of requests in one message about a crash, so that it fits into maxDatagram.
	maxRequestsPerMessage = 24
	// ackTimeout is how long SendCrash waits for the acknowledgements of one attempt, and ackAttempts how often it sends a
	// message to boxes that do not acknowledge it. A caller waits for both together if a box does not respond.
	ackTimeout  = 25 * time.Millisecond
	ackAttempts = 10
)

// delivery is a message that boxes have yet to acknowledge.
type delivery struct {
	msg message
	// boxes holds them by name.
	boxes map[string]work.Box
	// done is closed once all have acknowledged the message.
	done chan struct{}
}

// SendCrash tells all boxes that may serve callers of the crash of a replica. It returns once they know, or soon after if
// some of them do not respond; repeatCrashes makes up for that.
func (w *Watch) SendCrash(report crash.Report) {
	w.deliver(w.otherBoxes(), []crash.Report{report})
}

// deliver sends the reports to the boxes until these have acknowledged them, and reports whether all have.
func (w *Watch) deliver(boxes []work.Box, reports []crash.Report) bool {
	var all []*delivery
	for _, report := range reports {
		for _, part := range split(report) {
			all = append(all, w.newDelivery(boxes, message{From: w.self.Name, Crash: &part}))
		}
	}
	delivered := false
	for range ackAttempts {
		deadline := time.After(ackTimeout)
		for _, d := range all {
			w.sendAll(w.missing(d), d.msg)
		}
		if delivered = awaitAll(all, deadline); delivered {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range all {
		delete(w.unacknowledged, d.msg.ID)
		if len(d.boxes) > 0 {
			missing := slices.Sorted(maps.Keys(d.boxes))
			w.log.Info("load: boxes did not acknowledge a crash", "replica", d.msg.Crash.Replica, "boxes", len(missing), "first", missing[0])
		}
	}
	return delivered
}

// split divides a report into such that fit into one message each.
func split(report crash.Report) []crash.Report {
	var parts []crash.Report
	for reqs := range slices.Chunk(report.Requests, maxRequestsPerMessage) {
		part := report
		part.Requests = reqs
		parts = append(parts, part)
	}
	return parts
}

// newDelivery registers a message that the boxes are to acknowledge.
func (w *Watch) newDelivery(boxes []work.Box, msg message) *delivery {
	d := &delivery{msg: msg, boxes: map[string]work.Box{}, done: make(chan struct{})}
	for _, box := range boxes {
		d.boxes[box.Name] = box
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	d.msg.ID = w.lastID
	w.unacknowledged[d.msg.ID] = d
	if len(d.boxes) == 0 {
		close(d.done)
	}
	return d
}

// missing returns the boxes that have not acknowledged the message.
func (w *Watch) missing(d *delivery) []work.Box {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(d.boxes))
}

// awaitAll waits until all messages are acknowledged. It returns false at the deadline.
func awaitAll(all []*delivery, deadline <-chan time.Time) bool {
	for _, d := range all {
		select {
		case <-d.done:
		case <-deadline:
			return false
		}
	}
	return true
}

// acknowledged handles the acknowledgement of a message.
func (w *Watch) acknowledged(msg message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d, ok := w.unacknowledged[msg.Acknowledged]
	if !ok {
		return
	}
	if _, ok := d.boxes[msg.From]; !ok {
		return
	}
	if delete(d.boxes, msg.From); len(d.boxes) == 0 {
		close(d.done)
	}
}

// mergeCrash handles a report of a crash from another box.
func (w *Watch) mergeCrash(from netip.AddrPort, msg message) {
	w.crashes.Merge(*msg.Crash)
	if msg.ID == 0 {
		return
	}
	raw, err := encode(message{From: w.self.Name, Acknowledged: msg.ID})
	if err != nil {
		w.log.Error("load: cannot encode report", "cause", err)
		return
	}
	w.send(from, raw)
}

// repeatCrashes tells new boxes and a random other one of the crashes that they may not know, since they started or were
// reached only after them. Within a few ticks all boxes know them.
func (w *Watch) repeatCrashes() {
	reports, others := w.crashes.Recent(), w.otherBoxes()
	fresh := w.newBoxes(others)
	if len(reports) == 0 || len(others) == 0 {
		w.markInformed(fresh)
		return
	}
	if len(fresh) > 0 {
		go func() {
			if w.deliver(fresh, reports) {
				w.markInformed(fresh)
			}
		}()
		return
	}
	to := others[rand.IntN(len(others))]
	for _, report := range reports {
		for _, part := range split(report) {
			w.sendAll([]work.Box{to}, message{Crash: &part})
		}
	}
}

// BoxesChanged tells boxes that have joined of the crashes that the others know.
func (w *Watch) BoxesChanged() {
	if len(w.newBoxes(w.otherBoxes())) > 0 {
		w.repeatCrashes()
	}
}

// newBoxes returns the boxes that have not been told of earlier crashes, and forgets those that are gone.
func (w *Watch) newBoxes(others []work.Box) []work.Box {
	w.mu.Lock()
	defer w.mu.Unlock()
	live := map[work.Box]bool{}
	var fresh []work.Box
	for _, box := range others {
		live[box] = true
		if !w.informed[box] {
			fresh = append(fresh, box)
		}
	}
	maps.DeleteFunc(w.informed, func(box work.Box, _ bool) bool { return !live[box] })
	return fresh
}

// markInformed records that the boxes know of earlier crashes.
func (w *Watch) markInformed(boxes []work.Box) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, box := range boxes {
		w.informed[box] = true
	}
}

// otherBoxes returns the other boxes that may serve callers.
func (w *Watch) otherBoxes() []work.Box {
	return slices.DeleteFunc(slices.Clone(w.boxes.Serving()), func(box work.Box) bool { return box.Name == w.self.Name })
}
