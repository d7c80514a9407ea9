package mirror

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// pageItems is the number of newest records in one answer; answerTakes is the latency of every call.
	pageItems   = 50
	answerTakes = 4 * time.Millisecond
)

// fakeLog is a log in memory that counts its calls.
type fakeLog struct {
	mu     sync.Mutex
	shards map[work.Shard][]work.Record
	first  map[work.Shard]int64
	// members are the members of the fleet, as texts.
	members []string
	// calls counts calls by kind.
	calls map[string]int
	// cutOff holds boxes whose calls get no answer.
	cutOff map[string]bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{shards: map[work.Shard][]work.Record{}, first: map[work.Shard]int64{}, calls: map[string]int{}, cutOff: map[string]bool{}}
}

// appendReplicas appends records of replicas.
func (f *fakeLog) appendReplicas(recs ...work.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shard := work.Shard{Topic: work.Replicas}
	f.shards[shard] = append(f.shards[shard], recs...)
}

// callCount returns the number of calls of a kind.
func (f *fakeLog) callCount(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// boxLog is one box's client of a fakeLog.
type boxLog struct {
	*fakeLog
	box string
}

// call waits for the latency of a call. If the box is cut off from the log, it fails when ctx ends.
func (l boxLog) call(ctx context.Context, kind string) error {
	l.mu.Lock()
	l.calls[kind]++
	cutOff := l.cutOff[l.box]
	l.mu.Unlock()
	if cutOff {
		<-ctx.Done()
		return fault.Fail(fault.LogUnavailable, "no answer")
	}
	time.Sleep(answerTakes)
	return ctx.Err()
}

func (l boxLog) Append(ctx context.Context, shard work.Shard, _ work.Writer, recs []work.Record) error {
	if err := l.call(ctx, "append"); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[shard] = append(l.shards[shard], recs...)
	return nil
}

func (l boxLog) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	if err := l.call(ctx, "newest "+string(shard.Topic)); err != nil {
		return work.Batch{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]work.Record{}
	for _, rec := range l.shards[shard] {
		newest[rec.Key] = rec
		if len(rec.Value) == 0 {
			delete(newest, rec.Key)
		}
	}
	batch := work.Batch{Next: int64(len(l.shards[shard]))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= after {
			continue
		}
		if len(batch.Records) == pageItems {
			batch.After = batch.Records[pageItems-1].Key
			break
		}
		batch.Records = append(batch.Records, newest[key])
	}
	return batch, nil
}

func (l boxLog) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	if err := l.call(ctx, "read"); err != nil {
		return work.Page{}, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		recs, first := l.shards[shard], l.first[shard]
		l.mu.Unlock()
		switch {
		case from < first:
			return work.Page{}, fault.Refuse(fault.HistoryGone, "gone")
		case int64(len(recs)) > from || !time.Now().Before(end):
			return work.Page{Records: recs[from:], Next: int64(len(recs)), First: first}, nil
		case ctx.Err() != nil:
			return work.Page{}, fault.Fail(fault.LogUnavailable, "no answer")
		}
	}
}

func (l boxLog) Join(context.Context, string, int64, time.Duration) (int64, error) { return 0, nil }
func (l boxLog) Leave(context.Context, string) error                               { return nil }

func (l boxLog) Members(ctx context.Context) ([]string, error) {
	if err := l.call(ctx, "members"); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.members), nil
}

// plainDecoder decodes records of the form "service zone".
type plainDecoder struct{}

func (plainDecoder) Replica(rec work.Record) (work.Replica, error) {
	service, zone, ok := strings.Cut(string(rec.Value), " ")
	if !ok {
		return work.Replica{}, fault.Fail(fault.Protocol, "malformed")
	}
	return work.Replica{ID: rec.Key, Service: service, Zone: zone}, nil
}

// testBox is a box of the fleet with a mirror; the test sets its view.
type testBox struct {
	work.Box
	mirror *Mirror
	zone   *testZone
	// dead boxes refuse requests; frozen ones don't answer.
	dead, frozen atomic.Bool
	settled      atomic.Bool

	mu     sync.Mutex
	live   []work.Box
	levels subset.Levels
	// requests counts the requests that the box got from others.
	requests atomic.Int64
}

func (b *testBox) Live() []work.Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live
}

func (b *testBox) setLive(live []work.Box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = live
}

func (b *testBox) HasSettled() bool { return b.settled.Load() }

// testZone holds the boxes of one availability zone and their log.
type testZone struct {
	log   *fakeLog
	boxes map[string]*testBox
	all   []work.Box
}

// newTestZone returns a zone of n boxes, one in five of them fast.
func newTestZone(n int) *testZone {
	z := &testZone{log: newFakeLog(), boxes: map[string]*testBox{}}
	for i := range n {
		box := work.Box{
			Name: fmt.Sprintf("box-%03d", i), Zone: "a", Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
			Incarnation: "i", Cores: 0.192, Link: 30,
		}
		if i%5 == 0 {
			box.Cores, box.Link = 0.8, 600
		}
		z.all = append(z.all, box)
		z.log.members = append(z.log.members, box.Member())
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, box := range z.all {
		b := &testBox{Box: box, zone: z}
		b.mirror = New(box, []string{"a"}, boxLog{z.log, box.Name}, b, b, plainDecoder{}, logger)
		b.mirror.OnLevels(func(levels subset.Levels) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.levels = levels
		})
		z.boxes[box.Name] = b
	}
	return z
}

// settleViews makes the views of all boxes complete and settled.
func (z *testZone) settleViews() {
	for _, b := range z.boxes {
		b.setLive(z.all)
		b.settled.Store(true)
		_, _ = b.mirror.recordMembers(nil, nil) // it returns its arguments
	}
}

// send sends a request to a box and returns that box unless it is dead or frozen.
func (b *testBox) send(ctx context.Context, name string) (*testBox, error) {
	to := b.zone.boxes[name]
	to.requests.Add(1)
	if to.frozen.Load() {
		<-ctx.Done()
		return nil, fault.Fail(fault.PeerUnreachable, "no answer")
	}
	time.Sleep(2 * time.Millisecond)
	if to.dead.Load() {
		return nil, fault.Refuse(fault.PeerUnreachable, "reset")
	}
	return to, nil
}

func (b *testBox) Copy(ctx context.Context, to work.Box, req CopyRequest) (CopyResponse, error) {
	other, err := b.send(ctx, to.Name)
	if err != nil {
		return CopyResponse{}, err
	}
	return other.mirror.Copy(ctx, req)
}

func (b *testBox) Roster(ctx context.Context, to work.Box, req RosterRequest) (RosterResponse, error) {
	other, err := b.send(ctx, to.Name)
	if err != nil {
		return RosterResponse{}, err
	}
	return other.mirror.Roster(ctx, req)
}

// addReplicas adds n replicas of a service.
func (z *testZone) addReplicas(n int) {
	for i := range n {
		z.log.appendReplicas(work.Record{Key: fmt.Sprintf("i-%04d", i), Value: []byte("s a")})
	}
}

// sources returns the sources of the zone, best first.
func (z *testZone) sources() []work.Box {
	return rankSources(z.all)
}
