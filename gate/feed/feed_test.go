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

// source is the log that operators and replicas write to.
type source struct {
	mu     sync.Mutex
	topics map[work.Topic][]work.Record
	first  map[work.Topic]int64
	away   bool
	// asleep has reads that wait for news learn of it only when their time is over.
	asleep bool
	// age is how old what it shows is, as another box would tell it.
	age time.Duration
	// hold is how much longer than asked for a read takes.
	hold time.Duration
}

func (s *source) put(topic work.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], work.Record{Key: key, Value: []byte(value)})
}

func (s *source) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// forget drops the history.
func (s *source) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, recs := range s.topics {
		s.first[topic] = int64(len(recs))
	}
}

func (s *source) All(_ context.Context, topic work.Topic) (work.Whole, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return work.Whole{}, fault.Refuse(fault.LogUnavailable, "away")
	}
	recs := s.topics[topic]
	newest := map[string]int{}
	for i, rec := range recs {
		newest[rec.Key] = i
	}
	all := work.Whole{Next: int64(len(recs)), Age: s.age}
	for i, rec := range recs {
		if newest[rec.Key] == i && len(rec.Value) > 0 {
			all.Records = append(all.Records, rec)
		}
	}
	return all, nil
}

func (s *source) Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold > 0 {
		time.Sleep(wait + hold)
	}
	for end := time.Now().Add(wait); ; time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		recs, first, away, asleep, age := s.topics[topic], s.first[topic], s.away, s.asleep, s.age
		s.mu.Unlock()
		switch {
		case asleep && time.Now().Before(end):
			continue
		case away:
			return work.Page{}, fault.Refuse(fault.LogUnavailable, "away")
		case from < first:
			return work.Page{}, fault.Refuse(fault.HistoryGone, "gone")
		case int64(len(recs)) > from || time.Now().After(end) || ctx.Err() != nil:
			return work.Page{Records: recs[from:], Next: int64(len(recs)), First: first, Age: age}, nil
		}
	}
}

// plain decodes a version as a number, and a replica as anything but "broken".
type plain struct{}

func (plain) Config(rec work.Record) (*work.Config, error) {
	version, err := strconv.ParseInt(string(rec.Value), 10, 64)
	if err != nil {
		return nil, fault.Fail(fault.BadConfig, "malformed").Because(err)
	}
	return work.NewConfig(version, nil, nil, work.Limits{}), nil
}

func (plain) Replica(rec work.Record) (work.Replica, error) {
	if string(rec.Value) == "broken" {
		return work.Replica{}, fault.Fail(fault.Protocol, "malformed")
	}
	return work.Replica{ID: rec.Key}, nil
}

func (plain) Evacuation(key string) (string, bool) {
	return strings.CutPrefix(key, "empty ")
}

// list is the replicas as the feed tells them.
type list struct {
	mu  sync.Mutex
	ids map[string]bool
	// evacuated are the availability zones to be left.
	evacuated map[string]bool
}

func (l *list) Evacuate(zones map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated = zones
}

func (l *list) Configure(*work.Config) {}
func (l *list) Put(rep work.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids[rep.ID] = true
}
func (l *list) Miss(string) {}

