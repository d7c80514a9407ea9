package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// usualMachine is a machine of sites/bloedplan.toml, and slowMachine one of demands/catastro-visor-grown.toml.
var (
	usualMachine = machine{boxes: 3, memoryMB: 144, parts: 24, cores: 0.8, linkMbps: 1000}
	slowMachine  = machine{boxes: 3, memoryMB: 112, parts: 24, cores: 0.192, linkMbps: 30}
)

var zones = []string{"hall-gent", "hall-mechelen", "hall-namur"}

const (
	streamBudget = 5 * time.Second
	retention    = 60 * time.Second
	recovery     = 12 * time.Second
	stride       = 3
	toolReplicas = 25
)

var (
	fleetsMu sync.Mutex
	fleets   []*fleet
)

// closeFleets ends all processes.
func closeFleets() {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	for _, f := range fleets {
		f.noteRuns()
		f.close()
	}
	fleets = nil
}

// deploy starts a small deployment with a route for turns and one for a tool.
func deploy(record *recorder, m machine, models, slots, events int, gap time.Duration) (*fleet, error) {
	f, err := newFleet(record, zones, m)
	if err != nil {
		return nil, err
	}
	fleetsMu.Lock()
	fleets = append(fleets, f)
	fleetsMu.Unlock()
	engine := map[string]any{"slots": slots, "kv_cache_tokens": 211374, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true, "stride": stride, "most": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}
	f.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-talk", "host": host, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 200, "priority": 1, "service": "huvo11a",
				"max_attempts": 2, "stateful": true, "retention_s": retention.Seconds(), "session_affinity": true, "resumable": false, "target_gap_ms": 400},
			map[string]any{"name": "r-send", "host": host, "path_prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 1200, "priority": 2, "service": "wuno96b",
				"max_attempts": 1},
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "connection_limit": 370, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": "wuno96b", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range models {
		r, err := newReplica(fmt.Sprintf("%s%d", f.prefix, 20+i), f.store, fmt.Sprintf("i-model%d", i), "huvo11a", zones[i%len(zones)], slots, events, gap)
		if err != nil {
			return nil, err
		}
		f.models = append(f.models, r)
	}
	for i := range toolReplicas {
		r, err := newReplica(fmt.Sprintf("%s%d", f.prefix, 60+i), f.store, fmt.Sprintf("i-tool%d", i), "wuno96b", zones[i%len(zones)], 6, 0, 0)
		if err != nil {
			return nil, err
		}
		f.tools = append(f.tools, r)
	}
	if err := f.startAll(f.boxes); err != nil {
		return nil, err
	}
	if err := f.awaitReady(f.boxes); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // the boxes claim their slots
	record.note("%d boxes are ready", len(f.boxes))
	return f, nil
}

// line is a line of turns as its client knows it.
type line struct {
	program, session, last string
	// text is the input and output of the chain so far.
	text []byte
}

// extend adds an answered turn to the line.
func (l *line) extend(id string, input []byte, got answer) {
	l.last = id
	l.text = append(append([]byte(nil), l.text...), input...)
	for _, event := range got.events {
		l.text = append(append(l.text, event...), '\n')
	}
}

const (
	// earlierTurns and inputBytes are the turns of the program of before and the length of their inputs: the most that
	// the sheet of the deployment allows.
	earlierTurns = 22
	inputBytes   = 31000
	// newPrograms is the number of programs that go on from it.
	newPrograms = 120
)

