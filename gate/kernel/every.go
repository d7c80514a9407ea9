package kernel

import (
	"context"
	"time"
)

// Every calls do once per interval until ctx is done. The first call comes after one interval.
// Calls never overlap: a call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
