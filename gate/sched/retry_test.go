package sched

import (
	"fmt"
	"testing"
	"time"
)

// caller is a caller of a program that retries after each refusal.
type caller struct {
	turn Turn
	// box is the Admission of the program's owner, and next the time of the next attempt.
	box  *Admission
	next time.Time
}

// TestThousandRefusedCallers checks that a thousand callers that are refused within a second by 24 owners
// neither return nor start in a second burst, once there is room again.
func TestThousandRefusedCallers(t *testing.T) {
	const owners, callers, tick = 24, 1000, 10 * time.Millisecond
	var boxes []*Admission
	now := testStart
	for range owners {
		adm := NewAdmission()
		_, now = settle(adm, testStart, 2, 1.2)
		boxes = append(boxes, adm)
	}
	var all []*caller
	for i := range callers {
		at := now.Add(time.Duration(i) * time.Second / callers)
		all = append(all, &caller{turn: Turn{Program: fmt.Sprint(i), Kind: "k", NewProgram: true, TimeLeft: time.Second}, box: boxes[i%owners], next: at})
	}
	start := now
	returns, starts := map[int]int{}, map[int]int{}
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(tick) {
		second := now.Sub(start) >= time.Second
		for _, adm := range boxes {
			stretch, utilization := 2.0, 1.2
			if second { // there is room
				stretch, utilization = 0.9, 0.7
				adm.Overload.meanUtilization = utilization
			}
			adm.Overload.ObserveTurn(now, stretch, 1)
			adm.Overload.SetUtilization(now, utilization)
		}
		bin := int(now.Sub(start) / (100 * time.Millisecond))
		for _, c := range all {
			if c.next.IsZero() || now.Before(c.next) {
				continue
			}
			returns[bin]++
			c.turn.Arrived = now
			decision := c.box.Admit(now, c.turn)
			if decision.Refuse {
				c.next = now.Add(decision.RetryAfter)
				continue
			}
			c.next = time.Time{}
			starts[bin]++
		}
	}
	for bin, n := range returns {
		if n > 300 {
			t.Errorf("%d callers return within the 100 ms after %d ms, want at most 300", n, 100*bin)
		}
		if near := starts[bin] + starts[bin+1] + starts[bin+2]; near > 2*owners {
			t.Errorf("%d programs start within the 300 ms after %d ms, want at most %d", near, 100*bin, 2*owners)
		}
	}
}

// TestReservedTimesFollowStarts checks that programs which are refused together get times one step apart
// by the rate at which programs start, and that those beyond the time that callers wait get none.
func TestReservedTimesFollowStarts(t *testing.T) {
	adm, now := newLoadedAdmission(2, 1.2)
	for range 100 {
		adm.pace.started(now)
		now = now.Add(100 * time.Millisecond)
	}
	adm.Overload.ObserveTurn(now, 2, 1)
	reserved, last := 0, time.Duration(0)
	for i := range 20 {
		turn := Turn{Program: fmt.Sprint(i), Kind: "k", NewProgram: true, TimeLeft: time.Minute, Arrived: now, RetryWithin: time.Second}
		decision := adm.Admit(now, turn)
		if decision.RetryAfter > turn.RetryWithin {
			t.Errorf("program %d: retry delay %v, want at most %v", i, decision.RetryAfter, turn.RetryWithin)
		}
		if !decision.Reserved {
			continue
		}
		if step := decision.RetryAfter - last; reserved > 0 && (step < 80*time.Millisecond || step > 160*time.Millisecond) {
			t.Errorf("program %d: %v after the one before, want about 120ms", i, step)
		}
		reserved, last = reserved+1, decision.RetryAfter
	}
	if reserved < 6 || reserved > 9 {
		t.Errorf("%d times reserved, want 6 to 9", reserved)
	}
}

// TestOnTimeBeforeNew checks that programs which return on their reserved time start before new ones of
// their priority, at whichever attempt, that new ones start less often for it, and that a program which
// returns early waits for the rest of its time.
func TestOnTimeBeforeNew(t *testing.T) {
	adm, now := newLoadedAdmission(0.9, 0.95)
	started := map[bool]int{}
	rounds := 0
	for i := range 300 {
		for range 4 {
			adm.pace.started(now)
		}
		turn := Turn{Program: fmt.Sprint("returned ", i), Kind: "k", NewProgram: true, TimeLeft: time.Minute, Arrived: now}
		first, reserved := adm.refuse(now, turn, false)
		if !reserved {
			now = now.Add(time.Second)
			continue
		}
		early := now.Add(first / 2)
		if adm.refused[turn.Program].onTime(early) {
			t.Fatal("a program is on time before its time has come")
		}
		if rest, _ := adm.refuse(early, turn, false); rest > max(first-first/2, minRetryAfter) {
			t.Fatalf("after half of %v, %v is left", first, rest)
		}
		now = now.Add(first)
		adm.Overload.ObserveTurn(now, 0.9, 1)
		rounds++
		if !adm.Admit(now, turn).Refuse {
			started[true]++
		}
		if !adm.Admit(now, Turn{Program: fmt.Sprint("new ", i), Kind: "k", NewProgram: true, TimeLeft: time.Minute, Arrived: now}).Refuse {
			started[false]++
		}
	}
	if rounds < 200 {
		t.Errorf("%d of 300 programs have a reserved time, want at least 200", rounds)
	}
	if started[true] < 3*started[false]/2 {
		t.Errorf("%d of the programs on time start and %d of the new ones, want at least 1.5 times as many", started[true], started[false])
	}
	if sum := started[true] + started[false]; sum > rounds+rounds/5 {
		t.Errorf("%d of %d programs start at a share of a half", sum, 2*rounds)
	}
}

