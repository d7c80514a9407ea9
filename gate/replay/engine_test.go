package replay

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// engineSpec is the capacity and speed of an engine.
type engineSpec struct {
	slots, queue int
	// prefillRate is the number of prompt tokens prefilled in a millisecond; prefillChunk is the
	// most in one step.
	prefillRate, prefillChunk int
	// step is the time of a decoding step without calls, and stepPerCall what each running call
	// adds to it.
	step, stepPerCall time.Duration
	// cacheSize is the size of the prompt cache, in tokens.
	cacheSize int
	// stride is the number of tokens in an event.
	stride int
}

// engineCall is one call at an engine.
type engineCall struct {
	// parent is the conversation whose prompt a sub-agent's begins with, empty for others.
	conversation, parent, prefix string
	// shared is the length of the prefix that all programs of the kind share, prompt that of the
	// whole prompt, in tokens.
	shared, prompt int
	// missing is the number of prompt tokens still to be prefilled, tokens the length of the
	// answer.
	missing, tokens int
	// first is closed at the first event, done at the last.
	first, done chan struct{}
	canceled    bool
	generated   int
}

// cacheEntry is a cached prompt prefix.
type cacheEntry struct {
	tokens   int
	lastUsed time.Time
}

// engine emulates continuous batching. Calls start in order of arrival, prompts are prefilled in
// chunks between the decoding steps of other calls, and prefixes are cached with LRU eviction.
type engine struct {
	engineSpec
	rep  work.Replica
	wake chan struct{}

	mu sync.Mutex
	// stepFactor multiplies the time of each step.
	stepFactor       float64
	waiting, running []*engineCall
	cache            map[string]cacheEntry
	// prefilled counts the prompt tokens prefilled.
	prefilled int
}

func newEngine(rep work.Replica, spec engineSpec) *engine {
	return &engine{engineSpec: spec, rep: rep, stepFactor: 1, cache: map[string]cacheEntry{}, wake: make(chan struct{}, 1)}
}

// loop runs the engine until ctx ends.
func (e *engine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		step := e.startStep()
		if step == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(step)
		e.finishStep()
	}
}

// startStep starts waiting calls and returns the time of the next step, zero if no call runs.
func (e *engine) startStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startWaiting()
	if len(e.running) == 0 {
		return 0
	}
	return time.Duration(e.stepFactor * float64(e.prefill()))
}

func (e *engine) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if next.canceled {
			continue
		}
		next.missing = max(1, next.prompt-e.cachedTokens(next))
		e.running = append(e.running, next)
	}
}

// cachedTokens returns how much of the call's prompt is cached.
func (e *engine) cachedTokens(r *engineCall) int {
	if entry, ok := e.cache[r.conversation]; ok {
		return min(entry.tokens, r.prompt)
	}
	if entry, ok := e.cache[r.parent]; ok {
		return min(entry.tokens, r.prompt)
	}
	if entry, ok := e.cache[r.prefix]; ok {
		return min(entry.tokens, r.shared)
	}
	return 0
}

// prefill assigns the next chunk of prompt tokens and returns the time that the step takes.
func (e *engine) prefill() time.Duration {
	left := e.prefillChunk
	for _, r := range e.running {
		n := min(left, r.missing)
		r.missing -= n
		left -= n
	}
	tokens := e.prefillChunk - left
	e.prefilled += tokens
	stepTime := e.step + time.Duration(len(e.running))*e.stepPerCall
	return stepTime + time.Duration(tokens)*time.Millisecond/time.Duration(e.prefillRate)
}

func (e *engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.running[:0]
	for _, r := range e.running {
		if r.canceled {
			continue
		}
		if r.missing > 0 {
			running = append(running, r)
			continue
		}
		r.generated++
		if r.generated == e.stride {
			close(r.first)
		}
		if r.generated < r.tokens {
			running = append(running, r)
			continue
		}
		e.cachePrefix(r.prefix, r.shared)
		e.cachePrefix(r.conversation, r.prompt+r.tokens)
		close(r.done)
	}
	e.running = running
}

func (e *engine) cachePrefix(name string, tokens int) {
	e.cache[name] = cacheEntry{tokens: tokens, lastUsed: time.Now()}
	sum := 0
	for _, entry := range e.cache {
		sum += entry.tokens
	}
	for sum > e.cacheSize {
		oldest := ""
		for key, entry := range e.cache {
			if oldest == "" || entry.lastUsed.Before(e.cache[oldest].lastUsed) {
				oldest = key
			}
		}
		sum -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
}

// send runs the call, and calls first at its first event. It returns a fault with NotRun if the
// queue is full.
func (e *engine) send(ctx context.Context, r *engineCall, firstEventTimeout time.Duration, first func()) error {
	if !e.enqueue(r) {
		return fault.Refuse(fault.Overloaded, "the engine's queue is full")
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-r.first:
		first()
	case <-time.After(firstEventTimeout):
		e.cancel(r)
		return fault.Fail(fault.CallerGone, "no event arrived in time")
	case <-ctx.Done():
		e.cancel(r)
		return fault.Fail(fault.TimedOut, "the deadline has passed")
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		e.cancel(r)
		return fault.Fail(fault.TimedOut, "the deadline has passed")
	}
}

// slowDown sets the factor by which all later steps take longer.
func (e *engine) slowDown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepFactor = factor
}

// enqueue queues the call, unless the queue is full.
func (e *engine) enqueue(r *engineCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.queue {
		return false
	}
	r.first, r.done = make(chan struct{}), make(chan struct{})
	e.waiting = append(e.waiting, r)
	return true
}

func (e *engine) cancel(r *engineCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.canceled = true
}

func (e *engine) load() work.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := 0
	for _, entry := range e.cache {
		used += entry.tokens
	}
	return work.Load{Running: len(e.running), Waiting: len(e.waiting), UsedTokens: used, TotalTokens: e.cacheSize}
}
