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

// Spec says how fast and how large an engine is.
type Spec struct {
	Name     string         `json:"name"`
	MaxBatch int            `json:"max_batch"`
	StepTime types.Duration `json:"step_time"`
	// BatchCost is how much one more stream lengthens a step, as a share of StepTime.
	BatchCost   float64        `json:"batch_cost"`
	PrefillRate float64        `json:"prefill_rate"`
	Chunk       int            `json:"chunk"`
	CacheSize   int64          `json:"cache_size"`
	ReportLag   types.Duration `json:"report_lag"`
	Models      []string       `json:"models"`
	Fenced      bool           `json:"fenced"`
}

// DefaultSpec is a small, fast engine.
func DefaultSpec(name string, models ...string) Spec {
	return Spec{
		Name: name, MaxBatch: 16, StepTime: types.Duration(2 * time.Millisecond), BatchCost: 0.03,
		PrefillRate: 50_000, Chunk: 512, CacheSize: 100_000,
		ReportLag: types.Duration(200 * time.Millisecond), Models: models, Fenced: true,
	}
}

// Faults are the switches of the stand-in.
type Faults struct {
	// SlowBy multiplies the step time; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// LoseEvents is the share of cache events that are never published.
	LoseEvents float64 `json:"lose_events"`
	Leaving    bool    `json:"leaving"`
	// BreakAfter breaks that many streams once, after their third event.
	BreakStreams int `json:"break_streams"`
}

const keepStreams = 30 * time.Second

// Engine is the stand-in. One loop steps all its streams.
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
	// Charged is prompt and output tokens by cache key.
	Charged map[string]int64 `json:"charged"`
	// Held is how many cache items are held, Items how many there are.
	Held     int       `json:"held"`
	Items    int       `json:"items"`
	Evicted  int64     `json:"evicted"`
	LastCall time.Time `json:"last_call"`
	Loads    int       `json:"loads"`
	Stale    int       `json:"stale_orders"`
	// HeldTokenSeconds integrates the tokens kept under a hold.
	HeldTokenSeconds float64 `json:"held_token_seconds"`
}

type stream struct {
	call   types.EngineCall
	prompt int
	cached int
	// prefill counts the prompt tokens still to be computed.
	prefill int
	words   []string
	events  []types.EngineEvent
	done    bool
	cancel  bool
	broken  bool
	ended   time.Time
	seq     int
}

// New makes an engine. Run steps it.
func New(spec Spec) *Engine {
	e := &Engine{
		spec: spec, cache: newCache(spec.CacheSize), streams: map[string]*stream{},
		models: map[string]string{}, stats: Stats{Charged: map[string]int64{}},
	}
	e.wake = sync.NewCond(&e.mu)
	for _, m := range spec.Models {
		e.models[m] = ""
	}
	e.report = e.snapshot()
	return e
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	go e.reports(ctx)
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
		e.emit()
	}
}

// reports publishes a load report every ReportLag.
func (e *Engine) reports(ctx context.Context) {
	lag := max(time.Duration(e.spec.ReportLag), time.Millisecond)
	tick := time.NewTicker(lag)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.publish(lag)
		}
	}
}

func (e *Engine) publish(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = e.snapshot()
	for _, el := range e.cache.items {
		if it := el.Value.(*item); it.held {
			e.stats.HeldTokenSeconds += float64(it.tokens) * lag.Seconds()
		}
	}
	for id, st := range e.streams {
		if st.done && time.Since(st.ended) > keepStreams {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) snapshot() types.LoadReport {
	prefill, output := int64(0), int64(0)
	for _, st := range append(append([]*stream{}, e.waiting...), e.running...) {
		prefill += int64(st.prefill)
		output += int64(len(st.words) - len(st.events))
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

// step admits and prefills; it returns how long the step takes.
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
	computed := e.prefill()
	slow := max(e.faults.SlowBy, 1)
	step := float64(e.spec.StepTime) * (1 + e.spec.BatchCost*float64(len(e.running))) * slow
	step += float64(computed) / e.spec.PrefillRate * float64(time.Second) * slow
	return time.Duration(step), true
}

func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].call.Priority > e.waiting[j].call.Priority })
	for len(e.running) < e.spec.MaxBatch && len(e.waiting) > 0 {
		st := e.waiting[0]
		e.waiting = e.waiting[1:]
		st.cached = e.cache.prefix(st.call.CacheKey, st.prompt)
		st.prefill = st.prompt - st.cached
		e.running = append(e.running, st)
	}
}

