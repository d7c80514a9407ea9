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

// The kinds of steps. Their order decides which step a drawn number stands for.
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

// step is one drawn action. A, B and C select programs, keys and boxes when it runs, and
// set durations.
type step struct{ Op, A, B, C int }

func (s step) String() string {
	return fmt.Sprintf("%s(%d,%d,%d)", opNames[s.Op], s.A, s.B, s.C)
}

func drawStep(t *rapid.T) step {
	// Clients' actions are drawn more often than faults.
	op := rapid.OneOf(rapid.IntRange(opBegin, opRepeat), rapid.IntRange(0, opCount-1)).Draw(t, "op")
	small := rapid.IntRange(0, 11)
	return step{Op: op, A: small.Draw(t, "a"), B: small.Draw(t, "b"), C: small.Draw(t, "c")}
}

// TestFleetKeepsItsPromises checks the invariants of a fleet during random steps and after them.
func TestFleetKeepsItsPromises(t *testing.T) {
	steps, answers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(drawStep), 20, 80).Draw(rt, "plan")
		var o *oracle
		synctest.Test(t, func(*testing.T) { o = run(plan) })
		if o == nil {
			rt.Fatalf("the plan did not run")
		}
		steps += len(plan)
		answers += o.answers
		if len(o.violations) > 0 {
			rt.Fatalf("invariants violated after %v:\n%s", plan, o.report())
		}
	})
	t.Logf("%d steps, %d answers", steps, answers)
}

// report lists the violated invariants in the order of their names.
func (o *oracle) report() string {
	var lines []string
	for invariant, detail := range o.violations {
		lines = append(lines, invariant+": "+detail)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// run executes the plan, ends all faults and checks the invariants.
func run(plan []step) *oracle {
	w, err := newWorld()
	o := newOracle(w)
	if err != nil {
		o.fail("setup", "%v", err)
		return o
	}
	time.Sleep(time.Second)
	for _, s := range plan {
		o.execute(s)
		o.checkInvariants()
	}
	o.async.Wait()
	w.heal()
	time.Sleep(8 * time.Second)
	o.checkInvariants()
	// All state must survive the log's retention and then a crash of all boxes at once.
	time.Sleep(retention + 5*time.Second)
	for i := range boxCount {
		w.crash(i)
	}
	w.heal()
	time.Sleep(8 * time.Second)
	o.checkRecovered()
	w.close()
	return o
}

// execute runs one step and then sleeps for a time drawn with it.
func (o *oracle) execute(s step) {
	p := o.programAt(s.A)
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
		o.call(o.newKey(s), o.billedProgram(p, s), entry)
	case opCallAsync:
		k := o.newKey(s)
		payer := o.billedProgram(p, s)
		o.async.Go(func() { o.call(k, payer, entry) })
		o.async.Go(func() { o.call(k, payer, (entry+1)%boxCount) })
	case opRepeat:
		if len(o.keys) > 0 {
			k := o.keys[s.A%len(o.keys)]
			o.async.Go(func() { o.call(k, o.billedTo(k), entry) })
		}
	case opAgent:
		o.withProgram(p, func() { o.beginAgent(entry, p) })
	case opAttack:
		o.withProgram(p, func() { o.attack(p, o.programAt(s.C), entry, s.C) })
	case opEnd:
		o.withProgram(p, func() { o.end(p, entry) })
	case opEndCrash:
		o.withProgram(p, func() { o.end(p, entry) })
		o.inject(step{Op: opCrash, A: s.A, B: s.B, C: s.C}, entry, wait)
	default:
		o.inject(s, entry, wait)
	}
	time.Sleep(wait)
}

// inject starts the fault of a step. A fault that lasts is undone in the background.
func (o *oracle) inject(s step, entry int, wait time.Duration) {
	w := o.w
	duration := 500*time.Millisecond + 4*wait
	undoLater := func(undo func()) {
		o.async.Go(func() {
			time.Sleep(duration)
			undo()
		})
	}
	switch s.Op {
	case opCrash:
		w.crash(entry)
		undoLater(func() { w.replace(entry) })
	case opStop:
		o.async.Go(func() {
			w.stopPlanned(entry)
			time.Sleep(duration)
			w.replace(entry)
		})
		time.Sleep(100 * time.Millisecond)
	case opStart:
		w.replace(entry)
	case opPause:
		b := w.box(entry)
		b.pause()
		undoLater(b.resume)
	case opCutLog:
		o.locked(func() { w.cutLog[entry] = true })
		undoLater(func() { o.locked(func() { w.cutLog[entry] = false }) })
	case opCutPeers:
		to := s.A % boxCount
		o.locked(func() { w.cut[entry][to] = true })
		undoLater(func() { o.locked(func() { w.cut[entry][to] = false }) })
	case opLogDown:
		o.logFault(func(f *applog.Faults) { f.Down = true })
		undoLater(func() { o.logFault(func(f *applog.Faults) { f.Down = false }) })
	case opLoseAnswers:
		o.logFault(func(f *applog.Faults) { f.LoseResponses = 1 + s.A%3 })
	case opLateAppends:
		o.logFault(func(f *applog.Faults) { f.LateAppends, f.LateDelay = 1+s.A%3, types.Duration(duration) })
	case opToolLoses:
		w.tools.setFaults(true, false)
		undoLater(func() { w.tools.setFaults(false, false) })
	case opToolRefuses:
		w.tools.setFaults(false, true)
		undoLater(func() { w.tools.setFaults(false, false) })
	case opBreakStreams:
		w.engines.breakNext(1 + s.A%3)
	case opPublish:
		o.racePublish(entry)
	case opOldCopy:
		o.appendOldCopy(s.A)
	}
}

// locked runs change while it holds the world's lock.
func (o *oracle) locked(change func()) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	change()
}

