package proof

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/plain"
	"mulleingate.dev/stand/model"
)

// tools counts effects by key.
type tools struct {
	mu      sync.Mutex
	counts  map[string]int
	outputs map[string]json.RawMessage
	// lose answers after the effect; refuse before it.
	lose, refuse bool
}

func (t *tools) set(lose, refuse bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose, t.refuse = lose, refuse
}

func (t *tools) count(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[key]
}

// SendOnce implements the replicas of services.
func (t *tools) SendOnce(_ context.Context, _ types.Service, _ types.RuleInput, body plain.Body) (json.RawMessage, error) {
	return t.run(body.Key, body.Input)
}

// SendRepeatable implements the replicas of services.
func (t *tools) SendRepeatable(_ context.Context, _ types.Service, _ types.RuleInput, body plain.Body) (json.RawMessage, error) {
	return t.run(body.Key, body.Input)
}

func (t *tools) run(key string, input json.RawMessage) (json.RawMessage, error) {
	t.mu.Lock()
	refuse, lose := t.refuse, t.lose
	t.mu.Unlock()
	if refuse {
		return nil, fault.Refuse(fault.NoTarget, "refused before any effect")
	}
	time.Sleep(3 * time.Millisecond)
	t.mu.Lock()
	t.counts[key]++
	t.outputs[key] = input
	t.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if lose {
		return nil, fault.Fail(fault.TargetFailed, "answer lost after the effect")
	}
	return input, nil
}

// Probe implements the replicas of services.
func (t *tools) Probe(_ context.Context, _ types.Service, _ types.RuleInput, key string) (json.RawMessage, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, ok := t.outputs[key]
	return out, ok, nil
}

// models is all engines together: what they charged and what they keep.
type models struct {
	mu sync.Mutex
	// charged is in tokens by program, cached tells which programs have cache held.
	charged map[string]int64
	cached  map[string]bool
	broken  int
}

func newModels() *models {
	return &models{charged: map[string]int64{}, cached: map[string]bool{}}
}

func (m *models) targets() []types.Target {
	return []types.Target{
		{Name: "e-0", Kind: types.Engine, Zone: zones[0], Models: []string{"m"}},
		{Name: "e-1", Kind: types.Engine, Zone: zones[1], Models: []string{"m"}},
	}
}

// breakNext makes the next n streams break in the middle, with all their cost.
func (m *models) breakNext(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.broken = n
}

func (m *models) charge(program string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.charged[program] += int64(tokens)
}

func (m *models) chargedTo(program string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.charged[program]
}

func (m *models) breaks() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken == 0 {
		return false
	}
	m.broken--
	return true
}

// engines is how one box reaches the engines.
type engines struct{ b *box }

// Run implements model calls: the whole cost is charged as soon as the call is begun.
func (e *engines) Run(ctx context.Context, _ types.Target, call types.EngineCall, emit func(types.EngineEvent)) (types.EngineEvent, error) {
	if !e.b.pass() {
		return types.EngineEvent{}, fault.Refuse(fault.TargetFailed, "box is dead")
	}
	m := e.b.w.models
	words := model.Answer(call.Messages, call.MaxTokens)
	prompt := model.Count(call.Messages)
	m.charge(call.CacheKey, prompt+len(words))
	breaks := m.breaks()
	for i, word := range words {
		time.Sleep(2 * time.Millisecond)
		if !e.b.pass() || ctx.Err() != nil || (breaks && i == 1) {
			return types.EngineEvent{}, fault.Fail(fault.TargetFailed, "stream broke")
		}
		emit(types.EngineEvent{Attempt: call.Attempt, Seq: i + 1, Text: word})
	}
	m.mu.Lock()
	m.cached[call.CacheKey] = true
	m.mu.Unlock()
	finish := "stop"
	if len(words) == call.MaxTokens {
		finish = "length"
	}
	return types.EngineEvent{
		Attempt: call.Attempt, Seq: len(words) + 1, End: true, Finish: finish,
		Usage: types.Usage{PromptTokens: prompt, CompletionTokens: len(words)},
	}, nil
}

func (e *engines) Cancel(types.Target, string) {}

func (e *engines) Target(string) (types.Target, bool) { return types.Target{}, false }

func (e *engines) Trim(string, string) {}

func (e *engines) Drop(string, string) {}

func (e *engines) Move(string, types.Target, types.Target) {}

// Release implements cache release.
func (e *engines) Release(programs []string) {
	time.Sleep(2 * time.Millisecond)
	if !e.b.pass() {
		return
	}
	m := e.b.w.models
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range programs {
		delete(m.cached, id)
	}
}

// Sweep implements the sweep of caches.
func (e *engines) Sweep(gone func(program string) bool) {
	m := e.b.w.models
	m.mu.Lock()
	ids := make([]string, 0, len(m.cached))
	for id := range m.cached {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	for _, id := range ids {
		if gone(id) {
			e.Release([]string{id})
		}
	}
}

// answerText is what an engine answers to the messages.
func answerText(messages []types.Message, maxTokens int) string {
	return strings.Join(model.Answer(messages, maxTokens), " ")
}
