package dial

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection. One request uses it at a time.
type conn struct {
	raw net.Conn
	in  *bufio.Reader
	// since is when the last answer ended.
	since time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, in: bufio.NewReaderSize(raw, readBuffer)}
}

func (c *conn) end() {
	_ = c.raw.Close() // nothing is lost: the connection is given up
}

// quiet reports whether the connection is open and holds no bytes that nobody asked for.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}

// interrupt makes reads and writes under way end at once.
func (c *conn) interrupt() {
	_ = c.raw.SetDeadline(time.Unix(1, 0)) // it fails only on a closed connection
}
