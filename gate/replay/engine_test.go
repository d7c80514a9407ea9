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
	// prefillRate is the number of prompt tokens prefilled in a millisecond, and prefillChunk the
	// maximum in one step.
	prefillRate, prefillChunk int
	// step is the fixed part of the time of a decoding step, and stepPerCall what each running call adds
	// to it.
	step, stepPerCall time.Duration
	// cacheSize is the size of the prompt cache, in tokens.
	cacheSize int
	// stride is the number of tokens in an event.
	stride int
}

// engineCall is one call at an engine.
type engineCall struct {
	// conversation, parent and prefix name the entries of the prompt cache that the call can use: its
	// conversation, the one that a sub-agent inherits from, and the prefix of its kind of program.
	conversation, parent, prefix string
	// shared is the length of the prefix that all programs of the kind share, and prompt that of the
	// whole prompt, in tokens.
	shared, prompt int
	// missing is the number of prompt tokens still to be prefilled, and tokens the length of the
	// answer.
	missing, tokens int
	// first is closed at the first event, and done at the end of the answer.
	first, done chan struct{}
	canceled    bool
	// generated is the number of tokens of the answer so far.
	generated int
}

// cacheEntry is a cached prompt prefix.
type cacheEntry struct {
	tokens   int
	lastUsed time.Time
}

// engine emulates continuous batching. Calls start in order of arrival, prompts are prefilled in
// chunks during the decoding steps of other calls, and prefixes are cached with LRU eviction.
type engine struct {
	engineSpec
	rep  work.Replica
	wake chan struct{}

	mu sync.Mutex
	// stepFactor multiplies the time of each step.
	stepFactor float64
	// silent is set while calls make no progress, and breaking while each fails at once. Both still report their load.
	// taken counts the calls since then.
	silent, breaking bool
	taken            int
	waiting, running []*engineCall
	cache            map[string]cacheEntry
	// prefilled counts the prompt tokens that were prefilled.
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

// startWaiting moves waiting calls to free slots.
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
func (e *engine) cachedTokens(c *engineCall) int {
	if entry, ok := e.cache[c.conversation]; ok {
		return min(entry.tokens, c.prompt)
	}
	if entry, ok := e.cache[c.parent]; ok {
		return min(entry.tokens, c.prompt)
	}
	if entry, ok := e.cache[c.prefix]; ok {
		return min(entry.tokens, c.shared)
	}
	return 0
}

// prefill assigns the next chunk of prompt tokens and returns the time that the step takes.
func (e *engine) prefill() time.Duration {
	left := e.prefillChunk
	for _, c := range e.running {
		n := min(left, c.missing)
		c.missing -= n
		left -= n
	}
	tokens := e.prefillChunk - left
	e.prefilled += tokens
	stepTime := e.step + time.Duration(len(e.running))*e.stepPerCall
	return stepTime + time.Duration(tokens)*time.Millisecond/time.Duration(e.prefillRate)
}

// finishStep generates a token for each running call that is prefilled, and removes the calls that are
// complete or canceled.
func (e *engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.running[:0]
	for _, c := range e.running {
		if c.canceled {
			continue
		}
		if c.missing > 0 || e.silent {
			running = append(running, c)
			continue
		}
		c.generated++
		if c.generated == e.stride {
			close(c.first)
		}
		if c.generated < c.tokens {
			running = append(running, c)
			continue
		}
		e.cachePrefix(c.prefix, c.shared)
		e.cachePrefix(c.conversation, c.prompt+c.tokens)
		close(c.done)
	}
	e.running = running
}

// cachePrefix caches a prefix, and evicts the least recently used ones while the cache is too full.
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
func (e *engine) send(ctx context.Context, c *engineCall, firstEventTimeout time.Duration, first func()) error {
	if !e.enqueue(c) {
		return fault.Refuse(fault.Overloaded, "the engine's queue is full")
	}
	if e.breaks() {
		e.cancel(c)
		return fault.Fail(fault.TargetFailed, "the engine broke the answer off")
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-c.first:
		first()
	case <-time.After(firstEventTimeout):
		e.cancel(c)
		return fault.Fail(fault.CallerGone, "no event arrived in time")
	case <-ctx.Done():
		e.cancel(c)
		return fault.Fail(fault.TimedOut, "the deadline has passed")
	}
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		e.cancel(c)
		return fault.Fail(fault.TimedOut, "the deadline has passed")
	}
}

// slowDown sets the factor by which the time of all later steps is multiplied.
func (e *engine) slowDown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepFactor = factor
}

// fail makes the engine silent, or break off each call.
func (e *engine) fail(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent, e.breaking = silent, !silent
}

// breaks reports whether the engine breaks off each call.
func (e *engine) breaks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breaking
}

// enqueue queues the call, unless the queue is full.
func (e *engine) enqueue(c *engineCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.queue {
		return false
	}
	if e.silent || e.breaking {
		e.taken++
	}
	c.first, c.done = make(chan struct{}), make(chan struct{})
	e.waiting = append(e.waiting, c)
	return true
}

func (e *engine) cancel(c *engineCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.canceled = true
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
