package replay

import (
	"testing"
	"time"
)

// failing returns a disturbance that makes the first n engines fail after four seconds: silent ones get calls and send
// nothing, the others break each call off at once.
func failing(n int, silent bool) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(4 * time.Second)
		for _, e := range f.ordered[:n] {
			e.fail(silent)
		}
	}
}

// TestFailingEngineDrawsCalls guards against an engine that gets most calls of the programs whose prompts it holds
// although it has stopped to answer, or breaks all answers off.
func TestFailingEngineDrawsCalls(t *testing.T) {
	for _, p := range []struct {
		pattern
		silent bool
		// maxTaken is the maximum number of calls to the failing engines in eight seconds: one of each box that places
		// calls to each of them, and one more where there are few other engines or a box is told of no failure.
		maxTaken int
	}{
		{pattern{name: "ten boxes, one silent", size: ten, kinds: kinds(), minValue: 0.9, spec: small, engines: 11, disturb: failing(1, true)}, true, 20},
		{pattern{name: "ten boxes, two of three silent", size: ten, kinds: kinds(), minValue: 0, spec: small, engines: 3, disturb: failing(2, true)}, true, 80},
		{pattern{name: "ten boxes, one breaks calls off", size: ten, kinds: kinds(), minValue: 0.9, spec: small, engines: 11, disturb: failing(1, false)}, false, 20},
		{pattern{name: "64 boxes, two silent", size: sixtyFour, kinds: largeFleetKinds(), minValue: 0.85, spec: medium, engines: 60, disturb: failing(2, true)}, true, 28},
		{pattern{name: "200 boxes, two silent", size: twoHundred, kinds: largeFleetKinds(), minValue: 0.85, spec: fewSlots, engines: 62, disturb: failing(2, true)}, true, 40},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.duration, p.load = 12*time.Second, steady(1)
			if p.engines == 3 {
				p.load = steady(0.15)
			}
			value, taken := 0.0, 0
			const seeds = 3
			for seed := range seeds {
				res := play(t, p.pattern, placeAdmitted, uint64(1+seed))
				t.Logf("%d calls taken by failing engines: %v", res.taken, res)
				value += res.value() / seeds
				taken = max(taken, res.taken)
			}
			t.Logf("%s: value %.3f, at most %d calls", p.name, value, taken)
			if value < p.minValue || taken > p.maxTaken {
				t.Errorf("value %.3f, want at least %.3f; failing engines took %d calls, want at most %d", value, p.minValue, taken, p.maxTaken)
			}
		})
	}
}
