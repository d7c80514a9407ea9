package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// keptPrograms programs have keptTurns turns with inputs of keptInput bytes, less than half of the
	// mean of the site file.
	keptPrograms = 260
	keptTurns    = 22
	keptInput    = 8000
	// beginTime is the time over which they begin.
	beginTime = 28 * time.Second
	// recoveryTime is recovery_s of the deployment, and askTime how long requests are sent after that.
	recoveryTime = 15 * time.Second
	askTime      = 10 * time.Second
	// askers is the number of clients that send requests after recovery_s.
	askers = 40
)

// claims checks that requests are served again recovery_s after all processes were killed at once, while the store keeps
// what the programs of the last minute have said.
func claims(record *recorder, trouble bool) ([]string, error) {
	f, err := deploy(record, slowMachine, 6, 64, 5, 10*time.Millisecond)
	if err != nil {
		return nil, err
	}
	lines := make([]*line, keptPrograms)
	forAll(keptPrograms, func(n int) {
		time.Sleep(time.Duration(n) * beginTime / keptPrograms)
		l := &line{program: newID(), session: newID()}
		for step := range keptTurns {
			input := bytes.Repeat([]byte{byte('a' + step)}, keptInput)
			got, id, _ := f.turn(talk(l, input), time.Time{})
			if !got.ok() {
				record.note("program %d gave up at turn %d: %v", n, step, got)
				return
			}
			l.extend(id, input, got)
		}
		lines[n] = l
	})
	var kept []*line
	size := 0
	for _, l := range lines {
		if l != nil {
			kept = append(kept, l)
			size += len(l.text)
		}
	}
	answered := time.Now()
	record.note("before: %d of %d programs got all their turns, %d bytes are kept", len(kept), keptPrograms, size)
	if len(kept) < keptPrograms/2 {
		return nil, fmt.Errorf("only %d programs were served", len(kept))
	}
	if trouble {
		if err := f.killAll(f.boxes); err != nil {
			return nil, err
		}
		if err := f.awaitReady(f.boxes); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	record.note("all boxes are ready")
	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	var reached []time.Duration
	forAll(askers, func(n int) {
		l := kept[n%len(kept)]
		for time.Since(back) < recoveryTime+askTime {
			next := talk(l, []byte("go on"))
			kind := "kept"
			if time.Since(back) > recoveryTime && n%2 == 1 {
				next, kind = talk(&line{program: newID(), session: newID()}, []byte("begin")), "new"
			}
			begun := time.Since(back)
			got, _, _ := f.turn(next, time.Time{})
			mu.Lock()
			if begun > recoveryTime {
				sent[kind]++
			}
			if got.ok() {
				reached = append(reached, time.Since(back))
				if begun > recoveryTime {
					served[kind]++
				}
			}
			mu.Unlock()
			time.Sleep(500 * time.Millisecond)
		}
	})
	record.note("later than %v after the boxes were ready again: %d of %d turns of kept programs and %d of %d first turns were served, %d turns in all, by %v after the last whole answer",
		recoveryTime, served["kept"], sent["kept"], served["new"], sent["new"], len(reached), time.Since(answered))
	all, done := sent["kept"]+sent["new"], served["kept"]+served["new"]
	var breaches []string
	if 4*done < all {
		breaches = append(breaches, fmt.Sprintf("RECOVER: %d of %d turns that were sent later than %v after all boxes were ready again were served", done, all, recoveryTime))
	}
	lost := 0
	for _, l := range kept[:askers] {
		if f.ranAfter(l.last, back) == 0 {
			lost++
		}
	}
	record.note("not judged: the turns after %d of %d kept ones reached no replica since the boxes were ready again", lost, askers)
	return breaches, nil
}

// ranAfter returns how often replicas began to work on turns that go on from the given one.
func (f *fleet) ranAfter(previous string, since time.Time) int {
	count := 0
	for _, r := range f.models {
		r.mu.Lock()
		for _, begun := range r.runs {
			if begun.previous == previous && begun.at.After(since) {
				count++
			}
		}
		r.mu.Unlock()
	}
	return count
}
