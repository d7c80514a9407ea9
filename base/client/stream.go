package client

import (
	"bufio"
	"bytes"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

const (
	dataPrefix = "data: "
	// FinalEvent is the data of the last event of a stream.
	FinalEvent = "[DONE]"
	// maxEvent is the maximum size of one event, in bytes.
	maxEvent = 8 << 20
)

// EventReader is a reader of server-sent events.
type EventReader struct {
	scan *bufio.Scanner
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	scan := bufio.NewScanner(body)
	scan.Buffer(nil, maxEvent)
	return &EventReader{scan: scan}
}

// Next returns the data of the next event, which is valid until the next call, or io.EOF at the
// event FinalEvent. A stream that ends without that event is a fault.
func (r *EventReader) Next() ([]byte, error) {
	for r.scan.Scan() {
		data, ok := bytes.CutPrefix(r.scan.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == FinalEvent {
			return nil, io.EOF
		}
		return data, nil
	}
	return nil, fault.Fail(fault.TargetFailed, "stream ended without its final event").WithCause(r.scan.Err())
}

// asOpError is errors.As for a network error.
func asOpError(err error, op **net.OpError) bool {
	return errors.As(err, op)
}
