package dial

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRestOfConnections checks how long a connection may have rested that carries a request which bounds that: as long as the
// peer says that it keeps it, or, where the peer says nothing, no longer than the bound.
func TestRestOfConnections(t *testing.T) {
	const bound = 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		keeps string
		dials int64
	}{
		{"the peer says nothing", "", 2},
		{"the peer keeps it for seconds", "Keep-Alive: timeout=5\r\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := strings.Replace(fine, "\r\n", "\r\n"+c.keeps, 1)
			p := New(serve(t, func(int, *http.Request) (string, bool) { return answer, true }), 2)
			for range 2 {
				if _, err := get(t, p, Request{MaxRest: bound}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * bound)
			}
			if p.dials != c.dials {
				t.Errorf("%d connections were opened, want %d", p.dials, c.dials)
			}
		})
	}
}
