package feed

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/work"
)

const (
	// waitFor is how long one read waits for news. The log may fail to wake a read that begins
	// in the moment of a change, so it is half of the least time in which a change must be in
	// force and for which replicas that leave serve on, which is 2 s.
	waitFor = time.Second
	// readSlack is how much longer than asked for a read may take: two ways that hang.
	readSlack = 2 * time.Second
	// configPause and replicaPause are the least time between two reads, so that many small
	// changes cost few calls; both are well below the time in which a change must be in force.
	configPause  = 150 * time.Millisecond
	replicaPause = 800 * time.Millisecond
	// failPause is the time until a read that failed is tried again.
	failPause = 250 * time.Millisecond
	// awayAfter is how much longer than asked for a read may take, or how long reads may fail,
	// before the log counts as having been away: a store sixty times slower takes half of it.
	awayAfter = 500 * time.Millisecond
	// lapseFor is how long after the log's return a replica that went off the list while the
	// log was away may stay missing: a living one is back within two seconds.
	lapseFor = 2200 * time.Millisecond
	// lateAfter is the time between two answers from which what is known counts as late: longer
	// than a pause and a read that waits for news in vain.
	lateAfter = replicaPause + waitFor + awayAfter
	// lapseLook is how long a read waits while replicas are missed, so that their time is kept.
	lapseLook = 300 * time.Millisecond
)

// Log is the part of the log that a feed uses.
type Log interface {
	// All returns the newest records of a topic, each of its answers in its own time.
	All(ctx context.Context, topic work.Topic) (work.Whole, error)
	Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error)
}

// Decoder reads what others have written.
type Decoder interface {
	// Config returns nil for a record that is no configuration.
	Config(rec work.Record) (*work.Config, error)
	Replica(rec work.Record) (work.Replica, error)
	// Evacuation returns the availability zone that a record of the key evacuates; false for other keys.
	Evacuation(key string) (zone string, ok bool)
}

// Targets takes the list of replicas.
type Targets interface {
	Configure(conf *work.Config)
	Put(rep work.Replica)
	// Miss takes a replica whose entry went, but may come back.
	Miss(id string)
	Drop(id string)
	Listed() []string
	// Evacuate takes the availability zones whose replicas get nothing further.
	Evacuate(zones map[string]bool)
}

// Feed is the service.
type Feed struct {
	log     Log
	decoder Decoder
	targets Targets
	logger  *slog.Logger
	// changed is told of each new configuration.
	changed func(conf *work.Config)
	cancel  context.CancelFunc
	done    sync.WaitGroup
	conf    atomic.Pointer[work.Config]
	// newest is the version that the log showed last.
	newest int64
	// proven is when the question was sent whose answer last showed that conf is the newest; nil before that.
	// It is stored after what that answer brought.
	proven atomic.Pointer[time.Time]
	// lists is set once the list of replicas was read.
	lists atomic.Bool
	// listedAt is when the list of replicas was last read or found unchanged; nil before that.
	listedAt atomic.Pointer[time.Time]
	// evacuated holds the availability zones that are evacuated. It is replaced, never changed, by the one that
	// follows the settings.
	evacuated map[string]bool
	// refused counts the configurations that could not be read, foreign the entries that named no replica.
	refused, foreign atomic.Int64
}

// New makes a feed that knows nothing.
func New(log Log, decoder Decoder, targets Targets, logger *slog.Logger) *Feed {
	return &Feed{log: log, decoder: decoder, targets: targets, logger: logger, changed: func(*work.Config) {}}
}

// OnConfig calls do with each new configuration. It must be called before Start.
func (f *Feed) OnConfig(do func(conf *work.Config)) {
	f.changed = do
}

// Config is the newest configuration; nil while none is known.
func (f *Feed) Config() *work.Config {
	return f.conf.Load()
}

// Known is the newest configuration and when it was last shown to be that.
func (f *Feed) Known() access.Known {
	known := access.Known{}
	if proven := f.proven.Load(); proven != nil {
		known.Proven = *proven
	}
	known.Config = f.conf.Load() // after the proof, so that it is no older than that
	return known
}

// ConfigAge is the time since the configuration was last shown to be the newest; zero before that.
func (f *Feed) ConfigAge() time.Duration {
	return age(f.proven.Load())
}

// ConfigsRefused counts the configurations that could not be read.
func (f *Feed) ConfigsRefused() int64 {
	return f.refused.Load()
}

// EntriesRefused counts the entries of the list that named no replica.
func (f *Feed) EntriesRefused() int64 {
	return f.foreign.Load()
}

