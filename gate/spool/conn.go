package spool

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/serve"
	"mulleingate.dev/gate/work"
)

const (
	// stallTimeout is how long a caller may read nothing while bytes for it wait. Callers give up after a gap of
	// two seconds or more, so that one which still waits for its answer reads within that time; one second more
	// allows for lost packets.
	stallTimeout = 3 * time.Second
	// stallChecks is the number of checks in that time for whether the caller has read anything.
	stallChecks = 6
	// kernelBufferBytes is the size of a connection's send buffer in the kernel, which the limits don't cover. It
	// grows to megabytes if it is not set. It holds many usual answers, and what a connection between zones has
	// in flight.
	kernelBufferBytes = 64 << 10
)

// socket is a TCP connection, or a wrapper of one.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
	SetWriteBuffer(bytes int) error
}

// Conn is a connection with a caller. What it does not take at once is kept and written in the background, so that
// Write blocks only if a limit is reached. It embeds only net.Conn, so that no method of the socket bypasses the
// bytes that are kept.
//
// It has one writer at a time, as connections of http.Server do.
type Conn struct {
	net.Conn
	inner socket
	raw   syscall.RawConn
	spool *Spool

	// try writes tryData without blocking and sets tryCount and tryErr. Only the writer uses them.
	try      func(fd uintptr) bool
	tryData  []byte
	tryCount int
	tryErr   error

	mu sync.Mutex
	// drained is signaled when draining becomes false.
	drained sync.Cond
	// answer describes the answer that is being written.
	answer answer
	// slowed is the number of the latest answer that was slowed.
	slowed int
	// chunks is what is kept, the oldest first; kept is its size, and answerKept that of the current answer's part.
	chunks           []chunk
	kept, answerKept int64
	// draining is set while a goroutine writes the chunks. Nothing else is written during that time.
	draining bool
	// releasing is set while the connection is to be released after the chunks.
	releasing bool
	// closing and closingWrite are set if the connection, or its write side, is to be closed after the chunks.
	closing, closingWrite bool
	// resetting is set while the end of the connection must be a reset, and zeroLinger once the socket is set to that.
	resetting, zeroLinger bool
	// failure is the error that has ended the connection.
	failure error
}

// answer identifies an answer on a connection.
type answer struct {
	// number counts the answers on the connection, from 1.
	number int
	id     string
	group  work.CallerGroup
	// deadline is zero if it is not known.
	deadline time.Time
}

// chunk is a piece of an answer.
type chunk struct {
	answer answer
	data   []byte
}

// minChunkBytes is the capacity of chunks, unless they begin with more data. It holds several events.
const minChunkBytes = 1 << 10

// size returns the memory that the chunk takes.
func (c chunk) size() int64 { return int64(cap(c.data)) + chunkOverhead }

func newConn(inner socket, raw syscall.RawConn, spool *Spool) *Conn {
	c := &Conn{Conn: inner, inner: inner, raw: raw, spool: spool}
	c.drained.L = &c.mu
	c.try = c.tryOnce
	if r, ok := inner.(serve.Refuser); ok {
		r.RefuseTo(c)
	}
	return c
}

// Responded implements serve.Responder for the connection that it wraps. That is released once nothing is kept.
func (c *Conn) Responded() {
	if r, ok := c.inner.(serve.Responder); ok {
		r.Responded()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasing = c.draining
	if !c.draining {
		c.release()
	}
}

// Taken says that a whole request has been read, and reports whether it may be handled; see serve.Taker.
func (c *Conn) Taken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasing = false
	t, ok := c.inner.(serve.Taker)
	return !ok || t.Taken()
}

// release tells the connection that it wraps that no response is in progress. The caller holds mu.
func (c *Conn) release() {
	c.releasing = false
	if t, ok := c.inner.(serve.Taker); ok {
		t.Released()
	}
}

// Abandon implements serve.Abandoner for the connection that it wraps.
func (c *Conn) Abandon() {
	if a, ok := c.inner.(serve.Abandoner); ok {
		a.Abandon()
	}
}

