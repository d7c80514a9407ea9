package work

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestNumbersOutOfRange guards against numbers of other programs that change their sign when they are converted: the result
// would depend on the processor, or wrap around.
func TestNumbersOutOfRange(t *testing.T) {
	nan := math.NaN()
	for ms, want := range map[int64]time.Duration{
		0: 0, 1500: 1500 * time.Millisecond, -7: -7 * time.Millisecond, math.MaxInt64: maxDuration, math.MinInt64: -maxDuration,
		math.MaxInt64 / 1_000_000: maxDuration, math.MaxInt64/1_000_000 + 1: maxDuration,
	} {
		if diff := cmp.Diff(want, Millis(ms)); diff != "" {
			t.Errorf("%d ms (-want +got):\n%s", ms, diff)
		}
	}
	for _, c := range []struct {
		number float64
		span   time.Duration
		count  int64
	}{
		{0, 0, 0}, {1.5, 1500 * time.Microsecond, 1}, {-2, -2 * time.Millisecond, -2}, {1e300, maxDuration, maxCount}, {-1e300, -maxDuration, -maxCount},
		{math.Inf(1), maxDuration, maxCount}, {math.Inf(-1), -maxDuration, -maxCount}, {nan, 0, 0}, {math.MaxUint64, maxDuration, maxCount},
	} {
		if got := FloatMillis(c.number); got != c.span {
			t.Errorf("%v ms: %v, want %v", c.number, got, c.span)
		}
		if got := Count(c.number); got != c.count {
			t.Errorf("%v: %d, want %d", c.number, got, c.count)
		}
	}
}
