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

// Faults configures the limits and the injected faults of a Store.
type Faults struct {
	// Down rejects every append and read.
	Down bool `json:"down"`
	// Delay delays every append and read.
	Delay types.Duration `json:"slow"`
	// LoseResponses is how many of the next appends fail after they took effect.
	LoseResponses int `json:"lose_answers"`
	// LateAppends is how many of the next appends fail and then take effect after LateDelay.
	LateAppends int            `json:"late_appends"`
	LateDelay   types.Duration `json:"late"`
	// AppendsPerSecond limits the appends per second over all streams; 0 means no limit.
	AppendsPerSecond int `json:"limit"`
	// Retention is the retention of entries; 0 keeps them forever.
	Retention types.Duration `json:"keep"`
}

// Stats counts appends, their bytes, reads, and appends over the limit.
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

// Store is an in-memory log. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	stats   Stats
	limiter *rate.Limiter
}

// New returns an empty log.
func New(faults Faults) *Store {
	s := &Store{streams: map[string]*stream{}}
	s.SetFaults(faults)
	return s
}

// SetFaults replaces the faults and limits.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil || faults.AppendsPerSecond != s.faults.AppendsPerSecond {
		s.limiter = newLimiter(faults.AppendsPerSecond)
	}
	s.faults = faults
}

func newLimiter(limit int) *rate.Limiter {
	if limit <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(limit), limit)
}

// Faults returns the current faults and limits.
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

// Append adds data to the stream and returns its offset. After an error that
// doesn't have NotRun set, the data may have been added or may be added later.
func (s *Store) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := s.injectFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		s.stats.Refused++
		return 0, fault.Refuse(fault.Overloaded, "append limit reached").WithRetryAfter(time.Second)
	}
	if s.faults.LateAppends > 0 {
		s.faults.LateAppends--
		time.AfterFunc(time.Duration(s.faults.LateDelay), func() { s.appendLate(name, data) })
		return 0, fault.Fail(fault.LogUnavailable, "append is delayed")
	}
	offset := s.appendEntry(name, data)
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return 0, fault.Fail(fault.LogUnavailable, "response lost")
	}
	return offset, nil
}

func (s *Store) appendLate(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendEntry(name, data)
}

func (s *Store) appendEntry(name string, data []byte) int64 {
	st := s.prunedStream(name)
	st.entries = append(st.entries, entry{at: time.Now(), data: data})
	s.stats.Appends++
	s.stats.Bytes += int64(len(data))
	return st.first + int64(len(st.entries)) - 1
}

// Read returns up to limit entries from the given offset on. It starts at the
// oldest retained entry if that is later.
func (s *Store) Read(ctx context.Context, name string, from int64, limit int) (types.LogPage, error) {
	if err := s.injectFaults(ctx); err != nil {
		return types.LogPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	st := s.prunedStream(name)
	page := types.LogPage{First: st.first, Next: st.first + int64(len(st.entries))}
	for offset := max(from, st.first); offset < page.Next && len(page.Entries) < limit; offset++ {
		page.Entries = append(page.Entries, types.LogEntry{Offset: offset, Data: st.entries[offset-st.first].data})
	}
	return page, nil
}

func (s *Store) injectFaults(ctx context.Context) error {
	faults := s.Faults()
	if faults.Down {
		return fault.Refuse(fault.LogUnavailable, "log is down")
	}
	if faults.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(faults.Delay)):
		return nil
	case <-ctx.Done():
		return fault.Refuse(fault.LogUnavailable, "call ended during the injected delay").WithCause(ctx.Err())
	}
}

// prunedStream returns a stream, creating it if needed, after dropping expired entries.
// The caller holds s.mu.
func (s *Store) prunedStream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: firstOffset}
		s.streams[name] = st
	}
	if s.faults.Retention == 0 {
		return st
	}
	cutoff := time.Now().Add(-time.Duration(s.faults.Retention))
	expired := 0
	for expired < len(st.entries) && st.entries[expired].at.Before(cutoff) {
		expired++
	}
	st.entries = st.entries[expired:]
	st.first += int64(expired)
	return st
}
