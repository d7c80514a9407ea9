package mirror

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// follower reads the list of replicas again and again and records what it gets.
type follower struct {
	box *testBox
	mu  sync.Mutex
	// receivedAt is when each record was received; known holds each replica that was received and whether its
	// last record lists it.
	receivedAt map[string]time.Time
	known      map[string]bool
	// maxAge is the greatest age of an answer.
	maxAge time.Duration
	// reloads counts how often it read its whole part.
	reloads int
}

// followPause is the least time between the starts of two reads.
const followPause = 800 * time.Millisecond

// record stores what was received.
func (f *follower) record(recs []work.Record, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxAge = max(f.maxAge, age)
	for _, rec := range recs {
		f.known[rec.Key] = len(rec.Value) > 0
		f.receivedAt[rec.Key+"="+string(rec.Value)] = time.Now()
	}
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		begun := time.Now()
		next = f.step(ctx, next)
		sleep(ctx, followPause-time.Since(begun))
	}
}

// step reads once from the offset next, or the whole part if next is negative, and returns the next offset.
func (f *follower) step(ctx context.Context, next int64) int64 {
	if next < 0 {
		all, err := f.box.mirror.Snapshot(ctx, work.Replicas)
		if err != nil {
			return -1
		}
		f.mu.Lock()
		f.reloads++
		f.mu.Unlock()
		f.record(all.Records, all.Age)
		return all.Next
	}
	ctx, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	page, err := f.box.mirror.Read(ctx, work.Replicas, next, time.Second)
	if fault.Is(err, fault.HistoryGone) {
		return f.step(ctx, -1)
	}
	if err != nil {
		return next
	}
	f.record(page.Records, page.Age)
	return page.Next
}

// follow starts a follower on every box, until ctx ends.
func (z *testZone) follow(ctx context.Context, done *sync.WaitGroup) map[string]*follower {
	followers := map[string]*follower{}
	for name, b := range z.boxes {
		f := &follower{box: b, receivedAt: map[string]time.Time{}, known: map[string]bool{}}
		followers[name] = f
		done.Go(func() { f.run(ctx) })
	}
	return followers
}

// withFollowers runs a test whose boxes follow a list of 2,000 replicas.
func withFollowers(t *testing.T, do func(t *testing.T, z *testZone, followers map[string]*follower)) {
	t.Helper()
	withFollowersOf(t, 2000, do)
}

// withFollowersOf runs a test with boxes that follow a list of the given number of replicas.
func withFollowersOf(t *testing.T, replicas int, do func(t *testing.T, z *testZone, followers map[string]*follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(200)
		z.addReplicas(replicas)
		z.settleViews()
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		followers := z.follow(ctx, &done)
		time.Sleep(6 * time.Second)
		do(t, z, followers)
		stop()
		done.Wait()
	})
}

// maxDelay returns the longest time that a follower took to receive the record, and how many have not received
// it. It skips dead and frozen boxes and those whose part lacks the replica.
func maxDelay(followers map[string]*follower, id, value string, since time.Time) (latest time.Duration, missing int) {
	for _, f := range followers {
		f.mu.Lock()
		at, ok := f.receivedAt[id+"="+value]
		_, knew := f.known[id]
		f.mu.Unlock()
		switch {
		case f.box.dead.Load() || f.box.frozen.Load() || !knew:
		case !ok:
			missing++
		default:
			latest = max(latest, at.Sub(since))
		}
	}
	return latest, missing
}

