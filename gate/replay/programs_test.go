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
	// worth is what a program earns in time, late what one earns within twice its time.
	worth, late float64
	// perSecond is how many begin, at a load of 1.
	perSecond float64
	// turns, input, shared and events are means: turns of a program, new and shared tokens of a
	// turn's prompt, and events of its answer.
	turns, input, shared, events int
	think, tool                  time.Duration
	// aim is a program's time against that on idle replicas.
	aim       float64
	objective time.Duration
	// fan is the share of turns after which sub-agents of two turns each run.
	fan float64
	// inherit says that their prompts begin with that of their program.
	inherit bool
}

// tally is what became of the programs of a kind.
type tally struct {
	inTime, late, failed, refused int
	first                         []time.Duration
	// work is the engines' time that the programs need, in seconds.
	work float64
}

func (t *tally) count() int { return t.inTime + t.late + t.failed + t.refused }

// share is the part of the worth that was earned.
func (t *tally) share(k kind) float64 {
	return (float64(t.inTime)*k.worth + float64(t.late)*k.late) / (k.worth * float64(max(1, t.count())))
}

// Callers' ways.
const (
	// callerWaits is the time that a caller gives a turn, and patience that to its first event.
	callerWaits = 4 * time.Second
	patience    = 2 * time.Second
	tries       = 3
	// way is the time that a turn takes between caller, boxes and engine.
	way = 8 * time.Millisecond
)

// program is one program under way.
type program struct {
	*fleet
	kind
	id   string
	rng  *rand.Rand
	due  time.Time
	home *target.Targets
	// refused says that its last turn was turned away, begun that one had a place.
	refused, begun atomic.Bool
}

// plan is the turns of a program, drawn before it begins, so that its time on idle engines is known.
type plan struct {
	inputs, events []int
	pauses         []time.Duration
	helpers        []int
}

func (k kind) plan(rng *rand.Rand) plan {
	var p plan
	for range draw(rng, k.turns) {
		p.inputs = append(p.inputs, draw(rng, k.input))
		p.events = append(p.events, draw(rng, k.events))
		p.pauses = append(p.pauses, time.Duration((0.5+rng.Float64())*float64(k.think+k.tool)))
		helpers := 0
		if rng.Float64() < k.fan {
			helpers = draw(rng, 4)
		}
		p.helpers = append(p.helpers, helpers)
	}
	return p
}

// draw returns a number near the mean, at least 1, skewed as answers and prompts are.
func draw(rng *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*math.Exp(0.5*rng.NormFloat64()-0.125)))
}

// idle is the plan's time on idle engines; work is the engines' own time for it, in seconds.
func (p plan) idle(m model, k kind) (took time.Duration, work float64) {
	for i := range p.inputs {
		read := p.inputs[i]
		if i == 0 {
			read += k.shared
		}
		tokens := p.events[i] * m.stride
		reading := time.Duration(read) * time.Millisecond / time.Duration(m.rate)
		step := m.step + m.perSlot
		turn := reading + time.Duration(tokens)*step
		full := m.step + time.Duration(m.slots)*m.perSlot
		alone := reading.Seconds() + float64(tokens)*full.Seconds()/float64(m.slots)
		took += turn + way + p.pauses[i]
		work += alone * float64(1+2*p.helpers[i])
		if p.helpers[i] > 0 {
			took += 2 * (turn + way)
		}
	}
	return took, work
}

