package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

const (
	// unusedFor is how long after it was accepted a connection may bring its first request
	// once the server stops: a caller that connects to send does so at once, so that one which
	// has not by then was opened for later. A caller that crosses the end opens another.
	unusedFor = 500 * time.Millisecond
	// unusedEvery is the time between two looks for such connections. One more passes after
	// the last look, so that a request whose head has just come is seen to by its handler.
	unusedEvery = 10 * time.Millisecond
)

// Listen takes an address. A fault BadSettings means that it can't be had.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fault.Refuse(fault.BadSettings, "cannot listen on "+addr.String()).WithCause(err)
	}
	return ln, nil
}

// Server is a server that serves a listener.
type Server struct {
	http *http.Server
	ln   net.Listener
	// served is closed once no connection is accepted any more.
	served   chan struct{}
	stopping atomic.Bool

	mu sync.Mutex
	// unused holds when the connections were accepted that have not brought a request yet.
	unused map[net.Conn]time.Time
}

// Run serves the listener in the background and has the server write its own messages to the
// logger. It calls ended if the server ends other than by Stop. It takes the server's hook for
// the states of connections.
func Run(srv *http.Server, ln net.Listener, logger *slog.Logger, ended func(cause error)) *Server {
	r := &Server{http: srv, ln: ln, served: make(chan struct{}), unused: map[net.Conn]time.Time{}}
	srv.ErrorLog = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	srv.ConnState = r.note
	srv.RegisterOnShutdown(r.endUnused)
	go func() {
		defer close(r.served)
		if err := srv.Serve(ln); !r.stopping.Load() {
			ended(err)
		}
	}()
	return r
}

// note keeps the unused connections. One counts as used once the head of its first request
// has come.
func (r *Server) note(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.unused[conn] = time.Now()
		return
	}
	delete(r.unused, conn)
}

// Stop waits for requests under way until ctx ends, then cuts them. Connections that have not
// been used hold it up for unusedFor at most; Shutdown alone waits seconds for them, and would
// drop the requests that they bring meanwhile.
func (r *Server) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	_ = r.ln.Close() // its end is what is wanted, and it may have ended before
	<-r.served
	r.awaitFirst(ctx)
	if err := r.http.Shutdown(ctx); err != nil {
		return errors.CombineErrors(err, r.http.Close())
	}
	return nil
}

// awaitFirst gives callers that have just connected the time to send.
func (r *Server) awaitFirst(ctx context.Context) {
	for waiting := true; waiting; {
		waiting = r.young(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(unusedEvery):
		}
	}
}

// young reports whether an unused connection may still bring a request.
func (r *Server) young(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, accepted := range r.unused {
		if now.Sub(accepted) < unusedFor {
			return true
		}
	}
	return false
}

// endUnused ends the connections that are still unused. From Shutdown's start on the server
// runs no request that they bring.
func (r *Server) endUnused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.unused {
		_ = conn.Close() // its caller sees the end
	}
}
