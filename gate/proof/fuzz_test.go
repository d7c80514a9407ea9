package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/fixed"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/types"
	"mulleingate.dev/stand/applog"
)

func TestMain(m *testing.M) {
	os.Exit(fixed.Main(m, "60"))
}

// The kinds of step.
const (
	opBegin = iota
	opTurn
	opTurnAsync
	opCall
	opCallAsync
	opRepeat
	opAgent
	opAttack
	opEnd
	opEndCrash
	opCrash
	opStop
	opStart
	opPause
	opCutLog
	opCutPeers
	opLogDown
	opLoseAnswers
	opLateAppends
	opToolLoses
	opToolRefuses
	opBreakStreams
	opPublish
	opOldCopy
	opWait
	opCount
)

var opNames = [opCount]string{
	"begin", "turn", "turn_async", "call", "call_async", "repeat", "agent", "attack", "end", "end_crash", "crash", "stop", "start", "pause",
	"cut_log", "cut_peers", "log_down", "lose_answers", "late_appends", "tool_loses", "tool_refuses", "break_streams", "publish", "old_copy", "wait",
}

// step is one drawn action; A, B and C choose among what there is when it is taken.
type step struct{ Op, A, B, C int }

func (s step) String() string {
	return fmt.Sprintf("%s(%d,%d,%d)", opNames[s.Op], s.A, s.B, s.C)
}

func drawStep(t *rapid.T) step {
	// Callers' actions come more often than faults.
	op := rapid.OneOf(rapid.IntRange(opBegin, opRepeat), rapid.IntRange(0, opCount-1)).Draw(t, "op")
	small := rapid.IntRange(0, 11)
	return step{Op: op, A: small.Draw(t, "a"), B: small.Draw(t, "b"), C: small.Draw(t, "c")}
}

func TestFleetKeepsItsPromises(t *testing.T) {
	steps, answers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(drawStep), 20, 80).Draw(rt, "plan")
		var o *oracle
		synctest.Test(t, func(*testing.T) { o = run(plan) })
		if o == nil {
			rt.Fatalf("the world did not run")
		}
		steps += len(plan)
		answers += o.ok
		if len(o.broken) > 0 {
			rt.Fatalf("broken after %v:\n%s", plan, o.report())
		}
	})
	t.Logf("%d steps, %d answers", steps, answers)
}

