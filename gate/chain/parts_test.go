package chain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// TestLongTextsAreSplit guards against turns and copies of chains that don't fit into one record of the log: their history
// must be whole at the next owner, and nothing must stay once the program expires.
func TestLongTextsAreSplit(t *testing.T) {
	const maxText = 100
	for _, length := range []int{0, 1, maxText - 1, maxText, maxText + 1, 2 * maxText, 2*maxText + 1, 30 * maxText} {
		s := New()
		text := strings.Repeat("0123456789", length/10+1)[:length]
		first := open("a", "", 9)
		first.MaxText = maxText
		recs := answerTurn(t, s, first, text)
		recs = append(recs, answerTurn(t, s, open("b", "a", 9), "end")...)
		whole, ok := s.ChainText("b")
		if !ok {
			t.Fatal("the chain is not known")
		}
		recs = append(recs, s.ImportCopy(start, OpenTurn{Program: "q", Previous: "b", Retention: time.Minute, MaxText: maxText}, whole)...)
		for _, rec := range recs {
			if len(rec.Value) > maxText+64 {
				t.Errorf("%d bytes: a record of %d bytes", length, len(rec.Value))
			}
		}
		next := rebuild(t, recs)
		for _, program := range []string{"p", "q"} {
			turns, err := next.History(program, "b")
			if err != nil {
				t.Fatalf("%d bytes, program %s: %v", length, program, err)
			}
			if diff := cmp.Diff(text+"end", joinText(turns)); diff != "" {
				t.Errorf("%d bytes, history of %s (-want +got):\n%s", length, program, diff)
			}
		}
		if diff := cmp.Diff(loggedTokens(s), loggedTokens(next)); diff != "" {
			t.Errorf("%d bytes, tokens in the log (-want +got):\n%s", length, diff)
		}
		kept := map[string]bool{}
		for _, rec := range append(recs, next.Expire(start.Add(time.Hour), 10_000)...) {
			kept[rec.Key] = len(rec.Value) > 0
		}
		for key, is := range kept {
			if is {
				t.Errorf("%d bytes: %q stays in the log", length, key)
			}
		}
	}
}

// TestIncompleteCopyIsReplaced checks that a copy of which the log holds only a part is not taken for the chain.
func TestIncompleteCopyIsReplaced(t *testing.T) {
	o := OpenTurn{Program: "q", Previous: "b", Retention: time.Minute, MaxText: 10}
	text := []byte(strings.Repeat("x", 35))
	recs := New().ImportCopy(start, o, text)
	for lost := range recs {
		next := rebuild(t, append(append([]work.Record(nil), recs[:lost]...), recs[lost+1:]...))
		if _, err := next.History("q", "b"); err == nil {
			t.Errorf("the chain without record %d counts as whole", lost)
		}
		next.ImportCopy(start, o, text)
		if turns, err := next.History("q", "b"); err != nil || joinText(turns) != string(text) {
			t.Errorf("not whole after another copy: %v", err)
		}
	}
}

// TestCopiesShareText checks that programs which go on from one chain share the memory of its text.
func TestCopiesShareText(t *testing.T) {
	s := New()
	text := strings.Repeat("x", 3*minSharedText)
	for _, program := range []string{"p", "q", "r"} {
		s.ImportCopy(start, OpenTurn{Program: program, Previous: "b", Retention: time.Minute, MaxText: minSharedText}, []byte(text))
	}
	parts := map[*byte]bool{}
	for _, program := range []string{"p", "q", "r"} {
		turns, err := s.History(program, "b")
		if err != nil || joinText(turns) != text {
			t.Fatalf("history of %s: %v", program, err)
		}
		for _, turn := range turns {
			parts[&turn.Text[0]] = true
		}
	}
	if diff := cmp.Diff(3, len(parts)); diff != "" {
		t.Errorf("texts in memory (-want +got):\n%s", diff)
	}
}
