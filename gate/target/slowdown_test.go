package target

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSlowServiceDoesNotPileCallsOnFewReplicas guards against calls that pile on the few replicas that have just answered while
// all replicas of a service have become slow.
func TestSlowServiceDoesNotPileCallsOnFewReplicas(t *testing.T) {
	for name, model := range map[string]bool{"calls": false, "turns": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const replicas, every = 10, 10 * time.Millisecond
				w := newSilenceWorld(1, replicas, model)
				n := 0
				send := func(span, takes time.Duration) (most int) {
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(every) {
						n++
						ask := different(model)(n)
						ask.WorkKind, ask.Services = "w", splitToS
						lease, err := w.boxes[0].Take(ask)
						if err != nil {
							t.Fatal(err)
						}
						w.mu.Lock()
						w.open[lease.Replica.ID]++
						most = max(most, w.open[lease.Replica.ID])
						w.mu.Unlock()
						w.calls.Go(func() {
							time.Sleep(takes)
							if model {
								lease.RecordFirstEvent(takes)
							}
							lease.Done(Answered, takes)
							w.mu.Lock()
							defer w.mu.Unlock()
							w.open[lease.Replica.ID]--
						})
					}
					return most
				}
				send(5*time.Second, soundTime)
				const slowed = 3 * time.Second
				fair := int(slowed/every) / replicas
				if most := send(12*time.Second, slowed); most > 2*fair {
					t.Errorf("a replica had %d calls in progress, want at most twice a fair share of %d", most, fair)
				} else {
					t.Logf("at most %d calls at a replica, a fair share is %d", most, fair)
				}
				w.awaitCalls()
			})
		})
	}
}
