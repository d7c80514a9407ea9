package dial

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestIdleTimeout checks how long a connection may have been idle for a request to reuse it: as long as
// the peer announces or, if it announces nothing, no longer than MaxIdle.
func TestIdleTimeout(t *testing.T) {
	const bound = 20 * time.Millisecond
	for _, c := range []struct {
		name      string
		keepAlive string
		dials     int64
	}{
		{"the peer does not say", "", 2},
		{"the peer keeps it longer", "Keep-Alive: timeout=5\r\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := strings.Replace(okResponse, "\r\n", "\r\n"+c.keepAlive, 1)
			p := New(serve(t, func(int, *http.Request) (string, bool) { return response, true }), 2)
			for range 2 {
				if _, err := get(t, p, Request{MaxIdle: bound}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * bound)
			}
			if p.dials != c.dials {
				t.Errorf("%d connections opened, want %d", p.dials, c.dials)
			}
		})
	}
}
