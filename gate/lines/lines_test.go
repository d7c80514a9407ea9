package lines

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// blockedOutput is an output that blocks until free is closed.
type blockedOutput struct{ free chan struct{} }

func (o blockedOutput) Write(raw []byte) (int, error) {
	<-o.free
	return len(raw), nil
}

// TestWriteDoesNotBlock checks that writes don't block while the output does, and that dropped lines are
// counted.
func TestWriteDoesNotBlock(t *testing.T) {
	out := blockedOutput{free: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	start := time.Now()
	const n = 2000
	for range n {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d lines took %v", n, took)
	}
	if dropped := w.Dropped(); dropped == 0 || dropped >= n {
		t.Errorf("%d of %d lines dropped, want some but not all", dropped, n)
	}
	close(out.free)
	w.Close()
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *syncBuffer) Write(raw []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(raw)
}

func TestLinesKeepTheirOrder(t *testing.T) {
	out := &syncBuffer{}
	w := New(out)
	var want strings.Builder
	for n := range 500 {
		line := fmt.Sprintf("line %d\n", n)
		want.WriteString(line)
		if _, err := io.WriteString(w, line); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if diff := cmp.Diff(want.String(), out.buf.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

// TestRepeatedLinesAreLimited checks that the number of suppressed lines is logged, and that lines with other
// messages are written.
func TestRepeatedLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(LimitRepeats(slog.NewTextHandler(&out, nil))).With("box", "b")
		for range maxPerWindow + 37 {
			log.Info("part: again")
		}
		log.Info("part: other")
		time.Sleep(window)
		log.Info("part: again")
		if diff := cmp.Diff(maxPerWindow+2, strings.Count(out.String(), "\n")); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
		if !strings.Contains(out.String(), "summed=37") {
			t.Error("the number of suppressed lines is not logged")
		}
	})
}

// BenchmarkLine measures the cost of logging one line with the attributes of an answered turn.
func BenchmarkLine(b *testing.B) {
	w := New(io.Discard)
	defer w.Close()
	log := slog.New(LimitRepeats(slog.NewJSONHandler(w, nil))).With("box", "frontend-1")
	for b.Loop() {
		log.Info("turns: turn answered", "id", "e5b2907c14da6f38", "program", "3fa81c", "slot", 3, "replica", "i-7f3a91c2",
			"prompt", 3590, "cached", 2560, "events", 11, "first", 60*time.Millisecond, "took", 200*time.Millisecond)
	}
}