func (l *list) Drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ids, id)
}
func (l *list) Listed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := []string{}
	for id := range l.ids {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func play(t *testing.T, do func(t *testing.T, s *source, f *Feed, l *list)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &source{topics: map[work.Topic][]work.Record{}, first: map[work.Topic]int64{}}
		l := &list{ids: map[string]bool{}}
		f := New(s, plain{}, l, slog.New(slog.NewTextHandler(io.Discard, nil)))
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

func expect(t *testing.T, l *list, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, l.Listed()); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

func TestFollows(t *testing.T) {
	play(t, func(t *testing.T, s *source, f *Feed, l *list) {
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

// TestEvacuations checks that an evacuated availability zone is told of, and that it was taken back also where the
// record of that was dropped unseen.
func TestEvacuations(t *testing.T) {
	play(t, func(t *testing.T, s *source, _ *Feed, l *list) {
		told := func() map[string]bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.evacuated
		}
		s.put(work.Settings, "empty a", "now")
		s.put(work.Settings, "empty b", "now")
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, told()); diff != "" {
			t.Errorf("evacuated (-want +got):\n%s", diff)
		}
		s.put(work.Settings, "empty a", "")
		time.Sleep(time.Second)
		if diff := cmp.Diff(map[string]bool{"b": true}, told()); diff != "" {
			t.Errorf("one taken back (-want +got):\n%s", diff)
		}
		s.put(work.Settings, "empty b", "")
		s.forget()
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(map[string]bool{}, told()); diff != "" {
			t.Errorf("both taken back (-want +got):\n%s", diff)
		}
	})
}

// TestAgeOfWhatIsTold checks that what another box tells counts as no newer than it says.
func TestAgeOfWhatIsTold(t *testing.T) {
	play(t, func(t *testing.T, s *source, f *Feed, _ *list) {
		const age = 4 * time.Second // longer than a read and a pause
		s.mu.Lock()
		s.age = age
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		if f.ConfigAge() < age || f.ListAge() < age {
			t.Errorf("the configuration is %v old, the list %v, though they were told %v late", f.ConfigAge(), f.ListAge(), age)
		}
	})
}

// TestNewsThatWakeNobody checks that a change is known in time also where the log does not wake a
// read that waits for it: calls reached replicas at the very end of the time for which these serve
// on after they left, sent by boxes that nothing ailed and that had heard of it 2.00 s late, while
// others had heard at once. Each had begun its read in the millisecond of the change.
func TestNewsThatWakeNobody(t *testing.T) {
	const known = 1500 * time.Millisecond // of the 2 s in which a change must be in force
	play(t, func(t *testing.T, s *source, f *Feed, l *list) {
		s.mu.Lock()
		s.asleep = true
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		for step := range 20 {
			time.Sleep(time.Duration(step) * 137 * time.Millisecond)
			id, version := fmt.Sprintf("r%d", step), int64(10+step)
			s.put(work.Replicas, id, "x")
			s.put(work.Settings, "config", strconv.FormatInt(version, 10))
			time.Sleep(known)
			if !slices.Contains(l.Listed(), id) || f.Config().Version != version {
				t.Errorf("step %d: not known %v after the change", step, known)
				return
			}
		}
	})
}

// TestHistoryGone checks that changes whose records were dropped unseen are found.
func TestHistoryGone(t *testing.T) {
	play(t, func(t *testing.T, s *source, f *Feed, l *list) {
		s.put(work.Replicas, "a", "")
		s.put(work.Replicas, "c", "x")
		s.put(work.Settings, "config", "7")
		s.forget()
		time.Sleep(1500 * time.Millisecond)
		expect(t, l, "b", "c")
		if f.Config().Version != 7 {
			t.Errorf("version %d", f.Config().Version)
		}
	})
}

// TestHistoryGoneInAnOutage checks that a log which was away and comes back without its history
// counts as having been away: replicas that are missing then may come back.
func TestHistoryGoneInAnOutage(t *testing.T) {
	play(t, func(t *testing.T, s *source, _ *Feed, l *list) {
		s.mu.Lock()
		s.hold = 1900 * time.Millisecond
		s.mu.Unlock()
		time.Sleep(1200 * time.Millisecond) // the next read has begun
		s.put(work.Replicas, "a", "")
		s.forget()
		s.mu.Lock()
		s.hold = 0
		s.mu.Unlock()
		time.Sleep(2800 * time.Millisecond)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "a", "x")
		time.Sleep(3 * time.Second)
		expect(t, l, "a", "b")
	})
}

// TestLapsedEntries checks that entries which went while the log was away are kept until
// about two seconds after its return, and no longer.
func TestLapsedEntries(t *testing.T) {
	play(t, func(t *testing.T, s *source, _ *Feed, l *list) {
		s.set(true)
		time.Sleep(6 * time.Second)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "a", "")
		s.put(work.Replicas, "b", "")
		s.set(false)
		time.Sleep(time.Second)
		expect(t, l, "a", "b")
		s.put(work.Replicas, "b", "x")
		time.Sleep(2500 * time.Millisecond)
		expect(t, l, "b")
	})
}

// TestLapsedEntriesAreGoneInTime checks that an entry which is noticed missing late is not kept
// for longer after the log's return: by then the box counts as knowing the list.
func TestLapsedEntriesAreGoneInTime(t *testing.T) {
	play(t, func(t *testing.T, s *source, _ *Feed, l *list) {
		s.set(true)
		time.Sleep(6 * time.Second)
		s.set(false)
		time.Sleep(1200 * time.Millisecond)
		s.put(work.Replicas, "a", "")
		time.Sleep(800 * time.Millisecond)
		expect(t, l, "a", "b")
		time.Sleep(900 * time.Millisecond)
		expect(t, l, "b")
	})
}

// TestEntriesThatLapseInAShortOutage checks that an outage of a second is noticed too.
func TestEntriesThatLapseInAShortOutage(t *testing.T) {
	play(t, func(t *testing.T, s *source, _ *Feed, l *list) {
		time.Sleep(2 * time.Second)
		s.set(true)
		time.Sleep(3500 * time.Millisecond)
		s.put(work.Replicas, "a", "")
		s.set(false)
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

// TestBeginsWithoutTheLog checks that a box which has never reached the log knows that it
// knows nothing.
func TestBeginsWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{topics: map[work.Topic][]work.Record{}, first: map[work.Topic]int64{}, away: true}
		l := &list{ids: map[string]bool{}}
		f := New(s, plain{}, l, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := f.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if f.Ready() || f.Config() != nil {
			t.Error("ready without the log")
		}
		s.put(work.Settings, "config", "4")
		s.set(false)
		time.Sleep(time.Second)
		if !f.Ready() {
			t.Error("not ready after the log's return")
		}
		_ = f.Stop(context.Background()) // it never fails
	})
}
