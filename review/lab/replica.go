package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of requests and answers.
const (
	requestID        = "X-Mulleingate-Request-Id"
	expectedInstance = "X-Mulleingate-Expected-Instance"
	notExecuted      = "X-Mulleingate-Not-Executed"
	signature        = "X-Mulleingate-Response-Signature"
	requestDeadline  = "X-Mulleingate-Request-Deadline"
	programID        = "X-Mulleingate-Program-Id"
	sessionID        = "X-Mulleingate-Session-Id"
	programDeadline  = "X-Mulleingate-Program-Deadline"
	tokenBudget      = "X-Mulleingate-Token-Budget"
	tokenUsage       = "X-Mulleingate-Token-Usage"
	previousTurn     = "X-Mulleingate-Previous-Turn"
)

// heartbeatInterval is the time between two check-ins of a replica.
const heartbeatInterval = 1200 * time.Millisecond

// run is a request that a replica has run.
type run struct {
	replica, service, request, path string
	bytes                           int
	digest                          string
	at                              time.Time
}

// replica is a stand-in of a replica.
type replica struct {
	id, service, zone, addr string
	// events is the number of events of an answer, zero for a plain service, and interval the time before each, or the
	// time that a plain request takes.
	events   int
	interval time.Duration
	rec      *record

	mu       sync.Mutex
	runs     []run
	running  int
	sequence int
}

// newReplica starts a replica on a free port of the address.
func newReplica(rec *record, ip, id, service, zone string, events int, interval time.Duration) (*replica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, addr: ln.Addr().String(), events: events, interval: interval, rec: rec}
	go func() { _ = http.Serve(ln, r) }() //nolint:gosec // a stand-in on loopback
	return r, nil
}

// entry returns the replica's own entry in the list.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": 1, "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence,
	}
}

// checkIn writes the replica's entry every heartbeatInterval until stop is closed.
func (r *replica) checkIn(s *store, stop <-chan struct{}) {
	for {
		s.put("keyed.servers", r.id, r.entry())
		select {
		case <-time.After(heartbeatInterval):
		case <-stop:
			return
		}
	}
}

// ran returns the requests that the replica has run.
func (r *replica) ran() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get(expectedInstance); want != "" && want != r.id {
		r.reject(w, req, http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/-/report":
		r.mu.Lock()
		running := r.running
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting_requests": 0, "running_requests": running, "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0,
		})
		return
	case "/health":
		w.Header().Set("X-Mulleingate-Instance-Id", r.id)
		return
	}
	if req.Header.Get(requestID) == "" {
		r.reject(w, req, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the caller has left
	}
	r.begin(req, body)
	defer r.end()
	w.Header().Set(requestID, req.Header.Get(requestID))
	w.Header().Set(signature, r.id+"."+strconv.Itoa(len(body)))
	if r.events == 0 {
		time.Sleep(r.interval)
		_, _ = io.WriteString(w, "done "+req.Header.Get(requestID)+" by "+r.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range r.events {
		time.Sleep(r.interval)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, eventData(req.Header.Get(requestID), n))
		w.(http.Flusher).Flush()
	}
}

// eventData returns the data of an event of the answer to a request.
func eventData(request string, n int) string { return fmt.Sprintf("%s-%d", request, n+1) }

func (r *replica) reject(w http.ResponseWriter, req *http.Request, status int) {
	w.Header().Set(requestID, req.Header.Get(requestID))
	w.Header().Set(notExecuted, "1")
	w.WriteHeader(status)
}

func (r *replica) begin(req *http.Request, body []byte) {
	got := run{replica: r.id, service: r.service, request: req.Header.Get(requestID), path: req.RequestURI, bytes: len(body), digest: digest(body), at: time.Now()}
	r.mu.Lock()
	r.running++
	r.runs = append(r.runs, got)
	r.mu.Unlock()
	r.rec.log("replica %s of %s runs %s %s, %d bytes, digest %s", r.id, r.service, got.request, got.path, got.bytes, got.digest)
}

func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// digest returns the beginning of the SHA-256 of a body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:6])
}
