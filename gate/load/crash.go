package load

import (
	"math/rand/v2"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/work"
)

// maxRequestsPerMessage is the number of requests in one message about a crash, so that it fits into maxDatagram.
const maxRequestsPerMessage = 30

// SendCrash tells all live boxes of the crash of a replica. It does not wait. Messages may be lost; repeatCrashes makes up
// for that.
func (w *Watch) SendCrash(report crash.Report) {
	go w.sendCrash(w.boxes.Live(), report)
}

// sendCrash sends the report to the boxes, in several messages if it is long.
func (w *Watch) sendCrash(boxes []work.Box, report crash.Report) {
	for reqs := report.Requests; len(reqs) > 0; {
		n := min(len(reqs), maxRequestsPerMessage)
		report.Requests, reqs = reqs[:n], reqs[n:]
		w.sendAll(boxes, message{Crash: &report})
	}
}

// repeatCrashes tells a random box of the crashes that it may not know, since it started or was reached only after them.
// Within a few ticks all boxes know them.
func (w *Watch) repeatCrashes() {
	reports := w.crashes.Recent()
	if len(reports) == 0 {
		return
	}
	var others []work.Box
	for _, box := range w.boxes.Live() {
		if box.Name != w.self.Name {
			others = append(others, box)
		}
	}
	if len(others) == 0 {
		return
	}
	to := others[rand.IntN(len(others))]
	for _, report := range reports {
		w.sendCrash([]work.Box{to}, report)
	}
}
