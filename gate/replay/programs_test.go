package replay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// kind is a kind of program.
type kind struct {
	name     string
	priority int
	// value is what a program earns that meets its deadline, and lateValue what one earns that takes at
	// most twice the time it is given.
	value, lateValue float64
	// perSecond is the number of programs that start in a second, at a load of 1.
	perSecond float64
	// turns, input and events are means: the turns of a program, the new tokens of a turn's prompt, and
	// the events of its answer. shared is the length of the prefix that all programs of the kind share,
	// in tokens.
	turns, input, shared, events int
	// think and tool add up to the mean pause after a turn.
	think, tool time.Duration
	// deadlineFactor and deadlineSlack set a program's deadline: deadlineFactor times its time on unloaded
	// engines, plus deadlineSlack.
	deadlineFactor float64
	deadlineSlack  time.Duration
	// subAgentShare is the share of turns after which sub-agents run, each of two turns.
	subAgentShare float64
	// inheritPrompt reports whether the prompts of sub-agents begin with their program's.
	inheritPrompt bool
}

// outcomes counts how the programs of a kind ended.
type outcomes struct {
	inTime, late, failed, refused int
	turnTimes                     []time.Duration
	// work is the engine time that the programs need, in seconds.
	work float64
}

func (o *outcomes) count() int { return o.inTime + o.late + o.failed + o.refused }

// valueShare returns the share of the possible value that was earned.
func (o *outcomes) valueShare(k kind) float64 {
	return (float64(o.inTime)*k.value + float64(o.late)*k.lateValue) / (k.value * float64(max(1, o.count())))
}

// Behaviour of callers.
const (
	// callTimeout is the time that a caller allows a turn, and firstEventTimeout the time until its
	// first event.
	callTimeout       = 4 * time.Second
	firstEventTimeout = 2 * time.Second
	maxAttempts       = 3
	// transitTime is the network time of a turn, there and back.
	transitTime = 8 * time.Millisecond
)

// program is a running program.
type program struct {
	*fleet
	kind
	id       string
	rng      *rand.Rand
	deadline time.Time
	box      *target.Targets
	// refused is set if the last request was refused, and started once a turn has got a place.
	refused, started atomic.Bool
}

// plan holds the turns of a program. They are drawn before it starts, so that its time on unloaded
// engines is known.
type plan struct {
	inputs, events []int
	pauses         []time.Duration
	subAgents      []int
}

// plan draws the turns of a program of the kind.
func (k kind) plan(rng *rand.Rand) plan {
	var p plan
	for range sample(rng, k.turns) {
		p.inputs = append(p.inputs, sample(rng, k.input))
		p.events = append(p.events, sample(rng, k.events))
		p.pauses = append(p.pauses, time.Duration((0.5+rng.Float64())*float64(k.think+k.tool)))
		subAgents := 0
		if rng.Float64() < k.subAgentShare {
			subAgents = sample(rng, 4)
		}
		p.subAgents = append(p.subAgents, subAgents)
	}
	return p
}

// sample returns a random size, at least 1, from a log-normal distribution with the mean.
func sample(rng *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*math.Exp(0.5*rng.NormFloat64()-0.125)))
}

// unloaded returns the time that the plan takes on unloaded engines, and the engine time that it needs,
// in seconds. The latter assumes that all slots are in use.
func (p plan) unloaded(spec engineSpec, k kind) (took time.Duration, work float64) {
	for i := range p.inputs {
		missing := p.inputs[i]
		if i == 0 {
			missing += k.shared
		}
		tokens := p.events[i] * spec.stride
		prefillTime := time.Duration(missing) * time.Millisecond / time.Duration(spec.prefillRate)
		step := spec.step + spec.stepPerCall
		turn := prefillTime + time.Duration(tokens)*step
		fullStep := spec.step + time.Duration(spec.slots)*spec.stepPerCall
		engineTime := prefillTime.Seconds() + float64(tokens)*fullStep.Seconds()/float64(spec.slots)
		took += turn + transitTime + p.pauses[i]
		work += engineTime * float64(1+2*p.subAgents[i])
		if p.subAgents[i] > 0 {
			took += 2 * (turn + transitTime)
		}
	}
	return took, work
}

