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

// fakeLog is the log that operators and replicas write to.
type fakeLog struct {
	mu          sync.Mutex
	topics      map[work.Topic][]work.Record
	first       map[work.Topic]int64
	unavailable bool
	// noWakeup makes reads that wait for new records return only when their wait is over.
	noWakeup bool
	// age is the age of all answers, as when another box relays them.
	age time.Duration
	// delay is how much longer than requested a read takes.
	delay time.Duration
}

func (s *fakeLog) put(topic work.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], work.Record{Key: key, Value: []byte(value)})
}

func (s *fakeLog) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// dropHistory makes all records so far unreadable by offset.
func (s *fakeLog) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, recs := range s.topics {
		s.first[topic] = int64(len(recs))
	}
}

func (s *fakeLog) Snapshot(_ context.Context, topic work.Topic) (work.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return work.Snapshot{}, fault.Refuse(fault.LogUnavailable, "away")
	}
	recs := s.topics[topic]
	newest := map[string]int{}
	for i, rec := range recs {
		newest[rec.Key] = i
	}
	all := work.Snapshot{Next: int64(len(recs)), Age: s.age}
	for i, rec := range recs {
		if newest[rec.Key] == i && len(rec.Value) > 0 {
			all.Records = append(all.Records, rec)
		}
	}
	return all, nil
}

func (s *fakeLog) Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(wait + delay)
	}
	for end := time.Now().Add(wait); ; time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		recs, first, unavailable, noWakeup, age := s.topics[topic], s.first[topic], s.unavailable, s.noWakeup, s.age
		s.mu.Unlock()
		switch {
		case noWakeup && time.Now().Before(end):
			continue
		case unavailable:
			return work.Page{}, fault.Refuse(fault.LogUnavailable, "away")
		case from < first:
			return work.Page{}, fault.Refuse(fault.HistoryGone, "gone")
		case int64(len(recs)) > from || time.Now().After(end) || ctx.Err() != nil:
			return work.Page{Records: recs[from:], Next: int64(len(recs)), First: first, Age: age}, nil
		}
	}
}

// fakeDecoder decodes a number as a configuration version, and anything but "broken" as a replica.
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

func (l *fakeTargets) SetEvacuated(zones map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated = zones
}

func (l *fakeTargets) Configure(*work.Config) {}
func (l *fakeTargets) Put(rep work.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids[rep.ID] = true
}
func (l *fakeTargets) MarkMissing(string) {}

func (l *fakeTargets) Drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ids, id)
}
func (l *fakeTargets) ListedIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := []string{}
	for id := range l.ids {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func runFeed(t *testing.T, do func(t *testing.T, s *fakeLog, f *Feed, l *fakeTargets)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLog{topics: map[work.Topic][]work.Record{}, first: map[work.Topic]int64{}}
		l := &fakeTargets{ids: map[string]bool{}}
		f := New(s, fakeDecoder{}, l, slog.New(slog.NewTextHandler(io.Discard, nil)))
		s.put(work.Settings, "config", "4")
		s.put(work.Replicas, "a", "x")
		s.put(work.Replicas, "b", "x")
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		do(t, s, f, l)
		_ = f.Stop(context.Background()) // it never fails
	})
}

func expect(t *testing.T, l *fakeTargets, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, l.ListedIDs()); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

func TestFollowsTopics(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, l *fakeTargets) {
		if !f.Ready() || f.Config().Version != 4 {
			t.Errorf("configuration %+v", f.Config())
		}
		expect(t, l, "a", "b")
		s.put(work.Replicas, "c", "x")
		s.put(work.Replicas, "d", "broken")
		s.put(work.Replicas, "a", "")
		s.put(work.Settings, "config", "9")
		s.put(work.Settings, "config", "5")
		s.put(work.Settings, "config", "broken")
		time.Sleep(800 * time.Millisecond)
		expect(t, l, "b", "c")
		if f.Config().Version != 9 {
			t.Errorf("version %d", f.Config().Version)
		}
	})
}

// TestEvacuations checks that the start and the end of an evacuation are reported, the end also if its
// record was dropped unread.
func TestEvacuations(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, _ *Feed, l *fakeTargets) {
		reported := func() map[string]bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.evacuated
		}
		s.put(work.Settings, "empty a", "now")
		s.put(work.Settings, "empty b", "now")
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, reported()); diff != "" {
			t.Errorf("evacuated (-want +got):\n%s", diff)
		}
		s.put(work.Settings, "empty a", "")
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[string]bool{"b": true}, reported()); diff != "" {
			t.Errorf("one evacuation ended (-want +got):\n%s", diff)
		}
		s.put(work.Settings, "empty b", "")
		s.dropHistory()
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(map[string]bool{}, reported()); diff != "" {
			t.Errorf("both evacuations ended (-want +got):\n%s", diff)
		}
	})
}

