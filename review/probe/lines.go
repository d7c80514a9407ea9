package main

import (
	"fmt"
	"sync"
	"time"
)

// usualMachine is a machine of sites/bloedplan.toml, and slowMachine one of demands/catastro-visor-grown.toml.
var (
	usualMachine = machine{boxes: 3, memoryMB: 144, parts: 24, recoveryS: 12, cores: 0.8, linkMbps: 1000}
	slowMachine  = machine{boxes: 3, memoryMB: 112, parts: 24, recoveryS: 15, cores: 0.192, linkMbps: 30}
)

var zones = []string{"hall-gent", "hall-mechelen", "hall-namur"}

const (
	streamBudget = 5 * time.Second
	retention    = 60 * time.Second
	stride       = 3
	toolReplicas = 25
	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 4
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

// talk returns the next turn of the line.
func talk(l *line, input []byte) request {
	return request{
		method: "POST", path: "/lohu930/4b", program: l.program, session: l.session, previous: l.last, body: input,
		budget: 100000, promptTokens: 2560 + (len(l.text)+len(input))/bytesPerToken, most: 45, timeBudget: streamBudget, programLeft: 40 * time.Second,
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
