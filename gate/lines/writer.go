package lines

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueued bounds the bytes that wait for the output: a second of a busy box's lines.
	maxQueued = 256 << 10
	// tellEvery is the time between two lines that tell of dropped ones.
	tellEvery = time.Second
)

// Writer is an output that never blocks. What it can't take is dropped and counted.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	queued []byte
	wake   chan struct{}
	done   chan struct{}
	closed bool
}

// New makes a writer over out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.queued)+len(line) > maxQueued {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.queued = append(w.queued, line...)
	w.mu.Unlock()
	w.nudge()
	return len(line), nil
}

func (w *Writer) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped counts the lines that were lost so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what waits, but no longer than a second, and takes no more.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.nudge()
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var told int64
	var toldAt time.Time
	for range w.wake {
		w.mu.Lock()
		batch, closed := w.queued, w.closed
		w.queued = nil
		w.mu.Unlock()
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				w.dropped.Add(1) // nobody is left to tell
			}
		}
		if lost := w.dropped.Load(); lost > told && time.Since(toldAt) > tellEvery {
			toldAt = time.Now()
			_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":"log: lines dropped","lines":%d}`+"\n", lost-told) // as above
			told = lost
		}
		if closed {
			return
		}
	}
}
