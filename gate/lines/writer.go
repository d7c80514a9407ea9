package lines

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueued bounds the bytes that wait for the output, about one second of a busy box's lines.
	maxQueued = 256 << 10
	// dropReportInterval is the least time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// Writer is an io.Writer that never blocks. Lines that don't fit into its queue are dropped and counted.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	queued []byte
	wake   chan struct{}
	done   chan struct{}
	closed bool
}

// New returns a writer that writes to out in the background until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.queued)+len(line) > maxQueued {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.queued = append(w.queued, line...)
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped so far. Lines lost in one failed write to the output count as
// one.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close waits up to one second for the queued lines to be written. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	var reportedAt time.Time
	for range w.wake {
		w.mu.Lock()
		batch, closed := w.queued, w.closed
		w.queued = nil
		w.mu.Unlock()
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				w.dropped.Add(1) // the error can't be logged
			}
		}
		if dropped := w.dropped.Load(); dropped > reported && time.Since(reportedAt) > dropReportInterval {
			reportedAt = time.Now()
			_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":"log: lines dropped","lines":%d}`+"\n", dropped-reported) // the error can't be logged
			reported = dropped
		}
		if closed {
			return
		}
	}
}
