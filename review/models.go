package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	modelReplicas, modelSlots, modelEvents, modelGapMillis = 9, 64, 8, 15
	// stride is the number of tokens of an event, and mostTokens the most of a turn.
	stride, mostTokens = 4, 136
	// tokenBudget is the budget of a program, turnBudget the time budget of a turn, and chatLeft the time that a program has.
	tokenBudget          = 40 * mostTokens
	turnBudget, chatLeft = 4 * time.Second, 60 * time.Second
	// firstPath and firstRank are the path and the rank of the route that every configuration has.
	firstPath = "/dispute/"
	firstRank = 0
	// programCallers is the number of callers that begin programs in each zone, programPause the mean pause of one between two,
	// and programInput the input of a turn, in bytes.
	programCallers = 3
	programPause   = 400 * time.Millisecond
	programInput   = 600
)

// startWithModels starts the store, the model replicas and the boxes, and waits until these are ready.
func (f *fleet) startWithModels() {
	f.startStore()
	putRoutes(f, 3)
	for n := range modelReplicas {
		f.startReplica(replicaSettings{Service: "agent-models", Zone: zones[n%len(zones)], Slots: modelSlots, Events: modelEvents, GapMillis: modelGapMillis})
	}
	f.startBoxes()
}

// modelService is the service of the model replicas.
var modelService = map[string]any{
	"name": "agent-models", "health_path": "/health", "connection_limit": 370, "protocol": "h1", "tls": false,
	"engine": map[string]any{"slots": modelSlots, "kv_cache_tokens": 342837, "kv_token_bytes": 18432, "link_mbps": 370000.0, "stride": stride, "models": []any{map[string]any{"name": "m"}}},
}

// putRoutes writes a configuration with the first route and, if given, one like it with other fields.
func putRoutes(f *fleet, version int, others ...map[string]any) {
	var routes []any
	for _, other := range append([]map[string]any{{}}, others...) {
		route := map[string]any{
			"name": "dispute-chat", "host": host, "path_prefix": firstPath, "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200, "priority": firstRank,
			"service": "agent-models", "max_attempts": 2, "stateful": true, "retention_s": 60.0, "session_affinity": true, "resumable": false, "target_gap_ms": 300,
		}
		for name, value := range other {
			route[name] = value
		}
		routes = append(routes, route)
	}
	f.put("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": []any{modelService}, "limits": usualLimits})
}

// served counts the requests on a route and those that got a replica's whole answer.
type served struct {
	mu          sync.Mutex
	sent, whole int
	statuses    map[int]int
}

func (s *served) add(replies []reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, got := range replies {
		s.sent++
		s.statuses[got.status]++
		if got.succeeded() {
			s.whole++
		}
	}
}

// count counts the attempts at one request, the last of which was served or not.
func (s *served) count(attempts int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent += attempts
	if ok {
		s.whole++
	}
}

// share returns the served share of the requests.
func (s *served) share() float64 { return float64(s.whole) / float64(max(s.sent, 1)) }

// beginPrograms begins programs of one turn on the routes for the given time.
func (f *fleet) beginPrograms(length time.Duration, routes map[string]*served) {
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for path, counts := range routes {
		for i, b := range f.boxes {
			boxes := append(append([]*box{}, f.boxes[i:]...), f.boxes[:i]...)
			for n := range programCallers {
				all.Go(func() {
					by := &caller{fleet: f, name: fmt.Sprintf("caller-%s-%d%s", b.zone, n+1, strings.TrimSuffix(path, "/"))}
					defer by.disconnect()
					for time.Now().Before(end) {
						counts.add(by.beginProgram(path, boxes))
						time.Sleep(time.Duration(rand.ExpFloat64() * float64(programPause)))
					}
				})
			}
		}
	}
	all.Wait()
}

// beginProgram sends the first turn of a new program, again from its start no more than twice if it fails, and returns all
// replies.
func (c *caller) beginProgram(path string, boxes []*box) []reply {
	program := fmt.Sprintf("%06x", rand.IntN(1<<24))
	input := strings.Repeat(program+" asks. ", programInput)[:programInput]
	var replies []reply
	for range 3 {
		replies = append(replies, c.call(request{
			method: http.MethodPost, path: path + "4b", body: input, budget: turnBudget, retries: 1,
			header: map[string]string{
				headerProgram: program, headerSession: program + "a1", headerModel: "m", headerLeft: fmt.Sprint(chatLeft.Milliseconds()),
				headerBudget: fmt.Sprint(tokenBudget), headerUsage: fmt.Sprintf("%d,%d", programInput, mostTokens), headerPrefix: fmt.Sprintf("5c1e07a2:512,%s:%d", program, programInput-512),
			},
		}, boxes)...)
		if replies[len(replies)-1].succeeded() {
			break
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return replies
}
