package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica has begun to work on.
type run struct {
	id, program, previous string
	body                  []byte
	at                    time.Time
	// events is the number of events that the replica has made.
	events int
}

// replica is a stand-in of a replica of a model or of a plain service.
type replica struct {
	id, service, zone, addr string
	slots                   int
	// events is the number of events of an answer, gap the time before each; zero events stand for a plain service.
	events int
	gap    time.Duration
	// work is the time in nanoseconds that a plain request takes.
	work atomic.Int64

	busy chan struct{}

	mu      sync.Mutex
	runs    []*run
	running int
}

// newReplica starts a replica on a free port and lists it as ready.
func newReplica(ip string, s *store, id, service, zone string, slots, events int, gap time.Duration) (*replica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, addr: ln.Addr().String(), slots: slots, events: events, gap: gap, busy: make(chan struct{}, slots)}
	go func() { _ = http.Serve(ln, r) }()
	entry := map[string]any{"service": service, "address": r.addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
	if events > 0 {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	s.put("keyed.servers", id, entry)
	return r, nil
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Mulleingate-Request-Id")
	switch {
	case req.URL.Path == "/-/report":
		r.report(w)
		return
	case req.URL.Path == "/health":
		w.Header().Set("X-Mulleingate-Instance-Id", r.id)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Mulleingate-Request-Id", id)
	if want := req.Header.Get("X-Mulleingate-Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Mulleingate-Instance-Id", r.id)
		w.Header().Set("X-Mulleingate-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Mulleingate-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case r.busy <- struct{}{}:
		defer func() { <-r.busy }()
	default:
		w.Header().Set("X-Mulleingate-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	begun := r.begin(req, id, body)
	defer r.end()
	w.Header().Set("X-Mulleingate-Response-Signature", "signed-by-"+r.id)
	if r.events == 0 {
		select {
		case <-time.After(time.Duration(r.work.Load())):
			_, _ = io.WriteString(w, "done "+id)
		case <-req.Context().Done():
		}
		return
	}
	r.stream(w, req, id, begun)
}

func (r *replica) begin(req *http.Request, id string, body []byte) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	begun := &run{id: id, program: req.Header.Get("X-Mulleingate-Program-Id"), previous: req.Header.Get("X-Mulleingate-Previous-Turn"), body: body, at: time.Now()}
	r.runs = append(r.runs, begun)
	r.running++
	return begun
}

func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// stream answers with events of eventText until the caller leaves.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, id string, begun *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := 1; n <= r.events; n++ {
		select {
		case <-time.After(r.gap):
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n)); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = flush.Flush()
		r.mu.Lock()
		begun.events = n
		r.mu.Unlock()
	}
}

// eventText is the data of an event of the answer to a request.
func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waiting_requests": 0, "running_requests": running, "kv_cache_used": 10 * running, "kv_cache_total": 211374, "handles": 0,
	})
}
