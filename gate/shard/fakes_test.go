package shard

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// failureMode is how the fake log fails.
type failureMode int

const (
	modeUp failureMode = iota
	// modeUnavailable rejects all calls.
	modeUnavailable
	// modeLostAnswers performs appends but reports them as failed.
	modeLostAnswers
	// modeLateAppends reports appends as failed and performs them later.
	modeLateAppends
)

// fakeShard is one shard of a memLog.
type fakeShard struct {
	recs []work.Record
	// fence is the newest epoch and lastNumber the number of its newest append.
	fence, lastNumber int64
	// first is the oldest offset that is still stored.
	first int64
}

// newestDelay is the time that Newest takes after its snapshot, while other calls may append.
const newestDelay = 80 * time.Millisecond

// memLog is a log in memory.
type memLog struct {
	mu     sync.Mutex
	mode   failureMode
	shards map[int]*fakeShard
	// unfenced disables fencing, to verify that the tests depend on it.
	unfenced bool
	// appendDelay is added to each append; appends counts the calls of Append.
	appendDelay time.Duration
	appends     int
	// rejects says which records the log never takes; nil if it takes all.
	rejects func(rec work.Record) bool
	// claims counts the owner records.
	claims int
	// batchSize is the number of records that Newest returns at once, 0 for all, and batchDelay the
	// time that each call takes.
	batchSize  int
	batchDelay time.Duration
}

// pageNewest makes Newest return at most batch records per call, each call taking the given time.
func (l *memLog) pageNewest(batch int, takes time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batchSize, l.batchDelay = batch, takes
}

func (l *memLog) delayAppends(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendDelay = delay
}

func (l *memLog) claimCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims
}

// appendCount returns the number of calls of Append so far.
func (l *memLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// fence returns the newest epoch of the only shard.
func (l *memLog) fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard(0).fence
}

func newLog() *memLog {
	return &memLog{shards: map[int]*fakeShard{}}
}

func (l *memLog) setMode(m failureMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

func (l *memLog) shard(number int) *fakeShard {
	s, ok := l.shards[number]
	if !ok {
		s = &fakeShard{}
		l.shards[number] = s
	}
	return s
}

func (l *memLog) Append(_ context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	l.mu.Lock()
	delay := l.appendDelay
	l.mu.Unlock()
	time.Sleep(4*time.Millisecond + delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.rejects != nil && slices.ContainsFunc(recs, l.rejects) {
		return fault.Refuse(fault.LogRejected, "rejected")
	}
	switch l.mode {
	case modeUnavailable:
		return fault.Refuse(fault.LogUnavailable, "unavailable")
	case modeLateAppends:
		time.AfterFunc(700*time.Millisecond, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			_ = l.append(shard.Number, writer, recs) // its result is lost
		})
		return fault.Fail(fault.LogUnavailable, "answer lost")
	}
	err := l.append(shard.Number, writer, recs)
	if l.mode == modeLostAnswers {
		return fault.Fail(fault.LogUnavailable, "answer lost")
	}
	return err
}

func (l *memLog) append(number int, writer work.Writer, recs []work.Record) error {
	s := l.shard(number)
	if !l.unfenced {
		switch {
		case writer.Epoch < s.fence:
			return fault.Refuse(fault.NotOwner, "fenced")
		case writer.Epoch == s.fence && writer.Number <= s.lastNumber:
			return nil
		case writer.Epoch == s.fence && writer.Number != s.lastNumber+1:
			return fault.Refuse(fault.NotOwner, "sequence")
		}
		s.fence, s.lastNumber = writer.Epoch, writer.Number
	}
	s.recs = append(s.recs, recs...)
	for _, rec := range recs {
		if rec.Key == ownerKey {
			l.claims++
		}
	}
	return nil
}

func (l *memLog) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	if l.mode == modeUnavailable {
		l.mu.Unlock()
		return work.Batch{}, fault.Refuse(fault.LogUnavailable, "unavailable")
	}
	recs := append([]work.Record(nil), l.shard(shard.Number).recs...)
	size, takes := l.batchSize, l.batchDelay
	l.mu.Unlock()
	if size == 0 {
		time.Sleep(newestDelay) // other calls may append during this delay
		size = len(recs)
	} else {
		time.Sleep(takes)
	}
	if ctx.Err() != nil {
		return work.Batch{}, fault.Fail(fault.LogUnavailable, "no answer in time")
	}
	newest := map[string]int{}
	for i, rec := range recs {
		newest[rec.Key] = i
	}
	batch := work.Batch{Next: int64(len(recs))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		rec := recs[newest[key]]
		if key <= after || len(rec.Value) == 0 {
			continue
		}
		if len(batch.Records) == size {
			batch.After = batch.Records[size-1].Key
			break
		}
		batch.Records = append(batch.Records, rec)
	}
	return batch, nil
}

func (l *memLog) Read(_ context.Context, shard work.Shard, from int64, _ time.Duration) (work.Page, error) {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(shard.Number)
	if l.mode == modeUnavailable {
		return work.Page{}, fault.Refuse(fault.LogUnavailable, "unavailable")
	}
	if from < s.first {
		return work.Page{}, fault.Refuse(fault.HistoryGone, "gone")
	}
	recs := append([]work.Record(nil), s.recs[from:]...)
	return work.Page{Records: recs, Next: int64(len(s.recs)), First: s.first}, nil
}

