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
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	maxConns      = 100_000
)

// Server is an HTTP server over a listener of its own.
type Server struct {
	running *serve.Server
	ln      net.Listener
}

// Handler builds a handler from routes.
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
		return nil, fault.Refuse(fault.Internal, "routes do not bind").WithCause(err)
	}
	return http.HandlerFunc(bound.Serve), nil
}

// Listen binds addr and serves handler in the background; tlsConf may be nil.
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
		MaxHeaderBytes:    maxHeader,
	}
	ended := func(cause error) { slog.Error("server: listener ended", "cause", cause) }
	return &Server{ln: ln, running: serve.Run(srv, ln, slog.Default(), ended)}, nil
}

// Addr is the address that was bound.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Stop waits for requests under way until ctx ends, then cuts them.
func (s *Server) Stop(ctx context.Context) error {
	return s.running.Stop(ctx)
}

// ReadJSON decodes a JSON body of at most limit bytes.
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

// WriteJSON answers with JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteProblem answers with the problem of err.
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

// Stream writes server-sent events.
type Stream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

// NewStream starts an event stream.
func NewStream(w http.ResponseWriter) *Stream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return &Stream{w: w, flush: http.NewResponseController(w)}
}

// Send writes one event.
func (s *Stream) Send(event any) error {
	raw, err := json.Marshal(event)
	if err != nil {
		return fault.Fail(fault.Internal, "event does not encode").WithCause(err)
	}
	return s.raw(raw)
}

// Close writes the end mark.
func (s *Stream) Close() error {
	return s.raw([]byte(client.FinalEvent))
}

func (s *Stream) raw(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := s.w.Write(line); err != nil {
		return fault.Fail(fault.TargetFailed, "caller is gone").WithCause(err)
	}
	return s.flush.Flush()
}

// CloseConnection breaks the connection without an answer, for stand-ins that lose answers.
func CloseConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
