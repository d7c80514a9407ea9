package model

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// Spec configures the speed and size of an engine.
type Spec struct {
	Name     string         `json:"name"`
	MaxBatch int            `json:"max_batch"`
	StepTime types.Duration `json:"step_time"`
	// BatchCost is the time that each running stream adds to a step, as a fraction of StepTime.
	BatchCost float64 `json:"batch_cost"`
	// PrefillRate is in tokens per second; PrefillChunk is the limit of prompt tokens computed in a step.
	PrefillRate  float64 `json:"prefill_rate"`
	PrefillChunk int     `json:"chunk"`
	CacheSize    int64   `json:"cache_size"`
	// ReportInterval is the interval between load reports.
	ReportInterval types.Duration `json:"report_lag"`
	Models         []string       `json:"models"`
	// Fenced makes the engine reject orders whose fencing number is lower than one seen before.
	Fenced bool `json:"fenced"`
}

// DefaultSpec returns the spec of a small, fast engine.
func DefaultSpec(name string, models ...string) Spec {
	return Spec{
		Name: name, MaxBatch: 16, StepTime: types.Duration(2 * time.Millisecond), BatchCost: 0.03,
		PrefillRate: 50_000, PrefillChunk: 512, CacheSize: 100_000,
		ReportInterval: types.Duration(200 * time.Millisecond), Models: models, Fenced: true,
	}
}

// Faults configures the faults that an engine injects.
type Faults struct {
	// SlowdownFactor multiplies the duration of steps; values below 1 count as 1.
	SlowdownFactor float64 `json:"slow_by"`
	// EventLossRate is the probability that an answer to a load query leaves out a cache event.
	EventLossRate float64 `json:"lose_events"`
	// Leaving makes the engine reject new streams; load reports show it.
	Leaving bool `json:"leaving"`
	// BreakStreams is how many of the next streams break once, after their third event.
	BreakStreams int `json:"break_streams"`
}

const endedRetention = 30 * time.Second // how long ended streams can still be read

// Engine is a simulated model engine. One loop steps all its streams. It is safe for concurrent use.
type Engine struct {
	spec Spec

	mu      sync.Mutex
	wake    *sync.Cond
	faults  Faults
	cache   *cache
	waiting []*stream
	running []*stream
	streams map[string]*stream
	models  map[string]string
	fence   int64
	report  types.LoadReport
	stats   Stats
	stopped bool
}

// Stats counts an engine's work.
type Stats struct {
	Calls  int   `json:"calls"`
	Tokens int64 `json:"tokens"`
	// ChargedTokens counts prompt and output tokens by cache key.
	ChargedTokens map[string]int64 `json:"charged"`
	// Held is the number of cached items that can't be evicted, Items that of all cached items.
	Held  int `json:"held"`
	Items int `json:"items"`
	// EvictedTokens counts the tokens of evicted items.
	EvictedTokens int64     `json:"evicted"`
	LastCall      time.Time `json:"last_call"`
	// LoadOrders counts orders to load a model, StaleOrders the orders rejected for an old fencing number.
	LoadOrders  int `json:"loads"`
	StaleOrders int `json:"stale_orders"`
	// HeldTokenSeconds is the integral of the tokens of held items, sampled at every load report.
	HeldTokenSeconds float64 `json:"held_token_seconds"`
}

type stream struct {
	call   types.EngineCall
	prompt int
	cached int
	// prefillLeft is the number of prompt tokens still to be computed.
	prefillLeft  int
	output       []string
	events       []types.EngineEvent
	done         bool
	cancelled    bool
	breakPending bool
	endedAt      time.Time
	seq          int
}

// New returns an engine; Run has to be called for it to make progress.
func New(spec Spec) *Engine {
	e := &Engine{
		spec: spec, cache: newCache(spec.CacheSize), streams: map[string]*stream{},
		models: map[string]string{}, stats: Stats{ChargedTokens: map[string]int64{}},
	}
	e.wake = sync.NewCond(&e.mu)
	for _, m := range spec.Models {
		e.models[m] = ""
	}
	e.report = e.buildReport()
	return e
}

