package serve

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
)

// TestLife checks that a server is told apart that was stopped from one that ended by itself,
// and that an address which is taken is named.
func TestLife(t *testing.T) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	ended := make(chan error, 2)
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(netip.MustParseAddrPort(ln.Addr().String())); !fault.Is(err, fault.BadSettings) {
		t.Errorf("an address that is taken: %v", err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second}
	Run(srv, ln, quiet, func(cause error) { ended <- cause })
	if resp, err := http.Get("http://" + ln.Addr().String()); err != nil || resp.Body.Close() != nil {
		t.Errorf("not served: %v", err)
	}
	if err := Stop(context.Background(), srv); err != nil {
		t.Error(err)
	}
	lost, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	Run(&http.Server{ReadHeaderTimeout: time.Second}, lost, quiet, func(cause error) { ended <- cause })
	_ = lost.Close() // what is tested
	if cause := <-ended; cause == nil || len(ended) != 0 {
		t.Errorf("told of %v and %d more", cause, len(ended))
	}
}
