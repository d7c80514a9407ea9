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
	// pageItems is the number of newest records in one answer, answerTakes how long any answer takes.
	pageItems   = 50
	answerTakes = 4 * time.Millisecond
)

// store is a log in memory that counts what it is asked.
type store struct {
	mu     sync.Mutex
	shards map[work.Shard][]work.Record
	first  map[work.Shard]int64
	// members are those of the fleet.
	members []string
	// calls counts calls by their kind.
	calls map[string]int
	// deaf holds boxes whose calls hang, as behind a cut.
	deaf map[string]bool
}

func newStore() *store {
	return &store{shards: map[work.Shard][]work.Record{}, first: map[work.Shard]int64{}, calls: map[string]int{}, deaf: map[string]bool{}}
}

// list writes entries of replicas.
func (s *store) list(recs ...work.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := work.Shard{Topic: work.Replicas}
	s.shards[shard] = append(s.shards[shard], recs...)
}

func (s *store) called(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// ear is the log as one box reaches it.
type ear struct {
	*store
	box string
}

// call takes the time of a call, and fails at the end of ctx if the box does not reach the log.
func (e ear) call(ctx context.Context, kind string) error {
	e.mu.Lock()
	e.calls[kind]++
	deaf := e.deaf[e.box]
	e.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return fault.Fail(fault.LogUnavailable, "no answer")
	}
	time.Sleep(answerTakes)
	return ctx.Err()
}

func (e ear) Append(ctx context.Context, shard work.Shard, _ work.Writer, recs []work.Record) error {
	if err := e.call(ctx, "append"); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shards[shard] = append(e.shards[shard], recs...)
	return nil
}

func (e ear) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	if err := e.call(ctx, "newest "+string(shard.Topic)); err != nil {
		return work.Batch{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := map[string]work.Record{}
	for _, rec := range e.shards[shard] {
		newest[rec.Key] = rec
		if len(rec.Value) == 0 {
			delete(newest, rec.Key)
		}
	}
	batch := work.Batch{Next: int64(len(e.shards[shard]))}
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

func (e ear) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	if err := e.call(ctx, "read"); err != nil {
		return work.Page{}, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		recs, first := e.shards[shard], e.first[shard]
		e.mu.Unlock()
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

func (e ear) Join(context.Context, string, int64, time.Duration) (int64, error) { return 0, nil }
func (e ear) Leave(context.Context, string) error                               { return nil }

func (e ear) Members(ctx context.Context) ([]string, error) {
	if err := e.call(ctx, "members"); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.members), nil
}

// plain decodes an entry "service zone".
type plain struct{}

func (plain) Replica(rec work.Record) (work.Replica, error) {
	service, zone, ok := strings.Cut(string(rec.Value), " ")
	if !ok {
		return work.Replica{}, fault.Fail(fault.Protocol, "malformed")
	}
	return work.Replica{ID: rec.Key, Service: service, Zone: zone}, nil
}

// box is a box of a fleet, whose view is what the test says.
type box struct {
	work.Box
	mirror *Mirror
	world  *world
	// dead boxes refuse questions, frozen ones don't answer.
	dead, frozen atomic.Bool
	trusted      atomic.Bool

	mu     sync.Mutex
	live   []work.Box
	levels subset.Levels
	// asked counts the questions that it got as a source.
	asked atomic.Int64
}

func (b *box) Live() []work.Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live
}

func (b *box) see(live []work.Box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = live
}

func (b *box) Trusted() bool { return b.trusted.Load() }

// world is boxes of one availability zone before a log.
type world struct {
	store *store
	boxes map[string]*box
	all   []work.Box
}

func newWorld(n int) *world {
	w := &world{store: newStore(), boxes: map[string]*box{}}
	for i := range n {
		one := work.Box{
			Name: fmt.Sprintf("box-%03d", i), Zone: "a", Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
			Incarnation: "i", Cores: 0.192, Link: 30,
		}
		if i%5 == 0 {
			one.Cores, one.Link = 0.8, 600
		}
		w.all = append(w.all, one)
		w.store.members = append(w.store.members, one.Member())
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, one := range w.all {
		b := &box{Box: one, world: w}
		b.mirror = New(one, []string{"a"}, ear{w.store, one.Name}, b, b, plain{}, quiet)
		b.mirror.OnDrawn(func(levels subset.Levels) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.levels = levels
		})
		w.boxes[one.Name] = b
	}
	return w
}

// settle has all boxes see all.
func (w *world) settle() {
	for _, b := range w.boxes {
		b.see(w.all)
		b.trusted.Store(true)
		_, _ = b.mirror.know(nil, nil) // it returns what it is given
	}
}

// reach returns the box that is asked, unless it does not answer.
func (b *box) reach(ctx context.Context, name string) (*box, error) {
	to := b.world.boxes[name]
	to.asked.Add(1)
	if to.frozen.Load() {
		<-ctx.Done()
		return nil, fault.Fail(fault.PeerLost, "no answer")
	}
	time.Sleep(2 * time.Millisecond)
	if to.dead.Load() {
		return nil, fault.Refuse(fault.PeerLost, "reset")
	}
	return to, nil
}

func (b *box) Copy(ctx context.Context, to work.Box, ask CopyAsk) (CopyAnswer, error) {
	other, err := b.reach(ctx, to.Name)
	if err != nil {
		return CopyAnswer{}, err
	}
	return other.mirror.Copy(ctx, ask)
}

func (b *box) Roster(ctx context.Context, to work.Box, ask RosterAsk) (RosterAnswer, error) {
	other, err := b.reach(ctx, to.Name)
	if err != nil {
		return RosterAnswer{}, err
	}
	return other.mirror.Roster(ctx, ask)
}

// replicas lists n replicas of a service.
func (w *world) replicas(n int) {
	for i := range n {
		w.store.list(work.Record{Key: fmt.Sprintf("i-%04d", i), Value: []byte("s a")})
	}
}

// sources are the zone's, by rank.
func (w *world) sources() []work.Box {
	return ranked(w.all)
}