func age(at *time.Time) time.Duration {
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// Ready reports whether a configuration and the list of replicas are known.
func (f *Feed) Ready() bool {
	return f.conf.Load() != nil && f.lists.Load()
}

// ListAge is the time since the list of replicas was last read or found unchanged; zero
// before that. A replica that leaves is unknown here for no longer than that.
func (f *Feed) ListAge() time.Duration {
	return age(f.listedAt.Load())
}

// Start implements a service.
func (f *Feed) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	configs := &tail{
		feed: f, topic: work.Settings, pause: configPause, wait: waitFor,
		take: f.takeSetting, whole: f.wholeSettings, heard: func(time.Time) {}, current: f.proveConfig,
	}
	lapses := &lapses{feed: f, missing: map[string]time.Time{}, foreign: map[string]bool{}}
	list := &tail{
		feed: f, topic: work.Replicas, pause: replicaPause, wait: waitFor,
		take: lapses.take, whole: lapses.whole, each: lapses.expire, heard: func(at time.Time) { f.listedAt.Store(&at) },
		current: func(time.Time) {},
	}
	f.done.Go(func() { configs.follow(ctx) })
	f.done.Go(func() { list.follow(ctx) })
	return nil
}

// Stop implements a service.
func (f *Feed) Stop(context.Context) error {
	f.cancel()
	f.done.Wait()
	return nil
}

// takeSetting takes a record of the operators.
func (f *Feed) takeSetting(rec work.Record, _ time.Time) {
	if zone, ok := f.decoder.Evacuation(rec.Key); ok {
		f.evacuate(zone, len(rec.Value) > 0)
		return
	}
	if len(rec.Value) > 0 {
		f.takeConfig(rec)
	}
}

// wholeSettings takes all records of the operators at once: an availability zone that none of them evacuates has been
// taken back.
func (f *Feed) wholeSettings(recs []work.Record, _ time.Time) {
	named := map[string]bool{}
	for _, rec := range recs {
		if zone, ok := f.decoder.Evacuation(rec.Key); ok {
			named[zone] = true
		}
	}
	for zone := range f.evacuated {
		if !named[zone] {
			f.evacuate(zone, false)
		}
	}
}

// evacuate has an availability zone evacuated, or taken back.
func (f *Feed) evacuate(zone string, on bool) {
	if f.evacuated[zone] == on {
		return
	}
	zones := maps.Clone(f.evacuated)
	if zones == nil {
		zones = map[string]bool{}
	}
	if on {
		zones[zone] = true
	} else {
		delete(zones, zone)
	}
	f.evacuated = zones
	f.targets.Evacuate(zones)
	f.logger.Warn("feed: availability zone evacuated or taken back", "zone", zone, "evacuated", on)
}

func (f *Feed) takeConfig(rec work.Record) {
	conf, err := f.decoder.Config(rec)
	if err != nil {
		f.refused.Add(1)
		f.logger.Error("feed: configuration not taken", "in_force", f.version(), "cause", err)
		return
	}
	if conf == nil {
		return
	}
	f.newest = conf.Version
	if conf.Version <= f.version() {
		return
	}
	f.conf.Store(conf)
	f.targets.Configure(conf)
	f.changed(conf)
	f.logger.Info("feed: configuration in force", "version", conf.Version, "routes", len(conf.Routes))
}

// version is that of the configuration in force; negative while none is known.
func (f *Feed) version() int64 {
	if conf := f.conf.Load(); conf != nil {
		return conf.Version
	}
	return -1
}

// proveConfig takes the moment at which a question was sent whose whole answer has been taken.
// An answer that shows an older configuration than is known proves nothing.
func (f *Feed) proveConfig(asked time.Time) {
	if f.conf.Load() == nil || f.newest < f.version() {
		return
	}
	f.proven.Store(&asked)
}

// tail follows one topic.
type tail struct {
	feed  *Feed
	topic work.Topic
	pause time.Duration
	// take gets each record. Entries that are missing may come back until the time given; it
	// is past unless the log has just been away.
	take func(rec work.Record, until time.Time)
	// whole gets all newest records at once, after take got each of them.
	whole func(recs []work.Record, until time.Time)
	// each is called after every read; it returns how long the next one may wait for news.
	each func() time.Duration
	wait time.Duration

	next int64
	// failing is when reads began to fail; zero while they succeed.
	failing time.Time
	// backAt is when the log answered again after it was away.
	backAt time.Time
	// answeredAt is when the newest answer came.
	answeredAt time.Time
	// heard is told as of when the newest answer holds.
	heard func(at time.Time)
	// current is told when the question was sent whose answer has just been taken whole: what is known now is
	// no older. An answer that waits for news proves nothing of the time in which it waited.
	current func(asked time.Time)
}

func (t *tail) follow(ctx context.Context) {
	t.next = -1
	for ctx.Err() == nil {
		start := time.Now()
		pause := t.pause
		if err := t.step(ctx, start); err != nil && ctx.Err() == nil {
			pause = failPause
			t.failed(start)
			t.feed.logger.Debug("feed: log not read", "topic", t.topic, "cause", err)
		}
		if t.each != nil {
			t.wait = t.each()
			pause = min(pause, t.wait)
		}
		select {
		case <-time.After(max(0, pause-time.Since(start))):
		case <-ctx.Done():
		}
	}
}

// failed notes that a read which began at start was not answered.
func (t *tail) failed(start time.Time) {
	if t.failing.IsZero() {
		t.failing = start
	}
}