func (o *oracle) logFault(change func(*applog.Faults)) {
	f := o.w.log.Faults()
	change(&f)
	o.w.log.SetFaults(f)
}

func (o *oracle) programAt(i int) *program {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.programs) == 0 {
		return nil
	}
	return o.programs[i%len(o.programs)]
}

// withProgram runs do unless p is nil.
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

// billedProgram returns the program to which the call with the newest key is billed, or nil for none.
// It adds the program's ID to the key, where billedTo finds it.
func (o *oracle) billedProgram(p *program, s step) *program {
	if p == nil || s.B%2 == 0 || p.workspace != "one" {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.keys[len(o.keys)-1]
	k.key = "of " + p.id + " " + k.key
	return p
}

// billedTo returns the program whose ID billedProgram added to the key, or nil for none.
func (o *oracle) billedTo(k *keyCall) *program {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.programs {
		if strings.HasPrefix(k.key, "of "+p.id+" ") {
			return p
		}
	}
	return nil
}

// racePublish has two operators publish on the same base revision and checks that at most one succeeds.
func (o *oracle) racePublish(entry int) {
	state, err := o.readConfig()
	if err != nil || state.Current == nil {
		return
	}
	base := state.Current.Number
	won := make(chan bool, 2)
	for i := range 2 {
		o.async.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), callTimeout)
			defer stop()
			rev, err := o.w.publish(ctx, base, fmt.Sprintf("operator %d at %d", i, entry))
			if err == nil {
				o.recordAccepted(rev.Number)
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

// recordAccepted records that the publication of a revision was acknowledged.
func (o *oracle) recordAccepted(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestAccepted = max(o.newestAccepted, number)
}

// appendOldCopy appends a copy of an earlier revision, like a delayed append of a slow box.
func (o *oracle) appendOldCopy(i int) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_, all, err := revs.History(ctx, o.w.log, o.w.operatorKeys())
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

// readConfig returns the state of the configuration stream in the log.
func (o *oracle) readConfig() (*revs.StreamState, error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	state, _, err := revs.History(ctx, o.w.log, o.w.operatorKeys())
	return state, err
}

// checkInvariants checks the invariants that hold at all times.
func (o *oracle) checkInvariants() {
	for i := range boxCount {
		b := o.w.box(i)
		n := b.store.RevisionNumber()
		if o.seen[i] == b && n < o.revisions[i] {
			o.fail("config_never_reverts", "box %d went from revision %d to %d", i, o.revisions[i], n)
		}
		o.seen[i], o.revisions[i] = b, n
	}
	o.checkBudgets()
	o.checkAtMostOnce()
}

// checkBudgets checks that no tree of programs was charged more than its budget.
func (o *oracle) checkBudgets() {
	o.mu.Lock()
	spent := map[string]int64{}
	o.w.engines.mu.Lock()
	for _, p := range o.programs {
		spent[p.root] += o.w.engines.charged[p.id]
	}
	o.w.engines.mu.Unlock()
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

// checkAtMostOnce checks that no key's call ran more than once.
func (o *oracle) checkAtMostOnce() {
	for _, k := range o.keys {
		if n := o.w.tools.count(k.workspace + "/" + k.key); n > 1 {
			o.fail("at_most_once", "key %s ran %d times", k.key, n)
		}
	}
}

// checkRecovered checks the invariants that hold once all faults are over: histories are intact, all
// boxes have the newest configuration, and ended programs hold no cache.
func (o *oracle) checkRecovered() {
	o.checkInvariants()
	for _, k := range o.keys {
		if n := o.w.tools.count(k.workspace + "/" + k.key); !k.mayHaveRun && n > 0 {
			o.fail("not_run_is_true", "key %s: every error reported that it had not run, but it ran", k.key)
		}
	}
	o.checkConverged()
	for i, p := range o.programs {
		if p.ended {
			continue
		}
		done, err := o.turn(p, []int{i % boxCount, (i + 1) % boxCount})
		if !done && !endsProgram(err) {
			o.fail("history_never_lost", "%s: no turn after all faults ended: %v", p.id, err)
		}
	}
	for i, p := range o.programs {
		if !p.ended && !o.end(p, i%boxCount) && !p.ended {
			o.fail("programs_can_be_ended", "%s cannot be ended", p.id)
		}
	}
	time.Sleep(25 * time.Second)
	o.w.engines.mu.Lock()
	defer o.w.engines.mu.Unlock()
	for id := range o.w.engines.cached {
		o.fail("no_memory_held", "cache of %s is still held after its end", id)
	}
}

// endsProgram reports whether the error legitimately ends a program.
func endsProgram(err error) bool {
	switch fault.From(err).Kind {
	case fault.BudgetSpent, fault.ProgramEnded, fault.LimitReached, fault.DeadlineMissed:
		return true
	}
	return false
}

// checkConverged checks that every box has the log's current revision, which must not be older than the
// newest acknowledged one.
func (o *oracle) checkConverged() {
	state, err := o.readConfig()
	if err != nil || state.Current == nil {
		o.fail("config_never_reverts", "no configuration in the log: %v", err)
		return
	}
	for i := range boxCount {
		if n := o.w.box(i).store.RevisionNumber(); n < o.newestAccepted {
			o.fail("config_never_reverts", "box %d has revision %d, but %d was accepted", i, n, o.newestAccepted)
		}
		if n := o.w.box(i).store.RevisionNumber(); n != state.Current.Number {
			o.fail("config_in_force_everywhere", "box %d has revision %d, want %d", i, n, state.Current.Number)
		}
	}
}
