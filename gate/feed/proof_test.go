package feed

import (
	"testing"
	"time"

	"mulleingate.dev/gate/work"
)

// sinceConfirmed returns the time since the configuration was last confirmed as the newest.
func sinceConfirmed(t *testing.T, f *Feed) time.Duration {
	t.Helper()
	known := f.Current()
	if known.ConfirmedAt.IsZero() {
		t.Fatal("no configuration was confirmed")
	}
	return time.Since(known.ConfirmedAt)
}

// TestProvenTimeIsRequestTime checks that a read confirms the configuration as of the time of its request,
// not of its answer, and that confirmations keep advancing.
func TestProvenTimeIsRequestTime(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, _ *fakeTargets) {
		for range 50 {
			time.Sleep(73 * time.Millisecond)
			if age := sinceConfirmed(t, f); age > 2*readWait+configReadInterval {
				t.Errorf("last confirmed %v ago", age)
			}
		}
		log.mu.Lock()
		log.delay = 3 * time.Second // the answer to a request sent now comes late
		log.mu.Unlock()
		time.Sleep(2 * readWait)
		before := f.Current().ConfirmedAt
		time.Sleep(time.Second)
		if f.Current().ConfirmedAt.After(before) {
			t.Error("a waiting read confirmed the configuration")
		}
		time.Sleep(4 * time.Second)
		if age := sinceConfirmed(t, f); age < 3*time.Second {
			t.Errorf("an answer that took 4 s confirms the state of %v ago", age)
		}
	})
}

// TestProvenTimeInOutage checks that nothing is confirmed during a log outage, but again soon after it.
func TestProvenTimeInOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, _ *fakeTargets) {
		log.setUnavailable(true)
		time.Sleep(7 * time.Second)
		if age := sinceConfirmed(t, f); age < 6*time.Second {
			t.Errorf("last confirmed %v ago during an outage", age)
		}
		log.setUnavailable(false)
		const back = retryInterval + 100*time.Millisecond // a retry, and two poll intervals of fakeLog.Read
		time.Sleep(back)
		if age := sinceConfirmed(t, f); age > back {
			t.Errorf("last confirmed %v ago after the log's recovery", age)
		}
	})
}

// TestProvenTimeAfterLostHistory checks that after the log has dropped its history, a configuration is
// confirmed only once the newest records have been read.
func TestProvenTimeAfterLostHistory(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, _ *fakeTargets) {
		log.put(work.Settings, "config", "7")
		log.dropHistory()
		for range 40 {
			time.Sleep(37 * time.Millisecond)
			known := f.Current()
			if time.Since(known.ConfirmedAt) < 37*time.Millisecond && known.Config.Version != 7 {
				t.Errorf("version %d confirmed", known.Config.Version)
			}
		}
		if f.Current().Config.Version != 7 {
			t.Errorf("version %d", f.Current().Config.Version)
		}
	})
}

// TestStaleAnswerConfirmsNothing checks that an answer with an older configuration than the one in force
// does not confirm that one.
func TestStaleAnswerConfirmsNothing(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, _ *fakeTargets) {
		log.put(work.Settings, "config", "9")
		time.Sleep(readWait)
		log.mu.Lock()
		log.topics[work.Settings] = []work.Record{{Key: "config", Value: []byte("4")}}
		log.first[work.Settings] = 1000 // the history is gone, and the newest record is outdated
		log.mu.Unlock()
		time.Sleep(2 * readWait)
		before := f.Current().ConfirmedAt
		time.Sleep(3 * readWait)
		known := f.Current()
		if known.Config.Version != 9 || known.ConfirmedAt.After(before) {
			t.Errorf("version %d confirmed", known.Config.Version)
		}
	})
}

// TestUndecodableRecords checks that an entry which does not decode removes the replica listed under its
// key and no other, and that a configuration which does not decode leaves the previous one in force.
func TestUndecodableRecords(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, targets *fakeTargets) {
		log.put(work.Replicas, "a", "broken")
		log.put(work.Replicas, "z", "broken")
		log.put(work.Replicas, "c", "x")
		log.put(work.Settings, "config", "broken")
		time.Sleep(2 * time.Second)
		expect(t, targets, "b", "c")
		if f.Config().Version != 4 || f.RejectedConfigs() != 1 || f.RejectedEntries() != 2 {
			t.Errorf("version %d, %d configurations and %d entries refused", f.Config().Version, f.RejectedConfigs(), f.RejectedEntries())
		}
		log.put(work.Replicas, "a", "x")
		time.Sleep(2 * time.Second)
		expect(t, targets, "a", "b", "c")
	})
}
