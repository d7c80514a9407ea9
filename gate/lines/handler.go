package lines

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// window is the time over which lines with the same message are counted.
	window = time.Second
	// maxPerWindow is the number of lines with the same message that are written in a window. It exceeds the
	// number of decisions, one line each, that a busy box logs in that time.
	maxPerWindow = 200
)

// messageCount counts the lines with one message in the current window, which begins with the first of them.
type messageCount struct {
	windowStart time.Time
	written     int
	suppressed  int
}

// Handler limits lines that repeat too often. Of the lines with the same message those beyond the first
// maxPerWindow in a window are suppressed; the first line of the next window has their number as "summed".
type Handler struct {
	next    slog.Handler
	limiter *limiter
}

// limiter holds the counts by message. Handlers derived from one another share it.
type limiter struct {
	mu     sync.Mutex
	counts map[string]*messageCount
}

// LimitRepeats returns a Handler that passes lines on to next.
func LimitRepeats(next slog.Handler) *Handler {
	return &Handler{next: next, limiter: &limiter{counts: map[string]*messageCount{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), limiter: h.limiter}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, rec slog.Record) error {
	suppressed, write := h.limiter.allow(rec.Message, rec.Time)
	if !write {
		return nil
	}
	if suppressed > 0 {
		rec = rec.Clone()
		rec.AddAttrs(slog.Int("summed", suppressed))
	}
	return h.next.Handle(ctx, rec)
}

// allow counts a line and reports whether to write it. suppressed is the number of lines that were not written
// in the message's previous window, and is only set for the first line of a window.
func (l *limiter) allow(message string, now time.Time) (suppressed int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.counts[message]
	if !ok {
		c = &messageCount{windowStart: now}
		l.counts[message] = c
	}
	if now.Sub(c.windowStart) >= window {
		suppressed = c.suppressed
		*c = messageCount{windowStart: now}
	}
	if c.written >= maxPerWindow {
		c.suppressed++
		return 0, false
	}
	c.written++
	return suppressed, true
}