// SetWriteDeadline implements net.Conn. It does nothing, since writeAll sets its own deadlines: http.Server clears the
// deadline after each response, while that may be written in the background.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn; see SetWriteDeadline.
func (c *Conn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// BeginAnswer says to which answer the bytes belong that are written from now on. A zero deadline bounds nothing.
func (c *Conn) BeginAnswer(id string, group work.CallerGroup, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = answer{number: c.answer.number + 1, id: id, group: group, deadline: deadline}
	c.answerKept = 0
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	rest, done, err := c.writeOrKeep(data)
	if done || err != nil {
		return len(data) - len(rest), err
	}
	c.mu.Lock()
	if c.slowed != c.answer.number {
		c.slowed = c.answer.number
		c.spool.counts.Count("spool.slowed", 1)
	}
	for c.draining {
		c.drained.Wait()
	}
	current, failure := c.answer, c.failure
	c.mu.Unlock()
	if failure != nil {
		return len(data) - len(rest), failure
	}
	if err := c.writeAll(current, rest); err != nil {
		c.fail(current, err)
		return len(data) - len(rest), err
	}
	return len(data), nil
}

// writeOrKeep writes what the socket takes at once and keeps the rest. It reports whether that was possible;
// otherwise rest was neither written nor kept.
func (c *Conn) writeOrKeep(data []byte) (rest []byte, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return data, false, c.failure
	}
	if !c.draining {
		n, err := c.writeNow(data)
		data = data[n:]
		if err != nil || len(data) == 0 {
			return data, err == nil, err
		}
	}
	if !c.keep(data) {
		return data, false, nil
	}
	if !c.draining {
		c.draining = true
		go c.drain()
	}
	return nil, true, nil
}

// keep adds data to what is kept and reports whether the limits allow it.
func (c *Conn) keep(data []byte) bool {
	if c.extendLast(data) {
		return true
	}
	size := int64(max(len(data), minChunkBytes)) + chunkOverhead
	if !c.spool.reserve(Usage{Answer: c.answerKept, Connection: c.kept}, c.answer.group, size) {
		return false
	}
	next := chunk{answer: c.answer, data: append(make([]byte, 0, size-chunkOverhead), data...)}
	c.chunks = append(c.chunks, next)
	c.kept += size
	c.answerKept += size
	return true
}

// extendLast adds data to the last chunk if it has room, and is not the first one, which is being written.
func (c *Conn) extendLast(data []byte) bool {
	if len(c.chunks) < 2 {
		return false
	}
	last := &c.chunks[len(c.chunks)-1]
	if last.answer.number != c.answer.number || cap(last.data)-len(last.data) < len(data) {
		return false
	}
	last.data = append(last.data, data...)
	return true
}

// writeNow writes without blocking and returns how many bytes the socket took.
func (c *Conn) writeNow(data []byte) (int, error) {
	c.tryData, c.tryCount, c.tryErr = data, 0, nil
	err := c.raw.Write(c.try)
	c.tryData = nil
	if err == nil {
		err = c.tryErr
	}
	return c.tryCount, err
}

// tryOnce is called with the socket's descriptor, which is non-blocking. It returns true, so that the runtime does
// not wait until the socket is writable.
func (c *Conn) tryOnce(fd uintptr) bool {
	for c.tryCount < len(c.tryData) {
		n, err := syscall.Write(int(fd), c.tryData[c.tryCount:])
		switch {
		case err == nil:
			c.tryCount += n
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return true
		default:
			c.tryErr = os.NewSyscallError("write", err)
			return true
		}
	}
	return true
}

// drain writes the chunks until there are none.
func (c *Conn) drain() {
	for {
		next, ok := c.firstChunk()
		if !ok {
			return
		}
		if err := c.writeAll(next.answer, next.data); err != nil {
			c.fail(next.answer, err)
			return
		}
		c.dropFirst()
	}
}

