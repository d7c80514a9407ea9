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
	bufferSize   = 32 << 10
	dialTimeout  = time.Second
	maxBodyBytes = 64 << 10
)

// Faults configures the faults that a link injects.
type Faults struct {
	// Delay is added before each chunk of bytes is forwarded.
	Delay types.Duration `json:"delay"`
	// DropToTarget and DropFromTarget drop the bytes sent to and received from the target; connections stay open.
	DropToTarget   bool `json:"cut_up"`
	DropFromTarget bool `json:"cut_down"`
	// Refuse closes new and open connections.
	Refuse bool `json:"refuse"`
	// ResetAfter resets each connection that would forward more than that many bytes from the
	// target; 0 never does.
	ResetAfter int64 `json:"reset_after"`
}

// Link forwards the connections that it accepts on one address to a target. It is safe for
// concurrent use.
type Link struct {
	ln     net.Listener
	target netip.AddrPort

	mu      sync.Mutex
	faults  Faults
	clients map[net.Conn]bool
}

// New listens on addr and forwards connections to target.
func New(addr, target netip.AddrPort) (*Link, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fault.Refuse(fault.BadSettings, "proxy cannot listen").WithCause(err)
	}
	link := &Link{ln: ln, target: target, clients: map[net.Conn]bool{}}
	go link.accept()
	return link, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() netip.AddrPort {
	return l.ln.Addr().(*net.TCPAddr).AddrPort()
}

// SetFaults replaces the faults. They apply to open connections too.
func (l *Link) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	if !faults.Refuse {
		return
	}
	for conn := range l.clients {
		_ = conn.Close()
	}
}

// Close stops listening and closes all connections.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.SetFaults(Faults{Refuse: true})
}

func (l *Link) currentFaults() Faults {
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

func (l *Link) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	if l.currentFaults().Refuse {
		return
	}
	target, err := net.DialTimeout("tcp", l.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	l.track(client, true)
	defer l.track(client, false)
	done := make(chan struct{}, 2)
	go l.copyBytes(target, client, true, done)
	go l.copyBytes(client, target, false, done)
	<-done
}

func (l *Link) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.clients[conn] = true
		return
	}
	delete(l.clients, conn)
}

func (l *Link) copyBytes(dst, src net.Conn, toTarget bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	forwarded := int64(0)
	for {
		n, err := src.Read(buf)
		if n > 0 && !l.forward(dst, buf[:n], toTarget, &forwarded) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) forward(dst net.Conn, data []byte, toTarget bool, forwarded *int64) bool {
	faults := l.currentFaults()
	time.Sleep(time.Duration(faults.Delay))
	if (toTarget && faults.DropToTarget) || (!toTarget && faults.DropFromTarget) {
		return true
	}
	*forwarded += int64(len(data))
	if !toTarget && faults.ResetAfter > 0 && *forwarded > faults.ResetAfter {
		resetOnClose(dst)
		return false
	}
	_, err := dst.Write(data)
	return err == nil
}

// resetOnClose makes closing the connection send a TCP reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Group holds links by name, so that their faults can be set over HTTP.
type Group struct {
	mu    sync.Mutex
	links map[string]*Link
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{links: map[string]*Link{}}
}

// Add adds a link under a name, replacing the previous one of that name.
func (g *Group) Add(name string, link *Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links[name] = link
}

// Routes returns the HTTP route that sets the faults of a link.
func (g *Group) Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodPut, Path: "/control", Handler: g.serveControl}}
}

func (g *Group) serveControl(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if err := server.ReadJSON(w, r, maxBodyBytes, &in); err != nil {
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
	link.SetFaults(in)
	server.WriteJSON(w, http.StatusOK, in)
}
