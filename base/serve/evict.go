package serve

import (
	"container/list"
	"net"
	"sync"
)

// unusedDivisor sets the part of the connections up to which those without a request are kept before idle ones. Callers that
// have just connected must find enough room to send a request before others take it.
const unusedDivisor = 8

// Taker is implemented by connections, and wrappers of them, that are to be told which requests are in progress.
type Taker interface {
	// Taken says that a whole request has been read, and Released that the response to it has been sent.
	Taken()
	Released()
}

// WithEviction returns a listener that has at most limit connections open at a time. If there are more, it closes the one
// that has waited longest for its first whole request, or, if few do, the one that has been idle longest after a response.
// A connection whose request was taken is never closed for others: if all are such, the new one is closed. closed is
// called for each of these. Callers that send nothing could keep out all others otherwise.
//
// The connections are of type Taker.
func WithEviction(ln net.Listener, limit int, closed func()) net.Listener {
	return &evictingListener{Listener: ln, limit: limit, closed: closed}
}

type evictingListener struct {
	net.Listener
	limit  int
	closed func()

	mu sync.Mutex
	// open is the number of connections that are open.
	open int
	// unused holds the connections whose first request has not been taken, and idle those whose last request has got its
	// response; both in the order in which they became so. Those with a request in progress are in neither.
	unused, idle list.List
}

// Accept implements net.Listener.
func (l *evictingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if l.makeRoom() {
			return l.add(tcp), nil
		}
		_ = tcp.Close() // the caller may have closed it
	}
}

// makeRoom closes a connection if the limit is reached, and reports whether there is room for another one.
func (l *evictingListener) makeRoom() bool {
	l.mu.Lock()
	if l.open < l.limit {
		l.mu.Unlock()
		return true
	}
	victim := l.unused.Front()
	if idle := l.idle.Front(); idle != nil && l.unused.Len() <= l.limit/unusedDivisor {
		victim = idle
	}
	l.mu.Unlock()
	l.closed()
	if victim == nil {
		return false
	}
	_ = victim.Value.(*evictableConn).Close() // the caller may have closed it
	return true
}

func (l *evictingListener) add(tcp *net.TCPConn) *evictableConn {
	c := &evictableConn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.moveTo(&l.unused)
	return c
}

// evictableConn is a connection of an evictingListener.
type evictableConn struct {
	*net.TCPConn
	listener *evictingListener
	// in is the list of the listener that holds the connection as element; nil if none does. They, and closed, are guarded
	// by the listener's mu.
	in      *list.List
	element *list.Element
	closed  bool
}

// moveTo moves the connection to the end of a list, or to none. The caller holds the listener's mu.
func (c *evictableConn) moveTo(to *list.List) {
	if c.in != nil {
		c.in.Remove(c.element)
	}
	c.in, c.element = to, nil
	if to != nil {
		c.element = to.PushBack(c)
	}
}

// Taken implements Taker.
func (c *evictableConn) Taken() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.moveTo(nil)
}

// Released implements Taker.
func (c *evictableConn) Released() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed {
		c.moveTo(&c.listener.idle)
	}
}

// Close implements net.Conn.
func (c *evictableConn) Close() error {
	err := c.TCPConn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.listener.open--
		c.moveTo(nil)
	}
	return err
}
