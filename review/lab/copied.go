package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// oldTurns is the number of turns of the program that others go on from, and oldInput the size of their inputs.
	oldTurns, oldInput = 4, 300 << 10
	// newPrograms is the number of programs that go on from it, and newFor the time in which they come: 10 turns a second for
	// each box, where the sheet of bloedplan has 12.
	newPrograms, newFor = 90, 3 * time.Second
	// copiedKeptFor is for how long turns are kept.
	copiedKeptFor = 120 * time.Second
	// turnEvents and turnInterval make an answer of about two seconds.
	turnEvents, turnInterval = 15, 120 * time.Millisecond
	// stride is the number of tokens in an event.
	stride = 3
)

// turn is a turn that a client has got a whole answer to, with the text of its chain.
type turn struct {
	id    string
	chain []byte
	at    time.Time
}

// sendTurn sends a turn as clients do: each try has an ID of its own; after a 503 it comes again on a new channel after
// the advised delay, and a turn that has failed is sent from its start twice more. It returns the status of the last try.
func (f *fleet) sendTurn(rng *rand.Rand, program string, number int, previous turn, input []byte) (turn, int) {
	status := 0
	for try := range 6 {
		r := request{
			id: fmt.Sprintf("%s-%d-%d", program, number, try), method: http.MethodPost, path: "/chat/turn", body: input,
			headers: map[string]string{
				programID: program, sessionID: program + "-line", programDeadline: "60000", tokenBudget: "10000",
				tokenUsage: fmt.Sprintf("%d,%d", (len(previous.chain)+len(input))/4, f.events*stride),
			},
		}
		if previous.id != "" {
			r.headers[previousTurn] = previous.id
		}
		got := f.send(f.boxes[rng.IntN(len(f.boxes))], r)
		status = got.status
		switch {
		case status == http.StatusOK && strings.Contains(got.body, eventData(r.id, f.events-1)):
			chain := bytes.Clone(previous.chain)
			chain = append(chain, input...)
			for n := range f.events {
				chain = append(chain, eventData(r.id, n)+"\n"...)
			}
			return turn{id: r.id, chain: chain, at: time.Now()}, status
		case status == http.StatusBadRequest || status == http.StatusPaymentRequired || status == http.StatusNotFound || status == http.StatusGone:
			return turn{}, status
		}
		time.Sleep(max(got.retryAfter, time.Duration(100+rng.IntN(300))*time.Millisecond))
	}
	return turn{}, status
}

// startModels starts a model replica in each zone and configures a stateful route to them, whose turns are kept for the given
// number of seconds.
func (f *fleet) startModels(zones []string, events int, interval time.Duration, retention float64) error {
	for n, zone := range zones {
		model, err := newReplica(f.rec, f.ip, fmt.Sprintf("i-model-%d", n+1), "models", zone, events, interval)
		if err != nil {
			return err
		}
		go model.checkIn(f.store, f.stop)
	}
	f.events = events
	f.store.put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 200,
			"target_gap_ms": 400, "priority": 0, "service": "models", "max_attempts": 2, "session_affinity": true, "stateful": true, "retention_s": retention,
		}},
		"services": []any{map[string]any{"name": "models", "connection_limit": 370, "engine": map[string]any{"slots": 64, "stride": stride, "kv_cache_tokens": 211374}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return nil
}

// copiedChain lets many programs go on from a turn of an earlier one at once, kills all boxes, and lets each go on from its
// own turn.
func copiedChain(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := f.startModels(zones, turnEvents, turnInterval, copiedKeptFor.Seconds()); err != nil {
		return nil, err
	}
	for range zones {
		if err := f.addBox(zones, memoryMB); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // not for secrets
	old := turn{}
	for n := range oldTurns {
		next, status := f.sendTurn(rng, "old", n, old, bytes.Repeat([]byte{byte('a' + n)}, oldInput))
		if next.id == "" {
			return nil, fmt.Errorf("turn %d of the first program ended with %d", n, status)
		}
		old = next
	}
	if err := f.restartAll(trouble); err != nil {
		return nil, err
	}
	first := f.sendTurns(1, func(int) turn { return old })
	if err := f.restartAll(trouble); err != nil {
		return nil, err
	}
	second := f.sendTurns(2, func(n int) turn { return first[n].turn })
	var found []string
	answered, went := 0, 0
	for n := range first {
		if first[n].turn.id == "" {
			continue
		}
		answered++
		switch second[n].status {
		case http.StatusOK:
			went++
		case http.StatusNotFound, http.StatusGone:
			if second[n].at.Sub(first[n].turn.at) >= copiedKeptFor {
				continue // it need not be kept any longer
			}
			found = append(found, fmt.Sprintf("LOST: the turn after %s, which got a whole answer %v before, got %d", first[n].turn.id, second[n].at.Sub(first[n].turn.at).Round(time.Millisecond), second[n].status))
		}
	}
	f.rec.log("%d programs went on from the turn of another one, %d of them went on from their own turn", answered, went)
	if answered < newPrograms/2 || (went == 0 && len(found) == 0) {
		return nil, fmt.Errorf("only %d turns were answered, and %d after them", answered, went)
	}
	return found, nil
}

// restartAll kills and starts all boxes if there is to be trouble.
func (f *fleet) restartAll(trouble bool) error {
	if !trouble {
		return nil
	}
	f.killAll()
	time.Sleep(time.Second)
	return f.startAll(10 * time.Second)
}

// ended is the end of a turn.
type ended struct {
	turn   turn
	status int
	at     time.Time
}

// sendTurns sends a turn of each new program at once. The programs without a previous turn send none.
func (f *fleet) sendTurns(number int, previous func(n int) turn) []ended {
	ends := make([]ended, newPrograms)
	var all sync.WaitGroup
	for n := range newPrograms {
		before := previous(n)
		if before.id == "" {
			continue
		}
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(number), uint64(n))) //nolint:gosec // not for secrets
			time.Sleep(rand.N(newFor))
			got, status := f.sendTurn(rng, fmt.Sprintf("new%d", n), number, before, []byte(fmt.Sprintf("input %d of %d\n", number, n)))
			ends[n] = ended{turn: got, status: status, at: time.Now()}
		})
	}
	all.Wait()
	return ends
}
