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

// engineState is the state of all engines.
type engineState struct {
	mu sync.Mutex
	// charged counts the tokens charged to each program; cached holds the programs whose cache is kept.
	charged map[string]int64
	cached  map[string]bool
	// streamsToBreak is the number of further streams that break in the middle.
	streamsToBreak int
}

func newEngineState() *engineState {
	return &engineState{charged: map[string]int64{}, cached: map[string]bool{}}
}

func (s *engineState) targets() []types.Target {
	return []types.Target{
		{Name: "e-0", Kind: types.Engine, Zone: zones[0], Models: []string{"m"}},
		{Name: "e-1", Kind: types.Engine, Zone: zones[1], Models: []string{"m"}},
	}
}

// breakNext makes the next n streams break in the middle. They are charged in full.
func (s *engineState) breakNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamsToBreak = n
}

func (s *engineState) charge(program string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.charged[program] += int64(tokens)
}

func (s *engineState) chargedTokens(program string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.charged[program]
}

func (s *engineState) nextBreaks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streamsToBreak == 0 {
		return false
	}
	s.streamsToBreak--
	return true
}

// engineClient is one box's client for the engines.
type engineClient struct{ b *box }

// Run streams the answer to a model call. All its tokens are charged before the stream starts.
func (e *engineClient) Run(ctx context.Context, _ types.Target, call types.EngineCall, emit func(types.EngineEvent)) (types.EngineEvent, error) {
	if !e.b.waitResumed() {
		return types.EngineEvent{}, fault.Refuse(fault.TargetFailed, "box is down")
	}
	engines := e.b.w.engines
	words := model.AnswerWords(call.Messages, call.MaxTokens)
	prompt := model.CountTokens(call.Messages)
	engines.charge(call.CacheKey, prompt+len(words))
	breaks := engines.nextBreaks()
	for i, word := range words {
		time.Sleep(2 * time.Millisecond)
		if !e.b.waitResumed() || ctx.Err() != nil || (breaks && i == 1) {
			return types.EngineEvent{}, fault.Fail(fault.TargetFailed, "stream broke")
		}
		emit(types.EngineEvent{Attempt: call.Attempt, Seq: i + 1, Text: word})
	}
	engines.mu.Lock()
	engines.cached[call.CacheKey] = true
	engines.mu.Unlock()
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
	engines := e.b.w.engines
	engines.mu.Lock()
	defer engines.mu.Unlock()
	for _, id := range programs {
		delete(engines.cached, id)
	}
}

// Sweep releases the caches of the programs that are gone.
func (e *engineClient) Sweep(gone func(program string) bool) {
	engines := e.b.w.engines
	engines.mu.Lock()
	ids := make([]string, 0, len(engines.cached))
	for id := range engines.cached {
		ids = append(ids, id)
	}
	engines.mu.Unlock()
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
