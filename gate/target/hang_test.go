package target

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestThatHangsReplicasReachesFew guards against a request that makes each replica hang, while other calls go to these
// replicas too, and that is sent to one after the other.
func TestRequestThatHangsReplicasReachesFew(t *testing.T) {
	for _, others := range []int{0, 4, 20, 40, 80} {
		t.Run(fmt.Sprint(others, " other calls for each"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 8, false)
				hung := map[string]bool{}
				n := 0
				for i := range 18 {
					for range others {
						n++
						w.send(t, 0, different(false)(n))
						time.Sleep(100 * time.Millisecond / time.Duration(others+1))
					}
					time.Sleep(100 * time.Millisecond / time.Duration(others+1))
					if i < 3 {
						continue
					}
					lease, err := w.boxes[0].Take(CallRequest{Request: "x", WorkKind: "w", Services: splitToS})
					if err != nil {
						continue
					}
					hung[lease.Replica.ID] = true
					w.set(lease.Replica.ID, silent)
					w.calls.Go(func() { w.run(lease, silent) })
				}
				if len(hung) > 3 {
					t.Errorf("the request hung %d of 8 replicas in 1.5 s, want at most 3: %v", len(hung), hung)
				}
				w.awaitCalls()
			})
		})
	}
}