// run runs the program and counts its outcome.
func (p *program) run(counts *outcomes) {
	steps := p.plan(p.rng)
	unloaded, engineTime := steps.unloaded(p.spec, p.kind)
	timeLeft := time.Duration(p.deadlineFactor*float64(unloaded)) + p.deadlineSlack
	start := time.Now()
	p.deadline = start.Add(timeLeft)
	prompt := p.shared
	ok := true
	for i := range steps.inputs {
		prompt += steps.inputs[i]
		if ok = p.runTurn(conversation{name: p.id}, prompt, steps.events[i], counts); !ok {
			break
		}
		prompt += steps.events[i] * p.spec.stride
		if ok = p.runSubAgents(steps.subAgents[i], prompt, steps.events[i], counts); !ok {
			break
		}
		time.Sleep(steps.pauses[i])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	counts.work += engineTime
	took := time.Since(start)
	switch {
	case !ok && p.refused.Load():
		counts.refused++
	case !ok || took > 2*timeLeft:
		counts.failed++
	case took > timeLeft:
		counts.late++
	default:
		counts.inTime++
	}
}

// runSubAgents runs n sub-agents concurrently, two turns each, and reports whether all turns succeeded.
func (p *program) runSubAgents(n, prompt, events int, counts *outcomes) bool {
	results := make(chan bool, n)
	for i := range n {
		child := conversation{name: fmt.Sprintf("%s/%d", p.id, i)}
		if p.inheritPrompt {
			child = conversation{name: fmt.Sprintf("%s/%d/%d", p.id, prompt, i), parent: p.id}
		}
		go func() {
			results <- p.runTurn(child, prompt+p.input, events, counts) && p.runTurn(child, prompt+2*p.input+events*p.spec.stride, events, counts)
		}()
	}
	ok := true
	for range n {
		ok = <-results && ok
	}
	return ok
}

// conversation is a sequence of turns, each of which extends the prompt of the one before.
type conversation struct {
	name string
	// parent is the conversation whose prompt a sub-agent's prompt begins with, empty for others.
	parent string
}

// runTurn runs a turn as a caller does: it repeats a failed request, up to maxAttempts in all. It reports
// whether the turn succeeded.
func (p *program) runTurn(conv conversation, prompt, events int, counts *outcomes) bool {
	for try := range maxAttempts {
		if try > 0 {
			time.Sleep(100*time.Millisecond + time.Duration(p.random(300))*time.Millisecond)
		}
		if p.request(conv, prompt, events, counts) {
			return true
		}
	}
	return false
}

// request sends a request, and sends it once more if it is refused, after the Retry-After delay.
func (p *program) request(conv conversation, prompt, events int, counts *outcomes) bool {
	deadline := time.Now().Add(callTimeout)
	for range 2 {
		err := p.attempt(conv, prompt, events, deadline, counts)
		if err == nil {
			return true
		}
		f := fault.From(err)
		if !f.NotRun {
			return false
		}
		delay := min(f.RetryAfter, time.Until(deadline)/3)
		time.Sleep(delay)
	}
	return false
}

// attempt sends one request, and returns a fault if it is refused or fails.
func (p *program) attempt(conv conversation, prompt, events int, deadline time.Time, counts *outcomes) error {
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	arrived := time.Now()
	time.Sleep(transitTime / 2)
	ask := target.CallRequest{
		WorkKind: p.name, Services: []work.Split{{Service: service, Weight: 1}},
		Prompt:       &work.Prompt{Tokens: prompt, Most: 36 * p.spec.stride, Parts: []work.Part{{ID: p.name, Tokens: p.shared}}},
		CachedTokens: p.cachedFor(conv),
		Turn: sched.Turn{
			Program: p.id, Kind: p.name, NewProgram: !p.started.Load(), Priority: p.priority, TimeLeft: time.Until(p.deadline), Arrived: arrived,
		},
	}
	lease, err := p.place(p.box, ask)
	if err != nil {
		p.refused.Store(true)
		return err
	}
	p.started.Store(true)
	p.refused.Store(false)
	e := p.engines[lease.Replica.ID]
	call := &engineCall{conversation: conv.name, parent: conv.parent, prefix: p.name, shared: p.shared, prompt: prompt, tokens: events * p.spec.stride}
	sent := time.Now()
	firstEvent := time.Duration(0)
	err = e.send(ctx, call, firstEventTimeout-time.Since(arrived), func() {
		firstEvent = time.Since(sent)
		lease.RecordFirstEvent(firstEvent)
	})
	if err != nil {
		outcome := target.Abandoned
		if fault.From(err).NotRun {
			outcome = target.Refused
		}
		if fault.Is(err, fault.TargetFailed) {
			outcome = target.Incomplete
		}
		lease.Done(outcome, 0)
		return err
	}
	lease.Done(target.Answered, (time.Since(sent)-firstEvent)/time.Duration(max(events-1, 1)))
	p.recordCached(conv.name, lease.Replica.ID, prompt+call.tokens)
	time.Sleep(transitTime / 2)
	p.mu.Lock()
	counts.turnTimes = append(counts.turnTimes, time.Since(arrived))
	p.mu.Unlock()
	return nil
}
