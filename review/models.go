package main

import "time"

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
