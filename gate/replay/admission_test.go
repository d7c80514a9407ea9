package replay

import (
	"testing"
	"time"
)

// Deployments under high load. Callers of both have a short slack, so that a refused program is seldom in
// time.
var (
	// batch12 has the speed and size of the engines of a deployment with batches of 12 calls, batch8 those
	// of one with batches of 8.
	batch12 = engineSpec{
		slots: 12, queue: 36, prefillRate: 205, prefillChunk: 2048, step: 1270 * time.Microsecond, stepPerCall: 10 * time.Microsecond, cacheSize: 290_828, stride: 8,
	}
	batch8 = engineSpec{
		slots: 8, queue: 24, prefillRate: 558, prefillChunk: 2048, step: 549 * time.Microsecond, stepPerCall: 10 * time.Microsecond, cacheSize: 236_121, stride: 8,
	}
	twentyFour = fleetSize{boxes: 59, owners: 24, zones: 3}
)

// urgentShortKinds returns a short kind of program that is the most urgent, and a long one. A late
// program is worth little.
func urgentShortKinds() []kind {
	return []kind{
		{
			name: "short", priority: 0, value: 4, lateValue: 0.16, perSecond: 52.3, turns: 4, input: 1680, shared: 12_600, events: 9,
			think: 20 * time.Millisecond, tool: 20 * time.Millisecond, deadlineFactor: 1.5, deadlineSlack: 200 * time.Millisecond, inheritPrompt: true,
		},
		{
			name: "long", priority: 2, value: 8, lateValue: 1.2, perSecond: 25.9, turns: 11, input: 840, shared: 12_600, events: 7,
			think: 20 * time.Millisecond, tool: 20 * time.Millisecond, deadlineFactor: 1.4, deadlineSlack: 400 * time.Millisecond, subAgentShare: 0.25, inheritPrompt: true,
		},
	}
}

// equalKinds returns two kinds of programs whose late programs are worth a third.
func equalKinds() []kind {
	return []kind{
		{
			name: "short", priority: 0, value: 4, lateValue: 1.2, perSecond: 69.1, turns: 4, input: 1680, shared: 12_600, events: 5,
			think: 20 * time.Millisecond, tool: 20 * time.Millisecond, deadlineFactor: 1.5, deadlineSlack: 250 * time.Millisecond, inheritPrompt: true,
		},
		{
			name: "long", priority: 1, value: 8, lateValue: 2.4, perSecond: 37.9, turns: 7, input: 840, shared: 12_600, events: 7,
			think: 20 * time.Millisecond, tool: 20 * time.Millisecond, deadlineFactor: 1.5, deadlineSlack: 250 * time.Millisecond, subAgentShare: 0.15,
		},
	}
}

// overloaded returns patterns in which engines can't serve all programs, with the kinds of programs whose
// late programs are worth little.
func overloaded() []pattern {
	return []pattern{
		{name: "urgent short programs, 0.45 of the engines", minValue: 0.68, size: twentyFour, kinds: urgentShortKinds(), spec: batch12, engines: 20, duration: 16 * time.Second, load: steady(1)},
		{name: "urgent short programs, a burst on all", minValue: 0.56, size: twentyFour, kinds: urgentShortKinds(), spec: batch12, engines: 27, duration: 14 * time.Second, load: burst(9*time.Second, "", 2)},
		{name: "two kinds, a burst on all", minValue: 0.7, size: twentyFour, kinds: equalKinds(), spec: batch8, engines: 10, duration: 14 * time.Second, load: burst(9*time.Second, "", 2)},
		{name: "two kinds, two thirds of the load", minValue: 0.62, size: twentyFour, kinds: equalKinds(), spec: batch8, engines: 6, duration: 16 * time.Second, load: steady(1)},
	}
}

// TestOverload checks the value that is earned under sustained and short overload, and that the most urgent
// kind is neither served less than the other by more than 0.05 nor refused more often.
func TestOverload(t *testing.T) {
	const seeds, maxUnderserved, refusedNoise = 4, 0.05, 0.02
	for _, p := range overloaded() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			value := 0.0
			var urgent, other outcomes
			for seed := range uint64(seeds) {
				res := play(t, p, placeAdmitted, 1+seed)
				t.Logf("seed %d: %v", 1+seed, res)
				value += res.value() / seeds
				urgent.add(res.outcomes[0])
				other.add(res.outcomes[1])
			}
			if value < p.minValue {
				t.Errorf("value %.3f, want at least %.3f", value, p.minValue)
			}
			if got, want := urgent.valueShare(p.kinds[0]), other.valueShare(p.kinds[1])-maxUnderserved; got < want {
				t.Errorf("the most urgent kind earns %.3f of its value, want at least %.3f", got, want)
			}
			if got, want := urgent.refusedShare(), other.refusedShare()+refusedNoise; got > want {
				t.Errorf("%.3f of the most urgent kind are refused, want at most %.3f", got, want)
			}
		})
	}
}

// add adds the counts of another run.
func (o *outcomes) add(other *outcomes) {
	o.inTime += other.inTime
	o.late += other.late
	o.failed += other.failed
	o.refused += other.refused
}

// refusedShare returns the share of programs that were refused.
func (o *outcomes) refusedShare() float64 {
	return float64(o.refused) / float64(max(1, o.count()))
}