// good notes an answer to a read that began at start and was to wait for news for wait. It
// returns until when missing entries may come back.
func (t *tail) good(start time.Time, wait time.Duration) time.Time {
	now := time.Now()
	t.answered(now)
	silent := now.Sub(start) > wait+awayAfter
	if silent {
		t.failed(start)
	}
	if silent || (!t.failing.IsZero() && now.Sub(t.failing) > awayAfter) {
		t.backAt = now
		t.feed.logger.Info("feed: log is back", "topic", t.topic, "away", now.Sub(t.failing))
	}
	t.failing = time.Time{}
	return t.backAt.Add(lapseFor)
}

// answered notes when an answer came, and tells when what was known until then was late.
func (t *tail) answered(now time.Time) {
	if age := now.Sub(t.answeredAt); !t.answeredAt.IsZero() && age > lateAfter {
		t.feed.logger.Info("feed: news came late", "topic", t.topic, "age", age)
	}
	t.answeredAt = now
}

func (t *tail) step(ctx context.Context, start time.Time) error {
	if t.next < 0 {
		return t.reload(ctx, start)
	}
	wait := t.wait
	if !t.failing.IsZero() {
		wait = 0 // the return of the log is to be noticed at once
	}
	page, err := t.read(ctx, wait)
	if fault.Is(err, fault.HistoryGone) {
		t.feed.logger.Info("feed: history gone, reading the newest records", "topic", t.topic)
		t.next = -1
		t.good(start, wait) // an answer, before which the log may have been away
		return t.reload(ctx, time.Now())
	}
	if err != nil {
		return err
	}
	until := t.good(start, wait)
	t.next = page.Next
	for _, rec := range page.Records {
		t.take(rec, until)
	}
	t.shown(start, page.Age)
	return nil
}

func (t *tail) read(ctx context.Context, wait time.Duration) (work.Page, error) {
	ctx, stop := context.WithTimeout(ctx, waitFor+readSlack)
	defer stop()
	return t.feed.log.Read(ctx, t.topic, t.next, wait)
}

func (t *tail) reload(ctx context.Context, start time.Time) error {
	all, err := t.feed.log.All(ctx, t.topic)
	if err != nil {
		return err
	}
	until := t.good(start, 0)
	t.next = all.Next
	for _, rec := range all.Records {
		t.take(rec, until)
	}
	t.whole(all.Records, until)
	t.shown(start, all.Age)
	return nil
}

// shown notes that an answer to a question sent at start was taken whole, which showed what was true so long before.
func (t *tail) shown(start time.Time, age time.Duration) {
	t.heard(time.Now().Add(-age))
	t.current(start.Add(-age))
}

// lapses takes the list of replicas. One that went off the list while the log was away is
// kept for a while: it may come back.
type lapses struct {
	feed *Feed

	mu      sync.Mutex
	missing map[string]time.Time
	// foreign holds entries that were found to name no replica.
	foreign map[string]bool
}

// maxForeign bounds the entries that are remembered as told of: more than a list of replicas has.
const maxForeign = 1000

func (l *lapses) take(rec work.Record, until time.Time) {
	if len(rec.Value) == 0 {
		l.drop(rec.Key, until)
		return
	}
	rep, err := l.feed.decoder.Replica(rec)
	if err != nil {
		l.refuse(rec.Key, err)
		return
	}
	l.mu.Lock()
	delete(l.foreign, rec.Key)
	delete(l.missing, rec.Key)
	l.mu.Unlock()
	l.feed.targets.Put(rep)
}

// refuse takes an entry that names no replica, as another writer may leave it. Whatever stood there before is
// not what the list says any more. Each is told of once.
func (l *lapses) refuse(id string, cause error) {
	l.mu.Lock()
	delete(l.missing, id)
	told := l.foreign[id]
	if len(l.foreign) < maxForeign {
		l.foreign[id] = true
	}
	l.mu.Unlock()
	l.feed.targets.Drop(id)
	l.feed.foreign.Add(1)
	if !told {
		l.feed.logger.Warn("feed: entry names no replica", "replica", id, "cause", cause)
	}
}

func (l *lapses) drop(id string, until time.Time) {
	if !time.Now().Before(until) {
		l.feed.targets.Drop(id)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.missing[id]; !ok {
		l.missing[id] = until
		l.feed.targets.Miss(id)
		l.feed.logger.Info("feed: replica's entry lapsed while the log was away", "replica", id)
	}
}

func (l *lapses) whole(recs []work.Record, until time.Time) {
	listed := map[string]bool{}
	for _, rec := range recs {
		listed[rec.Key] = len(rec.Value) > 0
	}
	for _, id := range l.feed.targets.Listed() {
		if !listed[id] {
			l.drop(id, until)
		}
	}
	l.feed.lists.Store(true)
}

// expire drops replicas that did not come back, and returns how long a read may wait.
func (l *lapses) expire() time.Duration {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := waitFor
	for id, until := range l.missing {
		if !now.Before(until) {
			delete(l.missing, id)
			l.feed.targets.Drop(id)
			continue
		}
		wait = min(wait, lapseLook, until.Sub(now))
	}
	return wait
}
