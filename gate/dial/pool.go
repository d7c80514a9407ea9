package dial

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"mulleingate.dev/base/fault"
)

const (
	// connectTimeout bounds the opening of a connection. It allows a few round trips between availability
	// zones, but is less than the time after which TCP resends a lost SYN.
	connectTimeout = 400 * time.Millisecond
	// ackTimeout is how long written bytes may stay unacknowledged before the connection counts as dead.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveCount detect a dead peer while a response is awaited,
	// within about 2 s. That is the minimum, since TCP keep-alive times are whole seconds. The earlier
	// the connection breaks, the earlier the caller can retry; callers give up a silent answer after 2.4 s or
	// more.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 1
	// maxIdleTime is how long a connection may be idle unless the peer announces a shorter time.
	maxIdleTime = 8 * time.Second
	// idleMargin is subtracted from the time that the peer announces, so that a connection is not reused
	// just as the peer closes it.
	idleMargin = time.Second
	// readBufferSize is enough for the head of a response, in bytes.
	readBufferSize = 4 << 10
)

// Pool holds the connections to one address.
type Pool struct {
	addr netip.AddrPort
	// limit is the maximum number of open connections; mu guards it.
	limit int

	mu sync.Mutex
	// idle holds the idle connections in the order of last use; the newest is used first.
	idle []*conn
	// open counts the connections, idle or in use.
	open   int
	closed bool
	// idleTimeout is how long a connection may be idle; idleTimeoutKnown says that the peer announced it.
	idleTimeout      time.Duration
	idleTimeoutKnown bool
	// dials counts the connections that were opened, including failed attempts.
	dials int64
}

// New returns a pool without connections that keeps at most limit open, and at least one.
func New(addr netip.AddrPort, limit int) *Pool {
	return &Pool{addr: addr, limit: max(limit, 1), idleTimeout: maxIdleTime}
}

// SetLimit sets the maximum number of open connections. Idle ones above it are closed at once, those in use
// when they become idle.
func (p *Pool) SetLimit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(connections, 1)
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].disconnect()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Dials returns the number of connections opened so far, including failed attempts.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Full reports whether there is neither an idle connection nor room for a new one.
func (p *Pool) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && p.open >= p.limit
}

// HasIdle reports whether a request could now reuse an idle connection. It ignores Request.MaxIdle.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	return last >= 0 && time.Since(p.idle[last].idleSince) < p.idleTimeout
}

// Close closes all idle connections. Those in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.open--
		c.disconnect()
	}
	p.idle = nil
}

// acquire returns an idle connection that is still reusable, or a new one. A connection may have been idle
// for as long as the peer announced, or for at most idleLimit if the peer has not announced a time.
func (p *Pool) acquire(ctx context.Context, idleLimit time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.popIdle(now, idleLimit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if c.isReusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// popIdle removes and returns the newest usable idle connection. If there is none, it reserves room for a
// new one and returns nil.
func (p *Pool) popIdle(now time.Time, idleLimit time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.Refuse(fault.NoTarget, "the target has been removed")
	}
	timeout := p.idleTimeout
	if !p.idleTimeoutKnown {
		timeout = min(timeout, idleLimit)
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.idleSince) <= timeout {
			return c, nil
		}
		c.disconnect()
		p.open--
	}
	if p.open >= p.limit {
		return nil, fault.Refuse(fault.Overloaded, "no connection to the target is free")
	}
	p.open++
	p.dials++
	return nil, nil
}

// connect opens a connection for which room has been reserved.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	raw, err := dialer.DialContext(ctx, "tcp", p.addr.String())
	if err != nil {
		p.connClosed()
		return nil, fault.Refuse(fault.NoTarget, "cannot connect to the target").WithCause(err)
	}
	return newConn(raw), nil
}

// connClosed removes a connection from the count of open ones.
func (p *Pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release returns a connection to the pool after a complete response. keepAlive is the idle timeout that
// the peer announced; zero if none.
func (p *Pool) release(c *conn, keepAlive time.Duration) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if keepAlive > 0 {
		p.idleTimeout, p.idleTimeoutKnown = min(maxIdleTime, max(keepAlive-idleMargin, keepAlive/2)), true
	}
	if p.closed || p.open > p.limit {
		p.open--
		c.disconnect()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that is in use.
func (p *Pool) discard(c *conn) {
	c.disconnect()
	p.connClosed()
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not define.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
