package serve

import (
	"net"
	"sync"
	"sync/atomic"
)

// WithMaxConns returns a listener that has at most limit connections open at a time. It closes further ones at once,
// without reading from them, and calls refused before that.
func WithMaxConns(ln net.Listener, limit int, refused func()) net.Listener {
	return &limitedListener{Listener: ln, limit: int64(limit), refused: refused}
}

type limitedListener struct {
	net.Listener
	limit   int64
	refused func()
	// open is the number of connections that are open.
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{TCPConn: tcp, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused()
		_ = tcp.Close() // the caller may have closed it
	}
}

// limitedConn is a connection of a limitedListener. It embeds the TCP connection since servers also use methods that
// net.Conn lacks.
type limitedConn struct {
	*net.TCPConn
	listener *limitedListener
	closed   sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.TCPConn.Close()
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return err
}
