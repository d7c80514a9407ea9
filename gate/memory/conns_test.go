package memory

import "testing"

// TestCallerConns checks that callers can't take the descriptors that a box needs for replicas, other boxes and the
// store, nor all of its memory.
func TestCallerConns(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		want        int
	}{
		{0, 0, 1792}, {112 << 20, 8200, 1792}, {294 << 20, 8200, 4000}, {144 << 20, 4100, 1950}, {256 << 20, 400, 100}, {256 << 20, 100, 16},
	} {
		if got := CallerConns(c.memory, c.descriptors); got != c.want {
			t.Errorf("%d MB, %d descriptors: %d connections, want %d", c.memory>>20, c.descriptors, got, c.want)
		}
	}
}
