package target

import (
	"testing"
	"testing/synctest"
	"time"
)

// takeOf takes a place for a call of the kind, and fails the test if there is none.
func takeOf(t *testing.T, targets *Targets, kind string, only ...string) *Lease {
	t.Helper()
	ask := CallRequest{WorkKind: kind, Services: splitToS}
	for _, id := range []string{"r0", "r1", "r2"} {
		if len(only) > 0 && id != only[0] {
			ask.Exclude = append(ask.Exclude, id)
		}
	}
	lease, err := targets.Take(ask)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestQuickAnswerDoesNotShortenWaitForSlowCalls guards against a sound replica that counts as silent while it works on slow
// calls, since the time that is allowed for them became that of a quick call.
func TestQuickAnswerDoesNotShortenWaitForSlowCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSilenceWorld(1, 3, false)
		box := w.boxes[0]
		for range 20 { // slow calls take 4 s, quick ones 10 ms
			slow := takeOf(t, box, "slow")
			time.Sleep(4 * time.Second)
			slow.Done(Answered, 0)
			quick := takeOf(t, box, "quick")
			time.Sleep(10 * time.Millisecond)
			quick.Done(Answered, 0)
		}
		slow := []*Lease{takeOf(t, box, "slow", "r0"), takeOf(t, box, "slow", "r0")}
		quick := takeOf(t, box, "quick", "r0")
		time.Sleep(10 * time.Millisecond)
		quick.Done(Answered, 0)
		time.Sleep(500 * time.Millisecond)
		if slow[0].state.silence.Silent(time.Now()) {
			t.Error("the replica is silent half a second after its latest answer, with two calls in progress that take four")
		}
		for _, l := range slow {
			l.Done(Answered, 0)
		}
	})
}
