package server

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/serve"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxConns       = 100_000
)

// Server is an HTTP server with its own listener.
type Server struct {
	running *serve.Server
	ln      net.Listener
}

// Handler returns an HTTP handler for the routes. It also redirects go-zero's log messages to slog
// for the whole process.
func Handler(routes []rest.Route) (http.Handler, error) {
	conf := rest.RestConf{Host: "127.0.0.1", MaxConns: maxConns}
	conf.Name = "mulleingate"
	conf.Mode = "pro"
	conf.Log.Mode = "console"
	conf.Log.Level = "severe"
	srv, err := rest.NewServer(conf)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "router setup failed").WithCause(err)
	}
	logx.DisableStat()
	logx.SetWriter(logBridge{})
	srv.AddRoutes(routes, rest.WithTimeout(0))
	bound, err := rest.NewServerless(srv)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot bind routes").WithCause(err)
	}
	return http.HandlerFunc(bound.Serve), nil
}

// Listen binds addr and serves handler in the background; without TLS if tlsConf is nil.
func Listen(addr netip.AddrPort, handler http.Handler, tlsConf *tls.Config) (*Server, error) {
	ln, err := serve.Listen(addr)
	if err != nil {
		return nil, err
	}
	if tlsConf != nil {
		ln = tls.NewListener(ln, tlsConf)
	}
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	ended := func(cause error) { slog.Error("server: listener ended", "cause", cause) }
	return &Server{ln: ln, running: serve.Run(srv, ln, slog.Default(), ended)}, nil
}

// Addr returns the address that the listener is bound to.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Stop waits for requests in flight until ctx ends, then closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	return s.running.Stop(ctx)
}

// ReadJSON decodes a JSON request body of at most limit bytes into out.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.Refuse(fault.TooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		return fault.Refuse(fault.BadRequest, "body could not be read").WithCause(err)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fault.Refuse(fault.BadJSON, "body is not the expected JSON")
	}
	return nil
}

// WriteJSON sends body as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteProblem sends err as a problem response. The Retry-After header is rounded up to whole seconds.
func WriteProblem(w http.ResponseWriter, requestID string, err error) {
	f := fault.From(err)
	if f.RetryAfter > 0 {
		secs := int64((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(secs, 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(f.Problem(requestID))
}

// Stream is a writer of server-sent events.
type Stream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

// NewStream writes the status and headers of an event stream.
func NewStream(w http.ResponseWriter) *Stream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return &Stream{w: w, flush: http.NewResponseController(w)}
}

// Send writes one event with the JSON encoding of event as its data, and flushes it.
func (s *Stream) Send(event any) error {
	raw, err := json.Marshal(event)
	if err != nil {
		return fault.Fail(fault.Internal, "cannot encode event").WithCause(err)
	}
	return s.writeEvent(raw)
}

// Close writes the final event. It leaves the connection open.
func (s *Stream) Close() error {
	return s.writeEvent([]byte(client.FinalEvent))
}

// writeEvent writes and flushes one event.
func (s *Stream) writeEvent(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := s.w.Write(line); err != nil {
		return fault.Fail(fault.TargetFailed, "cannot write to the caller").WithCause(err)
	}
	return s.flush.Flush()
}

// CloseConnection closes the connection without completing the response.
func CloseConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
