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
	// Done is the last data of an event stream.
	Done = "[DONE]"
	// maxEvent bounds one event, in bytes.
	maxEvent = 8 << 20
)

// Events reads a stream of server-sent events.
type Events struct {
	scan *bufio.Scanner
}

// NewEvents reads events from body.
func NewEvents(body io.Reader) *Events {
	scan := bufio.NewScanner(body)
	scan.Buffer(nil, maxEvent)
	return &Events{scan: scan}
}

// Next returns the data of the next event; io.EOF after the end mark. A stream that
// ends without its mark is a failure.
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
	return nil, fault.Fail(fault.TargetFailed, "stream ended without its end mark").Because(e.scan.Err())
}

func asOp(err error, op **net.OpError) bool {
	return errors.As(err, op)
}
