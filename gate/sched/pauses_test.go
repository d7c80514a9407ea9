package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTurnStatsDropIdle checks that programs and kinds that are idle for long are dropped, also those whose last
// turn was never answered. Both were kept until the process ended, unless a program was reported as ended.
func TestTurnStatsDropIdle(t *testing.T) {
	s := NewTurnStats()
	now := time.Unix(1000, 0)
	for n := range 1000 {
		program, kind := fmt.Sprintf("p%d", n), fmt.Sprintf("k%d", n)
		s.TurnStarted(now, program, kind)
		if n%2 == 0 {
			s.TurnAnswered(now.Add(time.Second), program, 10)
		}
		now = now.Add(10 * time.Second)
	}
	if most := int((programTTL + sweepInterval) / (10 * time.Second)); len(s.last) > most+1 {
		t.Errorf("%d programs are kept, want at most %d", len(s.last), most+1)
	}
	if most := int((kindTTL + sweepInterval) / (10 * time.Second)); len(s.kinds) > most+1 {
		t.Errorf("%d kinds are kept, want at most %d", len(s.kinds), most+1)
	}
}

// TestTurnStatsKeepPausedProgram checks that a program in a long turn, or in a pause of minutes, is not dropped.
func TestTurnStatsKeepPausedProgram(t *testing.T) {
	s := NewTurnStats()
	now := time.Unix(1000, 0)
	s.TurnStarted(now, "p", "k")
	now = now.Add(programTTL - time.Second)
	s.TurnStarted(now, "other", "k")
	s.TurnAnswered(now, "p", 100)
	if diff := cmp.Diff(100, s.AnswerLength("k", 1)); diff != "" {
		t.Errorf("answer length after a long turn (-want +got):\n%s", diff)
	}
	pause := programTTL - time.Second
	want := defaultPause + time.Duration(turnStatsWeight*float64(pause-defaultPause))
	s.TurnStarted(now.Add(pause/2), "other", "k")
	if diff := cmp.Diff(want, s.TurnStarted(now.Add(pause), "p", "k").Pause); diff != "" {
		t.Errorf("pause (-want +got):\n%s", diff)
	}
}

// equalShares gives each workspace the same share.
type equalShares struct{}

func (equalShares) Share(string) int { return 1 }

// TestFairShareDropsIdle checks that workspaces which fall behind by more than the largest credit are dropped, and
// that this changes no level. Every workspace that was ever charged was kept.
func TestFairShareDropsIdle(t *testing.T) {
	f := NewFairShare(equalShares{})
	rng := rand.New(rand.NewPCG(1, 2))
	// used is the use of all workspaces, none of which is dropped, as of their last charge.
	used, floor := map[string]float64{}, 0.0
	for n := range 3000 {
		// Half of the charges go to a workspace that stays, the others to ones that come and go.
		name := "steady"
		if rng.IntN(2) == 0 {
			name = fmt.Sprintf("w%d", n/10+rng.IntN(5))
		}
		tokens := int64(rng.IntN(quantum))
		f.Charge(name, tokens)
		used[name] = max(used[name], floor) + float64(tokens)
		for _, u := range used {
			floor = max(floor, u-maxCredit)
		}
		for other, u := range used {
			if got, want := f.Level(other), int64(max(u, floor)/quantum); got != want {
				t.Fatalf("charge %d: level of %s is %d, want %d", n, other, got, want)
			}
		}
	}
	if len(f.used) > len(used)/4 {
		t.Errorf("%d of %d workspaces are kept", len(f.used), len(used))
	}
}
