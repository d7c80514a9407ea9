package chain

import (
	"encoding/binary"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// The first byte of a key is the type of the record.
const (
	turnKeyPrefix  = 't'
	copyKeyPrefix  = 'c'
	startKeyPrefix = 's'
	grantKeyPrefix = 'g'
)

// turnRecord encodes an answered turn.
func turnRecord(t *Turn) work.Record {
	raw := make([]byte, 0, len(t.Text)+len(t.program)+len(t.previous)+32)
	raw = appendText(raw, t.program)
	raw = appendText(raw, t.previous)
	raw = binary.AppendUvarint(raw, uint64(t.expires.UnixMilli()))
	raw = binary.AppendUvarint(raw, uint64(t.tokens))
	raw = append(raw, t.Text...)
	return work.Record{Key: t.key(), Value: raw}
}

// copyKeySeparator separates the program and the turn in the key of a copy. Names that callers send
// can't contain it.
const copyKeySeparator = "\x00"

// key returns the turn's key in the log. A copy's key includes its program, since the slot may also
// hold the original.
func (t *Turn) key() string {
	if t.copied {
		return string(copyKeyPrefix) + t.program + copyKeySeparator + t.id
	}
	return string(turnKeyPrefix) + t.id
}

// startRecord encodes the reservation of a turn that may have begun to run.
func startRecord(id, program string, maxTokens int, expires time.Time) work.Record {
	raw := appendText(nil, program)
	raw = binary.AppendUvarint(raw, uint64(expires.UnixMilli()))
	raw = binary.AppendUvarint(raw, uint64(maxTokens))
	return work.Record{Key: string(startKeyPrefix) + id, Value: raw}
}

func appendText(raw []byte, text string) []byte {
	raw = binary.AppendUvarint(raw, uint64(len(text)))
	return append(raw, text...)
}

// reader decodes the fields of a record. It sets malformed at the first field that it can't decode.
type reader struct {
	raw       []byte
	malformed bool
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.raw)
	if size <= 0 {
		r.malformed = true
		r.raw = nil
		return 0
	}
	r.raw = r.raw[size:]
	return n
}

// maxCount bounds the counts in records, so that sums of them don't overflow.
const maxCount = 1 << 40

func (r *reader) count() int {
	n := r.uvarint()
	if n > maxCount {
		r.malformed = true
		return 0
	}
	return int(n)
}

func (r *reader) text() string {
	n := r.uvarint()
	if n > uint64(len(r.raw)) {
		r.malformed = true
		r.raw = nil
		return ""
	}
	text := string(r.raw[:n])
	r.raw = r.raw[n:]
	return text
}

func (r *reader) timestamp() time.Time {
	return time.UnixMilli(int64(r.uvarint()))
}

func decodeTurn(id string, raw []byte) (*Turn, error) {
	r := &reader{raw: raw}
	t := &Turn{id: id, program: r.text(), previous: r.text(), expires: r.timestamp(), tokens: r.count()}
	if r.malformed || t.program == "" {
		return nil, fault.Fail(fault.Protocol, "malformed turn in the log")
	}
	t.Text = append([]byte(nil), r.raw...)
	return t, nil
}

func decodeStart(raw []byte) (program string, expires time.Time, maxTokens int, err error) {
	r := &reader{raw: raw}
	program, expires, maxTokens = r.text(), r.timestamp(), r.count()
	if r.malformed || program == "" {
		return "", time.Time{}, 0, fault.Fail(fault.Protocol, "malformed start record in the log")
	}
	return program, expires, maxTokens, nil
}

// grantRecord encodes the total number of tokens that the program's turns without stored answers may have
// delivered.
func grantRecord(program string, tokens int, expires time.Time) work.Record {
	raw := binary.AppendUvarint(nil, uint64(expires.UnixMilli()))
	raw = binary.AppendUvarint(raw, uint64(tokens))
	return work.Record{Key: string(grantKeyPrefix) + program, Value: raw}
}

func decodeGrant(raw []byte) (expires time.Time, tokens int, err error) {
	r := &reader{raw: raw}
	expires, tokens = r.timestamp(), r.count()
	if r.malformed {
		return time.Time{}, 0, fault.Fail(fault.Protocol, "malformed grant in the log")
	}
	return expires, tokens, nil
}
