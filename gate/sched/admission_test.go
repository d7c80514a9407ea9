package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testStart = time.UnixMilli(1_700_000_000_000)

// countAdmitted returns how many of a hundred programs are admitted.
func countAdmitted(adm *Admission, now time.Time, turn Turn) int {
	n := 0
	for i := range 100 {
		turn.Program = fmt.Sprint(turn.Kind, i)
		if !adm.Admit(now, turn).Refuse {
			n++
		}
	}
	return n
}

// newLoadedAdmission returns an Admission that has observed the given load for half a minute, and the
// time at the end of it.
func newLoadedAdmission(stretch, utilization float64) (*Admission, time.Time) {
	return settle(NewAdmission(), testStart, stretch, utilization)
}

// settle lets the Admission observe the given load for half a minute from now, and returns it with the
// time at the end of it.
func settle(adm *Admission, now time.Time, stretch, utilization float64) (*Admission, time.Time) {
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		adm.Overload.ObserveTurn(now, stretch, 1)
		adm.Overload.SetUtilization(now, utilization)
	}
	return adm, now
}

// TestAdmitByLoad checks that all programs start under usual load, none under sustained overload,
// and that running programs are never refused.
func TestAdmitByLoad(t *testing.T) {
	starting, running := Turn{Kind: "k", NewProgram: true}, Turn{Kind: "k"}
	cases := []struct {
		name                 string
		stretch, utilization float64
		admitted             int
	}{
		{"calm", 0.5, 0.3, 100},
		{"nothing reported", 0.9, -1, 100},
		{"slots nearly full", 1, 0.89, 100},
		{"slots full for long", 1, 1.01, 0},
		{"slots free and turns slow", 1.6, 0.4, 0},
		{"nothing reported and turns slow", 1.6, -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			adm, now := newLoadedAdmission(c.stretch, c.utilization)
			got := []int{countAdmitted(adm, now, starting), countAdmitted(adm, now, running)}
			if diff := cmp.Diff([]int{c.admitted, 100}, got); diff != "" {
				t.Errorf("admitted of a hundred new and a hundred running programs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmitInShortBurst checks that no program is refused when the slots are full for two seconds.
func TestAdmitInShortBurst(t *testing.T) {
	adm, now := newLoadedAdmission(0.5, 0.4)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		adm.Overload.SetUtilization(now, 1.1)
	}
	if got := countAdmitted(adm, now, Turn{Kind: "k", NewProgram: true}); got != 100 {
		t.Errorf("%d of 100 programs admitted, want all", got)
	}
}

// TestAdmitByPriority checks that less urgent programs are refused first.
func TestAdmitByPriority(t *testing.T) {
	adm, now := newLoadedAdmission(0.5, 0.93)
	first := countAdmitted(adm, now, Turn{Kind: "first", NewProgram: true})
	third := countAdmitted(adm, now, Turn{Kind: "third", NewProgram: true, Priority: 2})
	if first < 40 || third != 0 {
		t.Errorf("%d programs of priority 0 admitted, want at least 40; %d of priority 2, want 0", first, third)
	}
}

// TestAdmitAfterLostTime checks that a refused program which has lost too much time is refused where
// only a part of the programs in time is admitted, that others are still admitted there, and that a late
// one is admitted at low load.
func TestAdmitAfterLostTime(t *testing.T) {
	adm, now := newLoadedAdmission(0.9, 0.93)
	turn := Turn{Program: "p", Kind: "k", NewProgram: true, TimeLeft: 2 * time.Second, Arrived: now}
	adm.refuse(now, turn, false)
	later := now.Add(500 * time.Millisecond)
	adm.Overload.ObserveTurn(later, 0.9, 1)
	turn.TimeLeft, turn.Arrived = turn.TimeLeft-500*time.Millisecond, later
	if !adm.Admit(later, turn).Refuse {
		t.Error("a program that has lost a quarter of its time is admitted")
	}
	if got := countAdmitted(adm, later, Turn{Kind: "k", NewProgram: true}); got < 40 {
		t.Errorf("%d of 100 programs that were not refused before are admitted, want at least 40", got)
	}
	for _, utilization := range []float64{0.1, 0.45} {
		calm, now := newLoadedAdmission(0.5, utilization)
		turn.TimeLeft, turn.Arrived, turn.Priority = -time.Second, now, 1
		if calm.Admit(now, turn).Refuse {
			t.Errorf("a late program is refused at a utilization of %.2f", utilization)
		}
	}
}

// TestRefusedProgramStartsWhereThereIsRoom checks that a program of any priority that was refused once
// starts within three retries at 0.7 of the slots in use, although it is late by then. Otherwise a
// program is refused until its caller gives up, while others start.
func TestRefusedProgramStartsWhereThereIsRoom(t *testing.T) {
	for priority := range 3 {
		adm, now := newLoadedAdmission(0.9, 1.2)
		turn := Turn{Program: "p", Kind: "k", NewProgram: true, Priority: priority, TimeLeft: time.Second, Arrived: now}
		if !adm.Admit(now, turn).Refuse {
			t.Fatalf("priority %d: admitted with all slots in use", priority)
		}
		_, now = settle(adm, now, 0.9, 0.7)
		retries, started := 0, false
		for ; retries < 3 && !started; retries++ {
			now = now.Add(400 * time.Millisecond)
			adm.Overload.ObserveTurn(now, 0.9, 1)
			turn.TimeLeft, turn.Arrived = -time.Millisecond, now
			started = !adm.Admit(now, turn).Refuse
		}
		if !started {
			t.Errorf("priority %d: refused at each of %d retries", priority, retries)
		}
	}
}

// TestLateProgramsStartSpaced checks that of a hundred programs which were refused together, only a few
// start in the first second with room. Load reports lag, so that all would start before any shows.
func TestLateProgramsStartSpaced(t *testing.T) {
	adm, now := newLoadedAdmission(0.9, 0.7)
	started := 0
	for i := range 100 {
		adm.Overload.ObserveTurn(now, 0.9, 1)
		if !adm.Admit(now, Turn{Program: fmt.Sprint(i), Kind: "k", NewProgram: true, TimeLeft: -time.Second, Arrived: now}).Refuse {
			started++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if started < 1 || started > 2 {
		t.Errorf("%d of 100 late programs started within a second, want 1 or 2", started)
	}
}

// TestSlowdownDecays checks that a box that refuses all programs admits them again after a while.
func TestSlowdownDecays(t *testing.T) {
	adm, now := newLoadedAdmission(5, -1)
	turn := Turn{Kind: "k", NewProgram: true}
	if countAdmitted(adm, now, turn) != 0 || countAdmitted(adm, now.Add(4*slowdownHalfLife), turn) != 100 {
		t.Errorf("%d of 100 programs admitted at first, want 0; %d later, want 100", countAdmitted(adm, now, turn), countAdmitted(adm, now.Add(4*slowdownHalfLife), turn))
	}
}

// TestFiguresIdeal checks that the time of an unloaded turn is estimated from observed first events and
// event gaps, and that there is no estimate before the first turn.
func TestFiguresIdeal(t *testing.T) {
	var estimates EngineEstimates
	if got := estimates.UnloadedTurnTime(1000, 10); got != 0 {
		t.Errorf("time of a turn before any was observed: %v, want 0", got)
	}
	for i := range 100 {
		missing := 100 + 37*i%900
		estimates.ObserveFirstEvent(30*time.Millisecond+time.Duration(missing)*time.Millisecond/50, missing)
		estimates.ObserveEventGap(25 * time.Millisecond)
	}
	want := 30*time.Millisecond + 20*time.Millisecond + 9*25*time.Millisecond
	if got := estimates.UnloadedTurnTime(1000, 10); got < want-time.Millisecond || got > want+time.Millisecond {
		t.Errorf("time of a turn: %v, want %v", got, want)
	}
}

// TestAllowedSlowdown checks the slowdown that a kind of program allows, before and after programs
// are observed.
func TestAllowedSlowdown(t *testing.T) {
	adm := NewAdmission()
	if got := adm.profiles.get("k").allowedSlowdown(); got != defaultAllowedSlowdown {
		t.Errorf("allowed slowdown before any program was observed: %v", got)
	}
	now := testStart
	for n := range 200 {
		turn := Turn{Program: fmt.Sprint(n), Kind: "k", NewProgram: true, TimeLeft: 2 * time.Second}
		for range 4 {
			turn.Arrived = now
			adm.TurnStarted(now, turn)
			now = now.Add(200 * time.Millisecond)
			adm.TurnEnded(now, turn)
			adm.TurnAnswered(now, turn, 200*time.Millisecond)
			now = now.Add(100 * time.Millisecond)
			turn.NewProgram = false
		}
		now = now.Add(2 * programIdleTimeout)
	}
	// Four turns in 2 s leave 500 ms for each. A turn needs 200 ms and its pause 100 ms, so 200 ms are spare.
	if got, want := adm.profiles.get("k").allowedSlowdown(), 1+usableSlack; got < want-0.1 || got > want+0.1 {
		t.Errorf("allowed slowdown: %.2f, want %.2f", got, want)
	}
	if len(adm.active) > 2*forgetBatch {
		t.Errorf("%d programs are kept as active", len(adm.active))
	}
}
