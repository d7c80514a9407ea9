package work

import (
	"bytes"
	"io"
	"mime"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// commentMark begins the lines of a stream that belong to no event.
const commentMark = ':'

// maxEventBytes bounds the bytes of a stream from the end of one event to that of the next, comments included. Usual events
// have less than a thousandth of it.
const maxEventBytes = 1 << 20

// CheckEvents returns the reply to a call of a route of the given kind. If it is a stream of server-sent events, its
// body fails where it would end inside an event or goes on without one, and the body of an unframed success also where it
// would end before the first event. Its length is no longer known then: a caller that has got that many bytes would take
// the body for whole although it fails.
func (r Reply) CheckEvents(kind Kind) Reply {
	if r.isEventStream(kind) {
		r.Head.Length = -1
		r.Body = &eventBody{Body: r.Body, needsEvent: r.Head.Unframed && r.Succeeded()}
	}
	return r
}

// isEventStream reports whether the reply is a stream of server-sent events. A success without a media type is one if
// the answers of the route are streams.
func (r Reply) isEventStream(kind Kind) bool {
	media := r.Head.Header.Get("Content-Type")
	if media == "" {
		return kind == Stream && r.Succeeded()
	}
	media, _, _ = mime.ParseMediaType(media) // it also returns a media type whose parameters are malformed
	return media == eventStreamType
}

// eventBody is the body of a stream of server-sent events.
type eventBody struct {
	Body
	// needsEvent is set until the first event has begun, if a stream without events can't be complete.
	needsEvent bool
	// inEvent is set from the first byte of an event until the end of the empty line that ends it.
	inEvent bool
	// line holds the first bytes of the current line: as many as tell whether it is empty or a comment.
	line []byte
	// sinceEvent is the number of bytes since the end of the latest event. hasEvent is set from the first line of an event
	// that is no comment until its end.
	sinceEvent int
	hasEvent   bool
}

// Read implements io.Reader. It returns io.EOF only between two events.
func (b *eventBody) Read(data []byte) (int, error) {
	n, err := b.Body.Read(data)
	b.scan(data[:n])
	if b.sinceEvent > maxEventBytes {
		return n, fault.Fail(fault.Protocol, "the stream goes on without the end of an event")
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.inEvent {
		return n, fault.Fail(fault.TargetFailed, "the stream ended inside an event")
	}
	if b.needsEvent {
		return n, fault.Fail(fault.TargetFailed, "the stream ended before its first event")
	}
	return n, io.EOF
}

// scan follows the boundaries of the events in raw.
func (b *eventBody) scan(raw []byte) {
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			b.sinceEvent += len(raw)
			b.inEvent = true
			b.extendLine(raw)
			return
		}
		b.sinceEvent += end + 1
		b.extendLine(raw[:end])
		b.endLine()
		raw = raw[end+1:]
	}
}

// endLine handles the end of the current line.
func (b *eventBody) endLine() {
	b.inEvent = len(b.line) > 0 && string(b.line) != "\r"
	if b.inEvent && b.line[0] != commentMark {
		b.needsEvent = false
	}
	b.countEvent()
	b.line = b.line[:0]
}

// countEvent follows whether the current line belongs to an event or ends one.
func (b *eventBody) countEvent() {
	switch {
	case b.inEvent:
		b.hasEvent = b.hasEvent || b.line[0] != commentMark
	case b.hasEvent:
		b.hasEvent, b.sinceEvent = false, 0
	}
}

// extendLine adds raw to the current line, of which at most two bytes are kept.
func (b *eventBody) extendLine(raw []byte) {
	const kept = len("\r") + 1
	b.line = append(b.line, raw[:min(len(raw), kept-len(b.line))]...)
}
