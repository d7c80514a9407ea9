package target

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// replicaStartedAt returns a replica that started at the given second of Unix time.
func replicaStartedAt(second int64) work.Replica {
	rep := replica(0, "a")
	rep.StartedAt = time.Unix(second, 0)
	return rep
}

// loadedTargets returns targets with one replica that is full, fails calls and caches a prompt. It also
// returns the lease of a call in flight there, and what the call asked for.
func loadedTargets(t *testing.T) (*Targets, *Lease, CallRequest) {
	t.Helper()
	targets, _ := newTargets(0, true)
	targets.Put(replicaStartedAt(100))
	ask := CallRequest{WorkKind: "w", Services: splitToS, Prompt: &work.Prompt{Tokens: 1000, Parts: []work.Part{{ID: "p", Tokens: 1000}}}}
	lease, err := targets.Take(ask)
	if err != nil {
		t.Fatal(err)
	}
	targets.UpdateLoad("r0", work.Load{Running: 8, Waiting: 9, StartedAt: time.Unix(100, 0)})
	targets.UpdateFailureRate("r0", 1)
	return targets, lease, ask
}

// trackedState returns what is tracked for replica r0.
func trackedState(t *testing.T, targets *Targets, ask CallRequest) (cached, waiting, inFlight int, failing bool) {
	t.Helper()
	targets.mu.Lock()
	defer targets.mu.Unlock()
	s := targets.byID["r0"]
	now := time.Now()
	return s.cachedPartTokens(now, ask.Prompt.Parts), s.load.Waiting, s.inFlight, s.failureRate(now) > 0
}

// TestRestartSeenInEntry checks that a later start time in a replica's entry resets its state and cancels
// its calls in flight, and that entries and reports with an earlier start time are ignored.
func TestRestartSeenInEntry(t *testing.T) {
	targets, lease, ask := loadedTargets(t)
	ctx, stop := lease.CancelOnRestart(context.Background())
	defer stop()
	targets.Put(replicaStartedAt(200))
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Error("a call to the earlier start was not cancelled")
	}
	cached, waiting, inFlight, failing := trackedState(t, targets, ask)
	if cached != 0 || waiting != 0 || inFlight != 0 || failing {
		t.Errorf("after the restart: %d cached tokens, %d waiting, %d in flight, failing %v", cached, waiting, inFlight, failing)
	}
	lease.Done(Incomplete, 0)
	if _, _, inFlight, failing := trackedState(t, targets, ask); inFlight != 0 || failing {
		t.Errorf("a call to the earlier start counts: %d in flight, failing %v", inFlight, failing)
	}
	old := replicaStartedAt(100)
	old.Draining = true
	targets.Put(old)
	targets.UpdateLoad("r0", work.Load{Waiting: 9, StartedAt: time.Unix(100, 0)})
	if _, waiting, _, _ := trackedState(t, targets, ask); waiting != 0 || targets.byID["r0"].Draining {
		t.Errorf("data of an earlier start was applied: %d waiting, draining %v", waiting, targets.byID["r0"].Draining)
	}
}

// TestRestartSeenInReport checks that a later start time in a load report resets a replica's state.
func TestRestartSeenInReport(t *testing.T) {
	targets, _, ask := loadedTargets(t)
	targets.UpdateLoad("r0", work.Load{Running: 1, StartedAt: time.Unix(200, 0)})
	cached, waiting, _, failing := trackedState(t, targets, ask)
	if cached != 0 || waiting != 0 || failing {
		t.Errorf("after the restart: %d cached tokens, %d waiting, failing %v", cached, waiting, failing)
	}
	targets.Put(replicaStartedAt(100)) // the entry lags behind the report
	if diff := cmp.Diff(time.Unix(200, 0), targets.byID["r0"].StartedAt); diff != "" {
		t.Errorf("start time (-want +got):\n%s", diff)
	}
}

// TestCachedTokensOfEarlierStart checks that a prompt cached before a replica's restart does not count as
// cached after it.
func TestCachedTokensOfEarlierStart(t *testing.T) {
	targets, _ := newTargets(0, true)
	targets.Put(replicaStartedAt(100))
	ask := CallRequest{Prompt: &work.Prompt{Tokens: 6000}, CachedTokens: map[string]int{replicaStartedAt(100).RunID(): 5500}}
	if got := take(t, targets, ask).CachedTokens; got != 5500 {
		t.Errorf("%d cached tokens", got)
	}
	targets.Put(replicaStartedAt(200))
	if got := take(t, targets, ask).CachedTokens; got != 0 {
		t.Errorf("%d cached tokens after the restart", got)
	}
}