func (o *oracle) report() string {
	var lines []string
	for promise, what := range o.broken {
		lines = append(lines, promise+": "+what)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// run plays the plan, heals everything, and judges.
func run(plan []step) *oracle {
	w, err := newWorld()
	o := newOracle(w)
	if err != nil {
		o.fail("setup", "%v", err)
		return o
	}
	time.Sleep(time.Second)
	for _, s := range plan {
		o.play(s)
		o.watch()
	}
	o.async.Wait()
	w.heal()
	time.Sleep(8 * time.Second)
	o.watch()
	// All that was there must outlive the log's retention and then all boxes at once.
	time.Sleep(keep + 5*time.Second)
	for i := range boxCount {
		w.crash(i)
	}
	w.heal()
	time.Sleep(8 * time.Second)
	o.judge()
	w.close()
	return o
}

// play takes one step and lets a little time go by.
func (o *oracle) play(s step) {
	p := o.pick(s.A)
	entry := s.B % boxCount
	wait := time.Duration(s.C*50) * time.Millisecond
	switch s.Op {
	case opBegin:
		o.begin(entry, []string{"one", "two"}[s.A%2])
	case opTurn:
		o.withProgram(p, func() { _, _ = o.turn(p, []int{entry, (entry + 1) % boxCount, (entry + 2) % boxCount}) })
	case opTurnAsync:
		o.withProgram(p, func() { o.async.Go(func() { _, _ = o.turn(p, []int{entry, (entry + s.C) % boxCount}) }) })
	case opCall:
		o.call(o.newKey(s), o.payer(p, s), entry)
	case opCallAsync:
		k := o.newKey(s)
		payer := o.payer(p, s)
		o.async.Go(func() { o.call(k, payer, entry) })
		o.async.Go(func() { o.call(k, payer, (entry+1)%boxCount) })
	case opRepeat:
		if len(o.keys) > 0 {
			k := o.keys[s.A%len(o.keys)]
			o.async.Go(func() { o.call(k, o.payerOf(k), entry) })
		}
	case opAgent:
		o.withProgram(p, func() { o.agent(entry, p) })
	case opAttack:
		o.withProgram(p, func() { o.attack(p, o.pick(s.C), entry, s.C) })
	case opEnd:
		o.withProgram(p, func() { o.end(p, entry) })
	case opEndCrash:
		o.withProgram(p, func() { o.end(p, entry) })
		o.fault(step{Op: opCrash, A: s.A, B: s.B, C: s.C}, entry, wait)
	default:
		o.fault(s, entry, wait)
	}
	time.Sleep(wait)
}

// fault switches a fault; those that last end by themselves.
func (o *oracle) fault(s step, entry int, wait time.Duration) {
	w := o.w
	last := 500*time.Millisecond + 4*wait
	later := func(undo func()) {
		o.async.Go(func() {
			time.Sleep(last)
			undo()
		})
	}
	switch s.Op {
	case opCrash:
		w.crash(entry)
		later(func() { w.replace(entry) })
	case opStop:
		o.async.Go(func() {
			w.stop(entry)
			time.Sleep(last)
			w.replace(entry)
		})
		time.Sleep(100 * time.Millisecond)
	case opStart:
		w.replace(entry)
	case opPause:
		b := w.box(entry)
		b.pause()
		later(b.resume)
	case opCutLog:
		o.set(func() { w.cutLog[entry] = true })
		later(func() { o.set(func() { w.cutLog[entry] = false }) })
	case opCutPeers:
		to := s.A % boxCount
		o.set(func() { w.cut[entry][to] = true })
		later(func() { o.set(func() { w.cut[entry][to] = false }) })
	case opLogDown:
		o.logFault(func(f *applog.Faults) { f.Down = true })
		later(func() { o.logFault(func(f *applog.Faults) { f.Down = false }) })
	case opLoseAnswers:
		o.logFault(func(f *applog.Faults) { f.LoseAnswers = 1 + s.A%3 })
	case opLateAppends:
		o.logFault(func(f *applog.Faults) { f.LateAppends, f.Late = 1+s.A%3, types.Duration(last) })
	case opToolLoses:
		w.tools.set(true, false)
		later(func() { w.tools.set(false, false) })
	case opToolRefuses:
		w.tools.set(false, true)
		later(func() { w.tools.set(false, false) })
	case opBreakStreams:
		w.models.breakNext(1 + s.A%3)
	case opPublish:
		o.race(entry)
	case opOldCopy:
		o.oldCopy(s.A)
	}
}

func (o *oracle) set(change func()) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	change()
}

func (o *oracle) logFault(change func(*applog.Faults)) {
	f := o.w.log.Faults()
	change(&f)
	o.w.log.Set(f)
}

func (o *oracle) pick(i int) *program {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.programs) == 0 {
		return nil
	}
	return o.programs[i%len(o.programs)]
}

func (o *oracle) withProgram(p *program, do func()) {
	if p != nil {
		do()
	}
}

func (o *oracle) newKey(s step) *keyCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := &keyCall{
		key: fmt.Sprintf("k%d", len(o.keys)), workspace: "one", service: []string{"book", "probed"}[s.C%2],
		input: fmt.Sprintf(`{"n":%d}`, len(o.keys)),
	}
	o.keys = append(o.keys, k)
	return k
}

// payer is the program on whose behalf a call runs, for every other call.
func (o *oracle) payer(p *program, s step) *program {
	if p == nil || s.B%2 == 0 || p.workspace != "one" {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.keys[len(o.keys)-1]
	k.key = "of " + p.id + " " + k.key
	return p
}

func (o *oracle) payerOf(k *keyCall) *program {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.programs {
		if strings.HasPrefix(k.key, "of "+p.id+" ") {
			return p
		}
	}
	return nil
}

// race lets two operators publish on the same base: at most one may win.
func (o *oracle) race(entry int) {
	fold, err := o.history()
	if err != nil || fold.Current == nil {
		return
	}
	base := fold.Current.Number
	won := make(chan bool, 2)
	for i := range 2 {
		o.async.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), callWait)
			defer stop()
			rev, err := o.w.publish(ctx, base, fmt.Sprintf("operator %d at %d", i, entry))
			if err == nil {
				o.accepted(rev.Number)
			}
			won <- err == nil
		})
	}
	o.async.Go(func() {
		if a, b := <-won, <-won; a && b {
			o.fail("one_publisher_wins", "two operators won revision %d", base+1)
		}
	})
}