// TestSourcesReadForZone checks that only the sources read from the log, and that each box gets a part of the
// list while nearly every replica is in some box's part.
func TestSourcesReadForZone(t *testing.T) {
	withFollowers(t, func(t *testing.T, z *testZone, followers map[string]*follower) {
		pages := 2000/pageItems + 1
		if got, most := z.log.callCount("newest replicas"), len(z.sources())*pages; got > most {
			t.Errorf("%d calls for the newest replicas, want at most %d", got, most)
		}
		before := z.log.callCount("read")
		time.Sleep(10 * time.Second)
		if got := z.log.callCount("read") - before; got > 12*len(z.sources()) {
			t.Errorf("%d reads in 10 s by %d sources, want at most 12 per source", got, len(z.sources()))
		}
		by := map[string]int{}
		for name, f := range followers {
			n := 0
			for id, listed := range f.known {
				if listed {
					n++
					by[id]++
				}
			}
			if n < 80 || n > 200 {
				t.Errorf("%s has %d of 2000 replicas, want 80 to 200", name, n)
			}
		}
		if len(by) < 1990 {
			t.Errorf("%d of 2000 replicas are in a box's part, want at least 1990", len(by))
		}
	})
}

// TestRecordsArriveInTime checks that a replica's new record reaches all boxes with that replica within the
// bound, also while sources fail or boxes disagree about them.
func TestRecordsArriveInTime(t *testing.T) {
	const bound = 4 * time.Second
	cases := []struct {
		name   string
		inject func(z *testZone)
	}{
		{"nothing", func(*testZone) {}},
		{"a source dies", func(z *testZone) { z.boxes[z.sources()[0].Name].dead.Store(true) }},
		{"a source hangs", func(z *testZone) { z.boxes[z.sources()[0].Name].frozen.Store(true) }},
		{"all sources die", func(z *testZone) {
			for _, box := range z.sources() {
				z.boxes[box.Name].dead.Store(true)
			}
		}},
		{"all sources hang", func(z *testZone) {
			for _, box := range z.sources() {
				z.boxes[box.Name].frozen.Store(true)
			}
		}},
		{"a source is cut off from the log", func(z *testZone) {
			z.log.mu.Lock()
			defer z.log.mu.Unlock()
			z.log.cutOff[z.sources()[0].Name] = true
		}},
		{"boxes differ on the sources", func(z *testZone) {
			for i, box := range z.all {
				z.boxes[box.Name].setLive(slices.Delete(slices.Clone(z.all), i/2, i/2+20))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFollowers(t, func(t *testing.T, z *testZone, followers map[string]*follower) {
				c.inject(z)
				for step := range 5 {
					time.Sleep(time.Duration(step) * 230 * time.Millisecond)
					id, since := fmt.Sprintf("i-%04d", 100*step), time.Now()
					z.log.appendReplicas(work.Record{Key: id, Value: []byte("s a drains")})
					time.Sleep(bound)
					if latest, missing := maxDelay(followers, id, "s a drains", since); missing > 0 || latest > bound {
						t.Errorf("step %d: %d boxes lack the record after %v; the others got it within %v", step, missing, bound, latest)
					}
				}
			})
		})
	}
}

// TestPartsFollowShrinkingList checks that parts are drawn anew when the list shrinks to an eighth. Sizes
// vary by chance, but no box may be left with only a few replicas.
func TestPartsFollowShrinkingList(t *testing.T) {
	withFollowers(t, func(t *testing.T, z *testZone, followers map[string]*follower) {
		for i := range 1750 {
			z.log.appendReplicas(work.Record{Key: fmt.Sprintf("i-%04d", i)})
		}
		time.Sleep(8 * time.Second)
		for name, f := range followers {
			f.mu.Lock()
			n := 0
			for _, listed := range f.known {
				if listed {
					n++
				}
			}
			f.mu.Unlock()
			if few := 12; n < few {
				t.Errorf("%s has %d of 250 replicas, want at least %d", name, n, few)
			}
		}
	})
}

// TestPartsFollowGrowingList checks that no box gets most of a list that grows from a few replicas to
// thousands, as at the start of a fleet.
func TestPartsFollowGrowingList(t *testing.T) {
	withFollowersOf(t, 60, func(t *testing.T, z *testZone, followers map[string]*follower) {
		for i := range 4000 {
			z.log.appendReplicas(work.Record{Key: fmt.Sprintf("n-%04d", i), Value: []byte("s a")})
			if i%20 == 0 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(5 * time.Second)
		for name, f := range followers {
			f.mu.Lock()
			n := len(f.known)
			f.mu.Unlock()
			if n > 1500 {
				t.Errorf("%s has received %d of 4000 replicas, want at most 1500", name, n)
			}
		}
	})
}

// TestPartsSurviveEmptiedList checks that boxes do not read their parts again when all replicas disappear from
// the list and soon return.
func TestPartsSurviveEmptiedList(t *testing.T) {
	withFollowers(t, func(t *testing.T, z *testZone, followers map[string]*follower) {
		before := map[string]int{}
		for name, f := range followers {
			f.mu.Lock()
			before[name] = f.reloads
			f.mu.Unlock()
		}
		for i := range 2000 {
			z.log.appendReplicas(work.Record{Key: fmt.Sprintf("i-%04d", i)})
		}
		time.Sleep(5 * time.Second)
		for part := range 20 {
			for i := range 100 {
				z.log.appendReplicas(work.Record{Key: fmt.Sprintf("i-%04d", 100*part+i), Value: []byte("s a")})
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		for name, f := range followers {
			f.mu.Lock()
			reloads, n := f.reloads-before[name], 0
			for _, listed := range f.known {
				if listed {
					n++
				}
			}
			f.mu.Unlock()
			if reloads > 0 || n < 80 || n > 200 {
				t.Errorf("%s: %d reloads and %d replicas, want no reload and 80 to 200 replicas", name, reloads, n)
			}
		}
	})
}

// TestSmallZonesReadFromLog checks that boxes of a small zone read whole topics from the log, not from
// other boxes.
func TestSmallZonesReadFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(minZoneSize - 1)
		z.addReplicas(500)
		z.settleViews()
		for name, b := range z.boxes {
			all, err := b.mirror.Snapshot(context.Background(), work.Replicas)
			if err != nil || len(all.Records) != 500 || all.Age != 0 {
				t.Fatalf("%s: %d records, age %v, %v", name, len(all.Records), all.Age, err)
			}
		}
		for name, b := range z.boxes {
			if got := b.requests.Load(); got > 0 {
				t.Errorf("%s got %d requests", name, got)
			}
		}
	})
}

// TestFleetStart checks that only a few boxes of a large fleet that starts read the members from the log, and
// that all boxes get them soon.
func TestFleetStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(200)
		var done sync.WaitGroup
		begun := time.Now()
		var mu sync.Mutex
		latest := time.Duration(0)
		for i, box := range z.all {
			b := z.boxes[box.Name]
			done.Go(func() {
				time.Sleep(time.Duration(i%5*20) * time.Millisecond) // all fast boxes start at the same time
				for {
					ctx, stop := context.WithTimeout(context.Background(), time.Second)
					members, err := b.mirror.Members(ctx, 5)
					stop()
					if err == nil && len(members) == len(z.all) {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				mu.Lock()
				defer mu.Unlock()
				latest = max(latest, time.Since(begun))
			})
		}
		done.Wait()
		if got := z.log.callCount("members"); got > 20 {
			t.Errorf("the members were read from the log %d times, want at most 20", got)
		}
		announced := map[string]bool{}
		for _, rec := range z.log.shards[work.Shard{Topic: work.CopySources}] {
			announced[rec.Key] = true
		}
		if len(announced) > 4*len(z.sources()) {
			t.Errorf("%d boxes announced themselves, want at most 4 per source", len(announced))
		}
		if latest > 1500*time.Millisecond {
			t.Errorf("the last box got the members after %v, want at most 1.5 s", latest)
		}
	})
}

