package dial

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// conn is one connection. It carries one request at a time.
type conn struct {
	netConn net.Conn
	// reader buffers what conn.Read returns.
	reader *bufio.Reader
	head   headLimit
	// idleSince is when the last response ended; zero on a new connection.
	idleSince time.Time
}

func newConn(raw net.Conn) *conn {
	c := &conn{netConn: raw}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read implements io.Reader. It fails beyond the limit of a head.
func (c *conn) Read(data []byte) (int, error) {
	return c.head.read(c.netConn, data)
}

// readHead reads the head of a response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	return c.head.readHead(c.reader, req)
}

func (c *conn) disconnect() {
	_ = c.netConn.Close() // the connection is not used any more
}

// isReusable reports whether the connection is open and has no unread bytes.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}

// wasReset reports whether the peer has reset the connection. The kernel reports that only once, and the writer of the request
// may have got it, so that the reader sees the end of the connection.
func (c *conn) wasReset() bool {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) { reset = isReset(int(fd)) })
	return err != nil || reset
}

// isReset reports whether the socket has an error or is closed in both directions, as a reset leaves it: after an orderly end
// of what the peer sends, this side is still open.
func isReset(fd int) bool {
	if pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || pending != 0 {
		return true
	}
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		_, err := unix.Poll(poll, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err != nil || poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	}
}

// interrupt makes reads and writes in progress fail at once.
func (c *conn) interrupt() {
	_ = c.netConn.SetDeadline(time.Unix(1, 0)) // it fails only on a closed connection
}