// TestOldestLateFirst checks that late programs start in the order of their first refusals, so that the
// wait of each is bounded, and that one whose caller has given up doesn't hold the others up.
func TestOldestLateFirst(t *testing.T) {
	adm, now := newLoadedAdmission(0.9, 1.2)
	var order []string
	programs := []string{"given up", "a", "b", "c"}
	for _, name := range programs {
		adm.Admit(now, Turn{Program: name, Kind: "k", NewProgram: true, TimeLeft: time.Second, Arrived: now})
		now = now.Add(10 * time.Millisecond)
	}
	adm.Overload.slowdown, adm.Overload.utilization, adm.Overload.meanUtilization = 0.9, 0.7, 0.7
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, name := range []string{"c", "b", "a"} {
			turn := Turn{Program: name, Kind: "k", NewProgram: true, TimeLeft: -time.Second, Arrived: now}
			if !contains(order, name) && !adm.Admit(now, turn).Refuse {
				order = append(order, name)
			}
		}
	}
	if got := fmt.Sprint(order); got != "[a b c]" {
		t.Errorf("order of the starts: %s, want [a b c]", got)
	}
}

// TestLateOrderByPriority checks that of two late programs the more urgent one starts first, unless the
// other has waited for longer by lateAging.
func TestLateOrderByPriority(t *testing.T) {
	now := testStart
	urgent, other := refusal{at: now.Add(lateAging / 2)}, refusal{at: now, priority: 1}
	if !urgent.before(other) || other.before(urgent) {
		t.Error("a program is before a more urgent one that was refused soon after it")
	}
	urgent.at = now.Add(2 * lateAging)
	if urgent.before(other) || !other.before(urgent) {
		t.Error("a program is after a more urgent one that was refused long after it")
	}
}

// TestInTimeBeforeLate checks that a late program does not start while some less urgent programs in time
// are refused, and that it starts at the same load once those are gone.
func TestInTimeBeforeLate(t *testing.T) {
	adm, now := newLoadedAdmission(0.9, 0.85)
	late := Turn{Program: "late", Kind: "k", NewProgram: true, TimeLeft: -time.Second, Arrived: now}
	if n := countAdmitted(adm, now, Turn{Kind: "other", NewProgram: true, Priority: 2}); n == 0 || n == 100 {
		t.Fatalf("%d of 100 less urgent programs in time are admitted, want a part", n)
	}
	if !adm.Admit(now, late).Refuse {
		t.Error("a late program starts while less urgent ones in time are refused")
	}
	for range 40 {
		now = now.Add(priorityWindow / 20)
		adm.Overload.ObserveTurn(now, 0.9, 1)
	}
	late.Arrived = now
	if adm.Admit(now, late).Refuse {
		t.Error("a late program is refused although all others start")
	}
}

// TestUrgentRefusedLeast checks that at each load at most as many programs of a priority are refused as
// of any less urgent one.
func TestUrgentRefusedLeast(t *testing.T) {
	for load := 0.5; load < 1.6; load += 0.01 {
		for _, o := range []Overload{{slowdown: load, utilization: -1}, {utilization: load}, {utilization: 0.5, meanUtilization: load}} {
			for priority := range 30 {
				if urgent, less := o.admitShare(time.Time{}, priority), o.admitShare(time.Time{}, priority+1); urgent < less {
					t.Errorf("load %.2f: %.2f of priority %d are admitted, and %.2f of the next", load, urgent, priority, less)
				}
			}
		}
	}
}

// TestProgramsOfAnyPriorityStartAtLightLoad guards against a route whose programs are all refused, since its priority alone
// counted as more load than engines have room for.
func TestProgramsOfAnyPriorityStartAtLightLoad(t *testing.T) {
	for _, priority := range []int{0, 1, 6, 7, 12, 18, 20, 100, 1 << 30} {
		for _, load := range []float64{0, 0.2, 0.4} {
			o := Overload{slowdown: load, utilization: load, meanUtilization: load}
			if share := o.admitShare(time.Time{}, priority); share < 1 {
				t.Errorf("priority %d, load %.1f: %.2f of the programs are admitted", priority, load, share)
			}
		}
	}
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}
