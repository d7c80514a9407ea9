package serve

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// unusedDivisor sets the part of the connections up to which those without a request are kept before idle ones.
	// Callers that have just connected must find enough room to send a request before others take it.
	unusedDivisor = 2
	// minUnusedTime is how long a connection may wait for its first request in any case. Most callers have sent it when
	// the connection is accepted, so that it leaves the server time to read it. Further connections wait for that.
	minUnusedTime = 20 * time.Millisecond
)

// Taker is implemented by connections, and wrappers of them, that are to be told which requests are in progress.
type Taker interface {
	// Taken says that a whole request has been read. It returns false if the connection is being closed for others, so
	// that the request must not be handled.
	Taken() bool
	// Released says that the response to it has been sent.
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
	for {
		victim, wait := l.pickVictim()
		switch {
		case wait > 0:
			time.Sleep(wait)
		case victim != nil:
			l.closed()
			_ = victim.Close() // the caller may have closed it
		default:
			return l.hasRoom()
		}
	}
}

// hasRoom reports whether the limit is not reached, and counts the connection that is closed otherwise.
func (l *evictingListener) hasRoom() bool {
	l.mu.Lock()
	full := l.open >= l.limit
	l.mu.Unlock()
	if full {
		l.closed()
	}
	return !full
}

// pickVictim returns the connection to close, or how long to wait until it may be closed. It returns neither if there is
// room, or if none may be closed.
func (l *evictingListener) pickVictim() (victim *evictableConn, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		return nil, 0
	}
	next := l.unused.Front()
	if idle := l.idle.Front(); idle != nil && l.unused.Len() <= l.limit/unusedDivisor {
		next = idle
	}
	if next == nil {
		return nil, 0
	}
	victim = next.Value.(*evictableConn)
	if left := minUnusedTime - time.Since(victim.accepted); left > 0 {
		return nil, left
	}
	victim.evicted = true
	victim.moveTo(nil)
	return victim, 0
}

func (l *evictingListener) add(tcp *net.TCPConn) *evictableConn {
	c := &evictableConn{TCPConn: tcp, listener: l, accepted: time.Now()}
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
	accepted time.Time
	// in is the list of the listener that holds the connection as element; nil if none does. They, evicted and closed are guarded
	// by the listener's mu.
	in      *list.List
	element *list.Element
	// evicted is set once the connection is being closed for others.
	evicted, closed bool
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
func (c *evictableConn) Taken() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.moveTo(nil)
	return !c.evicted
}

// Released implements Taker.
func (c *evictableConn) Released() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed && !c.evicted {
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
