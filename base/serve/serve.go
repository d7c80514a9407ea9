package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// Listen takes an address. A fault BadSettings means that it can't be had.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fault.Refuse(fault.BadSettings, "cannot listen on "+addr.String()).Because(err)
	}
	return ln, nil
}

// Run serves the listener in the background and has the server write its own messages to the
// logger. It calls ended if the server ends other than by Stop.
func Run(srv *http.Server, ln net.Listener, logger *slog.Logger, ended func(cause error)) {
	srv.ErrorLog = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			ended(err)
		}
	}()
}

// Stop waits for requests under way until ctx ends, then cuts them.
func Stop(ctx context.Context, srv *http.Server) error {
	if err := srv.Shutdown(ctx); err != nil {
		return errors.CombineErrors(err, srv.Close())
	}
	return nil
}