// fleet is a set of boxes whose views of the slot's owner may be wrong.
type fleet struct {
	mu sync.Mutex
	// ownerByBox is the box that each box considers the owner of all slots.
	ownerByBox map[string]string
	// failedByBox is the box whose failure each box has confirmed.
	failedByBox map[string]string
	managers    map[string]*Manager
	// unreachable holds the boxes that cannot contact others or be contacted, hung those that never answer a
	// delivery.
	unreachable, hung map[string]bool
	// logCut holds the boxes that are cut off from the log.
	logCut map[string]bool
}

// boxLog is the log as a box reaches it.
type boxLog struct {
	Log
	fleet *fleet
	box   string
}

func (l boxLog) cut() error {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.fleet.logCut[l.box] {
		return fault.Refuse(fault.LogUnavailable, "cut")
	}
	return nil
}

func (l boxLog) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	if err := l.cut(); err != nil {
		return err
	}
	return l.Log.Append(ctx, shard, writer, recs)
}

func (l boxLog) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	if err := l.cut(); err != nil {
		return work.Batch{}, err
	}
	return l.Log.Newest(ctx, shard, after)
}

func (l boxLog) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	if err := l.cut(); err != nil {
		return work.Page{}, err
	}
	return l.Log.Read(ctx, shard, from, wait)
}

// toggleLog cuts the box off from the log, or ends that.
func (f *fleet) toggleLog(box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logCut[box] = !f.logCut[box]
}

func (f *fleet) hang(box string, hung bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hung[box] = hung
}

func (f *fleet) ownerSeenBy(box string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownerByBox[box]
}

func (f *fleet) setOwner(box, owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownerByBox[box] = owner
}

// setFailed sets the box whose failure the given one has confirmed; empty for none.
func (f *fleet) setFailed(box, failed string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedByBox[box] = failed
}

// setUnreachable sets whether a box can neither contact others nor be contacted.
func (f *fleet) setUnreachable(box string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[box] = unreachable
}

// boxView implements Boxes and Peers for one box of the fleet.
type boxView struct {
	fleet *fleet
	self  string
}

func (v boxView) Owner(string) (work.Box, bool) {
	return work.Box{Name: v.fleet.ownerSeenBy(v.self)}, true
}

// Owners returns the box that this one considers the owner, then the others.
func (v boxView) Owners(_ string, n int) []work.Box {
	first := v.fleet.ownerSeenBy(v.self)
	boxes := []work.Box{{Name: first}}
	for _, name := range slices.Sorted(maps.Keys(v.fleet.managers)) {
		if name != first && len(boxes) < n {
			boxes = append(boxes, work.Box{Name: name})
		}
	}
	return boxes
}
func (v boxView) Find(name, _ string) (work.Box, bool) {
	return work.Box{Name: name}, !v.Failed(work.Box{Name: name})
}
func (v boxView) Settled() bool                    { return true }
func (v boxView) FailedRecently(box work.Box) bool { return v.Failed(box) }
func (v boxView) Failed(box work.Box) bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.failedByBox[v.self] == box.Name
}

func (v boxView) Keeps(_ context.Context, box work.Box, slot int, claimant work.Owner) (bool, error) {
	to, err := v.connect(box)
	if err != nil {
		return false, err
	}
	return to.Keeps(slot, claimant), nil
}

func (v boxView) Handover(ctx context.Context, box work.Box, slot int, claimant work.Owner) error {
	to, err := v.connect(box)
	if err != nil {
		return err
	}
	return to.Handover(ctx, slot, claimant)
}

func (v boxView) NotifyTaken(_ context.Context, box work.Box, slot int, owner work.Owner) error {
	to, err := v.connect(box)
	if err != nil {
		return err
	}
	return to.NotifyTaken(slot, owner)
}

func (v boxView) Deliver(ctx context.Context, box work.Box, slot int, recs []work.Record) error {
	to, err := v.connect(box)
	if err != nil {
		return err
	}
	v.fleet.mu.Lock()
	hung := v.fleet.hung[box.Name]
	v.fleet.mu.Unlock()
	if hung {
		<-ctx.Done()
		return fault.Fail(fault.PeerUnreachable, "no answer")
	}
	return to.Deliver(ctx, slot, recs)
}

func (v boxView) connect(box work.Box) (*Manager, error) {
	time.Sleep(time.Millisecond)
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.fleet.unreachable[box.Name] || v.fleet.unreachable[v.self] || v.fleet.managers[box.Name] == nil {
		return nil, fault.Refuse(fault.PeerUnreachable, "cut")
	}
	return v.fleet.managers[box.Name], nil
}

type noCounts struct{}

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}

func newFleet(log Log, names ...string) *fleet {
	f := &fleet{ownerByBox: map[string]string{}, failedByBox: map[string]string{}, managers: map[string]*Manager{}, unreachable: map[string]bool{}, hung: map[string]bool{}, logCut: map[string]bool{}}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, name := range names {
		f.ownerByBox[name] = names[0]
		view := boxView{fleet: f, self: name}
		self := work.Box{Name: name, Incarnation: name + "-1", Peer: netip.MustParseAddrPort("10.0.0.1:80")}
		f.managers[name] = New(self, NewLayout(1), boxLog{log, f, name}, view, view, noCounts{}, quiet)
	}
	return f
}

func (f *fleet) stop() {
	for _, m := range f.managers {
		m.cancel()
		m.background.Wait()
	}
}

// discard is a logger for tests that read no lines.
var discard = slog.New(slog.DiscardHandler)
