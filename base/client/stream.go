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
	// FinalEvent is the last data of an event stream.
	FinalEvent = "[DONE]"
	// maxEvent bounds one event, in bytes.
	maxEvent = 8 << 20
)

// EventReader reads a stream of server-sent events.
type EventReader struct {
	scan *bufio.Scanner
}

// NewEventReader reads events from body.
func NewEventReader(body io.Reader) *EventReader {
	scan := bufio.NewScanner(body)
	scan.Buffer(nil, maxEvent)
	return &EventReader{scan: scan}
}

// Next returns the data of the next event; io.EOF after the end mark. A stream that
// ends without its mark is a failure.
func (e *EventReader) Next() ([]byte, error) {
	for e.scan.Scan() {
		data, ok := bytes.CutPrefix(e.scan.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == FinalEvent {
			return nil, io.EOF
		}
		return data, nil
	}
	return nil, fault.Fail(fault.TargetFailed, "stream ended without its end mark").WithCause(e.scan.Err())
}

func asOp(err error, op **net.OpError) bool {
	return errors.As(err, op)
}
