package spool

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// counters counts by name.
type counters struct {
	mu     sync.Mutex
	values map[string]int64
}

func newCounters() *counters { return &counters{values: map[string]int64{}} }

func (c *counters) Count(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[name] += n
}

func (c *counters) get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[name]
}

const (
	kb = 1 << 10
	// unlimited is a limit that no test reaches.
	unlimited = 1 << 30
	// beyondKernel is more than the kernel keeps for a caller that does not read.
	beyondKernel = 512 * kb
)

// workspaceCount returns the number of workspaces for which bytes are kept.
func (s *Spool) workspaceCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.groups))
}

// pair returns a connection of a spool and its caller's end, which has a small receive buffer.
func pair(t *testing.T, spool *Spool) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // nothing uses it any more
	// The buffer must be small before the connection is opened, since a window that was offered is not taken back.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8*kb)
		})
		return errors.CombineErrors(err, failure)
	}}
	caller, err := dialer.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() }) // the test may have closed it
	accepted, err := spool.Listen(ln).Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := accepted.(*Conn)
	t.Cleanup(func() { _ = conn.inner.Close() }) // the test may have closed it
	return conn, caller.(*net.TCPConn)
}

func newSpool(limits Limits) (*Spool, *counters) {
	counts := newCounters()
	return New(limits.Fill(unlimited), counts, slog.New(slog.NewTextHandler(io.Discard, nil))), counts
}

// pattern returns n bytes that show whether pieces are lost, repeated or out of order.
func pattern(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return data
}

// writePieces writes data in pieces of the size of events and returns how long that took.
func writePieces(t *testing.T, conn io.Writer, data []byte) time.Duration {
	t.Helper()
	start := time.Now()
	for len(data) > 0 {
		n := min(180, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			t.Error(err)
			return 0
		}
		data = data[n:]
	}
	return time.Since(start)
}

// TestKeptAnswerArrivesWhole checks that writes to a caller that reads nothing yet don't block below the limits,
// that the caller gets all bytes in order once it reads, also if the connection is closed meanwhile, and that the
// memory is accounted for. A lost or repeated piece would corrupt an answer; memory that is not released would slow
// all answers in the end.
func TestKeptAnswerArrivesWhole(t *testing.T) {
	spool, counts := newSpool(Limits{Answer: unlimited, Connection: unlimited, Workspace: unlimited, Box: unlimited})
	conn, caller := pair(t, spool)
	conn.BeginAnswer("i", work.CallerGroup{Workspace: "w"}, time.Time{})
	want := pattern(beyondKernel)
	if took := writePieces(t, conn, want); took > stallTimeout/2 {
		t.Errorf("writes took %v", took)
	}
	if kept := spool.Kept(); kept < beyondKernel/2 || kept > 2*beyondKernel {
		t.Errorf("%d bytes kept of %d", kept, beyondKernel)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	got, err := io.ReadAll(caller)
	if err != nil || !bytes.Equal(want, got) {
		t.Errorf("caller got %d bytes of %d, equal %v: %v", len(got), len(want), bytes.Equal(want, got), err)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	spool.Drain(ctx)
	if diff := cmp.Diff([]int64{0, 0, 0, 0}, []int64{spool.Kept(), spool.workspaceCount(), counts.get("spool.slowed"), counts.get("spool.ended")}); diff != "" {
		t.Errorf("kept, workspaces, slowed and ended (-want +got):\n%s", diff)
	}
}

// TestClosedConnectionEndsBrokenAnswerWithReset checks that the caller of an answer that broke off gets a reset, and that of
// one that was completed gets all bytes, also those that are kept when the connection is closed.
func TestClosedConnectionEndsBrokenAnswerWithReset(t *testing.T) {
	for name, completed := range map[string]bool{"broken off": false, "completed": true} {
		for size, length := range map[string]int{"short": kb, "long": beyondKernel} {
			t.Run(name+"/"+size, func(t *testing.T) {
				spool, _ := newSpool(Limits{Answer: unlimited, Connection: unlimited, Workspace: unlimited, Box: unlimited})
				conn, caller := pair(t, spool)
				conn.BeginAnswer("i", work.CallerGroup{Workspace: "w"}, time.Time{})
				conn.ResetOnClose(true)
				writePieces(t, conn, pattern(length))
				if completed {
					conn.ResetOnClose(false)
				}
				if err := conn.Close(); err != nil {
					t.Error(err)
				}
				got, err := io.ReadAll(caller)
				if whole := err == nil && len(got) == length; whole != completed || errors.Is(err, syscall.ECONNRESET) == completed {
					t.Errorf("caller got %d bytes of %d: %v", len(got), length, err)
				}
			})
		}
	}
}

// TestFastCallerNeedsNoGoroutine checks that nothing is kept, and nothing allocated, for a caller that keeps up.
// Small boxes have a fifth of a core.
func TestFastCallerNeedsNoGoroutine(t *testing.T) {
	spool, _ := newSpool(Limits{})
	conn, caller := pair(t, spool)
	go func() { _, _ = io.Copy(io.Discard, caller) }() // until the connection is closed
	event := pattern(180)
	allocations := testing.AllocsPerRun(100, func() {
		conn.BeginAnswer("i", work.CallerGroup{Workspace: "w"}, time.Time{})
		if _, err := conn.Write(event); err != nil {
			t.Error(err)
		}
	})
	if allocations > 0 || spool.Kept() != 0 {
		t.Errorf("%v allocations for a write, %d bytes kept", allocations, spool.Kept())
	}
}

// TestSlowedAnswer checks each limit with a caller that reads nothing at first: the write that reaches the limit
// blocks, no more than the limit is kept, and all arrives once the caller reads. The limit of a connection is reached
// by several answers, each of which is below its own limit.
func TestSlowedAnswer(t *testing.T) {
	for name, limits := range map[string]Limits{
		"answer":     {Answer: 64 * kb},
		"connection": {Answer: 32 * kb, Connection: 64 * kb},
		"workspace":  {Workspace: 64 * kb},
		"box":        {Box: 64 * kb},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spool, counts := newSpool(Limits{
				Answer: limitOr(limits.Answer), Connection: limitOr(limits.Connection), Workspace: limitOr(limits.Workspace), Box: limitOr(limits.Box),
			})
			conn, caller := pair(t, spool)
			want, written := pattern(beyondKernel), make(chan time.Duration, 1)
			answerBytes := len(want)
			if limits.Connection > 0 {
				answerBytes = 16 * kb
			}
			go func() {
				start := time.Now()
				for part := range slices.Chunk(want, answerBytes) {
					conn.BeginAnswer("i", work.CallerGroup{Workspace: "w"}, time.Time{})
					writePieces(t, conn, part)
				}
				written <- time.Since(start)
				_ = conn.Close() // the caller sees whether all has arrived
			}()
			const pause = 500 * time.Millisecond
			time.Sleep(pause)
			if kept := spool.Kept(); kept > 64*kb || kept == 0 {
				t.Errorf("%d bytes kept", kept)
			}
			got, err := io.ReadAll(caller)
			if err != nil || !bytes.Equal(want, got) {
				t.Errorf("caller got %d bytes of %d: %v", len(got), len(want), err)
			}
			if took := <-written; took < pause || counts.get("spool.slowed") == 0 {
				t.Errorf("writes took %v, %d slowed", took, counts.get("spool.slowed"))
			}
		})
	}
}

