package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// greyReplicas of the tool's replicas fail greyEvery requests out of greyOf, for greyTime.
	greyReplicas = 3
	greyEvery    = 2
	greyOf       = 5
	greyTime     = 5 * time.Second
	// greyCalls calls are sent over that time.
	greyCalls = 300
)

// grey checks that a request which got 503 has not run. Some replicas fail part of their requests: they run them and then
// answer 503 without saying that they did not.
func grey(record *recorder, trouble bool) ([]string, error) {
	f, err := deploy(record, usualMachine, 2, 64, 5, 10*time.Millisecond)
	if err != nil {
		return nil, err
	}
	for n, r := range f.tools {
		r.work.Store(int64(50 * time.Millisecond))
		if trouble && n < greyReplicas {
			r.failing.Store(true)
		}
	}
	var mu sync.Mutex
	var breaches []string
	answered := 0
	statuses := map[int]int{}
	forAll(greyCalls, func(n int) {
		time.Sleep(time.Duration(n) * greyTime / greyCalls)
		begun := time.Now()
		for attempt := 0; attempt <= retries; attempt++ {
			call := request{id: newID(), method: "POST", path: "/puxa403/4b", program: newID(), session: newID(), body: []byte(fmt.Sprintf("remind %d", n)), timeBudget: 6*time.Second - time.Since(begun), programLeft: 40 * time.Second}
			got := f.send(f.pick(), call)
			record.note("sent %s, attempt %d of call %d: %v", call.id, attempt, n, got)
			runs := 0
			for _, r := range f.tools {
				runs += len(r.runsOf(call.id))
			}
			mu.Lock()
			statuses[got.status]++
			if got.promised() && runs > 0 {
				breaches = append(breaches, fmt.Sprintf("REFUSED: request %s, which is not idempotent, got %d and has run", call.id, got.status))
			}
			if runs > 1 {
				breaches = append(breaches, fmt.Sprintf("TWICE: request %s ran %d times", call.id, runs))
			}
			if got.ok() {
				answered++
			}
			mu.Unlock()
			if !got.promised() {
				return
			}
			time.Sleep(min(got.retryAfter, (6*time.Second-time.Since(begun))/3))
		}
	})
	record.note("%d of %d calls were answered, statuses %v", answered, greyCalls, statuses)
	if answered < greyCalls/2 {
		return nil, fmt.Errorf("only %d of %d calls were answered", answered, greyCalls)
	}
	if len(breaches) > 4 {
		breaches = append(breaches[:4], fmt.Sprintf("and %d more", len(breaches)-4))
	}
	return breaches, nil
}
