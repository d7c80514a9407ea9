package lines

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// window is the time over which lines of one message are counted.
	window = time.Second
	// maxPerWindow is the number of lines of one message that are written in full in a
	// window: above what a box decides in a second on a busy day.
	maxPerWindow = 200
)

// count is what was seen of one message in the window under way.
type count struct {
	since   time.Time
	written int
	summed  int
}

// Handler sums lines that repeat too often: those beyond the first in a window are counted
// and told with the first of the next.
type Handler struct {
	next slog.Handler
	sums *sums
}

type sums struct {
	mu     sync.Mutex
	counts map[string]*count
}

// LimitRepeats wraps a handler.
func LimitRepeats(next slog.Handler) *Handler {
	return &Handler{next: next, sums: &sums{counts: map[string]*count{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), sums: h.sums}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), sums: h.sums}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, rec slog.Record) error {
	summed, write := h.sums.take(rec.Message, rec.Time)
	if !write {
		return nil
	}
	if summed > 0 {
		rec = rec.Clone()
		rec.AddAttrs(slog.Int("summed", summed))
	}
	return h.next.Handle(ctx, rec)
}

func (s *sums) take(message string, now time.Time) (summed int, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counts[message]
	if !ok {
		c = &count{since: now}
		s.counts[message] = c
	}
	if now.Sub(c.since) >= window {
		summed = c.summed
		*c = count{since: now}
	}
	if c.written >= maxPerWindow {
		c.summed++
		return 0, false
	}
	c.written++
	return summed, true
}
