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
