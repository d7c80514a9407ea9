package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	tokenBudget = 270
	mostTokens  = 135
	// loopingPrograms is the number of programs, and loopSpread the time over which they begin.
	loopingPrograms = 220
	loopSpread      = 5500 * time.Millisecond
	// toolBudget is the time budget of a tool call and toolWork the time that it takes: at most 1,500 ms by the sheet.
	toolBudget = 6 * time.Second
	toolWork   = 1170 * time.Millisecond
	// slowReplicas of the tool's replicas turn slowFactor times as slow for slowTime.
	slowReplicas = 4
	slowFactor   = 5
	slowTime     = 6500 * time.Millisecond
	// pause is the time between the end of a tool call and the next turn.
	pause = 600 * time.Millisecond
	// resendPause is the time after which a turn that failed is sent again, twice at most.
	resendPause = 400 * time.Millisecond
	// returnMargin is how long before the end of retention_s a stopped program comes again.
	returnMargin = 600 * time.Millisecond
)

// budgets checks that a program which was stopped with 402 and comes again within retention_s keeps what it has spent.
// Between its last answer and its stop lies a tool call, which takes longer on the replicas that turn slow.
func budgets(record *recorder, trouble bool) ([]string, error) {
	f, err := deploy(record, usualMachine, 4, 64, 45, 5*time.Millisecond)
	if err != nil {
		return nil, err
	}
	for n, r := range f.tools {
		r.work.Store(int64(toolWork))
		if trouble && n < slowReplicas {
			r.work.Store(int64(slowFactor * toolWork))
			time.AfterFunc(slowTime, func() { r.work.Store(int64(toolWork)) })
		}
	}
	var mu sync.Mutex
	var breaches []string
	failed := 0
	forAll(loopingPrograms, func(n int) {
		time.Sleep(time.Duration(n) * loopSpread / loopingPrograms)
		breach, err := f.loop(n)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed++
			record.note("left out: %v", err)
		}
		if breach != "" {
			breaches = append(breaches, breach)
		}
	})
	record.note("%d programs came again, %d were left out, %d broke the rule", loopingPrograms-failed, failed, len(breaches))
	if failed > loopingPrograms/2 {
		return nil, fmt.Errorf("%d of %d programs were left out", failed, loopingPrograms)
	}
	return breaches, nil
}

// loop plays a program that loops without end. It returns the breach of the rule, if any.
func (f *fleet) loop(n int) (string, error) {
	l := &line{program: newID(), session: newID()}
	tokens := 0
	ask := func() answer {
		next := talk(l, []byte(fmt.Sprintf("program %d", n)))
		next.budget, next.most = tokenBudget, mostTokens
		got, id, all := f.turn(next, time.Time{})
		for _, one := range all {
			tokens += stride * len(one.events)
		}
		if got.ok() {
			l.extend(id, next.body, got)
		}
		return got
	}
	for tokens+mostTokens <= tokenBudget {
		if got := ask(); !got.ok() {
			return "", fmt.Errorf("program %d: a turn was not answered: %v", n, got)
		}
	}
	lastEnd := time.Now()
	call := request{id: newID(), method: "POST", path: "/puxa403/4b", program: l.program, session: l.session, body: []byte("remind"), timeBudget: toolBudget, programLeft: 40 * time.Second}
	got := f.send(f.pick(), call)
	f.record.note("program %d: tool call %s took %v: %v", n, call.id, time.Since(lastEnd), got)
	if !got.ok() {
		return "", fmt.Errorf("program %d: the tool call was not answered: %v", n, got)
	}
	time.Sleep(pause)
	var stopped time.Time
	for try := range turnTries {
		if try > 0 {
			time.Sleep(resendPause)
		}
		if got := ask(); got.status != 402 {
			return "", fmt.Errorf("program %d: a turn beyond the budget got %v", n, got)
		}
		stopped = time.Now()
	}
	f.record.note("program %d stopped with %d of %d tokens, %v after its last answer", n, tokens, tokenBudget, stopped.Sub(lastEnd))
	time.Sleep(time.Until(stopped.Add(retention - returnMargin)))
	l.last, l.text, l.session = "", nil, newID()
	for came := time.Since(stopped); came < retention; came = time.Since(stopped) {
		got := ask()
		f.record.note("program %d came again %v after its stop: %v, %d tokens in all", n, came, got, tokens)
		if !got.ok() {
			break
		}
	}
	if tokens > tokenBudget+mostTokens {
		return fmt.Sprintf("BUDGET: program %s was handed %d tokens; its budget is %d and one turn has %d at most", l.program, tokens, tokenBudget, mostTokens), nil
	}
	return "", nil
}
