package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var begun = time.UnixMilli(1_700_000_000_000)

// admitted counts how many of a hundred programs begin at the moment.
func admitted(in *Admission, now time.Time, turn Turn) int {
	n := 0
	for i := range 100 {
		turn.Program = fmt.Sprint(turn.Kind, i)
		if !in.Admit(now, turn).Refuse {
			n++
		}
	}
	return n
}

// loaded makes an admission whose service has been at the load for a while.
func loaded(stretch, taken float64) (*Admission, time.Time) {
	in := NewAdmission()
	now := begun
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		in.Overload.Seen(now, stretch, 1)
		in.Overload.Reported(now, taken)
	}
	return in, now
}

// TestProgramsBeginAsLongAsThereIsRoom checks which programs begin at which load: all at a usual one,
// none where turns take too long or places are full for long, and those under way always.
func TestProgramsBeginAsLongAsThereIsRoom(t *testing.T) {
	fresh, under := Turn{Kind: "k", Fresh: true}, Turn{Kind: "k"}
	cases := []struct {
		name           string
		stretch, taken float64
		fresh          int
	}{
		{"calm", 0.5, 0.3, 100},
		{"nothing reported", 0.9, -1, 100},
		{"places nearly full", 1, 0.89, 100},
		{"places full for long", 1, 1.01, 0},
		{"places free and turns slow", 1.6, 0.4, 0},
		{"nothing reported and turns slow", 1.6, -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in, now := loaded(c.stretch, c.taken)
			got := []int{admitted(in, now, fresh), admitted(in, now, under)}
			if diff := cmp.Diff([]int{c.fresh, 100}, got); diff != "" {
				t.Errorf("of a hundred begin, and go on (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBurstOnFullPlaces checks that full places of a moment turn nobody away.
func TestBurstOnFullPlaces(t *testing.T) {
	in, now := loaded(0.5, 0.4)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		in.Overload.Reported(now, 1.1)
	}
	if got := admitted(in, now, Turn{Kind: "k", Fresh: true}); got != 100 {
		t.Errorf("%d of 100 begin", got)
	}
}

// TestUrgentProgramsBeginLonger checks that less urgent kinds are turned away first.
func TestUrgentProgramsBeginLonger(t *testing.T) {
	in, now := loaded(0.5, 0.93)
	first := admitted(in, now, Turn{Kind: "first", Fresh: true})
	third := admitted(in, now, Turn{Kind: "third", Fresh: true, Priority: 2})
	if first < 40 || third != 0 {
		t.Errorf("%d of the first rank begin, %d of the third", first, third)
	}
}

// TestProgramsThatCameTooLate checks that a program which was turned away does not begin once too
// much of its time is over, unless the service is nearly idle, and that others do.
func TestProgramsThatCameTooLate(t *testing.T) {
	in, now := loaded(0.9, 0.8)
	turn := Turn{Program: "p", Kind: "k", Fresh: true, Left: 2 * time.Second, Arrived: now}
	in.remember(now, turn)
	later := now.Add(500 * time.Millisecond)
	in.Overload.Seen(later, 0.9, 1)
	turn.Left, turn.Arrived = turn.Left-500*time.Millisecond, later
	if !in.Admit(later, turn).Refuse {
		t.Error("a program begins that has lost a quarter of its time")
	}
	turn.Program = "q"
	if in.Admit(later, turn).Refuse {
		t.Error("a program is turned away that has come at once")
	}
	for _, taken := range []float64{0.1, 0.45} {
		calm, now := loaded(0.5, taken)
		turn.Left, turn.Arrived, turn.Priority = -time.Second, now, 1
		if calm.Admit(now, turn).Refuse {
			t.Errorf("a service turns a late program away with %.2f of its places taken", taken)
		}
	}
}

// TestBoxThatTurnedAllAwayTriesAgain checks that overload fades while no turn ends.
func TestBoxThatTurnedAllAwayTriesAgain(t *testing.T) {
	in, now := loaded(5, -1)
	turn := Turn{Kind: "k", Fresh: true}
	if admitted(in, now, turn) != 0 || admitted(in, now.Add(4*stretchFade), turn) != 100 {
		t.Errorf("of a hundred begin at once %d, later %d", admitted(in, now, turn), admitted(in, now.Add(4*stretchFade), turn))
	}
}

// TestAdviceIsSpread checks that those who are refused together don't come back together.
func TestAdviceIsSpread(t *testing.T) {
	in, now := loaded(5, 2)
	seen := map[time.Duration]bool{}
	for range 50 {
		after := in.Admit(now, Turn{Kind: "k", Fresh: true}).After
		if after < leastAfter || after > 2*firstTurn {
			t.Fatalf("come back after %v", after)
		}
		seen[after.Round(time.Millisecond)] = true
	}
	if len(seen) < 25 {
		t.Errorf("%d different times for 50 callers", len(seen))
	}
}

// TestFiguresOfAnEngine checks that the reading rate, the time beside it and the time between events
// are learned from turns alone, and that nothing is known before.
func TestFiguresOfAnEngine(t *testing.T) {
	var f Figures
	if got := f.Ideal(1000, 10); got != 0 {
		t.Errorf("known before any turn: %v", got)
	}
	for i := range 100 {
		missing := 100 + 37*i%900
		f.First(30*time.Millisecond+time.Duration(missing)*time.Millisecond/50, missing)
		f.Gap(25 * time.Millisecond)
	}
	want := 30*time.Millisecond + 20*time.Millisecond + 9*25*time.Millisecond
	if got := f.Ideal(1000, 10); got < want-time.Millisecond || got > want+time.Millisecond {
		t.Errorf("a turn takes %v, want %v", got, want)
	}
}

// TestShapeOfPrograms checks what turns may take by what was seen of their programs.
func TestShapeOfPrograms(t *testing.T) {
	in := NewAdmission()
	if got := in.profiles.of("k").allowed(); got != firstStretch {
		t.Errorf("allowed %v before any program was seen", got)
	}
	now := begun
	for n := range 200 {
		turn := Turn{Program: fmt.Sprint(n), Kind: "k", Fresh: true, Left: 2 * time.Second}
		for range 4 {
			turn.Arrived = now
			in.Begin(now, turn)
			now = now.Add(200 * time.Millisecond)
			in.End(now, turn)
			in.Answered(now, turn, 200*time.Millisecond)
			now = now.Add(100 * time.Millisecond)
			turn.Fresh = false
		}
		now = now.Add(2 * restsFor)
	}
	// Four turns in 2 s are 500 ms each, of which 100 ms are a pause: 200 ms more than they need.
	if got, want := in.profiles.of("k").allowed(), 1+slackUsed; got < want-0.1 || got > want+0.1 {
		t.Errorf("turns may take %.2f times their time, want %.2f", got, want)
	}
	if len(in.active) > 2*forgetAtOnce {
		t.Errorf("%d programs are remembered", len(in.active))
	}
}