// TestAgeOfRelayedAnswers checks that records which another box relays count as being as old as it says.
func TestAgeOfRelayedAnswers(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, _ *fakeTargets) {
		const age = 4 * time.Second // longer than an interval and a read
		s.mu.Lock()
		s.age = age
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		if f.ConfigAge() < age || f.ListAge() < age {
			t.Errorf("configuration age %v, replicas age %v, but the answers were %v old", f.ConfigAge(), f.ListAge(), age)
		}
	})
}

// TestChangeWithoutWakeup checks that a change is known in time even if the log does not wake the read
// that waits for it. Otherwise replicas get calls after they have left.
func TestChangeWithoutWakeup(t *testing.T) {
	const known = 1500 * time.Millisecond // a change must be in force within 2 s
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, l *fakeTargets) {
		s.mu.Lock()
		s.noWakeup = true
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		for step := range 20 {
			time.Sleep(time.Duration(step) * 137 * time.Millisecond)
			id, version := fmt.Sprintf("r%d", step), int64(10+step)
			s.put(work.Replicas, id, "x")
			s.put(work.Settings, "config", strconv.FormatInt(version, 10))
			time.Sleep(known)
			if !slices.Contains(l.ListedIDs(), id) || f.Config().Version != version {
				t.Errorf("step %d: not known %v after the change", step, known)
				return
			}
		}
	})
}

// TestHistoryGone checks that changes are found whose records were dropped unread.
func TestHistoryGone(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, f *Feed, l *fakeTargets) {
		s.put(work.Replicas, "a", "")
		s.put(work.Replicas, "c", "x")
		s.put(work.Settings, "config", "7")
		s.dropHistory()
		time.Sleep(1500 * time.Millisecond)
		expect(t, l, "b", "c")
		if f.Config().Version != 7 {
			t.Errorf("version %d", f.Config().Version)
		}
	})
}

// TestHistoryGoneInAnOutage checks that a log which recovers without its history counts as having been
// unavailable, so that replicas missing then may come back.
func TestHistoryGoneInAnOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, _ *Feed, l *fakeTargets) {
		s.mu.Lock()
		s.delay = 1900 * time.Millisecond
		s.mu.Unlock()
		time.Sleep(1200 * time.Millisecond) // the next read has begun
		s.put(work.Replicas, "a", "")
		s.dropHistory()
		s.mu.Lock()
		s.delay = 0
		s.mu.Unlock()
		time.Sleep(2800 * time.Millisecond)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "a", "x")
		time.Sleep(3 * time.Second)
		expect(t, l, "a", "b")
	})
}

// TestEntriesExpiredInOutage checks that entries which disappeared in a log outage are kept for about two
// seconds after its end, and no longer.
func TestEntriesExpiredInOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, _ *Feed, l *fakeTargets) {
		s.setUnavailable(true)
		time.Sleep(6 * time.Second)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "a", "")
		s.put(work.Replicas, "b", "")
		s.setUnavailable(false)
		time.Sleep(time.Second)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "b", "x")
		time.Sleep(2500 * time.Millisecond)
		expect(t, l, "b")
	})
}

// TestMissingGraceStartsAtRecovery checks that an entry which is found missing late is kept no longer
// after the log's recovery than others.
func TestMissingGraceStartsAtRecovery(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, _ *Feed, l *fakeTargets) {
		s.setUnavailable(true)
		time.Sleep(6 * time.Second)
		s.setUnavailable(false)
		time.Sleep(1200 * time.Millisecond)
		s.put(work.Replicas, "a", "")
		time.Sleep(800 * time.Millisecond)
		expect(t, l, "a", "b")
		time.Sleep(900 * time.Millisecond)
		expect(t, l, "b")
	})
}

// TestShortOutage checks that a short outage is detected too.
func TestShortOutage(t *testing.T) {
	runFeed(t, func(t *testing.T, s *fakeLog, _ *Feed, l *fakeTargets) {
		time.Sleep(2 * time.Second)
		s.setUnavailable(true)
		time.Sleep(3500 * time.Millisecond)
		s.put(work.Replicas, "a", "")
		s.setUnavailable(false)
		time.Sleep(500 * time.Millisecond)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "a", "x")
		time.Sleep(3 * time.Second)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "b", "")
		time.Sleep(3 * time.Second)
		expect(t, l, "a")
	})
}

// TestStartWithoutLog checks that a feed which has never reached the log is not ready.
func TestStartWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLog{topics: map[work.Topic][]work.Record{}, first: map[work.Topic]int64{}, unavailable: true}
		l := &fakeTargets{ids: map[string]bool{}}
		f := New(s, fakeDecoder{}, l, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if f.Ready() || f.Config() != nil {
			t.Error("ready without the log")
		}
		s.put(work.Settings, "config", "4")
		s.setUnavailable(false)
		time.Sleep(time.Second)
		if !f.Ready() {
			t.Error("not ready after the log's recovery")
		}
		_ = f.Stop(context.Background()) // it never fails
	})
}
