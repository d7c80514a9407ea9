package chain

import (
	"bytes"
	"strconv"
	"time"

	"mulleingate.dev/gate/work"
)

// ImportCopy stores a copy of the turn that o continues, which belongs to another program. Its text covers the whole chain up
// to it. The copy's tokens are not counted again. The records must be written in their order.
func (s *State) ImportCopy(now time.Time, o OpenTurn, text []byte) []work.Record {
	t := &Turn{id: o.Previous, program: o.Program, expires: o.keptUntil(now), copied: true, Text: text}
	return s.storeParts(t, o.MaxText)
}

// StoreAgain stores a turn that Finish has stored, with parts of at most o.MaxText bytes, and returns the records to write in
// their order. It is for a log that has rejected the records of Finish.
func (s *State) StoreAgain(now time.Time, o OpenTurn, tokens int, text []byte) (*Turn, []work.Record) {
	t := newTurn(now, o, tokens, text)
	return t, s.storeParts(t, o.MaxText)
}

// partSeparator separates the ID of a turn from the number of a part in the ID of that part. Names that callers send can't
// contain it.
const partSeparator = "\x00"

// storeParts stores a turn and returns its records, the turn's own last. A text of more than maxText bytes is split: all but
// its end is stored as turns that precede this one. A maxText of 0 means no limit.
func (s *State) storeParts(t *Turn, maxText int) []work.Record {
	var recs []work.Record
	for n := 0; maxText > 0 && len(t.Text) > maxText; n++ {
		part := *t
		part.id, part.tokens, part.Text = t.id+partSeparator+strconv.Itoa(n), 0, t.Text[:maxText:maxText]
		t.previous, t.Text = part.id, t.Text[maxText:]
		s.storeTurn(&part)
		recs = append(recs, turnRecord(&part))
	}
	s.storeTurn(t)
	return append(recs, turnRecord(t))
}

// minSharedText is the length in bytes from which copies of one turn share their text.
const minSharedText = 32 << 10

// shareText makes the copy share its text with one that another program has of the same turn.
func (s *State) shareText(t *Turn) {
	if !t.copied || len(t.Text) < minSharedText {
		return
	}
	for _, prog := range s.programs {
		if other, ok := prog.turns[t.id]; ok && other.copied && bytes.Equal(other.Text, t.Text) {
			t.Text = other.Text
			return
		}
	}
}
