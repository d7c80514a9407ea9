package serve

import "os"

const (
	// freeHeaderBytes is what headers may have without a reservation. Usual headers are shorter, so that they are read
	// whatever others send.
	freeHeaderBytes = 8 << 10
	// headerCost is the memory reserved for each further byte: net/http keeps a long line up to three times while it
	// reads it.
	headerCost = 3
)

// Memory is a budget that connections share.
type Memory interface {
	// Reserve takes n bytes and reports whether there was room for them.
	Reserve(n int64) bool
	// Release returns n reserved bytes.
	Release(n int64)
}

// reserveHeader reserves the memory for n more bytes that were read outside of a body, until the end of the response. If
// there is no room, it abandons the request and returns an error with which the server closes the connection: nothing
// of the request has been handled.
func (c *timedConn) reserveHeader(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || c.memory == nil {
		return nil
	}
	c.headerBytes += int64(n)
	more := headerCost*max(c.headerBytes-freeHeaderBytes, 0) - c.reserved
	if more <= 0 {
		return nil
	}
	if c.closed || !c.memory.Reserve(more) {
		c.abandoned = true
		return os.ErrDeadlineExceeded
	}
	c.reserved += more
	return nil
}

// releaseHeader returns what is reserved for the headers. The caller holds mu.
func (c *timedConn) releaseHeader() {
	c.headerBytes = 0
	if c.reserved > 0 {
		c.memory.Release(c.reserved)
		c.reserved = 0
	}
}