// accepted notes that an operator was told that the revision is accepted.
func (o *oracle) accepted(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, number)
}

// oldCopy appends a copy of an earlier revision, as a late append of a slow box would.
func (o *oracle) oldCopy(i int) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_, all, err := revs.History(ctx, o.w.log, o.w.operators())
	if err != nil || len(all) == 0 {
		return
	}
	rev := all[i%len(all)].Revision
	rev.IsCopy = true
	raw, err := json.Marshal(rev)
	if err != nil || all[i%len(all)].Verdict == revs.LostRace {
		return
	}
	_, _ = o.w.log.Append(ctx, revs.Stream, raw)
}

func (o *oracle) history() (*revs.StreamState, error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	fold, _, err := revs.History(ctx, o.w.log, o.w.operators())
	return fold, err
}

// watch checks after every step what must hold at all times.
func (o *oracle) watch() {
	for i := range boxCount {
		b := o.w.box(i)
		n := b.store.Number()
		if o.incs[i] == b && n < o.numbers[i] {
			o.fail("config_never_reverts", "box %d went from revision %d to %d", i, o.numbers[i], n)
		}
		o.incs[i], o.numbers[i] = b, n
	}
	o.money()
	o.onceEach()
}

// money checks that no tree of programs was ever charged beyond its budget.
func (o *oracle) money() {
	o.mu.Lock()
	spent := map[string]int64{}
	o.w.models.mu.Lock()
	for _, p := range o.programs {
		spent[p.root] += o.w.models.charged[p.id]
	}
	o.w.models.mu.Unlock()
	for _, k := range o.keys {
		for _, p := range o.programs {
			if strings.HasPrefix(k.key, "of "+p.id+" ") {
				spent[p.root] += int64(40 * o.w.tools.count(k.workspace+"/"+k.key))
			}
		}
	}
	o.mu.Unlock()
	for root, n := range spent {
		if n > o.budget {
			o.fail("never_beyond_budget", "%s spent %d of %d", root, n, o.budget)
		}
	}
}

func (o *oracle) onceEach() {
	for _, k := range o.keys {
		if n := o.w.tools.count(k.workspace + "/" + k.key); n > 1 {
			o.fail("at_most_once", "key %s ran %d times", k.key, n)
		}
	}
}

// judge checks what must hold once everything works again.
func (o *oracle) judge() {
	o.watch()
	for _, k := range o.keys {
		if n := o.w.tools.count(k.workspace + "/" + k.key); !k.maybe && n > 0 {
			o.fail("not_run_is_true", "key %s: every answer said not run, and it ran", k.key)
		}
	}
	o.converged()
	for i, p := range o.programs {
		if p.ended {
			continue
		}
		done, err := o.turn(p, []int{i % boxCount, (i + 1) % boxCount})
		if !done && !over(err) {
			o.fail("history_never_lost", "%s: no turn after everything was healed: %v", p.id, err)
		}
	}
	for i, p := range o.programs {
		if !p.ended && !o.end(p, i%boxCount) && !p.ended {
			o.fail("programs_can_be_ended", "%s cannot be ended", p.id)
		}
	}
	time.Sleep(25 * time.Second)
	o.w.models.mu.Lock()
	defer o.w.models.mu.Unlock()
	for id := range o.w.models.cached {
		o.fail("no_memory_held", "cache of %s is held after its end", id)
	}
}

// over reports failures that end a program as they should.
func over(err error) bool {
	switch fault.From(err).Kind {
	case fault.BudgetSpent, fault.ProgramEnded, fault.LimitReached, fault.DeadlineMissed:
		return true
	}
	return false
}

// converged checks that the newest accepted revision is in force on every box.
func (o *oracle) converged() {
	fold, err := o.history()
	if err != nil || fold.Current == nil {
		o.fail("config_never_reverts", "the log shows no configuration: %v", err)
		return
	}
	for i := range boxCount {
		if n := o.w.box(i).store.Number(); n < o.newest {
			o.fail("config_never_reverts", "box %d has revision %d, and %d was accepted", i, n, o.newest)
		}
		if n := o.w.box(i).store.Number(); n != fold.Current.Number {
			o.fail("config_in_force_everywhere", "box %d has revision %d of %d", i, n, fold.Current.Number)
		}
	}
}
