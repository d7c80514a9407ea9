package crash

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/work"
)

// TestOddReportsEnd guards against reports of other boxes with times out of range, which made failures lie in the future, so
// that they counted for longer than retention.
func TestOddReportsEnd(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, math.MinInt64, math.MaxInt64 / 1_000_000 * 2, math.MaxInt64/1_000_000 + 1, 1 << 62, 1<<62 + 1} {
		synctest.Test(t, func(t *testing.T) {
			tracker := newTracker(fakeNet{})
			for _, replica := range []string{"a", "b", "c", "d", "e", "f"} {
				tracker.Merge(Report{Replica: replica, AgeMillis: ms, Requests: []work.Fingerprint{"q"}})
				tracker.Merge(Report{Replica: replica, AgeMillis: ms, BlockedMillis: ms, Blocks: math.MaxInt, Requests: []work.Fingerprint{"q", ""}})
			}
			tracker.Merge(Report{AgeMillis: ms})
			time.Sleep(max(retention, maxBlockTime) + time.Minute)
			if n := crashes(tracker, "q"); n != 0 {
				t.Errorf("%d ms: %d crashes still count", ms, n)
			}
			if err := tracker.Check("q"); err != nil {
				t.Errorf("%d ms: %v", ms, err)
			}
		})
	}
}
