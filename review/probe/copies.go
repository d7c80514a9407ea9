package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// recovery is recovery_s of the deployment.
	recovery = 12 * time.Second
	// earlierTurns and inputBytes are the turns of the program of before and the length of their inputs: nurse-weekplan has
	// about 11 turns, with inputs of 31,000 bytes at most.
	earlierTurns = 11
	inputBytes   = 28000
	// newPrograms is the number of programs that go on from it, and arrival the time over which they come.
	newPrograms = 180
	arrival     = time.Second
)

// copies checks that turns which got a whole answer are kept. After a final fault, new programs go on from a turn of
// before, more at once than a box has memory for the prompts of, so that some are asked to come again. A second such fault
// shows whether what these programs go on from is kept.
func copies(record *recorder, trouble bool) ([]string, error) {
	m := usualMachine
	m.boxes = 2
	f, err := deploy(record, m, 6, 64, 11, 60*time.Millisecond)
	if err != nil {
		return nil, err
	}
	earlier := &line{program: newID(), session: newID()}
	for n := range earlierTurns {
		input := bytes.Repeat([]byte{byte('a' + n)}, inputBytes)
		got, id, _ := f.turn(talk(earlier, input), time.Time{})
		if !got.ok() {
			return nil, fmt.Errorf("turn %d of the program of before was not answered: %v", n, got)
		}
		earlier.extend(id, input, got)
	}
	record.note("the program of before has %d turns, %d bytes", earlierTurns, len(earlier.text))
	if trouble {
		if err := f.killAll(f.boxes); err != nil {
			return nil, err
		}
		if err := f.awaitReady(f.boxes); err != nil {
			return nil, err
		}
	}
	until := time.Now().Add(recovery)
	lines := make([]*line, newPrograms)
	refused := make([]int, newPrograms)
	forAll(newPrograms, func(n int) {
		time.Sleep(time.Duration(n) * arrival / newPrograms)
		l := &line{program: newID(), session: newID(), last: earlier.last, text: earlier.text}
		for step := range 2 {
			input := []byte(fmt.Sprintf("program %d, turn %d", n, step))
			got, id, all := f.turn(talk(l, input), until)
			for _, one := range all {
				if one.promised() {
					refused[n]++
				}
			}
			if !got.ok() {
				record.note("program %d gave up at turn %d: %v", n, step, got)
				return
			}
			l.extend(id, input, got)
		}
		lines[n] = l
	})
	begun, askedAgain := 0, 0
	for n, l := range lines {
		if l != nil {
			begun++
		}
		if refused[n] > 0 {
			askedAgain++
		}
	}
	record.note("%d of %d new programs have two turns, %d were asked to come again", begun, newPrograms, askedAgain)
	if begun < newPrograms/2 {
		return nil, fmt.Errorf("only %d new programs were served", begun)
	}
	if trouble {
		if err := f.killAll(f.boxes); err != nil {
			return nil, err
		}
		if err := f.awaitReady(f.boxes); err != nil {
			return nil, err
		}
	}
	until = time.Now().Add(recovery)
	var mu sync.Mutex
	var breaches []string
	served := 0
	forAll(newPrograms, func(n int) {
		l := lines[n]
		if l == nil {
			return
		}
		got, _, all := f.turn(talk(l, []byte("go on")), until)
		mu.Lock()
		defer mu.Unlock()
		if got.ok() {
			served++
		}
		for _, one := range all {
			if one.status == 404 || one.status == 410 {
				breaches = append(breaches, fmt.Sprintf("LOST: program %s got %d for its third turn; its previous turn %s got a whole answer less than %v ago", l.program, one.status, l.last, retention))
			}
		}
	})
	record.note("%d of %d third turns were served, %d got 404", served, begun, len(breaches))
	if wrong := f.wrongBodies(lines); wrong != "" {
		record.note("not judged: %s", wrong)
	}
	if len(breaches) > 5 {
		breaches = append(breaches[:5], fmt.Sprintf("and %d more", len(breaches)-5))
	}
	return breaches, nil
}

// wrongBodies checks the bodies of the runs of the last turns.
func (f *fleet) wrongBodies(lines []*line) string {
	byID := map[string]*line{}
	for _, l := range lines {
		if l != nil {
			byID[l.last] = l
		}
	}
	for _, r := range f.models {
		r.mu.Lock()
		for _, begun := range r.runs {
			if l := byID[begun.previous]; l != nil && !bytes.Equal(begun.body, append(append([]byte(nil), l.text...), "go on"...)) {
				r.mu.Unlock()
				return fmt.Sprintf("UNASKED: the body of run %s is not the chain of %s", begun.id, begun.previous)
			}
		}
		r.mu.Unlock()
	}
	return ""
}