func limitOr(limit int64) int64 {
	if limit == 0 {
		return unlimited
	}
	return limit
}

// TestOnlyTheSlowAnswerIsSlowed checks that a workspace that has reached its limit slows no caller of another one,
// and that callers that keep up are not concerned by any limit.
func TestOnlyTheSlowAnswerIsSlowed(t *testing.T) {
	spool, counts := newSpool(Limits{Answer: unlimited, Connection: unlimited, Workspace: 256 * kb, Box: unlimited})
	slow, _ := pair(t, spool)
	slow.BeginAnswer("i", work.CallerGroup{Workspace: "slow"}, time.Time{})
	go func() { _, _ = slow.Write(pattern(beyondKernel)) }() // ends with the connection
	for end := time.Now().Add(5 * time.Second); counts.get("spool.slowed") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answer is not slowed")
		}
	}
	for name, reads := range map[string]bool{"other": false, "slow": true} {
		conn, caller := pair(t, spool)
		conn.BeginAnswer("j", work.CallerGroup{Workspace: name}, time.Time{})
		if reads {
			go func() { _, _ = io.Copy(io.Discard, caller) }() // until the connection is closed
		}
		size := 256 * kb // of which the kernel takes a part
		if reads {
			size = 4 * kb
		}
		if took := writePieces(t, conn, pattern(size)); took > time.Second {
			t.Errorf("workspace %s, caller reads %v: writes took %v", name, reads, took)
		}
	}
	if diff := cmp.Diff(int64(1), counts.get("spool.slowed")); diff != "" {
		t.Errorf("slowed (-want +got):\n%s", diff)
	}
}

