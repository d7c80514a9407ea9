package feed

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// fakeLog is an in-memory log.
type fakeLog struct {
	mu     sync.Mutex
	topics map[work.Topic][]work.Record
	// first is the first offset of each topic that can still be read.
	first       map[work.Topic]int64
	unavailable bool
	// noWakeup makes reads that wait for new records return only when their wait is over.
	noWakeup bool
	// short makes reads return no records, as an answer that was cut off does.
	short bool
	// age is the age of all answers, as when another box relays them.
	age time.Duration
	// delay is how much longer than requested a read takes.
	delay time.Duration
}

func (l *fakeLog) put(topic work.Topic, key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics[topic] = append(l.topics[topic], work.Record{Key: key, Value: []byte(value)})
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// dropHistory makes all records so far unreadable by offset.
func (l *fakeLog) dropHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for topic, recs := range l.topics {
		l.first[topic] = int64(len(recs))
	}
}

func (l *fakeLog) Snapshot(_ context.Context, topic work.Topic) (work.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return work.Snapshot{}, fault.Refuse(fault.LogUnavailable, "away")
	}
	recs := l.topics[topic]
	newest := map[string]int{}
	for i, rec := range recs {
		newest[rec.Key] = i
	}
	all := work.Snapshot{Next: int64(len(recs)), Age: l.age}
	for i, rec := range recs {
		if newest[rec.Key] == i && len(rec.Value) > 0 {
			all.Records = append(all.Records, rec)
		}
	}
	return all, nil
}

func (l *fakeLog) Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(wait + delay)
	}
	for end := time.Now().Add(wait); ; time.Sleep(50 * time.Millisecond) {
		l.mu.Lock()
		recs, first, unavailable, noWakeup, age, short := l.topics[topic], l.first[topic], l.unavailable, l.noWakeup, l.age, l.short
		l.mu.Unlock()
		switch {
		case noWakeup && time.Now().Before(end):
			continue
		case unavailable:
			return work.Page{}, fault.Refuse(fault.LogUnavailable, "away")
		case from < first:
			return work.Page{}, fault.Refuse(fault.HistoryGone, "gone")
		case int64(len(recs)) > from || time.Now().After(end) || ctx.Err() != nil:
			next := int64(len(recs))
			if short {
				next = from
			}
			return work.Page{Records: recs[from:next], Next: next, First: first, End: int64(len(recs)), Age: age}, nil
		}
	}
}

// fakeDecoder decodes numbers as configuration versions, any value but "broken" as a replica, and keys
// that begin with "empty " as evacuations.
type fakeDecoder struct{}

func (fakeDecoder) Config(rec work.Record) (*work.Config, error) {
	version, err := strconv.ParseInt(string(rec.Value), 10, 64)
	if err != nil {
		return nil, fault.Fail(fault.BadConfig, "malformed").WithCause(err)
	}
	return work.NewConfig(version, nil, nil, work.Limits{}), nil
}

func (fakeDecoder) Replica(rec work.Record) (work.Replica, error) {
	if string(rec.Value) == "broken" {
		return work.Replica{}, fault.Fail(fault.Protocol, "malformed")
	}
	return work.Replica{ID: rec.Key}, nil
}

func (fakeDecoder) Evacuation(key string) (string, bool) {
	return strings.CutPrefix(key, "empty ")
}

// fakeTargets records the replicas and evacuated zones that it receives from the feed.
type fakeTargets struct {
	mu        sync.Mutex
	ids       map[string]bool
	evacuated map[string]bool
}

func (t *fakeTargets) SetEvacuated(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = zones
}

func (t *fakeTargets) Configure(*work.Config) {}
func (t *fakeTargets) Put(rep work.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids[rep.ID] = true
}
func (t *fakeTargets) MarkMissing(string) {}

func (t *fakeTargets) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ids, id)
}
func (t *fakeTargets) ListedIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := []string{}
	for id := range t.ids {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// runFeed runs do with a feed that has read configuration 4 and the replicas a and b, on a fake clock.
func runFeed(t *testing.T, do func(t *testing.T, log *fakeLog, f *Feed, targets *fakeTargets)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{topics: map[work.Topic][]work.Record{}, first: map[work.Topic]int64{}}
		targets := &fakeTargets{ids: map[string]bool{}}
		f := New(log, fakeDecoder{}, targets, slog.New(slog.NewTextHandler(io.Discard, nil)))
		log.put(work.Settings, "config", "4")
		log.put(work.Replicas, "a", "x")
		log.put(work.Replicas, "b", "x")
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		do(t, log, f, targets)
		_ = f.Stop(context.Background()) // it never fails
	})
}

