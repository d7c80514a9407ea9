package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// fleetBoxes is the number of boxes and memoryMB the memory of each, as on the sheet of a small site. A process past it
	// is killed.
	fleetBoxes, memoryMB = 11, 144
	// survivors is the number of boxes that are left after the loss of machines.
	survivors = 2
	// longInput is the size of long inputs, a quarter of what the configuration allows, and usualInput that on the sheet.
	longInput, usualInput = 1 << 20, 5100
	// turnsPerSecond is the rate of turns, far below that on the sheet, and turnsFor the time for which they come.
	// All inputs together are less than what the store keeps.
	turnsPerSecond, turnsFor = 8, 34 * time.Second
	// laterPerSecond is the rate of the turns that go on from these, and laterFor the time for which they come.
	laterPerSecond, laterFor = 4, 30 * time.Second
	// keptFor is for how long turns are kept.
	keptFor = 60
	// restartDelay is the delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// maxEnds is the number of ends of a box's process that break the rule, if as many as minBoxes have them.
	maxEnds, minBoxes = 3, 2
)

// storedHistory lets programs begin with long inputs, which the boxes keep for a minute, takes most of the machines away and
// lets the programs go on. It kills processes that take more memory than their machines have.
func storedHistory(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := f.startModels(zones, 4, 60*time.Millisecond, keptFor); err != nil {
		return nil, err
	}
	for range fleetBoxes {
		if err := f.addBox(zones, memoryMB); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(15 * time.Second); err != nil {
		return nil, err
	}
	first := f.sendPaced("first", turnsPerSecond, turnsFor, func(n int, rng *rand.Rand) ended {
		got, status := f.sendTurn(rng, fmt.Sprintf("p%d", n), 0, turn{}, bytes.Repeat([]byte{byte('a' + n%26)}, longInput))
		return ended{turn: got, status: status}
	})
	if trouble {
		f.boxes = f.all[survivors:]
		f.killAll()
		f.boxes = f.all[:survivors]
	}
	stop := make(chan struct{})
	var watches sync.WaitGroup
	ends, most := make([]int, len(f.boxes)), make([]int, len(f.boxes))
	for n, b := range f.boxes {
		watches.Go(func() { ends[n], most[n] = f.watchMemory(b, stop) })
	}
	// The latest turns have been kept for less than keptFor at the end.
	latest := first[len(first)-laterPerSecond*int(laterFor.Seconds()):]
	f.sendPaced("later", laterPerSecond, laterFor, func(n int, rng *rand.Rand) ended {
		if latest[n].turn.id == "" {
			return ended{}
		}
		got, status := f.sendTurn(rng, fmt.Sprintf("p%d", len(first)-len(latest)+n), 1, latest[n].turn, []byte("and then?"))
		return ended{turn: got, status: status}
	})
	close(stop)
	watches.Wait()
	return f.memoryEnds(ends, most), nil
}

// memoryEnds returns the boxes whose processes were killed too often, if there are enough of them.
func (f *fleet) memoryEnds(ends, most []int) []string {
	var found []string
	for n, b := range f.boxes {
		f.rec.log("box %s: killed %d times past %d MB, most memory seen %d MB", b.name, ends[n], memoryMB, most[n])
		if ends[n] >= maxEnds {
			found = append(found, fmt.Sprintf("FAULT: the process of box %s, whose machine was not disturbed, ended %d times past its memory of %d MB", b.name, ends[n], memoryMB))
		}
	}
	if len(found) < minBoxes {
		found = nil
	}
	return found
}

// sendPaced sends turns at a rate for some time and logs how many got which status at their last try.
func (f *fleet) sendPaced(name string, perSecond int, lasts time.Duration, send func(n int, rng *rand.Rand) ended) []ended {
	ends := make([]ended, int(lasts.Seconds())*perSecond)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var all sync.WaitGroup
	for n := range ends {
		<-tick.C
		all.Go(func() { ends[n] = send(n, rand.New(rand.NewPCG(7, uint64(n)))) }) //nolint:gosec // not for secrets
	}
	all.Wait()
	statuses := map[int]int{}
	for _, end := range ends {
		statuses[end.status]++
	}
	f.rec.log("%s turns by the status of their last try: %v", name, statuses)
	return ends
}

// watchMemory kills the process of a box as soon as it takes more memory than its machine has, and starts it again. It
// returns how often that happened and the most memory seen, in MB.
func (f *fleet) watchMemory(b *box, stop <-chan struct{}) (ends, most int) {
	for {
		select {
		case <-stop:
			return ends, most
		case <-time.After(20 * time.Millisecond):
		}
		mb := anonymousMemory(b.cmd.Process.Pid) >> 20
		most = max(most, mb)
		if mb <= memoryMB {
			continue
		}
		ends++
		f.rec.log("box %s takes %d MB of %d and is killed", b.name, mb, memoryMB)
		_ = b.cmd.Process.Signal(os.Kill)
		<-b.done
		time.Sleep(restartDelay)
		if err := f.start(b); err != nil {
			f.rec.log("box %s does not start: %v", b.name, err)
			return ends, most
		}
	}
}

// anonymousMemory returns the resident memory of a process in bytes, without that of files such as the program itself.
func anonymousMemory(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kb << 10
		}
	}
	return 0
}
