package serve

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// probeReadTimeout is the time within which a request for a probe or for metrics must arrive, and for which its
	// connection may be idle.
	probeReadTimeout = 5 * time.Second
	// probeWriteTimeout is the time from the headers of the request within which the response must be read.
	probeWriteTimeout = 10 * time.Second
	// maxProbeHeaderBytes and maxProbeConns bound the memory and the descriptors that such requests take. Few parties
	// send them, about one a second each.
	maxProbeHeaderBytes = 8 << 10
	maxProbeConns       = 64
)

// RunProbes serves probes or metrics on the listener, within bounds on the time, size and number of the connections. The
// other parameters are those of RunCounting.
func RunProbes(handler http.Handler, ln net.Listener, logger *slog.Logger, counts Counts, ended func(cause error)) *Server {
	srv := &http.Server{
		Handler: handler, ReadTimeout: probeReadTimeout, WriteTimeout: probeWriteTimeout, IdleTimeout: probeReadTimeout, MaxHeaderBytes: maxProbeHeaderBytes,
	}
	return RunCounting(srv, WithMaxConns(ln, maxProbeConns, func() {}), logger, counts, ended)
}
