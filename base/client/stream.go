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
	// Done is the data of the last event of a stream.
	Done = "[DONE]"
	// maxEvent is the maximum size of one event, in bytes.
	maxEvent = 8 << 20
)

// Events is a reader of server-sent events.
type Events struct {
	scan *bufio.Scanner
}

// NewEvents returns a reader of the events in body.
func NewEvents(body io.Reader) *Events {
	scan := bufio.NewScanner(body)
	scan.Buffer(nil, maxEvent)
	return &Events{scan: scan}
}

// Next returns the data of the next event, which is valid until the next call, or io.EOF at the
// event Done. A stream that ends without that event is a fault.
func (e *Events) Next() ([]byte, error) {
	for e.scan.Scan() {
		data, ok := bytes.CutPrefix(e.scan.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == Done {
			return nil, io.EOF
		}
		return data, nil
	}
	return nil, fault.Fail(fault.TargetFailed, "stream ended without its final event").Because(e.scan.Err())
}

// asOpError is errors.As for a network error.
func asOpError(err error, op **net.OpError) bool {
	return errors.As(err, op)
}
