package work

import (
	"math"
	"time"
)

// maxDuration bounds the durations that others send, so that sums and multiples of a few of them don't overflow.
const maxDuration = 10 * 365 * 24 * time.Hour

// Millis converts milliseconds that another program sent. Durations beyond ten years count as ten years.
func Millis(ms int64) time.Duration {
	const most = int64(maxDuration / time.Millisecond)
	return time.Duration(min(max(ms, -most), most)) * time.Millisecond
}

// FloatMillis is Millis for a number that need not be whole. It returns 0 for NaN. The result of converting a number that is
// out of range would depend on the processor.
func FloatMillis(ms float64) time.Duration {
	const most = float64(maxDuration / time.Millisecond)
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(min(max(ms, -most), most) * float64(time.Millisecond))
}

// maxCount bounds the counts that others send, so that sums of a few of them don't overflow.
const maxCount = 1 << 60

// Count converts a number that another program sent, of bytes or of calls, to a whole one. Numbers out of range count as the
// nearest that is in range, and NaN as 0.
func Count(n float64) int64 {
	if math.IsNaN(n) {
		return 0
	}
	return int64(min(max(n, -maxCount), maxCount))
}
