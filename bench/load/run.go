package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/stand/model"
	"mulleingate.dev/stand/tool"
)

// Spec says what to play.
type Spec struct {
	Plans      []Plan
	Workspaces []string
	Model      string
	// Look is a repeatable service, Book one that may not be repeated.
	Look, Book string
	Entries    Entries
	Deadline   time.Duration
}

const (
	budget    = 2_000_000
	maxTokens = 200
	dataClass = "personal"
)

// Run plays all plans and returns when every program has ended.
func Run(ctx context.Context, spec Spec) *Stats {
	stats := newStats()
	stats.Planned = len(spec.Plans)
	shared := client.New("load", nil)
	start := time.Now()
	var group sync.WaitGroup
	for i, plan := range spec.Plans {
		if !sleepUntil(ctx, start.Add(plan.At)) {
			break
		}
		group.Go(func() {
			rng := rand.New(rand.NewPCG(plan.Seed, 11))
			workspace := spec.Workspaces[i%len(spec.Workspaces)]
			c := &caller{http: shared, entries: spec.Entries, token: sample.Token(workspace), rng: rng, stats: stats}
			player := &player{spec: spec, c: c, plan: plan, stats: stats, workspace: workspace}
			err := player.program(ctx)
			player.note(err, start)
		})
	}
	group.Wait()
	return stats
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// player plays one program and knows all that it must see.
type player struct {
	spec      Spec
	c         *caller
	plan      Plan
	stats     *Stats
	workspace string
	booked    int
}

// note files how the program ended.
func (p *player) note(err error, start time.Time) {
	if err == nil {
		now := time.Since(start)
		p.stats.finished(p.plan.Kind, now-p.plan.At, now)
		return
	}
	f := fault.From(err)
	p.stats.add(func(s *Stats) {
		if f.NotRun && (f.Kind == fault.Overloaded || f.Kind == fault.DeadlineTooNear) {
			s.Refused++
			return
		}
		s.Failed++
	})
}

// thread is a program or sub-agent as its caller knows it.
type thread struct {
	id      string
	token   string
	turn    int
	history []types.Message
	prior   int
}

func (p *player) program(ctx context.Context) error {
	var state types.ProgramState
	body := types.NewProgram{
		Model: p.spec.Model, DataClass: dataClass, Kind: p.plan.Kind, Budget: budget, Deadline: types.Duration(p.spec.Deadline),
	}
	if err := p.c.post(ctx, "/v1/programs", "", body, &state); err != nil {
		return err
	}
	th := &thread{id: state.ID, token: state.Continuation}
	err := p.steps(ctx, th, p.plan.Steps)
	if endErr := p.c.call(ctx, "DELETE", "/v1/programs/"+th.id, "", nil, &state); endErr != nil {
		p.stats.refusal(fault.From(endErr))
	}
	return err
}

func (p *player) steps(ctx context.Context, th *thread, steps []Step) error {
	for _, step := range steps {
		if step.Pause > 0 {
			time.Sleep(step.Pause)
		}
		if err := p.step(ctx, th, step); err != nil {
			return err
		}
	}
	return nil
}

func (p *player) step(ctx context.Context, th *thread, step Step) error {
	switch step.Kind {
	case LookStep:
		return p.service(ctx, th, p.spec.Look, "")
	case BookStep:
		p.booked++
		return p.service(ctx, th, p.spec.Book, fmt.Sprintf("%x-%d", p.plan.Seed, p.booked))
	case AgentStep:
		return p.agent(ctx, th, step)
	default:
		return p.turn(ctx, th, step)
	}
}

func (p *player) turn(ctx context.Context, th *thread, step Step) error {
	ask := []types.Message{{Role: "user", Content: question(p.plan.Seed, th.turn, step.Words, step.Tokens)}}
	body := types.TurnRequest{Turn: th.turn + 1, Messages: ask, MaxTokens: maxTokens, Continuation: th.token}
	var answer types.TurnAnswer
	if err := p.c.post(ctx, "/v1/programs/"+th.id+"/turns", "", body, &answer); err != nil {
		return err
	}
	th.history = append(th.history, ask...)
	want := strings.Join(model.Answer(th.history, maxTokens), " ")
	got := answer.Choices[0].Message.Content
	if got != want || answer.Turn != th.turn+1 || answer.Program != th.id {
		p.stats.violation(fmt.Sprintf("%s turn %d: not its own whole answer", th.id, th.turn+1))
	}
	th.history = append(th.history, types.Message{Role: "assistant", Content: got})
	th.turn++
	th.token = answer.Continuation
	p.cache(th, *answer.Usage)
	return nil
}

// cache counts the prefix tokens that were computed again though some replica had them.
func (p *player) cache(th *thread, usage types.Usage) {
	prior := th.prior
	th.prior = usage.PromptTokens + usage.CompletionTokens
	p.stats.add(func(s *Stats) {
		s.Turns++
		s.Prior[p.plan.Kind] += int64(prior)
		s.Recomputed[p.plan.Kind] += int64(max(0, prior-usage.CachedTokens))
	})
}

func (p *player) service(ctx context.Context, th *thread, service, key string) error {
	var answer types.ServiceAnswer
	body := types.ServiceCall{Input: raw(map[string]string{"key": key, "program": th.id}), Continuation: th.token}
	err := p.c.post(ctx, "/v1/programs/"+th.id+"/calls/"+service, key, body, &answer)
	if fault.Is(err, fault.OutcomeUnknown) {
		// A true answer: the caller asks somebody. The program goes on.
		p.stats.add(func(s *Stats) { s.Unknown++ })
		return nil
	}
	if err != nil {
		return err
	}
	p.stats.add(func(s *Stats) { s.Calls++ })
	var receipt tool.Receipt
	if json.Unmarshal(answer.Output, &receipt) != nil || string(receipt.Input) != string(body.Input) {
		p.stats.violation(fmt.Sprintf("%s: the answer of %s is not its own", th.id, service))
	}
	return nil
}

func (p *player) agent(ctx context.Context, parent *thread, step Step) error {
	var state types.ProgramState
	body := types.NewProgram{Model: p.spec.Model, DataClass: dataClass, Kind: p.plan.Kind, Continuation: parent.token}
	if err := p.c.post(ctx, "/v1/programs/"+parent.id+"/agents", "", body, &state); err != nil {
		return err
	}
	th := &thread{id: state.ID, token: state.Continuation}
	return p.steps(ctx, th, step.Agent)
}
