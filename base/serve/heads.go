package serve

import (
	"io"
	"os"
)

const (
	// freeHeaderBytes is what headers may have without a reservation. Usual headers are shorter, so that they are read
	// whatever others send.
	freeHeaderBytes = 8 << 10
	// headerCost is the memory reserved for each further byte: net/http keeps a long line up to three times while it
	// reads it.
	headerCost = 3
)

// refusal is the response to a request whose headers find no room. Nothing of the request has been handled, so that it may
// be sent again.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Refuser is implemented by connections that refuse requests before the server has read them. A wrapper that keeps
// what is written must take the responses, since earlier ones may still be kept.
type Refuser interface {
	// RefuseTo makes the connection write its refusals to out.
	RefuseTo(out io.Writer)
}

// RefuseTo implements Refuser.
func (c *timedConn) RefuseTo(out io.Writer) { c.refuseTo = out }

// Memory is a budget that connections share.
type Memory interface {
	// Reserve takes n bytes and reports whether there was room for them.
	Reserve(n int64) bool
	// Release returns n reserved bytes.
	Release(n int64)
}

// reserveHeader reserves the memory for n more bytes that were read outside of a body, until the end of the response. If
// there is no room, it refuses the request, abandons it and returns an error with which the server closes the connection.
func (c *timedConn) reserveHeader(n int) error {
	if c.hasRoom(n) {
		return nil
	}
	_, _ = io.WriteString(c.refuseTo, refusal) // the caller may have left
	return os.ErrDeadlineExceeded
}

// hasRoom reports whether n more bytes have found room. If not, it abandons the request.
func (c *timedConn) hasRoom(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || c.memory == nil {
		return true
	}
	c.headerBytes += int64(n)
	more := headerCost*max(c.headerBytes-freeHeaderBytes, 0) - c.reserved
	if more <= 0 {
		return true
	}
	if c.closed || !c.memory.Reserve(more) {
		c.abandoned = true
		return false
	}
	c.reserved += more
	return true
}

// releaseHeader returns what is reserved for the headers. The caller holds mu.
func (c *timedConn) releaseHeader() {
	c.headerBytes = 0
	if c.reserved > 0 {
		c.memory.Release(c.reserved)
		c.reserved = 0
	}
}