// TestCallerThatReadsSlowlyIsNotEnded checks that a caller is not cut off while it reads, even if it takes longer
// than stallTimeout to read as much as the socket must have free before it accepts more.
func TestCallerThatReadsSlowlyIsNotEnded(t *testing.T) {
	t.Parallel()
	spool, counts := newSpool(Limits{Answer: unlimited, Connection: unlimited, Workspace: unlimited, Box: unlimited})
	conn, caller := pair(t, spool)
	if _, err := conn.Write(pattern(beyondKernel)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, kb)
	for end := time.Now().Add(2 * stallTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if _, err := io.ReadFull(caller, buf); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(int64(0), counts.get("spool.ended")); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}

// TestEndedConnection checks that what is kept for a caller that does not read is dropped after stallTimeout, or at
// the deadline, and that later writes fail, so that no answer after it looks complete.
func TestEndedConnection(t *testing.T) {
	for name, c := range map[string]struct{ deadline, want time.Duration }{
		"stalled":  {time.Minute, stallTimeout},
		"deadline": {500 * time.Millisecond, 500 * time.Millisecond},
		"none":     {0, stallTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spool, counts := newSpool(Limits{Answer: unlimited, Connection: unlimited, Workspace: unlimited, Box: unlimited})
			conn, caller := pair(t, spool)
			start := time.Now()
			var deadline time.Time
			if c.deadline > 0 {
				deadline = start.Add(c.deadline)
			}
			conn.BeginAnswer("i", work.CallerGroup{Workspace: "w"}, deadline)
			if _, err := conn.Write(pattern(beyondKernel)); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithTimeout(context.Background(), 2*stallTimeout)
			defer stop()
			spool.Drain(ctx)
			// The caller's system takes some bytes in the first second, which counts as reading.
			if took := time.Since(start); took < c.want || took > c.want+2*time.Second {
				t.Errorf("ended after %v, want %v", took, c.want)
			}
			conn.BeginAnswer("j", work.CallerGroup{Workspace: "w"}, time.Time{})
			if _, err := conn.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("a later write returned %v", err)
			}
			if got, err := io.ReadAll(caller); err == nil || len(got) >= beyondKernel {
				t.Errorf("the caller read %d bytes and %v, want an error", len(got), err)
			}
			if diff := cmp.Diff([]int64{1, 0}, []int64{counts.get("spool.ended"), spool.workspaceCount()}); diff != "" {
				t.Errorf("ended and workspaces (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateAnswerIsDelivered checks that an answer is delivered after its deadline if the connection takes it at once.
func TestLateAnswerIsDelivered(t *testing.T) {
	spool, _ := newSpool(Limits{})
	conn, caller := pair(t, spool)
	conn.BeginAnswer("i", work.CallerGroup{Workspace: "w"}, time.Now().Add(-time.Second))
	if _, err := conn.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	got, err := io.ReadAll(caller)
	if err != nil || string(got) != "late" {
		t.Errorf("got %q, %v", got, err)
	}
}

// slowCallers and others are two groups of callers without a workspace.
var slowCallers, others = work.CallerGroup{Route: "slow"}, work.CallerGroup{Route: "other"}

// TestSlowCallersGetOthersNotRefused guards against calls that are refused since other callers don't read their answers: once the
// box keeps too much, only the groups that have at least the average are refused.
func TestSlowCallersGetOthersNotRefused(t *testing.T) {
	spool, _ := newSpool(Limits{Answer: unlimited, Connection: unlimited, Box: 100})
	keep := func(group work.CallerGroup, n int64) {
		if !spool.reserve(Usage{}, group, n) {
			t.Fatalf("%d bytes could not be kept", n)
		}
	}
	check := func(what string, slow, other bool) {
		t.Helper()
		if diff := cmp.Diff([]bool{slow, other}, []bool{spool.Admit(slowCallers, 0) == nil, spool.Admit(others, 5) == nil}); diff != "" {
			t.Errorf("%s: the slow group and the other one are admitted (-want +got):\n%s", what, diff)
		}
	}
	keep(slowCallers, 50)
	check("within the limit", true, true)
	keep(slowCallers, 46)
	check("one group has all", false, true)
	keep(others, 4)
	check("one group has most", false, true)
	spool.release(slowCallers, 92)
	keep(others, 92)
	check("the other group has most", true, false)
}

// TestRefusedForMemory checks that a refusal says when to retry, that the call has not run, and that it is counted.
func TestRefusedForMemory(t *testing.T) {
	spool, counts := newSpool(Limits{Answer: unlimited, Connection: unlimited, Box: 100})
	if !spool.reserve(Usage{}, slowCallers, 90) {
		t.Fatal("nothing could be kept")
	}
	if err := spool.Admit(slowCallers, 0); err != nil {
		t.Errorf("the most urgent call: %v", err)
	}
	err := spool.Admit(slowCallers, 5)
	if !fault.Is(err, fault.Overloaded) || !fault.From(err).NotRun || fault.From(err).RetryAfter <= 0 {
		t.Errorf("a less urgent call: %v", err)
	}
	spool.release(slowCallers, 90)
	if err := spool.Admit(slowCallers, 5); err != nil {
		t.Errorf("after the release: %v", err)
	}
	if diff := cmp.Diff(int64(1), counts.get("spool.refused")); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
}
