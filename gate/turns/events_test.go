package turns

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestEvents(t *testing.T) {
	cases := []struct {
		name, raw, text string
		count           int
	}{
		{"plain", "id: 1\ndata: one\n\nid: 2\ndata: two\n\n", "one\ntwo\n", 2},
		{"a version in the first line", "x-weights: 7\nid: 1\ndata: one\n\n", "one\n", 1},
		{"several data lines", "data: a\ndata: b\n\n", "a\nb\n", 1},
		{"carriage returns and no blank", "data:a\r\n\r\n", "a\n", 1},
		{"broken off", "data: a\n\ndata: b", "a\n", 1},
		{"no data", "id: 1\n\n: comment\n\n", "", 0},
		{"empty data", "data:\n\n", "\n", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var e events
			e.write([]byte(c.raw))
			if diff := cmp.Diff([]any{c.text, c.count}, []any{string(e.text), e.count}); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLongEventsAreKept guards against the loss of a part of an event, which the program's next turns would lack. Events that
// need not be kept take no memory.
func TestLongEventsAreKept(t *testing.T) {
	long := strings.Repeat("x", 3*maxLine)
	for _, discard := range []bool{false, true} {
		e := events{discard: discard}
		for chunk := range slices.Chunk([]byte("data: "+long+"\n\ndata: end\n\n"), 10_000) {
			e.write(chunk)
		}
		want := long + "\nend\n"
		if discard {
			want = ""
		}
		if string(e.text) != want || e.count != 2 {
			t.Errorf("discarded %t: %d bytes of %d events, want %d of 2", discard, len(e.text), e.count, len(want))
		}
		if discard && e.size() > 0 {
			t.Errorf("%d bytes are kept", e.size())
		}
	}
}

// TestEventsInPieces checks that the boundaries between writes do not change the parsed text.
func TestEventsInPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		raw := rapid.StringOf(rapid.SampledFrom([]rune("data: x\n\r:i"))).Draw(rt, "raw")
		var whole, pieces events
		whole.write([]byte(raw))
		for rest := []byte(raw); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "cut")
			pieces.write(rest[:n])
			rest = rest[n:]
		}
		if diff := cmp.Diff(string(whole.text), string(pieces.text)); diff != "" {
			rt.Fatalf("text (-whole +pieces):\n%s", diff)
		}
	})
}
