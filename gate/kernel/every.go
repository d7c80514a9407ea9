package kernel

import (
	"context"
	"time"
)

// Every calls do each time the interval has passed, until ctx ends. A call that takes longer
// than the interval puts the next one off.
func Every(ctx context.Context, interval time.Duration, do func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}
