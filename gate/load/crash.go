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
	maxRequestsPerMessage = 30
	// ackTimeout is how long SendCrash waits for the acknowledgements of one attempt, and ackAttempts how often it sends a
	// message to boxes that do not acknowledge it.
	ackTimeout  = 25 * time.Millisecond
	ackAttempts = 3
)

// delivery is a message that boxes have yet to acknowledge.
type delivery struct {
	msg message
	// boxes holds them by name.
	boxes map[string]work.Box
	// done is closed once all have acknowledged the message.
	done chan struct{}
}

// SendCrash tells all live boxes of the crash of a replica. It returns once they know, or soon after if some of them do
// not respond; repeatCrashes makes up for that.
func (w *Watch) SendCrash(report crash.Report) {
	var all []*delivery
	for _, part := range split(report) {
		all = append(all, w.newDelivery(message{From: w.self.Name, Crash: &part}))
	}
	for range ackAttempts {
		deadline := time.After(ackTimeout)
		for _, d := range all {
			w.sendAll(w.missing(d), d.msg)
		}
		if awaitAll(all, deadline) {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range all {
		delete(w.unacknowledged, d.msg.ID)
	}
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

// newDelivery registers a message that all other live boxes are to acknowledge.
func (w *Watch) newDelivery(msg message) *delivery {
	d := &delivery{msg: msg, boxes: map[string]work.Box{}, done: make(chan struct{})}
	for _, box := range w.otherBoxes() {
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

// repeatCrashes tells a random box of the crashes that it may not know, since it started or was reached only after them.
// Within a few ticks all boxes know them.
func (w *Watch) repeatCrashes() {
	reports := w.crashes.Recent()
	if len(reports) == 0 {
		return
	}
	others := w.otherBoxes()
	if len(others) == 0 {
		return
	}
	to := others[rand.IntN(len(others))]
	for _, report := range reports {
		for _, part := range split(report) {
			w.sendAll([]work.Box{to}, message{Crash: &part})
		}
	}
}

// otherBoxes returns the other live boxes.
func (w *Watch) otherBoxes() []work.Box {
	return slices.DeleteFunc(slices.Clone(w.boxes.Live()), func(box work.Box) bool { return box.Name == w.self.Name })
}
