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

// fakeTools stands in for the tool replicas and counts the effects of calls by idempotency key.
type fakeTools struct {
	mu      sync.Mutex
	counts  map[string]int
	outputs map[string]json.RawMessage
	// loseAnswers fails calls after their effect, refuse rejects them before it.
	loseAnswers, refuse bool
}

func (t *fakeTools) setFaults(lose, refuse bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseAnswers, t.refuse = lose, refuse
}

func (t *fakeTools) count(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[key]
}

// SendOnce runs a call that may not be repeated.
func (t *fakeTools) SendOnce(_ context.Context, _ types.Service, _ types.RuleInput, body plain.Body) (json.RawMessage, error) {
	return t.run(body.Key, body.Input)
}

// SendRepeatable runs a call that may be repeated.
func (t *fakeTools) SendRepeatable(_ context.Context, _ types.Service, _ types.RuleInput, body plain.Body) (json.RawMessage, error) {
	return t.run(body.Key, body.Input)
}

func (t *fakeTools) run(key string, input json.RawMessage) (json.RawMessage, error) {
	t.mu.Lock()
	refuse, lose := t.refuse, t.loseAnswers
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

// Probe returns the output of an earlier call with the key, if one took effect.
func (t *fakeTools) Probe(_ context.Context, _ types.Service, _ types.RuleInput, key string) (json.RawMessage, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, ok := t.outputs[key]
	return out, ok, nil
}

// engineState is the state of all engines: the tokens they charged and the caches they hold.
type engineState struct {
	mu sync.Mutex
	// charged counts tokens by program; cached holds the programs whose cache is kept.
	charged map[string]int64
	cached  map[string]bool
	// streamsToBreak is the number of further streams that break in the middle.
	streamsToBreak int
}

func newEngineState() *engineState {
	return &engineState{charged: map[string]int64{}, cached: map[string]bool{}}
}

func (m *engineState) targets() []types.Target {
	return []types.Target{
		{Name: "e-0", Kind: types.Engine, Zone: zones[0], Models: []string{"m"}},
		{Name: "e-1", Kind: types.Engine, Zone: zones[1], Models: []string{"m"}},
	}
}

// breakNext makes the next n streams break in the middle. They are charged in full.
func (m *engineState) breakNext(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamsToBreak = n
}

func (m *engineState) charge(program string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.charged[program] += int64(tokens)
}

func (m *engineState) chargedTokens(program string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.charged[program]
}

func (m *engineState) nextBreaks() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streamsToBreak == 0 {
		return false
	}
	m.streamsToBreak--
	return true
}

// engineClient is one box's client for the engines.
type engineClient struct{ b *box }

// Run streams the answer to a model call. The full cost is charged at its start.
func (e *engineClient) Run(ctx context.Context, _ types.Target, call types.EngineCall, emit func(types.EngineEvent)) (types.EngineEvent, error) {
	if !e.b.waitResumed() {
		return types.EngineEvent{}, fault.Refuse(fault.TargetFailed, "box is down")
	}
	m := e.b.w.engines
	words := model.AnswerWords(call.Messages, call.MaxTokens)
	prompt := model.CountTokens(call.Messages)
	m.charge(call.CacheKey, prompt+len(words))
	breaks := m.nextBreaks()
	for i, word := range words {
		time.Sleep(2 * time.Millisecond)
		if !e.b.waitResumed() || ctx.Err() != nil || (breaks && i == 1) {
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

func (e *engineClient) Cancel(types.Target, string) {}

func (e *engineClient) Target(string) (types.Target, bool) { return types.Target{}, false }

func (e *engineClient) Trim(string, string) {}

func (e *engineClient) Drop(string, string) {}

func (e *engineClient) Move(string, types.Target, types.Target) {}

// Release drops the caches of programs.
func (e *engineClient) Release(programs []string) {
	time.Sleep(2 * time.Millisecond)
	if !e.b.waitResumed() {
		return
	}
	m := e.b.w.engines
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range programs {
		delete(m.cached, id)
	}
}

// Sweep releases the caches of the programs that are gone.
func (e *engineClient) Sweep(gone func(program string) bool) {
	m := e.b.w.engines
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

// expectedAnswer returns the answer that an engine gives to the messages.
func expectedAnswer(messages []types.Message, maxTokens int) string {
	return strings.Join(model.AnswerWords(messages, maxTokens), " ")
}
