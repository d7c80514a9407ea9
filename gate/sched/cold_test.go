package sched

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestColdShare checks that the boxes together send a cold replica no more calls than the limit
// within any second, with one or two senders a zone, and at least half of the rate with one.
func TestColdShare(t *testing.T) {
	limits := ColdLimits{Overshoot: 1.5, Slack: 5}
	const rate, zones = 23.0, 3
	for senders := 1; senders <= 2; senders++ {
		rng := rand.New(rand.NewPCG(1, uint64(senders)))
		boxes := make([]SendLog, zones*senders)
		limit := limits.CallsPerBox(rate, zones)
		now := time.Unix(0, 0)
		var arrived []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond)
			box := &boxes[rng.IntN(len(boxes))]
			if box.Allows(now, limit) {
				box.Record(now)
				arrived = append(arrived, now)
			}
		}
		for first := range arrived {
			in := 0
			for _, at := range arrived[first:] {
				if at.Sub(arrived[first]) < time.Second {
					in++
				}
			}
			if bound := rate*limits.Overshoot + limits.Slack; float64(in) > bound {
				t.Fatalf("%d senders a zone send %d calls within a second, want at most %.1f", senders, in, bound)
			}
		}
		if perSecond := float64(len(arrived)) / now.Sub(time.Unix(0, 0)).Seconds(); senders == 1 && perSecond < rate/2 {
			t.Errorf("cold replica gets %.1f calls a second, want at least half of %.1f", perSecond, rate)
		}
	}
}