// Run steps the engine until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	go e.publishReports(ctx)
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stopped = true
		e.wake.Broadcast()
	})
	defer stop()
	for {
		pause, ok := e.step()
		if !ok {
			return
		}
		time.Sleep(pause)
		e.emitTokens()
	}
}

// publishReports publishes a load report every ReportInterval until ctx is done.
func (e *Engine) publishReports(ctx context.Context) {
	interval := max(time.Duration(e.spec.ReportInterval), time.Millisecond)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.publishReport(interval)
		}
	}
}

// publishReport updates the load report and deletes streams that ended long ago.
func (e *Engine) publishReport(interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = e.buildReport()
	for _, el := range e.cache.items {
		if it := el.Value.(*item); it.held {
			e.stats.HeldTokenSeconds += float64(it.tokens) * interval.Seconds()
		}
	}
	for id, st := range e.streams {
		if st.done && time.Since(st.endedAt) > endedRetention {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) buildReport() types.LoadReport {
	prefill, output := int64(0), int64(0)
	for _, st := range append(append([]*stream{}, e.waiting...), e.running...) {
		prefill += int64(st.prefillLeft)
		output += int64(len(st.output) - len(st.events))
	}
	models := make([]string, 0, len(e.models))
	for m := range e.models {
		models = append(models, m)
	}
	sort.Strings(models)
	return types.LoadReport{
		Name: e.spec.Name, At: time.Now(), Running: len(e.running), Queued: len(e.waiting),
		PrefillTokens: prefill, OutputTokens: output, MaxBatch: e.spec.MaxBatch, CacheUsed: e.cache.used, CacheSize: e.spec.CacheSize,
		PrefillRate: e.spec.PrefillRate, StepTime: e.spec.StepTime, Leaving: e.faults.Leaving, Models: models,
		Fence: e.fence,
	}
}

// step waits for streams, admits them and computes prompt tokens. It returns the duration of the
// step, and false once the engine has stopped.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running)+len(e.waiting) == 0 && !e.stopped {
		e.wake.Wait()
	}
	if e.stopped {
		return 0, false
	}
	e.admit()
	computed := e.prefillStreams()
	slowdown := max(e.faults.SlowdownFactor, 1)
	step := float64(e.spec.StepTime) * (1 + e.spec.BatchCost*float64(len(e.running))) * slowdown
	step += float64(computed) / e.spec.PrefillRate * float64(time.Second) * slowdown
	return time.Duration(step), true
}

func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].call.Priority > e.waiting[j].call.Priority })
	for len(e.running) < e.spec.MaxBatch && len(e.waiting) > 0 {
		st := e.waiting[0]
		e.waiting = e.waiting[1:]
		st.cached = e.cache.cachedTokens(st.call.CacheKey, st.prompt)
		st.prefillLeft = st.prompt - st.cached
		e.running = append(e.running, st)
	}
}

func (e *Engine) prefillStreams() int {
	remaining := e.spec.PrefillChunk
	for _, st := range e.running {
		n := min(st.prefillLeft, remaining)
		st.prefillLeft -= n
		remaining -= n
	}
	return e.spec.PrefillChunk - remaining
}

// emitTokens adds one token to every running stream whose prompt is computed.
func (e *Engine) emitTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	unfinished := e.running[:0]
	for _, st := range e.running {
		e.emitToken(st)
		if !st.done {
			unfinished = append(unfinished, st)
		}
	}
	e.running = unfinished
	e.wake.Broadcast()
}

func (e *Engine) emitToken(st *stream) {
	if st.cancelled {
		e.finish(st, "cancelled")
		return
	}
	if st.prefillLeft > 0 {
		return
	}
	st.seq++
	st.events = append(st.events, types.EngineEvent{Attempt: st.call.Attempt, Seq: st.seq, Text: st.output[st.seq-1]})
	e.stats.Tokens++
	if st.seq < len(st.output) {
		return
	}
	reason := "stop"
	if len(st.output) == st.call.MaxTokens {
		reason = "length"
	}
	e.finish(st, reason)
}

