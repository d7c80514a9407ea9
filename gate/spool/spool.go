package spool

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// retryAfter is the Retry-After delay of a call that is refused for memory. Callers that read on make room
	// within a round trip or two, and a caller with 2.5 s left honors a delay of up to a third of that.
	retryAfter = 500 * time.Millisecond
	// chunkOverhead is the memory that a kept piece of an answer takes besides its bytes.
	chunkOverhead = 128
	// drainPollInterval is the interval between two checks of Drain.
	drainPollInterval = 10 * time.Millisecond
)

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
}

// Spool accounts for the unread answers of a box.
type Spool struct {
	limits Limits
	counts Counts
	log    *slog.Logger
	// kept is the number of bytes that are kept for all callers. It changes under mu.
	kept atomic.Int64

	mu sync.Mutex
	// groups holds the number of bytes by group, only those above zero.
	groups map[work.CallerGroup]int64
}

// New returns a Spool. All limits must be above zero; see Limits.Fill.
func New(limits Limits, counts Counts, log *slog.Logger) *Spool {
	s := &Spool{limits: limits, counts: counts, log: log, groups: map[work.CallerGroup]int64{}}
	for _, name := range []string{"spool.slowed", "spool.ended", "spool.refused"} {
		counts.Count(name, 0) // exists from the start, so that alerts see its first increase
	}
	return s
}

// Kept returns the number of bytes that are kept.
func (s *Spool) Kept() int64 { return s.kept.Load() }

// Admit returns a fault with NotRun if a new call of the given group and priority must be refused, since the box keeps too
// many unread answers. A group that has less than the average of those that have any is not refused: its callers read what
// they get, and would pay for those who don't.
func (s *Spool) Admit(group work.CallerGroup, priority int) error {
	if !s.limits.Refuses(s.kept.Load(), priority) || s.keepsLittleFor(group) {
		return nil
	}
	s.counts.Count("spool.refused", 1)
	return fault.Refuse(fault.Overloaded, "too many answers are unread").WithRetryAfter(retryAfter)
}

// keepsLittleFor reports whether less is kept for the group than for the average of those for which anything is kept.
func (s *Spool) keepsLittleFor(group work.CallerGroup) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[group]*int64(len(s.groups)) < s.kept.Load()
}

// Drain waits until all callers have got what is kept for them, or until ctx ends.
func (s *Spool) Drain(ctx context.Context) {
	for s.kept.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// reserve counts n more bytes as kept, if the limits allow it. used holds the numbers for the answer and the
// connection.
func (s *Spool) reserve(used Usage, group work.CallerGroup, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used.Workspace, used.Named, used.Box = s.groups[group], group.Workspace != "", s.kept.Load()
	if !s.limits.Allows(used, n) {
		return false
	}
	s.kept.Add(n)
	s.groups[group] += n
	return true
}

// release counts n bytes as no longer kept.
func (s *Spool) release(group work.CallerGroup, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.Add(-n)
	if s.groups[group] -= n; s.groups[group] <= 0 {
		delete(s.groups, group)
	}
}

// Listen returns a listener whose TCP connections are of type *Conn.
func (s *Spool) Listen(ln net.Listener) net.Listener {
	return &listener{Listener: ln, spool: s}
}

type listener struct {
	net.Listener
	spool *Spool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	inner, ok := conn.(socket)
	if !ok {
		return conn, nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return conn, nil //nolint:nilerr // the connection has been closed, which its first use reports
	}
	_ = inner.SetWriteBuffer(kernelBufferBytes) // fails only on a closed connection
	return newConn(inner, raw, l.spool), nil
}
