package applog

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const firstOffset = 1

// Faults are the switches of the stand-in.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow types.Duration `json:"slow"`
	// LoseAnswers loses the answers of that many appends after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// LateAppends fails that many appends, which then land after Late.
	LateAppends int            `json:"late_appends"`
	Late        types.Duration `json:"late"`
	// Limit is in appends a second over all streams; 0 is without limit.
	Limit int `json:"limit"`
	// Keep is how long entries are kept; 0 is for ever.
	Keep types.Duration `json:"keep"`
}

// Stats counts what the log has taken.
type Stats struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"`
}

type entry struct {
	at   time.Time
	data []byte
}

type stream struct {
	// first is the offset of entries[0].
	first   int64
	entries []entry
}

// Store is the log. It is safe for use by many goroutines.
type Store struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	stats   Stats
	limiter *rate.Limiter
}

// New makes an empty log.
func New(faults Faults) *Store {
	s := &Store{streams: map[string]*stream{}}
	s.Set(faults)
	return s
}

// Set switches faults.
func (s *Store) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil || faults.Limit != s.faults.Limit {
		s.limiter = newLimiter(faults.Limit)
	}
	s.faults = faults
}

func newLimiter(limit int) *rate.Limiter {
	if limit <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(limit), limit)
}

// Faults returns the switches in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append adds data to the stream and returns its offset.
func (s *Store) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		s.stats.Refused++
		return 0, fault.Refuse(fault.Overloaded, "append limit").WithRetryAfter(time.Second)
	}
	if s.faults.LateAppends > 0 {
		s.faults.LateAppends--
		time.AfterFunc(time.Duration(s.faults.Late), func() { s.land(name, data) })
		return 0, fault.Fail(fault.LogUnavailable, "append is late")
	}
	at := s.add(name, data)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, fault.Fail(fault.LogUnavailable, "answer lost")
	}
	return at, nil
}

func (s *Store) land(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, data)
}

func (s *Store) add(name string, data []byte) int64 {
	str := s.stream(name)
	str.entries = append(str.entries, entry{at: time.Now(), data: data})
	s.stats.Appends++
	s.stats.Bytes += int64(len(data))
	return str.first + int64(len(str.entries)) - 1
}

// Read returns up to limit entries from an offset on.
func (s *Store) Read(ctx context.Context, name string, from int64, limit int) (types.LogPage, error) {
	if err := s.enter(ctx); err != nil {
		return types.LogPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	str := s.stream(name)
	page := types.LogPage{First: str.first, Next: str.first + int64(len(str.entries))}
	for at := max(from, str.first); at < page.Next && len(page.Entries) < limit; at++ {
		page.Entries = append(page.Entries, types.LogEntry{Offset: at, Data: str.entries[at-str.first].data})
	}
	return page, nil
}

func (s *Store) enter(ctx context.Context) error {
	faults := s.Faults()
	if faults.Down {
		return fault.Refuse(fault.LogUnavailable, "log is down")
	}
	if faults.Slow == 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(faults.Slow)):
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.LogUnavailable, "log is slow").WithCause(ctx.Err())
	}
}

// stream finds or makes a stream and drops what is older than retention.
func (s *Store) stream(name string) *stream {
	str, ok := s.streams[name]
	if !ok {
		str = &stream{first: firstOffset}
		s.streams[name] = str
	}
	if s.faults.Keep == 0 {
		return str
	}
	oldest := time.Now().Add(-time.Duration(s.faults.Keep))
	drop := 0
	for drop < len(str.entries) && str.entries[drop].at.Before(oldest) {
		drop++
	}
	str.entries = str.entries[drop:]
	str.first += int64(drop)
	return str
}
