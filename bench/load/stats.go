package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleingate.dev/base/fault"
)

// Stats holds the counts and latencies of a run. Latency counts from a program's planned
// arrival, so that a late start adds to it.
type Stats struct {
	mu sync.Mutex
	// Planned is the number of planned programs; Finished, Refused and Failed count programs by
	// how they ended. Refused ones ended with a request that was refused, before it ran, for
	// overload or a deadline that is too near.
	Planned, Finished, Refused, Failed int
	Turns, Calls, Retries              int
	// Faults counts failed requests by kind of fault, retried ones included.
	Faults map[string]int
	// Violations describes wrong answers. Run records at most maxViolations.
	Violations []string
	// RecomputedTokens counts the prefix tokens that were computed again, PriorTokens all those that an
	// earlier turn had computed, both by kind of program.
	RecomputedTokens, PriorTokens map[string]int64
	// UnknownOutcomes counts calls that failed with an unknown outcome.
	UnknownOutcomes int

	latency map[string]*hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	// finishTimes are the times from the start of the run to the end of each finished program.
	finishTimes []time.Duration
}

const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	maxViolations     = 20
	allKinds          = "all"
)

func newStats() *Stats {
	return &Stats{
		Faults: map[string]int{}, RecomputedTokens: map[string]int64{}, PriorTokens: map[string]int64{},
		latency: map[string]*hdrhistogram.Histogram{}, first: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

func (s *Stats) update(change func(s *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *Stats) countFault(f *fault.Fault) {
	s.update(func(s *Stats) { s.Faults[string(f.Kind)]++ })
}

func (s *Stats) addViolation(text string) {
	s.update(func(s *Stats) {
		if len(s.Violations) < maxViolations {
			s.Violations = append(s.Violations, text)
		}
	})
}

func (s *Stats) countFinished(kind string, took, end time.Duration) {
	s.update(func(s *Stats) {
		s.Finished++
		s.finishTimes = append(s.finishTimes, end)
		for _, name := range []string{kind, allKinds} {
			h, ok := s.latency[name]
			if !ok {
				h = hdrhistogram.New(1, maxMicros, significantDigits)
				s.latency[name] = h
			}
			_ = h.RecordValue(took.Microseconds())
		}
	})
}

// Latency returns a percentile of the latency of a kind of program, or of "all".
func (s *Stats) Latency(kind string, percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.latency[kind]
	if !ok {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// RecomputedShare returns the share of a kind's previously computed prefix tokens that were computed again.
func (s *Stats) RecomputedShare(kind string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.PriorTokens[kind] == 0 {
		return 0
	}
	return float64(s.RecomputedTokens[kind]) / float64(s.PriorTokens[kind])
}

// Goodput returns the programs finished per second between two times after the start.
func (s *Stats) Goodput(from, to time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, end := range s.finishTimes {
		if end >= from && end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
