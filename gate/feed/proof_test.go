package feed

import (
	"testing"
	"time"

	"mulleingate.dev/gate/work"
)

// sinceProven returns the time since the configuration was last confirmed as the newest.
func sinceProven(t *testing.T, f *Feed) time.Duration {
	t.Helper()
	known := f.Known()
	if known.ConfirmedAt.IsZero() {
		t.Fatal("no configuration was confirmed")
	}
	return time.Since(known.ConfirmedAt)
}

// TestProvenTimeIsRequestTime checks that a read confirms nothing about the time in which it waits for
// new records, and that confirmations keep advancing.
func TestProvenTimeIsRequestTime(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, _ *fakeTargets) {
		for range 50 {
			time.Sleep(73 * time.Millisecond)
			if age := sinceProven(t, f); age > 2*readWait+configReadInterval {
				t.Errorf("last confirmed %v ago", age)
			}
		}
		s.mu.Lock()
		s.delay = 3 * time.Second // the answer to a request sent now comes late
		s.mu.Unlock()
		time.Sleep(2 * readWait)
		before := f.Known().ConfirmedAt
		time.Sleep(time.Second)
		if f.Known().ConfirmedAt.After(before) {
			t.Error("a waiting read confirmed the configuration")
		}
		time.Sleep(4 * time.Second)
		if age := sinceProven(t, f); age < 3*time.Second {
			t.Errorf("an answer that took 4 s confirms the state of %v ago", age)
		}
	})
}

// TestProvenTimeInOutage checks that nothing is confirmed during a log outage, but again soon after it.
func TestProvenTimeInOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, _ *fakeTargets) {
		s.setUnavailable(true)
		time.Sleep(7 * time.Second)
		if age := sinceProven(t, f); age < 6*time.Second {
			t.Errorf("last confirmed %v ago during an outage", age)
		}
		s.setUnavailable(false)
		const back = retryInterval + 100*time.Millisecond // a retry, and two polls of the fake log, which polls every 50 ms
		time.Sleep(back)
		if age := sinceProven(t, f); age > back {
			t.Errorf("last confirmed %v ago after the log's recovery", age)
		}
	})
}

// TestProvenTimeAfterLostHistory checks that after the log dropped its history, a configuration is
// confirmed only once the newest records have been read.
func TestProvenTimeAfterLostHistory(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, _ *fakeTargets) {
		s.put(work.Settings, "config", "7")
		s.dropHistory()
		for range 40 {
			time.Sleep(37 * time.Millisecond)
			known := f.Known()
			if time.Since(known.ConfirmedAt) < 37*time.Millisecond && known.Config.Version != 7 {
				t.Errorf("version %d confirmed", known.Config.Version)
			}
		}
		if f.Known().Config.Version != 7 {
			t.Errorf("version %d", f.Known().Config.Version)
		}
	})
}

// TestStaleAnswerConfirmsNothing checks that an answer with an older configuration than the one in force
// does not confirm that one.
func TestStaleAnswerConfirmsNothing(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, _ *fakeTargets) {
		s.put(work.Settings, "config", "9")
		time.Sleep(readWait)
		s.mu.Lock()
		s.topics[work.Settings] = []work.Record{{Key: "config", Value: []byte("4")}}
		s.first[work.Settings] = 1000 // the history is gone, and the newest record is outdated
		s.mu.Unlock()
		time.Sleep(2 * readWait)
		before := f.Known().ConfirmedAt
		time.Sleep(3 * readWait)
		known := f.Known()
		if known.Config.Version != 9 || known.ConfirmedAt.After(before) {
			t.Errorf("version %d confirmed", known.Config.Version)
		}
	})
}

// TestUndecodableRecords checks that an entry which does not decode removes the replica listed under its
// key and no other, and that such a configuration leaves the previous one in force.
func TestUndecodableRecords(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, l *fakeTargets) {
		s.put(work.Replicas, "a", "broken")
		s.put(work.Replicas, "z", "broken")
		s.put(work.Replicas, "c", "x")
		s.put(work.Settings, "config", "broken")
		time.Sleep(2 * time.Second)
		expect(t, l, "b", "c")
		if f.Config().Version != 4 || f.ConfigsRefused() != 1 || f.EntriesRefused() != 2 {
			t.Errorf("version %d, %d configurations and %d entries refused", f.Config().Version, f.ConfigsRefused(), f.EntriesRefused())
		}
		s.put(work.Replicas, "a", "x")
		time.Sleep(2 * time.Second)
		expect(t, l, "a", "b", "c")
	})
}
