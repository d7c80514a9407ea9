package work

import (
	"bytes"
	"mime"
	"net/http"
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// IsEventStream reports whether the reply to a call of a route of the given kind is a stream of server-sent events. A
// success without a media type is one on a route whose answers are streams.
func (r Reply) IsEventStream(kind Kind) bool {
	media := r.Head.Header.Get("Content-Type")
	if media == "" {
		return kind == Stream && r.Head.Status < http.StatusMultipleChoices
	}
	media, _, err := mime.ParseMediaType(media)
	return err == nil && media == eventStreamType
}

// EventBody is the body of a stream of server-sent events. It finds the boundaries of the events.
type EventBody struct {
	Body
	// inEvent is set from the first byte of an event until the end of the empty line that ends it.
	inEvent bool
	// line holds the first bytes of the current line: as many as tell whether it is empty.
	line []byte
}

// NewEventBody returns a body that reads from the given one, of which nothing has been read.
func NewEventBody(body Body) *EventBody {
	return &EventBody{Body: body}
}

// Read implements io.Reader.
func (b *EventBody) Read(data []byte) (int, error) {
	n, err := b.Body.Read(data)
	b.scan(data[:n])
	return n, err
}

// InEvent reports whether the bytes read so far end inside an event.
func (b *EventBody) InEvent() bool {
	return b.inEvent
}

// scan follows the boundaries of the events in raw.
func (b *EventBody) scan(raw []byte) {
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			b.inEvent = true
			b.extendLine(raw)
			return
		}
		b.extendLine(raw[:end])
		b.inEvent = len(b.line) > 0 && string(b.line) != "\r"
		b.line = b.line[:0]
		raw = raw[end+1:]
	}
}

// extendLine adds raw to the current line, of which at most two bytes are kept.
func (b *EventBody) extendLine(raw []byte) {
	const kept = len("\r") + 1
	b.line = append(b.line, raw[:min(len(raw), kept-len(b.line))]...)
}
