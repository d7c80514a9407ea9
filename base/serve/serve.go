package serve

import (
	"context"
	"log"
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
	// firstRequestTimeout is how long a stopping server waits for the first request on a connection,
	// from its accept. A connection unused for longer is assumed to be kept for later requests.
	firstRequestTimeout = 500 * time.Millisecond
	// unusedPollInterval is the interval between two checks for such connections. Stop also waits
	// for it after the last check, so that a request that has just been read reaches its handler.
	unusedPollInterval = 10 * time.Millisecond
	// shutdownRound is the time after which http.Server.Shutdown is called again while requests are in flight. Left
	// alone it checks for them only every 500 ms in the end, and would miss the last ones before a deadline.
	shutdownRound = 50 * time.Millisecond
)

// Listen opens a TCP listener on addr. It returns a BadSettings fault if that fails.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fault.Refuse(fault.BadSettings, "cannot listen on "+addr.String()).WithCause(err)
	}
	return ln, nil
}

// Server is an HTTP server that serves a listener in the background.
type Server struct {
	http *http.Server
	ln   net.Listener
	// serveReturned is closed once Serve has returned and no more connections are accepted.
	serveReturned chan struct{}
	stopping      atomic.Bool

	mu sync.Mutex
	// unused holds the connections that have not sent a request, with the time of their accept.
	unused map[net.Conn]time.Time
}

// Run serves the listener in the background and logs the server's own messages at debug level, except
// for panics; see RunCounting. It calls ended if the server ends other than by Stop. It overwrites the
// server's ErrorLog and ConnState.
func Run(srv *http.Server, ln net.Listener, logger *slog.Logger, ended func(cause error)) *Server {
	return RunCounting(srv, ln, logger, noCounts{}, ended)
}

// RunCounting is Run, and reports each panic that net/http recovers; see ReportPanic.
func RunCounting(srv *http.Server, ln net.Listener, logger *slog.Logger, counts Counts, ended func(cause error)) *Server {
	s := &Server{http: srv, ln: ln, serveReturned: make(chan struct{}), unused: map[net.Conn]time.Time{}}
	srv.ErrorLog = log.New(&errorLog{logger: logger, counts: counts}, "", 0)
	srv.ConnState = s.trackConn
	srv.RegisterOnShutdown(s.closeUnused)
	go func() {
		defer close(s.serveReturned)
		if err := srv.Serve(ln); !s.stopping.Load() {
			ended(err)
		}
	}()
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr {
	return s.ln.Addr()
}

// Responder is implemented by connections, and wrappers of them, that are to be told when the server has completed
// a response.
type Responder interface{ Responded() }

// trackConn updates the unused connections. A connection counts as used once the header of its
// first request has been read.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	if responder, ok := conn.(Responder); ok && state == http.StateIdle {
		responder.Responded()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[conn] = time.Now()
		return
	}
	delete(s.unused, conn)
}

// Stop waits for requests in flight until ctx ends, then closes their connections. Unused
// connections delay it by at most firstRequestTimeout: http.Server.Shutdown alone waits several
// seconds for them and drops requests that they send meanwhile.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	_ = s.ln.Close() // it may be closed already
	<-s.serveReturned
	s.awaitFirstRequests(ctx)
	if err := s.shutdown(ctx); err != nil {
		return errors.CombineErrors(err, s.http.Close())
	}
	return nil
}

// shutdown waits for requests in flight until ctx ends.
func (s *Server) shutdown(ctx context.Context) error {
	for {
		round, stop := context.WithTimeout(ctx, shutdownRound)
		err := s.http.Shutdown(round)
		stop()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

// awaitFirstRequests waits until no unused connection is younger than firstRequestTimeout, or
// until ctx ends.
func (s *Server) awaitFirstRequests(ctx context.Context) {
	for waiting := true; waiting; {
		waiting = s.hasRecentUnused(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(unusedPollInterval):
		}
	}
}

// hasRecentUnused reports whether any unused connection is younger than firstRequestTimeout.
func (s *Server) hasRecentUnused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, accepted := range s.unused {
		if now.Sub(accepted) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// closeUnused closes the connections that are still unused. Once Shutdown has begun, the server
// runs no requests from them.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.unused {
		_ = conn.Close() // the caller sees that the connection is closed
	}
}
