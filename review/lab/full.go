package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// fullBoxes is the number of boxes and fullMemoryMB the memory of each, as on the sheet of a small site.
	fullBoxes, fullMemoryMB = 6, 294
	// fullPerSecond is the rate of turns, and fullFor the time for which they come: together about as much as the store keeps.
	fullPerSecond, fullFor = 16, 27 * time.Second
	// fullKeptFor is for how long turns are kept, in seconds, and fullExpired the time from the last of them until the
	// boxes may have dropped all.
	fullKeptFor, fullExpired = 20, 32 * time.Second
	// afterPerSecond is the rate of the turns at the end, and afterFor the time for which they come.
	afterPerSecond, afterFor = 5, 8 * time.Second
	// servedDivisor is the part of these that must be served: a quarter.
	servedDivisor = 4
)

// fullStore lets programs begin with long inputs until the store keeps no more, kills all boxes, waits until no turn has to
// be kept any longer, and lets usual programs begin.
func fullStore(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := f.startModels(zones, 4, 60*time.Millisecond, fullKeptFor); err != nil {
		return nil, err
	}
	for range fullBoxes {
		if err := f.addBox(zones, fullMemoryMB); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(15 * time.Second); err != nil {
		return nil, err
	}
	size := usualInput
	if trouble {
		size = longInput
	}
	begin := func(name string, size int) func(n int, rng *rand.Rand) ended {
		return func(n int, rng *rand.Rand) ended {
			got, status := f.sendTurn(rng, fmt.Sprintf("%s%d", name, n), 0, turn{}, bytes.Repeat([]byte{byte('a' + n%26)}, size))
			return ended{turn: got, status: status}
		}
	}
	before := f.sendPaced("before", fullPerSecond, fullFor, begin("before", size))
	over := time.Now()
	f.logStore()
	if err := f.restartAll(true); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(over.Add(fullExpired)))
	f.logStore()
	after := f.sendPaced("after", afterPerSecond, afterFor, begin("after", usualInput))
	f.logStore()
	if served(before) < len(before)/servedDivisor {
		return nil, errors.New("less than a quarter was served before the final fault")
	}
	if served(after) < len(after)/servedDivisor {
		return []string{fmt.Sprintf("RECOVER: %d of %d turns were served, %v after the last turn that has to be kept for %d s", served(after), len(after), fullExpired, fullKeptFor)}, nil
	}
	return nil, nil
}

// served returns the number of turns with whole answers.
func served(ends []ended) int {
	n := 0
	for _, end := range ends {
		if end.status == http.StatusOK {
			n++
		}
	}
	return n
}

// logStore logs what the store keeps.
func (f *fleet) logStore() {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.rec.log("the store keeps %d MB of %d and has refused %d appends with 507", f.store.kept>>20, maxKept>>20, f.store.refused)
}
