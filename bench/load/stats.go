package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleingate.dev/base/fault"
)

// Stats is what a run measured. Latency counts from the intended arrival.
type Stats struct {
	mu sync.Mutex
	// Programs by how they ended.
	Planned, Finished, Refused, Failed int
	Turns, Calls, Retries              int
	// Refusals counts failed requests by kind.
	Refusals map[string]int
	// Violations are broken promises, at most a few of them.
	Violations []string
	// Recomputed and Prior are prefix tokens computed again, and all prefix tokens that
	// had been computed before, by kind of program.
	Recomputed, Prior map[string]int64
	// Unknown counts calls whose outcome the system could not tell.
	Unknown int

	latency map[string]*hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	// ends are the finish times of programs after the start, for goodput.
	ends []time.Duration
}

const (
	maxMicros     = int64(time.Hour / time.Microsecond)
	digits        = 3
	maxViolations = 20
	allKinds      = "all"
)

func newStats() *Stats {
	return &Stats{
		Refusals: map[string]int{}, Recomputed: map[string]int64{}, Prior: map[string]int64{},
		latency: map[string]*hdrhistogram.Histogram{}, first: hdrhistogram.New(1, maxMicros, digits),
	}
}

func (s *Stats) add(change func(s *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *Stats) refusal(f *fault.Fault) {
	s.add(func(s *Stats) { s.Refusals[string(f.Kind)]++ })
}

func (s *Stats) violation(text string) {
	s.add(func(s *Stats) {
		if len(s.Violations) < maxViolations {
			s.Violations = append(s.Violations, text)
		}
	})
}

func (s *Stats) finished(kind string, took, end time.Duration) {
	s.add(func(s *Stats) {
		s.Finished++
		s.ends = append(s.ends, end)
		for _, name := range []string{kind, allKinds} {
			h, ok := s.latency[name]
			if !ok {
				h = hdrhistogram.New(1, maxMicros, digits)
				s.latency[name] = h
			}
			_ = h.RecordValue(took.Microseconds())
		}
	})
}

// Latency is a percentile of program latency of a kind, or of "all".
func (s *Stats) Latency(kind string, percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.latency[kind]
	if !ok {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// Wasted is the share of prefix tokens of a kind that were computed again.
func (s *Stats) Wasted(kind string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Prior[kind] == 0 {
		return 0
	}
	return float64(s.Recomputed[kind]) / float64(s.Prior[kind])
}

// Goodput is finished programs a second between two times after the start.
func (s *Stats) Goodput(from, to time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, end := range s.ends {
		if end >= from && end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