func (e *Engine) finish(st *stream, reason string) {
	generated := len(st.events)
	usage := types.Usage{PromptTokens: st.prompt, CompletionTokens: generated, CachedTokens: st.cached}
	st.seq++
	st.events = append(st.events, types.EngineEvent{Attempt: st.call.Attempt, Seq: st.seq, End: true, Finish: reason, Usage: usage})
	st.done = true
	st.endedAt = time.Now()
	e.stats.ChargedTokens[st.call.CacheKey] += int64(st.prompt + generated)
	if reason != "cancelled" {
		e.cache.put(st.call.CacheKey, st.prompt+generated, st.call.Hold)
	}
}

// Start starts the stream of an attempt. It does nothing if the attempt already has one.
func (e *Engine) Start(call types.EngineCall) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.LastCall = time.Now()
	if _, ok := e.streams[call.Attempt]; ok {
		return nil
	}
	if e.faults.Leaving {
		return fault.Refuse(fault.Stopping, "engine is draining")
	}
	if _, ok := e.models[call.Model]; !ok {
		return fault.Refuse(fault.UnknownModel, "model is not loaded here")
	}
	if call.MaxTokens <= 0 || len(call.Messages) == 0 {
		return fault.Refuse(fault.BadRequest, "messages and max_tokens are required")
	}
	e.stats.Calls++
	st := &stream{call: call, prompt: CountTokens(call.Messages), output: AnswerWords(call.Messages, call.MaxTokens)}
	// Load reports show this estimate until admit computes it anew.
	st.prefillLeft = st.prompt - e.cache.cachedTokens(call.CacheKey, st.prompt)
	if e.faults.BreakStreams > 0 {
		e.faults.BreakStreams--
		st.breakPending = true
	}
	e.streams[call.Attempt] = st
	e.waiting = append(e.waiting, st)
	e.wake.Broadcast()
	return nil
}

const breakAfterEvents = 3

// Follow calls send with each event of a stream whose sequence number is greater than after, and
// returns once the end event is sent.
func (e *Engine) Follow(ctx context.Context, attempt string, after int, send func(types.EngineEvent) error) error {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.wake.Broadcast()
	})
	defer stop()
	for {
		events, broken, err := e.nextEvents(ctx, attempt, after)
		if err != nil {
			return err
		}
		for _, ev := range events {
			if err := send(ev); err != nil {
				return err
			}
			after = ev.Seq
			if ev.End {
				return nil
			}
			if broken && after >= breakAfterEvents {
				return fault.Fail(fault.TargetFailed, "injected stream break")
			}
		}
	}
}

// nextEvents waits for events after a sequence number. It also returns whether the injected break
// is still due; the first read of a stream with breakAfterEvents events clears that.
func (e *Engine) nextEvents(ctx context.Context, attempt string, after int) ([]types.EngineEvent, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.streams[attempt]
	if !ok {
		return nil, false, fault.Refuse(fault.TargetFailed, "no such stream")
	}
	for len(st.events) <= after && ctx.Err() == nil && !e.stopped {
		e.wake.Wait()
	}
	if ctx.Err() != nil || e.stopped {
		return nil, false, fault.Fail(fault.TargetFailed, "reader has disconnected or engine has stopped").WithCause(ctx.Err())
	}
	broken := st.breakPending
	if len(st.events) >= breakAfterEvents {
		st.breakPending = false
	}
	return append([]types.EngineEvent{}, st.events[after:]...), broken, nil
}

// Cancel ends a stream early: at once if it is waiting, at the end of the
// current step if it is running.
func (e *Engine) Cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.streams[attempt]
	if !ok || st.done {
		return
	}
	st.cancelled = true
	for i, w := range e.waiting {
		if w == st {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.finish(st, "cancelled")
			break
		}
	}
	e.wake.Broadcast()
}

// LoadReport returns the newest load report and the cache events after a sequence number, of which
// Faults.EventLossRate may leave out some.
func (e *Engine) LoadReport(after int64) (types.LoadReport, []types.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var events []types.CacheEvent
	for _, ev := range e.cache.events {
		if ev.Seq > after && rand.Float64() >= e.faults.EventLossRate {
			events = append(events, ev)
		}
	}
	return e.report, events
}

// SetFaults replaces the injected faults. If they include Leaving, it updates the load report at once.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.Leaving {
		e.report = e.buildReport()
	}
}
