package remote

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

const (
	// silentAfter is how long a forwarded turn may get nothing before its box is checked. Events come every 40 to
	// 150 ms. TCP notices the loss of a box only after 2 s, which is longer than the slack of most programs.
	silentAfter = 300 * time.Millisecond
	// lostChecks is the number of checks in a row that a box must not answer for its turns to end, some 200 ms in all.
	lostChecks = 2
)

// silence measures how long a request has been waiting for data from another box. The time that the caller takes to
// accept data does not count.
type silence struct {
	start time.Time
	// waitsSince is when the wait in progress began, in nanoseconds after start; zero if there is none.
	waitsSince atomic.Int64
}

func (s *silence) begin() { s.waitsSince.Store(int64(time.Since(s.start)) + 1) }
func (s *silence) end()   { s.waitsSince.Store(0) }

// length returns the length of the wait in progress.
func (s *silence) length() time.Duration {
	since := s.waitsSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(s.start) - time.Duration(since)
}

// watchedReader measures the silence of a reader.
type watchedReader struct {
	in      io.Reader
	silence *silence
}

// Read implements io.Reader.
func (r *watchedReader) Read(data []byte) (int, error) {
	r.silence.begin()
	defer r.silence.end()
	return r.in.Read(data)
}

// endIfLost returns a context for a request to a near box, which ends once the request has been silent for silentAfter
// and the box has then not responded to lostChecks checks in a row. The caller measures the silence. The returned function
// must be called at the end of the request.
func (c *Client) endIfLost(ctx context.Context, box work.Box) (context.Context, *silence, func()) {
	ctx, stop := context.WithCancel(ctx)
	s := &silence{start: time.Now()}
	if c.near(box) {
		go c.watchSilence(ctx, stop, box, s)
	}
	return ctx, s, stop
}

// watchSilence calls stop if the box is lost during the silence.
func (c *Client) watchSilence(ctx context.Context, stop context.CancelFunc, box work.Box, s *silence) {
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		length := s.length()
		if length >= silentAfter {
			if c.isLost(box) && s.length() >= silentAfter {
				stop()
				return
			}
			length = 0
		}
		timer.Reset(silentAfter - length)
	}
}

// isLost reports whether the box does not respond to lostChecks checks in a row. A box that refuses connections is not
// lost: it may be stopping and still run its turns, and if its process is gone, its host resets their connections.
func (c *Client) isLost(box work.Box) bool {
	for range lostChecks {
		if c.check(box).result != view.Silent {
			return false
		}
	}
	return true
}
