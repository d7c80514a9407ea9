package serve

import (
	"io"
	"time"
)

const (
	// discardTime and maxDiscardBytes bound what is read from a connection whose request is abandoned.
	discardTime     = 500 * time.Millisecond
	maxDiscardBytes = 1 << 20
)

// Abandoner is implemented by connections, and wrappers of them, whose current request can be abandoned.
type Abandoner interface {
	// Abandon makes the server stop reading the request. The connection must be closed after the response; what the
	// caller still sends is then discarded for a short time, since a reset could destroy the response before the
	// caller has read it.
	Abandon()
}

// Abandon implements Abandoner. The server would otherwise decode up to 256 KB of the body, for any length of time.
func (c *timedConn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	_ = c.socket.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// Close implements net.Conn. It returns at once.
func (c *timedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.releaseHeader()
	if c.discarding {
		return nil
	}
	if !c.abandoned || c.CloseWrite() != nil {
		return c.socket.Close()
	}
	c.discarding = true
	go c.discard()
	return nil
}

// discard reads what the caller still sends and closes the connection.
func (c *timedConn) discard() {
	defer func() { _ = c.socket.Close() }()                           // the caller may have closed it
	_ = c.socket.SetReadDeadline(time.Now().Add(discardTime))         // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, io.Reader(c.socket), maxDiscardBytes) // the connection is closed in any case
}
