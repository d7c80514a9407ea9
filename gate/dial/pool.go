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
	// connectTimeout bounds a new connection: a few round trips between availability zones,
	// and below the seconds after which a lost opening packet is sent again.
	connectTimeout = 400 * time.Millisecond
	// deadAfter is how long written bytes may stay unacknowledged before the connection
	// counts as dead.
	deadAfter = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a dead peer while an answer is
	// awaited: about 2 s, the least that whole seconds allow. Callers give a silent answer up
	// after 2.4 s or more, and a call that is found broken earlier is sent again earlier.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 1
	// maxIdle is how long a connection may rest unless the peer names a shorter time.
	maxIdle = 8 * time.Second
	// idleMargin is taken off the time that a peer names, so that both don't meet there.
	idleMargin = time.Second
	// readBuffer is enough for the head of an answer, in bytes.
	readBuffer = 4 << 10
)

// Pool keeps the connections to one address.
type Pool struct {
	addr netip.AddrPort
	// limit bounds the connections open at once.
	limit int

	mu sync.Mutex
	// idle is in the order of last use; the newest is used first.
	idle []*conn
	// open counts the connections, idle or in use.
	open   int
	closed bool
	// rest is how long a connection may rest, and told whether the peer has named that time.
	rest time.Duration
	told bool
	// dials counts the connections that were opened.
	dials int64
}

// New makes a pool without connections.
func New(addr netip.AddrPort, limit int) *Pool {
	return &Pool{addr: addr, limit: max(limit, 1), rest: maxIdle}
}

// Limit bounds the connections open at once from now on. Idle ones above it are ended; those
// in use are ended once they are idle.
func (p *Pool) Limit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(connections, 1)
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].end()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Dials counts the connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Full reports whether a request now would find neither an idle connection nor room for a
// new one.
func (p *Pool) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && p.open >= p.limit
}

// Connected reports whether a connection rests that a request now may use.
func (p *Pool) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	return last >= 0 && time.Since(p.idle[last].since) < p.rest
}

// Close ends all idle connections and keeps the others from coming back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.open--
		c.end()
	}
	p.idle = nil
}

// take returns an idle connection that has rested at most maxRest, or for less than the peer names, and still looks alive,
// or a new one.
func (p *Pool) take(ctx context.Context, maxRest time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.reuse(now, maxRest)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
}

// reuse takes the newest idle connection. Where there is none it makes room for a new one
// and returns nil.
func (p *Pool) reuse(now time.Time, maxRest time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.Refuse(fault.NoTarget, "the target is gone")
	}
	rest := p.rest
	if !p.told {
		rest = min(rest, maxRest)
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.since) <= rest {
			return c, nil
		}
		c.end()
		p.open--
	}
	if p.open >= p.limit {
		return nil, fault.Refuse(fault.Overloaded, "no connection to the target is free")
	}
	p.open++
	p.dials++
	return nil, nil
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	raw, err := dialer.DialContext(ctx, "tcp", p.addr.String())
	if err != nil {
		p.left()
		return nil, fault.Refuse(fault.NoTarget, "no connection to the target").Because(err)
	}
	return newConn(raw), nil
}

func (p *Pool) left() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put takes a connection back after a whole answer.
func (p *Pool) put(c *conn, rest time.Duration) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if rest > 0 {
		p.rest, p.told = min(maxIdle, max(rest-idleMargin, rest/2)), true
	}
	if p.closed || p.open > p.limit {
		p.open--
		c.end()
		return
	}
	p.idle = append(p.idle, c)
}

// drop ends a connection.
func (p *Pool) drop(c *conn) {
	c.end()
	p.left()
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(deadAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
