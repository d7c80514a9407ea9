package replay

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// model is what an engine can do.
type model struct {
	slots, queue int
	// rate is prompt tokens read in a millisecond; chunk the most read in one step.
	rate, chunk int
	// step is the time of one token, and perSlot what each call that runs adds.
	step, perSlot time.Duration
	// memory is the tokens kept for prompts to come.
	memory int
	// stride is the tokens of an event.
	stride int
}

// run is one call at an engine.
type run struct {
	// parent is the line that a sub-agent's begins with; empty for others.
	line, parent, part string
	// shared is the tokens of the part that prompts share; prompt all of them.
	shared, prompt int
	// missing is what is still to be read, tokens what is still to be made.
	missing, tokens int
	// first is closed at the first event, done at the last.
	first, done chan struct{}
	gone        bool
	made        int
}

// kept is a piece of a prompt in an engine's memory.
type kept struct {
	tokens int
	used   time.Time
}

// engine emulates continuous batching: calls begin in order of arrival, prompts are read in pieces
// between the tokens of the others, and what was read is kept while there is memory.
type engine struct {
	model
	rep  work.Replica
	wake chan struct{}

	mu sync.Mutex
	// slow stretches all that it does.
	slow             float64
	waiting, running []*run
	memoryOf         map[string]kept
	// read counts the prompt tokens read.
	read int
}

func newEngine(rep work.Replica, m model) *engine {
	return &engine{model: m, rep: rep, slow: 1, memoryOf: map[string]kept{}, wake: make(chan struct{}, 1)}
}

// loop runs the engine until ctx ends.
func (e *engine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		step := e.begin()
		if step == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(step)
		e.advance()
	}
}

// begin lets calls in and returns the time of the next step; zero if nothing runs.
func (e *engine) begin() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.letIn()
	if len(e.running) == 0 {
		return 0
	}
	return time.Duration(e.slow * float64(e.plan()))
}

func (e *engine) letIn() {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if next.gone {
			continue
		}
		next.missing = max(1, next.prompt-e.held(next))
		e.running = append(e.running, next)
	}
}

// held is how much of the prompt is in memory.
func (e *engine) held(r *run) int {
	if have, ok := e.memoryOf[r.line]; ok {
		return min(have.tokens, r.prompt)
	}
	if have, ok := e.memoryOf[r.parent]; ok {
		return min(have.tokens, r.prompt)
	}
	if have, ok := e.memoryOf[r.part]; ok {
		return min(have.tokens, r.shared)
	}
	return 0
}

// plan reads a piece of prompts and returns the time that the step takes.
func (e *engine) plan() time.Duration {
	left := e.chunk
	for _, r := range e.running {
		n := min(left, r.missing)
		r.missing -= n
		left -= n
	}
	read := e.chunk - left
	e.read += read
	took := e.step + time.Duration(len(e.running))*e.perSlot
	return took + time.Duration(read)*time.Millisecond/time.Duration(e.rate)
}

func (e *engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	still := e.running[:0]
	for _, r := range e.running {
		if r.gone {
			continue
		}
		if r.missing > 0 {
			still = append(still, r)
			continue
		}
		r.made++
		if r.made == e.stride {
			close(r.first)
		}
		if r.made < r.tokens {
			still = append(still, r)
			continue
		}
		e.keep(r.part, r.shared)
		e.keep(r.line, r.prompt+r.tokens)
		close(r.done)
	}
	e.running = still
}

func (e *engine) keep(name string, tokens int) {
	e.memoryOf[name] = kept{tokens: tokens, used: time.Now()}
	sum := 0
	for _, k := range e.memoryOf {
		sum += k.tokens
	}
	for sum > e.memory {
		oldest := ""
		for at, k := range e.memoryOf {
			if oldest == "" || k.used.Before(e.memoryOf[oldest].used) {
				oldest = at
			}
		}
		sum -= e.memoryOf[oldest].tokens
		delete(e.memoryOf, oldest)
	}
}

// send runs the call and calls first at its first event. A fault with NotRun means that the queue is
// full.
func (e *engine) send(ctx context.Context, r *run, patience time.Duration, first func()) error {
	if !e.take(r) {
		return fault.Refuse(fault.Overloaded, "the engine is full")
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-r.first:
		first()
	case <-time.After(patience):
		e.drop(r)
		return fault.Fail(fault.CallerGone, "no event came")
	case <-ctx.Done():
		e.drop(r)
		return fault.Fail(fault.TimedOut, "the time is over")
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		e.drop(r)
		return fault.Fail(fault.TimedOut, "the time is over")
	}
}

// slowDown stretches all that the engine does from now on.
func (e *engine) slowDown(by float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = by
}

// take queues the call, unless the queue is full.
func (e *engine) take(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.queue {
		return false
	}
	r.first, r.done = make(chan struct{}), make(chan struct{})
	e.waiting = append(e.waiting, r)
	return true
}

func (e *engine) drop(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.gone = true
}

func (e *engine) load() work.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := 0
	for _, k := range e.memoryOf {
		used += k.tokens
	}
	return work.Load{Running: len(e.running), Waiting: len(e.waiting), Used: used, Total: e.memory}
}