// play runs the program and counts what becomes of it.
func (p *program) play(into *tally) {
	steps := p.plan(p.rng)
	idle, busy := steps.idle(p.model, p.kind)
	left := time.Duration(p.aim*float64(idle)) + p.objective
	start := time.Now()
	p.due = start.Add(left)
	prompt := p.shared
	ok := true
	for i := range steps.inputs {
		prompt += steps.inputs[i]
		if ok = p.turn(line{name: p.id}, prompt, steps.events[i], into); !ok {
			break
		}
		prompt += steps.events[i] * p.model.stride
		if ok = p.help(steps.helpers[i], prompt, steps.events[i], into); !ok {
			break
		}
		time.Sleep(steps.pauses[i])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	into.work += busy
	took := time.Since(start)
	switch {
	case !ok && p.refused.Load():
		into.refused++
	case !ok || took > 2*left:
		into.failed++
	case took > left:
		into.late++
	default:
		into.inTime++
	}
}

// help runs sub-agents side by side, two turns each.
func (p *program) help(n, prompt, events int, into *tally) bool {
	results := make(chan bool, n)
	for i := range n {
		child := line{name: fmt.Sprintf("%s/%d", p.id, i)}
		if p.inherit {
			child = line{name: fmt.Sprintf("%s/%d/%d", p.id, prompt, i), parent: p.id}
		}
		go func() {
			results <- p.turn(child, prompt+p.input, events, into) && p.turn(child, prompt+2*p.input+events*p.model.stride, events, into)
		}()
	}
	ok := true
	for range n {
		ok = <-results && ok
	}
	return ok
}

// line is a row of turns, each of which goes on from the one before.
type line struct {
	name string
	// parent is the line whose prompt a sub-agent's begins with; empty for others.
	parent string
}

// turn takes a turn as callers do: a refusal is heeded once, and a turn that failed is sent again.
func (p *program) turn(of line, prompt, events int, into *tally) bool {
	for try := range tries {
		if try > 0 {
			time.Sleep(100*time.Millisecond + time.Duration(p.random(300))*time.Millisecond)
		}
		if p.request(of, prompt, events, into) {
			return true
		}
	}
	return false
}

// request is one request of a caller, and the same once more after a refusal.
func (p *program) request(of line, prompt, events int, into *tally) bool {
	deadline := time.Now().Add(callerWaits)
	for range 2 {
		err := p.attempt(of, prompt, events, deadline, into)
		if err == nil {
			return true
		}
		f := fault.From(err)
		if !f.NotRun {
			return false
		}
		rest := min(f.RetryAfter, time.Until(deadline)/3)
		time.Sleep(rest)
	}
	return false
}

func (p *program) attempt(of line, prompt, events int, deadline time.Time, into *tally) error {
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	arrived := time.Now()
	time.Sleep(way / 2)
	ask := target.Ask{
		Work: p.name, Services: []work.Split{{Service: service, Weight: 1}},
		Prompt: &work.Prompt{Tokens: prompt, Most: 36 * p.model.stride, Parts: []work.Part{{ID: p.name, Tokens: p.shared}}},
		Seen:   p.seen(of),
		Turn: sched.Turn{
			Program: p.id, Kind: p.name, Fresh: !p.begun.Load(), Priority: p.priority, Left: time.Until(p.due), Arrived: arrived,
		},
	}
	lease, err := p.place(p.home, ask)
	if err != nil {
		p.refused.Store(true)
		return err
	}
	p.begun.Store(true)
	p.refused.Store(false)
	e := p.engines[lease.Replica.ID]
	r := &run{line: of.name, parent: of.parent, part: p.name, shared: p.shared, prompt: prompt, tokens: events * p.model.stride}
	sent := time.Now()
	head := time.Duration(0)
	err = e.send(ctx, r, patience-time.Since(arrived), func() {
		head = time.Since(sent)
		lease.First(head)
	})
	if err != nil {
		out := target.Dropped
		if fault.From(err).NotRun {
			out = target.Refused
		}
		lease.Done(out, 0)
		return err
	}
	lease.Done(target.Answered, (time.Since(sent)-head)/time.Duration(max(events-1, 1)))
	p.note(of.name, lease.Replica.ID, prompt+r.tokens)
	time.Sleep(way / 2)
	p.mu.Lock()
	into.first = append(into.first, time.Since(arrived))
	p.mu.Unlock()
	return nil
}
