package chain

import (
	"encoding/binary"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// The first byte of a key says what the record holds.
const (
	turnKey  = 't'
	copyKey  = 'c'
	startKey = 's'
	grantKey = 'g'
)

// turnRecord encodes an answered turn.
func turnRecord(t *Turn) work.Record {
	raw := make([]byte, 0, len(t.Text)+len(t.program)+len(t.previous)+32)
	raw = appendText(raw, t.program)
	raw = appendText(raw, t.previous)
	raw = binary.AppendUvarint(raw, uint64(t.keep.UnixMilli()))
	raw = binary.AppendUvarint(raw, uint64(t.tokens))
	raw = append(raw, t.Text...)
	return work.Record{Key: t.key(), Value: raw}
}

// copySplit stands between the names of a program and of a turn in the key of a copy; no name
// that callers may send holds it.
const copySplit = "\x00"

// key is the turn's key in the log. A copy has one of its own: the slot may also hold the turn
// that it was made from.
func (t *Turn) key() string {
	if t.copied {
		return string(copyKey) + t.program + copySplit + t.id
	}
	return string(turnKey) + t.id
}

// startRecord encodes a turn that may have begun to run.
func startRecord(id, program string, most int, keep time.Time) work.Record {
	raw := appendText(nil, program)
	raw = binary.AppendUvarint(raw, uint64(keep.UnixMilli()))
	raw = binary.AppendUvarint(raw, uint64(most))
	return work.Record{Key: string(startKey) + id, Value: raw}
}

func appendText(raw []byte, text string) []byte {
	raw = binary.AppendUvarint(raw, uint64(len(text)))
	return append(raw, text...)
}

// reader takes fields from a record; after the first malformed one it is bad.
type reader struct {
	raw []byte
	bad bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.raw)
	if size <= 0 {
		r.bad = true
		r.raw = nil
		return 0
	}
	r.raw = r.raw[size:]
	return n
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.raw)) {
		r.bad = true
		r.raw = nil
		return ""
	}
	text := string(r.raw[:n])
	r.raw = r.raw[n:]
	return text
}

func (r *reader) moment() time.Time {
	return time.UnixMilli(int64(r.number()))
}

func decodeTurn(id string, raw []byte) (*Turn, error) {
	r := &reader{raw: raw}
	t := &Turn{id: id, program: r.text(), previous: r.text(), keep: r.moment(), tokens: int(r.number())}
	if r.bad || t.program == "" {
		return nil, fault.Fail(fault.Protocol, "malformed turn in the log")
	}
	t.Text = append([]byte(nil), r.raw...)
	return t, nil
}

func decodeStart(raw []byte) (program string, keep time.Time, most int, err error) {
	r := &reader{raw: raw}
	program, keep, most = r.text(), r.moment(), int(r.number())
	if r.bad || program == "" {
		return "", time.Time{}, 0, fault.Fail(fault.Protocol, "malformed start of a turn in the log")
	}
	return program, keep, most, nil
}

// grantRecord encodes all that a program may have handed out by turns that are not kept.
func grantRecord(program string, tokens int, keep time.Time) work.Record {
	raw := binary.AppendUvarint(nil, uint64(keep.UnixMilli()))
	raw = binary.AppendUvarint(raw, uint64(tokens))
	return work.Record{Key: string(grantKey) + program, Value: raw}
}

func decodeGrant(raw []byte) (keep time.Time, tokens int, err error) {
	r := &reader{raw: raw}
	keep, tokens = r.moment(), int(r.number())
	if r.bad {
		return time.Time{}, 0, fault.Fail(fault.Protocol, "malformed grant in the log")
	}
	return keep, tokens, nil
}