// expect checks the IDs of the listed replicas.
func expect(t *testing.T, targets *fakeTargets, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, targets.ListedIDs()); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

func TestFollowsTopics(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, targets *fakeTargets) {
		if !f.Ready() || f.Config().Version != 4 {
			t.Errorf("configuration %+v", f.Config())
		}
		expect(t, targets, "a", "b")
		log.put(work.Replicas, "c", "x")
		log.put(work.Replicas, "d", "broken")
		log.put(work.Replicas, "a", "")
		log.put(work.Settings, "config", "9")
		log.put(work.Settings, "config", "5")
		log.put(work.Settings, "config", "broken")
		time.Sleep(800 * time.Millisecond)
		expect(t, targets, "b", "c")
		if f.Config().Version != 9 {
			t.Errorf("version %d", f.Config().Version)
		}
	})
}

// TestEvacuations checks that the start and the end of an evacuation are reported, the end also if its
// record was dropped unread.
func TestEvacuations(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, _ *Feed, targets *fakeTargets) {
		reported := func() map[string]bool {
			targets.mu.Lock()
			defer targets.mu.Unlock()
			return targets.evacuated
		}
		log.put(work.Settings, "empty a", "now")
		log.put(work.Settings, "empty b", "now")
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, reported()); diff != "" {
			t.Errorf("evacuated (-want +got):\n%s", diff)
		}
		log.put(work.Settings, "empty a", "")
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[string]bool{"b": true}, reported()); diff != "" {
			t.Errorf("one evacuation ended (-want +got):\n%s", diff)
		}
		log.put(work.Settings, "empty b", "")
		log.dropHistory()
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(map[string]bool{}, reported()); diff != "" {
			t.Errorf("both evacuations ended (-want +got):\n%s", diff)
		}
	})
}

// TestAgeOfRelayedAnswers checks that the reported ages include the age of answers that another box relays.
func TestAgeOfRelayedAnswers(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, _ *fakeTargets) {
		const age = 4 * time.Second // longer than an interval and a read
		log.mu.Lock()
		log.age = age
		log.mu.Unlock()
		time.Sleep(5 * time.Second)
		if f.ConfigAge() < age || f.ListAge() < age {
			t.Errorf("configuration age %v, replicas age %v, but the answers were %v old", f.ConfigAge(), f.ListAge(), age)
		}
	})
}

// TestShortPageDoesNotMakeConfigurationCurrent checks that answers without the newest records leave the configuration and the
// list as old as they were.
func TestShortPageDoesNotMakeConfigurationCurrent(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, _ *fakeTargets) {
		const outage = 5 * time.Second // longer than an interval and a read
		log.mu.Lock()
		log.short = true // before the records, which wake the reads that wait
		log.mu.Unlock()
		log.put(work.Settings, "config", "9")
		log.put(work.Replicas, "c", "x")
		time.Sleep(outage)
		if f.ConfigAge() < outage-time.Second || f.ListAge() < outage-time.Second {
			t.Errorf("configuration age %v, replicas age %v after %v without the newest records", f.ConfigAge(), f.ListAge(), outage)
		}
	})
}

// TestChangeWithoutWakeup checks that a change is known in time even if the log does not wake the read
// that waits for it. Otherwise replicas would get calls after they have left.
func TestChangeWithoutWakeup(t *testing.T) {
	const known = 1500 * time.Millisecond // a change must be in force within 2 s
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, targets *fakeTargets) {
		log.mu.Lock()
		log.noWakeup = true
		log.mu.Unlock()
		time.Sleep(10 * time.Second)
		for step := range 20 {
			time.Sleep(time.Duration(step) * 137 * time.Millisecond)
			id, version := fmt.Sprintf("r%d", step), int64(10+step)
			log.put(work.Replicas, id, "x")
			log.put(work.Settings, "config", strconv.FormatInt(version, 10))
			time.Sleep(known)
			if !slices.Contains(targets.ListedIDs(), id) || f.Config().Version != version {
				t.Errorf("step %d: not known %v after the change", step, known)
				return
			}
		}
	})
}

