package memory

import (
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// grown returns how far the share grows, in steps of the given size.
func grown(s *Share, step int) int {
	size := 0
	for s.Grow(size + step) {
		size += step
	}
	return size
}

// TestLargeSharesLeaveRoomForSmallOnes checks that, however many shares grow as far as they can, a small one still has room,
// and that all is free again once they are released.
func TestLargeSharesLeaveRoomForSmallOnes(t *testing.T) {
	const limit, small = 7 << 20, 64 << 10
	for _, count := range []int{1, 4, 15, 50} {
		b := New(limit)
		shares := make([]*Share, count)
		sizes := make([]int, count)
		for n := range shares {
			shares[n] = NewShare(b, 0)
		}
		for growing := true; growing; { // in turn, as calls that run at the same time
			growing = false
			for n, s := range shares {
				if s.Grow(sizes[n] + 4<<10) {
					sizes[n] += 4 << 10
					growing = true
				}
			}
		}
		if count == 1 && (sizes[0] < limit/4 || sizes[0] > limit/2) {
			t.Errorf("a single share grows to %d of %d bytes", sizes[0], limit)
		}
		other := NewShare(b, 0)
		if !other.Grow(small) {
			t.Errorf("%d shares of %d bytes leave %d bytes, too few for a small one", count, sizes[0], limit-b.Used())
		}
		other.Release()
		for _, s := range shares {
			s.Release()
		}
		if diff := cmp.Diff(int64(0), b.Used()); diff != "" {
			t.Errorf("used after the release of %d shares (-want +got):\n%s", count, diff)
		}
	}
}

// TestFreePartOfShareTakesNoBudget checks that holders of the usual size do not depend on the budget.
func TestFreePartOfShareTakesNoBudget(t *testing.T) {
	b := New(100)
	s := NewShare(b, 1000)
	if diff := cmp.Diff([]any{1000, int64(0)}, []any{grown(s, 100), b.Used()}); diff != "" {
		t.Errorf("size, used (-want +got):\n%s", diff)
	}
}

// TestReadAllStopsAtItsBounds checks that nothing is read beyond the limit or the room of the share, and that a whole text
// is told from the beginning of one.
func TestReadAllStopsAtItsBounds(t *testing.T) {
	for _, c := range []struct {
		name                         string
		length, limit, free, wantLen int
		whole                        bool
	}{
		{"empty", 0, 10 << 10, 1 << 10, 0, true},
		{"short", 1000, 10 << 10, 10 << 10, 1000, true},
		{"beyond the limit", 20 << 10, 10 << 10, 64 << 10, 10 << 10, false},
		{"no room", 20 << 10, 16 << 10, 4 << 10, 4 << 10, false},
	} {
		s := NewShare(New(0), c.free)
		data, whole, err := s.ReadAll(strings.NewReader(strings.Repeat("x", c.length)), c.limit)
		if diff := cmp.Diff([]any{c.wantLen, c.whole, nil}, []any{len(data), whole, err}); diff != "" {
			t.Errorf("%s: length, whole, error (-want +got):\n%s", c.name, diff)
		}
	}
	broken := errors.New("broken")
	if _, whole, err := NewShare(New(0), 100).ReadAll(iotest.ErrReader(broken), 100); whole || !errors.Is(err, broken) {
		t.Errorf("whole: %v, error %v", whole, err)
	}
}
