package drain

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestScheduleFitsGracePeriod checks the schedule of grace periods, also of a missing one: a stop that takes longer
// ends with a kill, and answers that are cut before the last sixth count as lost.
func TestScheduleFitsGracePeriod(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	usual := Schedule{Serve: ms(2600), Accept: ms(2600), Cut: ms(6680), Close: ms(6920), Release: ms(7040), End: ms(7200)}
	for grace, want := range map[time.Duration]Schedule{
		4 * time.Second:  {Serve: ms(1670), Accept: ms(2600), Cut: ms(3340), Close: ms(3460), Release: ms(3520), End: ms(3600)},
		8 * time.Second:  usual,
		30 * time.Second: {Serve: ms(2600), Accept: ms(2600), Cut: ms(25050), Close: ms(25950), Release: ms(26400), End: ms(27000)},
		0:                usual,
		-time.Second:     usual,
	} {
		if diff := cmp.Diff(want, NewSchedule(grace)); diff != "" {
			t.Errorf("%v (-want +got):\n%s", grace, diff)
		}
	}
	for grace := 100 * time.Millisecond; grace < time.Minute; grace += 100 * time.Millisecond {
		s := NewSchedule(grace)
		if s.Serve > s.Accept || s.Accept >= s.Cut || s.Cut < grace*5/6 || s.Cut >= s.Close || s.Close >= s.Release || s.Release >= s.End || s.End > grace*9/10 {
			t.Errorf("%v: %+v", grace, s)
		}
	}
}

// TestCallThatMayOutlastStopIsRefused checks until when calls are taken: one that is taken although it may end after
// the cut is lost, and one that is refused although it must end before that costs its caller a try.
func TestCallThatMayOutlastStopIsRefused(t *testing.T) {
	s := NewSchedule(8 * time.Second)
	for until, want := range map[time.Duration]time.Duration{
		-time.Second:             0,
		2 * time.Second:          2 * time.Second,
		s.Cut:                    s.Cut,
		s.Cut + time.Millisecond: s.Serve,
		20 * time.Second:         s.Serve,
	} {
		if got := s.RefuseAt(until); got != want {
			t.Errorf("call that may last until %v: refused at %v, want %v", until, got, want)
		}
	}
}
