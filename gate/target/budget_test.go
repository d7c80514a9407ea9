package target

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestShortTimeBudgetsHideSilentReplica guards against a silent replica that draws all turns of a prefix that come one after
// the other, since each of their callers has less time than a response to this kind of call may take.
func TestShortTimeBudgetsHideSilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSilenceWorld(1, 3, true)
		for i := range 40 { // the first events of sound replicas take 0.3 or 0.9 s
			ask := different(true)(1000 + i)
			ask.WorkKind, ask.Services = "w", splitToS
			lease, err := w.boxes[0].Take(ask)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(300*time.Millisecond + time.Duration(i%2)*600*time.Millisecond)
			lease.RecordFirstEvent(time.Since(lease.startedAt))
			lease.Done(Answered, 0)
		}
		t.Logf("a response is expected within %v", w.boxes[0].responseTime("w").Expected())
		bad := w.firstChoice(t, impatient, sharingPrefix(0)) // its callers leave after 1 s
		const calls = 120
		for i := range calls {
			w.awaitCalls()
			w.send(t, 0, sharingPrefix(0)(i))
		}
		if got := w.takenBy(bad); got > calls/2 { // a fair share is a third
			t.Errorf("the silent replica took %d of %d calls, want at most half: %v", got, calls+1, w.taken)
		}
		w.awaitCalls()
	})
}
