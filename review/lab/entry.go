package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// entryTroubles is how often another writer writes an entry, and entryPause the time between two of them.
	entryTroubles, entryPause = 3, 3 * time.Second
	// callPause is the time between two requests of a client, and callClients the number of clients.
	callPause, callClients = 5 * time.Millisecond, 30
)

// oddEntry lets another writer write an entry with missing fields under the ID of a replica of one service, while clients
// send requests on the route of another service.
func oddEntry(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var ledgers []*replica
	for n, zone := range zones {
		booking, err := newReplica(f.rec, f.ip, fmt.Sprintf("i-booking-%d", n+1), "booking", zone, 0, 150*time.Millisecond)
		if err != nil {
			return nil, err
		}
		ledger, err := newReplica(f.rec, f.ip, fmt.Sprintf("i-ledger-%d", n+1), "ledger", zone, 0, 10*time.Millisecond)
		if err != nil {
			return nil, err
		}
		ledgers = append(ledgers, ledger)
		go booking.checkIn(f.store, f.stop)
		go ledger.checkIn(f.store, f.stop)
	}
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 5000, "target_latency_ms": 400,
			"priority": 1, "service": service, "max_attempts": 2,
		}
	}
	f.store.put("keyed.op", "config", map[string]any{
		"version":  1,
		"routes":   []any{route("book", "non_idempotent", "booking"), route("ledger", "non_idempotent", "ledger")},
		"services": []any{map[string]any{"name": "booking", "connection_limit": 110}, map[string]any{"name": "ledger", "connection_limit": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for range zones {
		if err := f.addBox(zones, 144); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for client := range callClients {
		all.Go(func() { f.bookUntil(stop, client) })
	}
	for n := range entryTroubles {
		time.Sleep(entryPause)
		if trouble {
			to := ledgers[n%len(ledgers)]
			f.rec.log("another writer writes an entry for %s: service booking, and no zone, version, slots, cold_remaining_ms or sequence", to.id)
			f.store.put("keyed.servers", to.id, map[string]any{"service": "booking", "address": to.addr, "state": "ready"})
		}
	}
	time.Sleep(entryPause)
	close(stop)
	all.Wait()
	var found []string
	for _, ledger := range ledgers {
		for _, run := range ledger.ran() {
			found = append(found, fmt.Sprintf("ROUTE: replica %s of service ledger ran %s %s, whose route leads to service booking in every configuration", run.replica, run.request, run.path))
		}
	}
	return found, nil
}

// bookUntil sends requests on the route of the service booking until stop is closed.
func (f *fleet) bookUntil(stop <-chan struct{}, client int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		b := f.boxes[(client+n)%len(f.boxes)]
		f.send(b, request{id: fmt.Sprintf("c%d-%d", client, n), method: http.MethodPost, path: "/book/chair", body: []byte("chair 7")})
	}
}
