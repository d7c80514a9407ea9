package turns

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// smallBox is the memory of the smallest boxes in bytes.
const smallBox = 112 << 20

// endlessBody is the body of an answer that goes on until it is closed or, to end a test that fails, very long.
type endlessBody struct {
	start, more string
	read        int
	closed      bool
}

func (e *endlessBody) Read(buf []byte) (int, error) {
	if e.read > 4*smallBox {
		return 0, io.ErrUnexpectedEOF
	}
	text := e.start + e.more
	e.start = ""
	n := copy(buf, text)
	e.start = text[n:]
	e.read += n
	return n, nil
}

func (e *endlessBody) Close() { e.closed = true }

// endlessAnswers are answers that go on without end, each in another part of it.
func endlessAnswers() map[string]*endlessBody {
	filler := strings.Repeat("x", 1000)
	return map[string]*endlessBody{
		"one event":         {start: "data: a\n\ndata: ", more: filler},
		"one event's ID":    {start: "data: a\n\nid: ", more: filler},
		"lines of an event": {start: "data: a\n\n", more: "data: " + filler + "\n"},
		"events":            {more: "id: 1\ndata: " + filler + "\n\n"},
		"one comment":       {start: "data: a\n\n:", more: filler},
		"no event":          {more: filler},
	}
}

// TestEndlessAnswerIsBounded checks that an answer that goes on without end takes a part of a small box's memory, also on
// routes whose answers are not kept, counts against its replica, and gives all of it back. It could take 16 MiB, and what
// was held back of an event on a resumable route had no bound.
func TestEndlessAnswerIsBounded(t *testing.T) {
	for _, route := range []work.Route{{Stateful: true}, {Resumable: true}, {Stateful: true, Resumable: true}} {
		for name, body := range endlessAnswers() {
			t.Run(fmt.Sprintf("%s/stateful %t, resumable %t", name, route.Stateful, route.Resumable), func(t *testing.T) {
				if name == "events" && !route.Stateful {
					t.Skip("nothing is kept")
				}
				tr := newAnsweredTurn(t, &caller{takes: 1 << 30}, &countingLedger{})
				tr.route = &route
				tr.answer = newAnswerWriter(tr, &caller{takes: 1 << 30})
				complete, err := tr.copyReply(context.Background(), work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: body})
				if complete || !fault.Is(err, fault.Protocol) || fault.From(err).NotRun || !body.closed {
					t.Errorf("complete: %v, fault %v, connection closed: %v", complete, err, body.closed)
				}
				if diff := cmp.Diff(target.Incomplete, tr.errorOutcome(context.Background(), err)); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
				if body.read > smallBox/16 {
					t.Errorf("%d kB were read", body.read>>10)
				}
				tr.releaseMemory()
				if diff := cmp.Diff(int64(0), tr.memory.Answers.Used()); diff != "" {
					t.Errorf("reserved after the end of the turn (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestUsualTurnsHaveRoomBesideEndlessOnes checks that turns with answers of some kB run while others have taken all the
// memory for answers that they get.
func TestUsualTurnsHaveRoomBesideEndlessOnes(t *testing.T) {
	budgets := memory.NewBudgets(0)
	for range 100 {
		share := memory.NewShare(budgets.Answers, freeAnswer)
		for size := 0; share.Grow(size); size += 4 << 10 {
		}
		defer share.Release()
	}
	body := &pieces{texts: slices.Repeat([]string{"data: " + strings.Repeat("x", 1000) + "\n\n"}, 5), err: io.EOF}
	ends := &countingLedger{body: body}
	tr := newAnsweredTurn(t, &caller{takes: 100}, ends)
	tr.memory = budgets
	tr.answer = newAnswerWriter(tr, &caller{takes: 100})
	if err := tr.forwardReply(context.Background(), work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: body}); err != nil || ends.finished != 1 {
		t.Errorf("%v, finished %d times", err, ends.finished)
	}
}

// TestEndlessErrorAnswerIsNotForwarded checks that an error answer without end is not cut and passed on as if it were whole.
func TestEndlessErrorAnswerIsNotForwarded(t *testing.T) {
	out := &caller{takes: 100}
	tr := newAnsweredTurn(t, out, freeLedger{})
	reply := work.Reply{Head: work.Head{Status: http.StatusInternalServerError}, Body: &endlessBody{more: strings.Repeat("x", 1000)}}
	complete, err := tr.copyReply(context.Background(), reply)
	if complete || !fault.Is(err, fault.Protocol) || out.takes != 100 {
		t.Errorf("complete: %v, fault %v, %d writes", complete, err, 100-out.takes)
	}
}

// processorTime returns the processor time that this process has taken, which other work on the machine does not lengthen.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestTimeForLongEventIsLinear checks that the bytes held back of an event are not searched again with each piece.
func TestTimeForLongEventIsLinear(t *testing.T) {
	const size, piece = 16 << 20, 4 << 10
	held := make([]byte, 0, size)
	start := processorTime(t)
	for len(held) < size {
		before := len(held)
		held = append(held, make([]byte, piece)...)
		if end := completeEvents(held, before); end != 0 {
			t.Fatalf("an event ends at %d", end)
		}
	}
	if took := processorTime(t) - start; took > 2*time.Second {
		t.Errorf("took %v of processor time", took)
	}
	for _, end := range []string{"\n\n", "\n\r\n"} {
		for cut := range len(end) {
			raw := []byte("data: x" + end + "data")
			at := len("data: x") + cut
			if diff := cmp.Diff(len("data: x"+end), completeEvents(raw, at)); diff != "" {
				t.Errorf("%q cut after %d bytes: end of the event (-want +got):\n%s", end, cut, diff)
			}
		}
	}
}