// TestHistoryGone checks that changes are found even if their records were dropped unread.
func TestHistoryGone(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, f *Feed, targets *fakeTargets) {
		log.put(work.Replicas, "a", "")
		log.put(work.Replicas, "c", "x")
		log.put(work.Settings, "config", "7")
		log.dropHistory()
		time.Sleep(1500 * time.Millisecond)
		expect(t, targets, "b", "c")
		if f.Config().Version != 7 {
			t.Errorf("version %d", f.Config().Version)
		}
	})
}

// TestHistoryGoneInAnOutage checks that a log which recovers without its history counts as having been
// unavailable, so that replicas whose entries disappeared may come back.
func TestHistoryGoneInAnOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, _ *Feed, targets *fakeTargets) {
		log.mu.Lock()
		log.delay = 1900 * time.Millisecond
		log.mu.Unlock()
		time.Sleep(1200 * time.Millisecond) // the next read has begun
		log.put(work.Replicas, "a", "")
		log.dropHistory()
		log.mu.Lock()
		log.delay = 0
		log.mu.Unlock()
		time.Sleep(2800 * time.Millisecond)
		expect(t, targets, "a", "b")
		log.put(work.Replicas, "a", "x")
		time.Sleep(3 * time.Second)
		expect(t, targets, "a", "b")
	})
}

// TestEntriesExpiredInOutage checks that entries which disappeared in a log outage are kept for about two
// seconds after its end, and no longer.
func TestEntriesExpiredInOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, _ *Feed, targets *fakeTargets) {
		log.setUnavailable(true)
		time.Sleep(6 * time.Second)
		expect(t, targets, "a", "b")
		log.put(work.Replicas, "a", "")
		log.put(work.Replicas, "b", "")
		log.setUnavailable(false)
		time.Sleep(time.Second)
		expect(t, targets, "a", "b")
		log.put(work.Replicas, "b", "x")
		time.Sleep(2500 * time.Millisecond)
		expect(t, targets, "b")
	})
}

// TestMissingGraceStartsAtRecovery checks that the grace period of a missing replica starts at the log's
// recovery, even if its entry disappears later.
func TestMissingGraceStartsAtRecovery(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, _ *Feed, targets *fakeTargets) {
		log.setUnavailable(true)
		time.Sleep(6 * time.Second)
		log.setUnavailable(false)
		time.Sleep(1200 * time.Millisecond)
		log.put(work.Replicas, "a", "")
		time.Sleep(800 * time.Millisecond)
		expect(t, targets, "a", "b")
		time.Sleep(900 * time.Millisecond)
		expect(t, targets, "b")
	})
}

// TestShortOutage checks that entries which disappear in a short outage are kept, and that entries removed
// later are not.
func TestShortOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, log *fakeLog, _ *Feed, targets *fakeTargets) {
		time.Sleep(2 * time.Second)
		log.setUnavailable(true)
		time.Sleep(3500 * time.Millisecond)
		log.put(work.Replicas, "a", "")
		log.setUnavailable(false)
		time.Sleep(500 * time.Millisecond)
		expect(t, targets, "a", "b")
		log.put(work.Replicas, "a", "x")
		time.Sleep(3 * time.Second)
		expect(t, targets, "a", "b")
		log.put(work.Replicas, "b", "")
		time.Sleep(3 * time.Second)
		expect(t, targets, "a")
	})
}

// TestStartWithoutLog checks that a feed which has never reached the log is not ready.
func TestStartWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{topics: map[work.Topic][]work.Record{}, first: map[work.Topic]int64{}, unavailable: true}
		targets := &fakeTargets{ids: map[string]bool{}}
		f := New(log, fakeDecoder{}, targets, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if f.Ready() || f.Config() != nil {
			t.Error("ready without the log")
		}
		log.put(work.Settings, "config", "4")
		log.setUnavailable(false)
		time.Sleep(time.Second)
		if !f.Ready() {
			t.Error("not ready after the log's recovery")
		}
		_ = f.Stop(context.Background()) // it never fails
	})
}
