package proxy

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
)

const (
	bufferSize  = 32 << 10
	dialTimeout = time.Second
	maxBody     = 64 << 10
)

// Faults are the switches of one link.
type Faults struct {
	Delay types.Duration `json:"delay"`
	// CutUp and CutDown swallow bytes towards and from the target; connections stay open.
	CutUp   bool `json:"cut_up"`
	CutDown bool `json:"cut_down"`
	// Refuse closes new connections and those that are open.
	Refuse bool `json:"refuse"`
	// ResetAfter breaks each connection after so many bytes from the target; 0 never does.
	ResetAfter int64 `json:"reset_after"`
}

// Link is one proxied address.
type Link struct {
	ln     net.Listener
	target netip.AddrPort

	mu     sync.Mutex
	faults Faults
	conns  map[net.Conn]bool
}

// New listens on addr and forwards to target.
func New(addr, target netip.AddrPort) (*Link, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fault.Refuse(fault.BadSettings, "proxy cannot listen").WithCause(err)
	}
	link := &Link{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go link.accept()
	return link, nil
}

// Addr is the address that was bound.
func (l *Link) Addr() netip.AddrPort {
	return l.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Set switches faults.
func (l *Link) Set(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	if !faults.Refuse {
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// Close stops the link.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.Set(Faults{Refuse: true})
}

func (l *Link) state() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *Link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(down net.Conn) {
	defer func() { _ = down.Close() }()
	if l.state().Refuse {
		return
	}
	up, err := net.DialTimeout("tcp", l.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	l.track(down, true)
	defer l.track(down, false)
	done := make(chan struct{}, 2)
	go l.pump(up, down, true, done)
	go l.pump(down, up, false, done)
	<-done
}

func (l *Link) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
		return
	}
	delete(l.conns, conn)
}

func (l *Link) pump(dst, src net.Conn, upward bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	passed := int64(0)
	for {
		n, err := src.Read(buf)
		if n > 0 && !l.pass(dst, buf[:n], upward, &passed) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) pass(dst net.Conn, data []byte, upward bool, passed *int64) bool {
	faults := l.state()
	time.Sleep(time.Duration(faults.Delay))
	if (upward && faults.CutUp) || (!upward && faults.CutDown) {
		return true
	}
	*passed += int64(len(data))
	if !upward && faults.ResetAfter > 0 && *passed > faults.ResetAfter {
		reset(dst)
		return false
	}
	_, err := dst.Write(data)
	return err == nil
}

// reset makes the close send RST.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Group names links for control over HTTP.
type Group struct {
	mu    sync.Mutex
	links map[string]*Link
}

// NewGroup makes an empty group.
func NewGroup() *Group {
	return &Group{links: map[string]*Link{}}
}

// Add names a link.
func (g *Group) Add(name string, link *Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links[name] = link
}

// Routes serves the switches over HTTP.
func (g *Group) Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodPut, Path: "/control", Handler: g.serveControl}}
}

func (g *Group) serveControl(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if err := server.ReadJSON(w, r, maxBody, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	g.mu.Lock()
	link, ok := g.links[r.URL.Query().Get("link")]
	g.mu.Unlock()
	if !ok {
		server.WriteProblem(w, "", fault.Refuse(fault.BadRequest, "no such link"))
		return
	}
	link.Set(in)
	server.WriteJSON(w, http.StatusOK, in)
}
