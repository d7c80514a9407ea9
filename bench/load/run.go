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

// Spec describes a run.
type Spec struct {
	Plans      []Plan
	Workspaces []string
	Model      string
	// LookupService is the name of a service that may be repeated, BookingService of one that may not.
	LookupService, BookingService string
	Balancer                      Balancer
	Deadline                      time.Duration
}

const (
	tokenBudget = 2_000_000
	maxTokens   = 200
	dataClass   = "personal"
)

// Run starts each program at its arrival time and returns when all have ended. If ctx ends
// first, no further programs start.
func Run(ctx context.Context, spec Spec) *Stats {
	stats := newStats()
	stats.Planned = len(spec.Plans)
	shared := client.New("load", nil)
	start := time.Now()
	var group sync.WaitGroup
	for i, plan := range spec.Plans {
		if !sleepUntil(ctx, start.Add(plan.Arrival)) {
			break
		}
		group.Go(func() {
			rng := rand.New(rand.NewPCG(plan.Seed, 11))
			workspace := spec.Workspaces[i%len(spec.Workspaces)]
			c := &caller{http: shared, balancer: spec.Balancer, token: sample.Token(workspace), rng: rng, stats: stats}
			r := &runner{spec: spec, caller: c, plan: plan, stats: stats, workspace: workspace}
			err := r.runProgram(ctx)
			r.recordOutcome(err, start)
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

// runner runs one program and checks its answers.
type runner struct {
	spec      Spec
	caller    *caller
	plan      Plan
	stats     *Stats
	workspace string
	bookings  int
}

// recordOutcome records how the program ended.
func (r *runner) recordOutcome(err error, start time.Time) {
	if err == nil {
		now := time.Since(start)
		r.stats.countFinished(r.plan.Kind, now-r.plan.Arrival, now)
		return
	}
	f := fault.From(err)
	r.stats.update(func(s *Stats) {
		if f.NotRun && (f.Kind == fault.Overloaded || f.Kind == fault.DeadlineTooNear) {
			s.Refused++
			return
		}
		s.Failed++
	})
}

// conversation is the caller's state of a program or sub-agent.
type conversation struct {
	id      string
	token   string
	turn    int
	history []types.Message
	// computedTokens is the number of tokens of the last turn's prompt and answer.
	computedTokens int
}

func (r *runner) runProgram(ctx context.Context) error {
	var state types.ProgramState
	body := types.NewProgram{
		Model: r.spec.Model, DataClass: dataClass, Kind: r.plan.Kind, Budget: tokenBudget, Deadline: types.Duration(r.spec.Deadline),
	}
	if err := r.caller.post(ctx, "/v1/programs", "", body, &state); err != nil {
		return err
	}
	conv := &conversation{id: state.ID, token: state.Continuation}
	err := r.runSteps(ctx, conv, r.plan.Steps)
	if endErr := r.caller.call(ctx, "DELETE", "/v1/programs/"+conv.id, "", nil, &state); endErr != nil {
		r.stats.countFault(fault.From(endErr))
	}
	return err
}

func (r *runner) runSteps(ctx context.Context, conv *conversation, steps []Step) error {
	for _, step := range steps {
		if step.Pause > 0 {
			time.Sleep(step.Pause)
		}
		if err := r.runStep(ctx, conv, step); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) runStep(ctx context.Context, conv *conversation, step Step) error {
	switch step.Kind {
	case LookupStep:
		return r.callService(ctx, conv, r.spec.LookupService, "")
	case BookingStep:
		r.bookings++
		return r.callService(ctx, conv, r.spec.BookingService, fmt.Sprintf("%x-%d", r.plan.Seed, r.bookings))
	case AgentStep:
		return r.runAgent(ctx, conv, step)
	default:
		return r.sendTurn(ctx, conv, step)
	}
}

func (r *runner) sendTurn(ctx context.Context, conv *conversation, step Step) error {
	question := []types.Message{{Role: "user", Content: questionText(r.plan.Seed, conv.turn, step.Words, step.Tokens)}}
	body := types.TurnRequest{Turn: conv.turn + 1, Messages: question, MaxTokens: maxTokens, Continuation: conv.token}
	var answer types.TurnAnswer
	if err := r.caller.post(ctx, "/v1/programs/"+conv.id+"/turns", "", body, &answer); err != nil {
		return err
	}
	conv.history = append(conv.history, question...)
	want := strings.Join(model.AnswerWords(conv.history, maxTokens), " ")
	got := answer.Choices[0].Message.Content
	if got != want || answer.Turn != conv.turn+1 || answer.Program != conv.id {
		r.stats.addViolation(fmt.Sprintf("%s turn %d: wrong, incomplete or foreign answer", conv.id, conv.turn+1))
	}
	conv.history = append(conv.history, types.Message{Role: "assistant", Content: got})
	conv.turn++
	conv.token = answer.Continuation
	r.countRecomputed(conv, *answer.Usage)
	return nil
}

// countRecomputed counts the prefix tokens that were computed again although an earlier turn had
// computed them.
func (r *runner) countRecomputed(conv *conversation, usage types.Usage) {
	prior := conv.computedTokens
	conv.computedTokens = usage.PromptTokens + usage.CompletionTokens
	r.stats.update(func(s *Stats) {
		s.Turns++
		s.PriorTokens[r.plan.Kind] += int64(prior)
		s.RecomputedTokens[r.plan.Kind] += int64(max(0, prior-usage.CachedTokens))
	})
}

func (r *runner) callService(ctx context.Context, conv *conversation, service, key string) error {
	var answer types.ServiceAnswer
	body := types.ServiceCall{Input: marshal(map[string]string{"key": key, "program": conv.id}), Continuation: conv.token}
	err := r.caller.post(ctx, "/v1/programs/"+conv.id+"/calls/"+service, key, body, &answer)
	if fault.Is(err, fault.OutcomeUnknown) {
		// Not a failure of the system: a real caller would find out the outcome by other means.
		r.stats.update(func(s *Stats) { s.UnknownOutcomes++ })
		return nil
	}
	if err != nil {
		return err
	}
	r.stats.update(func(s *Stats) { s.Calls++ })
	var receipt tool.Receipt
	if json.Unmarshal(answer.Output, &receipt) != nil || string(receipt.Input) != string(body.Input) {
		r.stats.addViolation(fmt.Sprintf("%s: the answer of %s does not match the call", conv.id, service))
	}
	return nil
}

func (r *runner) runAgent(ctx context.Context, parent *conversation, step Step) error {
	var state types.ProgramState
	body := types.NewProgram{Model: r.spec.Model, DataClass: dataClass, Kind: r.plan.Kind, Continuation: parent.token}
	if err := r.caller.post(ctx, "/v1/programs/"+parent.id+"/agents", "", body, &state); err != nil {
		return err
	}
	conv := &conversation{id: state.ID, token: state.Continuation}
	return r.runSteps(ctx, conv, step.Agent)
}
