package serve

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts are the timeouts of a connection with callers.
type Timeouts struct {
	// Header is the time within which the header of a request must arrive, from its first byte.
	Header time.Duration
	// Idle is the time for which a connection may be idle, before its first request or after a response.
	Idle time.Duration
}

// WithTimeouts returns a listener whose connections apply the timeouts that current returns, in place of
// ReadHeaderTimeout and IdleTimeout of the http.Server that serves it. These can't change once the server runs;
// they must be positive. current is called for each request and must not block. Long headers are reserved in memory, unless
// that is nil.
func WithTimeouts(ln net.Listener, current func() Timeouts, memory Memory) net.Listener {
	return &timedListener{Listener: ln, current: current, memory: memory}
}

// socket is a TCP connection, or a wrapper of one, with the methods of it that servers use.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
	SetWriteBuffer(bytes int) error
}

type timedListener struct {
	net.Listener
	current func() Timeouts
	memory  Memory
}

// Accept implements net.Listener.
func (l *timedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	inner, ok := conn.(socket)
	if !ok {
		return conn, nil
	}
	return &timedConn{socket: inner, current: l.current, memory: l.memory, refuseTo: inner, awaitsIdle: true}, nil
}

// timedConn replaces the deadlines that http.Server sets for an idle connection and for the header of a request.
type timedConn struct {
	socket
	current func() Timeouts
	// memory is nil if headers need no reservation.
	memory Memory
	// refuseTo takes the responses to requests that the connection refuses. It does not change once the connection is
	// served.
	refuseTo io.Writer

	mu sync.Mutex
	// awaitsIdle is set from the accept, or from the end of a response, until the server sets the next deadline.
	awaitsIdle bool
	// idle is set while the server waits for the first byte of a request; idleSince is the time since when.
	idle      bool
	idleSince time.Time
	// inRequest is set from the end of the header of a request to the end of the response.
	inRequest bool
	// abandoned is set once the rest of the current request is not read, and discarding once the connection is closed
	// after that.
	abandoned, discarding bool
	// headerBytes is the number of bytes read since the last response, without those of bodies, and reserved the memory
	// reserved for them. Nothing is reserved once closed is set.
	headerBytes, reserved int64
	closed                bool
}

// Responded implements Responder.
func (c *timedConn) Responded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsIdle, c.inRequest = true, false
	c.releaseHeader()
}

// Taken implements Taker for the connection that it wraps.
func (c *timedConn) Taken() bool {
	t, ok := c.socket.(Taker)
	return !ok || t.Taken()
}

// Released implements Taker for the connection that it wraps.
func (c *timedConn) Released() {
	if t, ok := c.socket.(Taker); ok {
		t.Released()
	}
}

// SetReadDeadline implements net.Conn. A zero deadline, one that has passed and interrupts a read, and those that the
// handler sets for the body are set as they are. Of the others, the server sets the first one after the accept or after
// a response for the idle connection, the next ones for the header of a request, and a zero one once that has arrived.
func (c *timedConn) SetReadDeadline(deadline time.Time) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return nil
	}
	if deadline.IsZero() && !c.awaitsIdle && !c.idle {
		c.inRequest = true
	}
	if c.inRequest || !deadline.After(now) {
		return c.socket.SetReadDeadline(deadline)
	}
	c.idle, c.awaitsIdle = c.awaitsIdle, false
	if !c.idle {
		return c.socket.SetReadDeadline(now.Add(c.current().Header))
	}
	c.idleSince = now
	return c.socket.SetReadDeadline(now.Add(c.current().Idle))
}

// Read implements net.Conn.
func (c *timedConn) Read(buf []byte) (int, error) {
	for {
		n, err := c.socket.Read(buf)
		if full := c.reserveHeader(n); full != nil {
			return 0, full
		}
		if !c.extendIdle(n, err) {
			return n, err
		}
	}
}

// extendIdle handles the result of a read while the connection is idle. It sets the deadline of the header if
// the first byte has arrived. It returns true if the read must be repeated, since the timeout of idle connections
// has become longer after the deadline was set.
func (c *timedConn) extendIdle(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	now, timeouts := time.Now(), c.current()
	if n > 0 {
		c.idle = false
		_ = c.socket.SetReadDeadline(now.Add(timeouts.Header)) // the next read fails if the connection is closed
		return false
	}
	until := c.idleSince.Add(timeouts.Idle)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !until.After(now) {
		return false
	}
	return c.socket.SetReadDeadline(until) == nil
}