func (e *Engine) prefill() int {
	left := e.spec.Chunk
	for _, st := range e.running {
		n := min(st.prefill, left)
		st.prefill -= n
		left -= n
	}
	return e.spec.Chunk - left
}

// emit gives every running stream that is through prefill one token.
func (e *Engine) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	still := e.running[:0]
	for _, st := range e.running {
		e.token(st)
		if !st.done {
			still = append(still, st)
		}
	}
	e.running = still
	e.wake.Broadcast()
}

func (e *Engine) token(st *stream) {
	if st.cancel {
		e.finish(st, "cancelled")
		return
	}
	if st.prefill > 0 {
		return
	}
	st.seq++
	st.events = append(st.events, types.EngineEvent{Attempt: st.call.Attempt, Seq: st.seq, Text: st.words[st.seq-1]})
	e.stats.Tokens++
	if st.seq < len(st.words) {
		return
	}
	reason := "stop"
	if len(st.words) == st.call.MaxTokens {
		reason = "length"
	}
	e.finish(st, reason)
}

func (e *Engine) finish(st *stream, reason string) {
	made := len(st.events)
	usage := types.Usage{PromptTokens: st.prompt, CompletionTokens: made, CachedTokens: st.cached}
	st.seq++
	st.events = append(st.events, types.EngineEvent{Attempt: st.call.Attempt, Seq: st.seq, End: true, Finish: reason, Usage: usage})
	st.done = true
	st.ended = time.Now()
	e.stats.Charged[st.call.CacheKey] += int64(st.prompt + made)
	if reason != "cancelled" {
		e.cache.put(st.call.CacheKey, st.prompt+made, st.call.Hold)
	}
}

// Start begins a stream, or finds the one that the attempt began before.
func (e *Engine) Start(call types.EngineCall) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.LastCall = time.Now()
	if _, ok := e.streams[call.Attempt]; ok {
		return nil
	}
	if e.faults.Leaving {
		return fault.Refuse(fault.Stopping, "engine is leaving")
	}
	if _, ok := e.models[call.Model]; !ok {
		return fault.Refuse(fault.UnknownModel, "model is not loaded here")
	}
	if call.MaxTokens <= 0 || len(call.Messages) == 0 {
		return fault.Refuse(fault.BadRequest, "messages and max_tokens are needed")
	}
	e.stats.Calls++
	st := &stream{call: call, prompt: Count(call.Messages), words: Answer(call.Messages, call.MaxTokens)}
	// What is held already need not be computed when the stream gets its place.
	st.prefill = st.prompt - e.cache.prefix(call.CacheKey, st.prompt)
	if e.faults.BreakStreams > 0 {
		e.faults.BreakStreams--
		st.broken = true
	}
	e.streams[call.Attempt] = st
	e.waiting = append(e.waiting, st)
	e.wake.Broadcast()
	return nil
}

const breakAt = 3

// Follow calls send with each event after the sequence number, until the end mark.
func (e *Engine) Follow(ctx context.Context, attempt string, after int, send func(types.EngineEvent) error) error {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.wake.Broadcast()
	})
	defer stop()
	for {
		events, broken, err := e.next(ctx, attempt, after)
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
			if broken && after >= breakAt {
				return fault.Fail(fault.TargetFailed, "stream broken by order")
			}
		}
	}
}

func (e *Engine) next(ctx context.Context, attempt string, after int) ([]types.EngineEvent, bool, error) {
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
		return nil, false, fault.Fail(fault.TargetFailed, "reader is gone").WithCause(ctx.Err())
	}
	broken := st.broken
	if len(st.events) >= breakAt {
		st.broken = false
	}
	return append([]types.EngineEvent{}, st.events[after:]...), broken, nil
}

// Cancel stops a stream.
func (e *Engine) Cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.streams[attempt]
	if !ok || st.done {
		return
	}
	st.cancel = true
	for i, w := range e.waiting {
		if w == st {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.finish(st, "cancelled")
			break
		}
	}
	e.wake.Broadcast()
}

// Load is the newest published report and the cache events after a sequence number.
func (e *Engine) Load(after int64) (types.LoadReport, []types.CacheEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var events []types.CacheEvent
	for _, ev := range e.cache.events {
		if ev.Seq > after && rand.Float64() >= e.faults.LoseEvents {
			events = append(events, ev)
		}
	}
	return e.report, events
}

// Set switches faults.
func (e *Engine) Set(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.Leaving {
		e.report = e.snapshot()
	}
}
