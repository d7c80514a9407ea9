package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
)

// TestUnframedResponseIsNoReply checks that a reply which was cut off before its first byte is not taken for an empty one.
func TestUnframedResponseIsNoReply(t *testing.T) {
	for name, unframed := range map[string]bool{"framed": false, "unframed": true} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/protobuf")
				if unframed {
					w.Header().Set("Transfer-Encoding", "identity")
				}
			}))
			defer srv.Close()
			addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
			if rev, err := New(nil).Revision(context.Background(), addr, 1); (err != nil) != unframed {
				t.Errorf("unframed: %v, revision %q, error %v", unframed, rev, err)
			}
		})
	}
}