// TestMemberDifferences checks that applying the differences that a source sends yields the current members.
func TestMemberDifferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(100)
		z.settleViews()
		ctx := context.Background()
		reads := 0
		for step := range 20 {
			z.log.mu.Lock()
			z.log.members = append(slices.Clone(z.log.members[1:]), fmt.Sprintf("new-%d|a|10.0.0.2:%d|i|1|1", step, 1000+step))
			want := slices.Sorted(slices.Values(z.log.members))
			z.log.mu.Unlock()
			for _, b := range z.boxes {
				got, err := b.mirror.Members(ctx, int64(10+step))
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(want, slices.Sorted(slices.Values(got))); diff != "" {
					t.Fatalf("step %d, %s (-want +got):\n%s", step, b.Name, diff)
				}
			}
			reads++
			time.Sleep(time.Second)
		}
		if got := z.log.callCount("members"); got > 3*reads {
			t.Errorf("the members were read from the log %d times for %d changes, want at most 3 per change", got, reads)
		}
	})
}

// TestStaleSourcesRefuse checks that sources that are cut off from the log refuse requests once their copies
// are too old, and that no box accepts an older answer.
func TestStaleSourcesRefuse(t *testing.T) {
	withFollowers(t, func(t *testing.T, z *testZone, followers map[string]*follower) {
		z.log.mu.Lock()
		for _, box := range z.sources() {
			z.log.cutOff[box.Name] = true
		}
		z.log.mu.Unlock()
		time.Sleep(10 * time.Second)
		for _, box := range z.sources() {
			req := CopyRequest{Topic: work.Replicas, Box: "x", Whole: true}
			if _, err := z.boxes[box.Name].mirror.Copy(context.Background(), req); err == nil {
				t.Errorf("%s served a copy though it had been cut off from the log for 10 s", box.Name)
			}
		}
		for name, f := range followers {
			if f.maxAge > maxCopyAge {
				t.Errorf("%s accepted an answer of age %v", name, f.maxAge)
			}
		}
	})
}

