package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// searchTurns is the number of turns of the program that others go on from, and searchInput the size of their inputs.
	searchTurns, searchInput = 4, 1 << 20
	// searchWaves is how often programs come, searchPrograms how many each time, searchWithin the time in which these come,
	// and searchPause the time between: 13 turns in a second for each box, where the sheet of bloedplan has 12 and bursts of
	// 2.1 times that.
	searchWaves, searchPrograms, searchWithin, searchPause = 5, 40, time.Second, 4 * time.Second
)

// longSearches lets many programs go on at once from a long chain of an earlier one.
func longSearches(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := f.startModels(zones, 4, 60*time.Millisecond, 120); err != nil {
		return nil, err
	}
	for range zones {
		if err := f.addBox(zones, memoryMB); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(15 * time.Second); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // not for secrets
	old := turn{}
	for n := range searchTurns {
		next, status := f.sendTurn(rng, "old", n, old, bytes.Repeat([]byte{byte('a' + n)}, searchInput))
		if next.id == "" {
			return nil, fmt.Errorf("turn %d of the first program ended with %d", n, status)
		}
		old = next
	}
	stop := make(chan struct{})
	var watches sync.WaitGroup
	ends, most := make([]int, len(f.boxes)), make([]int, len(f.boxes))
	for n, b := range f.boxes {
		watches.Go(func() { ends[n], most[n] = f.watchMemory(b, stop) })
	}
	programs := searchPrograms
	if !trouble {
		programs = 1
	}
	for wave := range searchWaves {
		var all sync.WaitGroup
		for n := range programs {
			all.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(wave), uint64(n))) //nolint:gosec // not for secrets
				time.Sleep(rand.N(searchWithin))
				f.sendTurn(rng, fmt.Sprintf("w%d-%d", wave, n), 0, old, []byte("and then?"))
			})
		}
		all.Wait()
		time.Sleep(searchPause)
	}
	close(stop)
	watches.Wait()
	return f.memoryEnds(ends, most), nil
}