// firstChunk returns the oldest chunk. If there is none, it ends the draining, closes what is to be closed and
// returns false.
func (c *Conn) firstChunk() (chunk, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.chunks) > 0 {
		return c.chunks[0], true
	}
	c.chunks = nil // the memory of the slice is freed
	c.endDraining()
	if c.releasing {
		c.release()
	}
	if c.closingWrite {
		_ = c.inner.CloseWrite() // fails only on a connection that has ended
	}
	if c.closing {
		_ = c.closeInner() // nothing is left to be sent
	}
	return chunk{}, false
}

func (c *Conn) endDraining() {
	c.draining = false
	c.drained.Broadcast()
}

// dropFirst releases the oldest chunk.
func (c *Conn) dropFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.chunks) == 0 {
		return // the connection has failed meanwhile
	}
	first := c.chunks[0]
	c.chunks[0] = chunk{}
	c.chunks = c.chunks[1:]
	c.released(first)
}

func (c *Conn) released(old chunk) {
	c.kept -= old.size()
	if old.answer.number == c.answer.number {
		c.answerKept -= old.size()
	}
	c.spool.release(old.answer.group, old.size())
}

// writeAll writes data, however slowly the caller reads. It fails with os.ErrDeadlineExceeded once the caller has
// read nothing for stallTimeout or the answer's deadline has passed.
func (c *Conn) writeAll(to answer, data []byte) error {
	defer c.inner.SetWriteDeadline(time.Time{}) //nolint:errcheck // it fails only on a closed connection
	progress, unread := time.Now(), c.unread()
	for {
		until := time.Now().Add(stallTimeout / stallChecks)
		if !to.deadline.IsZero() && to.deadline.Before(until) {
			until = to.deadline
		}
		if err := c.inner.SetWriteDeadline(until); err != nil {
			return err
		}
		n, err := c.inner.Write(data)
		if data = data[n:]; len(data) == 0 {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		now, left := time.Now(), c.unread()
		if n > 0 || left < unread {
			progress = now
		}
		unread = left
		if now.Sub(progress) >= stallTimeout || (!to.deadline.IsZero() && !now.Before(to.deadline)) {
			return err
		}
	}
}

// unread returns the number of bytes in the socket's send buffer that the caller's system has not acknowledged. The
// socket becomes writable only once a third of that buffer is free, so that this shows earlier whether the caller
// reads.
func (c *Conn) unread() int {
	var count int32
	err := c.raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&count))) //nolint:gosec // the kernel writes one int; count stays 0 if it fails
	})
	if err != nil {
		return 0
	}
	return int(count)
}

// fail drops what is kept and closes the connection. Bytes in the kernel are discarded.
func (c *Conn) fail(to answer, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return
	}
	c.failure = cause
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		c.spool.counts.Count("spool.ended", 1)
		c.spool.log.Info("spool: connection closed, its caller does not read the answer", "id", to.id, "workspace", to.group.Workspace, "route", to.group.Route,
			"kept", c.kept, "past_deadline", !to.deadline.IsZero() && !time.Now().Before(to.deadline))
	}
	for _, old := range c.chunks {
		c.released(old)
	}
	c.chunks = nil
	c.endDraining()
	_ = c.inner.SetLinger(0) // fails only on a closed connection
	_ = c.inner.Close()      // the caller may have closed it
}

// CloseWrite closes the write side once all that is kept has been written.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		c.closingWrite = true
		return nil
	}
	return c.inner.CloseWrite()
}

// Close implements net.Conn. It returns at once; the connection is closed once all that is kept has been written.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		c.closing = true
		return c.inner.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
	}
	return c.closeInner()
}

// ResetOnClose sets whether the connection ends with a reset when it is closed or the process ends. For an answer that
// ends with its connection, that shows the caller that the answer broke off.
func (c *Conn) ResetOnClose(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetting = reset
	if reset {
		c.zeroLinger = c.inner.SetLinger(0) == nil
	}
}

// closeInner closes the socket. Its linger time is restored only now, since the process may end while bytes are kept.
func (c *Conn) closeInner() error {
	if c.zeroLinger && !c.resetting {
		const usual = -1
		_ = c.inner.SetLinger(usual) // fails only on a closed connection
	}
	return c.inner.Close()
}