// copies checks that turns which got a whole answer are kept. After a final fault, new programs go on from a turn of
// before, more at once than a box has memory for the prompts of, so that some are asked to come again. A second such fault
// shows whether what these programs go on from is kept.
func copies(record *recorder, trouble bool) ([]string, error) {
	f, err := deploy(record, usualMachine, 6, 64, 11, 60*time.Millisecond)
	if err != nil {
		return nil, err
	}
	earlier := &line{program: newID(), session: newID()}
	for n := range earlierTurns {
		input := bytes.Repeat([]byte{byte('a' + n)}, inputBytes)
		got, id, _ := f.turn(talk(earlier, input), time.Time{})
		if !got.ok() {
			return nil, fmt.Errorf("turn %d of the program of before was not answered: %v", n, got)
		}
		earlier.extend(id, input, got)
	}
	record.note("the program of before has %d turns, %d bytes", earlierTurns, len(earlier.text))
	if trouble {
		if err := f.killAll(f.boxes); err != nil {
			return nil, err
		}
		if err := f.awaitReady(f.boxes); err != nil {
			return nil, err
		}
	}
	until := time.Now().Add(recovery)
	lines := make([]*line, newPrograms)
	refused := make([]int, newPrograms)
	forAll(newPrograms, func(n int) {
		l := &line{program: newID(), session: newID(), last: earlier.last, text: earlier.text}
		for step := range 2 {
			input := []byte(fmt.Sprintf("program %d, turn %d", n, step))
			got, id, all := f.turn(talk(l, input), until)
			for _, one := range all {
				if one.promised() {
					refused[n]++
				}
			}
			if !got.ok() {
				record.note("program %d gave up at turn %d: %v", n, step, got)
				return
			}
			l.extend(id, input, got)
		}
		lines[n] = l
	})
	begun, askedAgain := 0, 0
	for n, l := range lines {
		if l != nil {
			begun++
		}
		if refused[n] > 0 {
			askedAgain++
		}
	}
	record.note("%d of %d new programs have two turns, %d were asked to come again", begun, newPrograms, askedAgain)
	if begun < newPrograms/2 {
		return nil, fmt.Errorf("only %d new programs were served", begun)
	}
	if trouble {
		if err := f.killAll(f.boxes); err != nil {
			return nil, err
		}
		if err := f.awaitReady(f.boxes); err != nil {
			return nil, err
		}
	}
	until = time.Now().Add(recovery)
	var mu sync.Mutex
	var breaches []string
	served := 0
	forAll(newPrograms, func(n int) {
		l := lines[n]
		if l == nil {
			return
		}
		got, _, all := f.turn(talk(l, []byte("go on")), until)
		mu.Lock()
		defer mu.Unlock()
		if got.ok() {
			served++
		}
		for _, one := range all {
			if one.status == 404 || one.status == 410 {
				breaches = append(breaches, fmt.Sprintf("LOST: program %s got %d for its third turn; its previous turn %s got a whole answer less than %v ago", l.program, one.status, l.last, retention))
			}
		}
	})
	record.note("%d of %d third turns were served, %d got 404", served, begun, len(breaches))
	if wrong := f.wrongBodies(lines); wrong != "" {
		breaches = append(breaches, wrong)
	}
	if len(breaches) > 5 {
		breaches = append(breaches[:5], fmt.Sprintf("and %d more", len(breaches)-5))
	}
	return breaches, nil
}

// wrongBodies checks the bodies of the runs of the last turns.
func (f *fleet) wrongBodies(lines []*line) string {
	byID := map[string]*line{}
	for _, l := range lines {
		if l != nil {
			byID[l.last] = l
		}
	}
	for _, r := range f.models {
		r.mu.Lock()
		for _, begun := range r.runs {
			if l := byID[begun.previous]; l != nil && !bytes.Equal(begun.body, append(append([]byte(nil), l.text...), "go on"...)) {
				r.mu.Unlock()
				return fmt.Sprintf("UNASKED: the body of run %s is not the chain of %s", begun.id, begun.previous)
			}
		}
		r.mu.Unlock()
	}
	return ""
}

// talk returns the next turn of the line.
func talk(l *line, input []byte) request {
	return request{
		method: "POST", path: "/lohu930/" + strings.Repeat("4b", 1), program: l.program, session: l.session, previous: l.last, body: input,
		budget: 100000, promptTokens: 2560 + len(l.text)/40, most: 45, timeBudget: streamBudget, programLeft: 40 * time.Second,
	}
}

// forAll calls do for the numbers below n at once.
func forAll(n int, do func(n int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { do(i) })
	}
	all.Wait()
}
