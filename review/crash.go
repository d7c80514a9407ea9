package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// callersPerZone is the number of callers in each availability zone.
	callersPerZone = 10
	// apiReplicas is the number of replicas of the plain service, and apiWorkMillis the mean time of a call there.
	apiReplicas, apiWorkMillis, apiSlots = 19, 78, 6
	// meanPause is the mean pause of a caller between two lookups.
	meanPause = 300 * time.Millisecond
	// usualTime is the time before the crash, downTime how long the replicas are down and recoveredTime the time after it.
	usualTime, downTime, recoveredTime = 8 * time.Second, 5 * time.Second, 25 * time.Second
	// lookupBudget is the time budget of a lookup.
	lookupBudget = 2 * time.Second
	// ownAccountEvery is the number of lookups of which one is of the caller's own account.
	ownAccountEvery = 5
)

// sharedAccount and ownAccount are the paths of lookups of the float that all callers use, and of a caller's account.
const (
	sharedAccount = "/balance/float"
	ownAccount    = "/balance/account-"
)

// lookups counts the attempts at lookups.
type lookups struct {
	mu sync.Mutex
	// sent and refused count all attempts, and those that a box refused for good.
	sent, refused int
	// after counts the attempts sent after the replicas were back, by whether the account is shared and by the result.
	after map[string]int
}

func (l *lookups) add(path string, recovered bool, replies []reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, got := range replies {
		l.sent++
		result := fmt.Sprintf("status %d", got.status)
		if got.refused() {
			l.refused++
			result += " of a box"
		}
		if recovered {
			kind := "own account: "
			if path == sharedAccount {
				kind = "shared account: "
			}
			l.after[kind+result]++
		}
	}
}

func init() { cases["2"] = crashedReplicas }

// crashedReplicas shows whether lookups are served again after all replicas of a service have crashed and started again.
func crashedReplicas(f *fleet) bool {
	f.startStore()
	f.put("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "balance-check", "host": host, "path_prefix": "/balance/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
			"service": "topup-api", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "topup-api", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}},
		"limits":   usualLimits,
	})
	replicas := startAPI(f)
	f.startBoxes()
	back, end := make(chan struct{}), make(chan struct{})
	counts := &lookups{after: map[string]int{}}
	var callers sync.WaitGroup
	for i, b := range f.boxes {
		for n := range callersPerZone {
			callers.Go(func() { lookUp(f, i, fmt.Sprintf("caller-%s-%d", b.zone, n+1), counts, back, end) })
		}
	}
	time.Sleep(usualTime)
	if f.trouble {
		f.note("driver", "all replicas of topup-api crash")
		for _, p := range replicas {
			go p.kill()
		}
		time.Sleep(downTime)
		startAPI(f)
	} else {
		time.Sleep(downTime)
	}
	const listing = 3 * time.Second // until all boxes have read the entries of the new replicas
	time.Sleep(listing)
	close(back)
	time.Sleep(recoveredTime)
	close(end)
	callers.Wait()
	counts.mu.Lock()
	defer counts.mu.Unlock()
	f.note("driver", "after the replicas were back: %v", counts.after)
	bound := 5 + counts.sent/500
	f.note("driver", "DENIED: boxes ended %d of %d requests with a final 4xx of their own; at most %d are allowed", counts.refused, counts.sent, bound)
	fmt.Printf("DENIED: %d of %d requests, at most %d; afterwards: %v\n", counts.refused, counts.sent, bound, counts.after)
	return counts.refused <= bound
}

// usualLimits are the limits of a configuration.
var usualLimits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// startAPI starts the replicas of the plain service.
func startAPI(f *fleet) []*process {
	var all []*process
	for n := range apiReplicas {
		all = append(all, f.startReplica(replicaSettings{Service: "topup-api", Zone: zones[n%len(zones)], Slots: apiSlots, WorkMillis: apiWorkMillis}))
	}
	return all
}

// lookUp looks up balances, one after the other, until end is closed. The caller's channel is with the box of its zone.
func lookUp(f *fleet, zone int, name string, counts *lookups, back, end <-chan struct{}) {
	c := &caller{fleet: f, name: name}
	defer c.disconnect()
	boxes := append(append([]*box{}, f.boxes[zone:]...), f.boxes[:zone]...)
	for n := 1; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanPause))):
		}
		path := sharedAccount
		if n%ownAccountEvery == 0 {
			path = ownAccount + name
		}
		recovered := false
		select {
		case <-back:
			recovered = true
		default:
		}
		counts.add(path, recovered, c.call(request{method: http.MethodGet, path: path, budget: lookupBudget, repeatable: true, retries: 1}, boxes))
	}
}