// TestShortPageDoesNotMakeCopyFresh checks that a source's copy is as old as the last answer with the newest records.
func TestShortPageDoesNotMakeCopyFresh(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		page  work.Page
		fresh bool
	}{
		"whole":       {work.Page{Next: 7, End: 7}, true},
		"unknown end": {work.Page{Next: 7}, true},
		"short":       {work.Page{Next: 7, End: 8}, false},
	} {
		t.Run(name, func(t *testing.T) {
			cached := newCopy(func(work.Record) string { return "" }, work.Snapshot{Next: 7}, start)
			cached.Add(c.page, start.Add(time.Minute))
			_, err := cached.ageIfFresh(start.Add(time.Minute))
			if diff := cmp.Diff(c.fresh, err == nil); diff != "" {
				t.Errorf("fresh (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMembersAfterSourcesDie checks that all boxes get the members after all their sources died, without
// reading them from the log more than once each on average.
func TestMembersAfterSourcesDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(200)
		z.settleViews()
		for _, box := range z.sources() {
			z.boxes[box.Name].dead.Store(true)
		}
		z.log.members = z.log.members[1:]
		var done sync.WaitGroup
		for _, b := range z.boxes {
			done.Go(func() {
				for try := 0; ; try++ {
					members, err := b.mirror.Members(context.Background(), 7)
					if err == nil && len(members) == 199 {
						return
					}
					if try > 20 {
						t.Errorf("%s did not get the members", b.Name)
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		done.Wait()
		if got := z.log.callCount("members"); got > len(z.all) {
			t.Errorf("the members were read from the log %d times, want at most once per box", got)
		}
	})
}

// TestSettingsAreRecentEnough guards against a bound on revoked keys that is shorter than what the waits of the reads allow: all
// keys were refused most of the time.
func TestSettingsAreRecentEnough(t *testing.T) {
	const readWait, pause = time.Second, 150 * time.Millisecond
	for _, maxAge := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for shared, reads := range map[bool]time.Duration{false: 1, true: 2} {
			wait := min(readWait, settingsWait(maxAge, shared))
			if age := reads * (2*wait + pause); age >= maxAge {
				t.Errorf("bound %v, shared %v: with waits of %v, the settings are up to %v old", maxAge, shared, wait, age)
			}
		}
	}
	if got := settingsWait(5*time.Second, true); got < readWait {
		t.Errorf("with a bound of 5 s, reads wait only %v", got)
	}
}
