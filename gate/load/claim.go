package load

import (
	"net/netip"
	"slices"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

const (
	// claimTimeout is how long Claim waits for the answer to one message, and claimAttempts how often it sends one.
	claimTimeout  = 25 * time.Millisecond
	claimAttempts = 3
)

// claimState is the state of a claim in a message.
type claimState string

const (
	claimAsked    claimState = "asked"
	claimGranted  claimState = "granted"
	claimDenied   claimState = "denied"
	claimReleased claimState = "released"
)

// claim is a message on the only trial of a request that may be in progress.
type claim struct {
	Request work.Fingerprint `json:"request"`
	Trial   uint64           `json:"trial"`
	State   claimState       `json:"state"`
}

// arbiterOf returns the box that decides which box may try the request. All boxes that see the same members agree on it.
func (w *Watch) arbiterOf(req work.Fingerprint) work.Box {
	boxes := w.boxes.Serving()
	names := make([]string, 0, len(boxes))
	for _, box := range boxes {
		names = append(names, box.Name)
	}
	chosen := ident.Rendezvous(string(req), names)
	if at := slices.Index(names, chosen); at >= 0 {
		return boxes[at]
	}
	return w.self
}

// Claim implements crash.Arbiter.
func (w *Watch) Claim(req work.Fingerprint, trial uint64) bool {
	box := w.arbiterOf(req)
	if box.Name == w.self.Name {
		return w.crashes.Grant(w.self.Name, req, trial)
	}
	answer := make(chan claimState, 1)
	w.mu.Lock()
	w.claims[trial] = answer
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.claims, trial)
	}()
	for range claimAttempts {
		w.sendClaim(box, claim{Request: req, Trial: trial, State: claimAsked})
		select {
		case state := <-answer:
			return state == claimGranted
		case <-time.After(claimTimeout):
		}
	}
	w.log.Info("load: box did not answer the claim of a trial", "box", box.Name, "request", req)
	return true
}

// Release implements crash.Arbiter.
func (w *Watch) Release(req work.Fingerprint, trial uint64) {
	box := w.arbiterOf(req)
	if box.Name == w.self.Name {
		w.crashes.Ungrant(req, trial)
		return
	}
	w.sendClaim(box, claim{Request: req, Trial: trial, State: claimReleased})
}

func (w *Watch) sendClaim(to work.Box, c claim) {
	w.sendAll([]work.Box{to}, message{From: w.self.Name, Claim: &c})
}

// handleClaim handles a message on a claim: the answer to one of this box, or a request to this box as the arbiter.
func (w *Watch) handleClaim(from netip.AddrPort, msg message) {
	c := *msg.Claim
	switch c.State {
	case claimGranted, claimDenied:
		w.mu.Lock()
		answer, ok := w.claims[c.Trial]
		delete(w.claims, c.Trial)
		w.mu.Unlock()
		if ok {
			answer <- c.State
		}
		return
	case claimReleased:
		w.crashes.Ungrant(c.Request, c.Trial)
		return
	case claimAsked:
	}
	c.State = claimDenied
	if w.crashes.Grant(msg.From, c.Request, c.Trial) {
		c.State = claimGranted
	}
	raw, err := encode(message{From: w.self.Name, Claim: &c})
	if err != nil {
		w.log.Error("load: cannot encode report", "cause", err)
		return
	}
	w.send(from, raw)
}
