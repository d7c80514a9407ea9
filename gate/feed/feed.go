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
	// readWait is how long one read waits for new records. The log may fail to wake a read that starts at
	// the moment of a change, so it is half of the 2 s within which a change must be in force and for
	// which leaving replicas keep serving.
	readWait = time.Second
	// readTimeoutMargin is how much longer than readWait a read may take: enough for two attempts that
	// hang.
	readTimeoutMargin = 2 * time.Second
	// configReadInterval and replicaReadInterval are the minimum time from the start of one read to the
	// next, so that many small changes cost few calls. Both are well below the time within which a change
	// must be in force.
	configReadInterval  = 150 * time.Millisecond
	replicaReadInterval = 800 * time.Millisecond
	// retryInterval is the time from the start of a failed read to the next one.
	retryInterval = 250 * time.Millisecond
	// outageAfter is how much longer than requested a read may take, or how long reads may fail, before
	// the log counts as having been unavailable.
	outageAfter = 500 * time.Millisecond
	// missingGrace is how long after the log's recovery a replica may stay missing whose entry
	// disappeared in the outage. A running replica writes its entry again within 2 s.
	missingGrace = 2200 * time.Millisecond
	// lateAfter is the time between two answers from which the newer one is logged as late: longer than
	// an interval and a read that waits in vain.
	lateAfter = replicaReadInterval + readWait + outageAfter
	// missingCheckInterval bounds how long a read waits while replicas are missing, so that they are
	// dropped in time.
	missingCheckInterval = 300 * time.Millisecond
)

// Log is the part of the log that a feed reads.
type Log interface {
	// Snapshot returns the newest record of each key of a topic. It bounds the time of each of its calls
	// itself.
	Snapshot(ctx context.Context, topic work.Topic) (work.Snapshot, error)
	// Read returns the records from the offset on, as soon as there are any or after wait. It fails with
	// HistoryGone if they are no longer kept.
	Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error)
}

// Decoder decodes the records of operators and replicas.
type Decoder interface {
	// Config returns nil for a record that is not a configuration.
	Config(rec work.Record) (*work.Config, error)
	Replica(rec work.Record) (work.Replica, error)
	// Evacuation returns the availability zone that a record with the key evacuates; ok is false for
	// other keys.
	Evacuation(key string) (zone string, ok bool)
}

// Targets receives the configuration, the list of replicas and the evacuated zones.
type Targets interface {
	Configure(conf *work.Config)
	Put(rep work.Replica)
	// MarkMissing marks a replica whose entry disappeared but may come back.
	MarkMissing(id string)
	Drop(id string)
	ListedIDs() []string
	// SetEvacuated sets the availability zones whose replicas get no new calls.
	SetEvacuated(zones map[string]bool)
}

// Feed is a service that follows the configuration and the list of replicas.
type Feed struct {
	log     Log
	decoder Decoder
	targets Targets
	logger  *slog.Logger
	// onConfig is called with each new configuration.
	onConfig func(conf *work.Config)
	cancel   context.CancelFunc
	done     sync.WaitGroup
	conf     atomic.Pointer[work.Config]
	// newest is the configuration version that the log returned last.
	newest int64
	// proven is the send time of the newest request whose answer showed that conf is the newest
	// configuration; nil before the first. It is stored after the records of that answer are applied.
	proven atomic.Pointer[time.Time]
	// listLoaded is set once the list of replicas has been read.
	listLoaded atomic.Bool
	// listCheckedAt is the time as of which the list of replicas was last read or found unchanged; nil
	// before.
	listCheckedAt atomic.Pointer[time.Time]
	// evacuated holds the evacuated availability zones. Only the goroutine that follows the settings uses
	// it, and replaces the map instead of changing it.
	evacuated map[string]bool
	// rejectedConfigs counts the configurations that do not decode, foreign the replica entries that do
	// not.
	rejectedConfigs, foreign atomic.Int64
}

// New returns a feed that has not been started.
func New(log Log, decoder Decoder, targets Targets, logger *slog.Logger) *Feed {
	return &Feed{log: log, decoder: decoder, targets: targets, logger: logger, onConfig: func(*work.Config) {}}
}

// OnConfig registers do, which is called with each new configuration. It must be called before Start.
func (f *Feed) OnConfig(do func(conf *work.Config)) {
	f.onConfig = do
}

// Config returns the newest configuration; nil while none is known.
func (f *Feed) Config() *work.Config {
	return f.conf.Load()
}

// Known returns the newest configuration and when it was last shown to be the newest.
func (f *Feed) Known() access.ConfigSnapshot {
	known := access.ConfigSnapshot{}
	if proven := f.proven.Load(); proven != nil {
		known.ConfirmedAt = *proven
	}
	known.Config = f.conf.Load() // loaded after proven, so that it is no older than that
	return known
}

// ConfigAge returns the time since the configuration was last shown to be the newest; zero before that.
func (f *Feed) ConfigAge() time.Duration {
	return age(f.proven.Load())
}

// ConfigsRefused returns the number of configurations that did not decode.
func (f *Feed) ConfigsRefused() int64 {
	return f.rejectedConfigs.Load()
}

// EntriesRefused returns the number of replica entries that did not decode.
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
	return f.conf.Load() != nil && f.listLoaded.Load()
}

// ListAge returns the time since the list of replicas was last read or found unchanged; zero before that.
// It bounds how long a replica's departure can go unnoticed here.
func (f *Feed) ListAge() time.Duration {
	return age(f.listCheckedAt.Load())
}

// Start implements kernel.Service.
func (f *Feed) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	settingsFollower := &follower{
		feed: f, topic: work.Settings, interval: configReadInterval, wait: readWait,
		onRecord: f.applySetting, onSnapshot: f.applySettingsSnapshot, onAnswer: func(time.Time) {}, current: f.confirmConfig,
	}
	replicas := &replicaList{feed: f, missing: map[string]time.Time{}, malformed: map[string]bool{}}
	replicaFollower := &follower{
		feed: f, topic: work.Replicas, interval: replicaReadInterval, wait: readWait,
		onRecord: replicas.onRecord, onSnapshot: replicas.onSnapshot, afterRead: replicas.expire, onAnswer: func(at time.Time) { f.listCheckedAt.Store(&at) },
		current: func(time.Time) {},
	}
	f.done.Go(func() { settingsFollower.follow(ctx) })
	f.done.Go(func() { replicaFollower.follow(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (f *Feed) Stop(context.Context) error {
	f.cancel()
	f.done.Wait()
	return nil
}

// applySetting applies one record of the settings topic.
func (f *Feed) applySetting(rec work.Record, _ time.Time) {
	if zone, ok := f.decoder.Evacuation(rec.Key); ok {
		f.setEvacuated(zone, len(rec.Value) > 0)
		return
	}
	if len(rec.Value) > 0 {
		f.applyConfig(rec)
	}
}

// applySettingsSnapshot applies all newest settings records at once: the evacuation of an availability
// zone that none of them names has ended.
func (f *Feed) applySettingsSnapshot(recs []work.Record, _ time.Time) {
	named := map[string]bool{}
	for _, rec := range recs {
		if zone, ok := f.decoder.Evacuation(rec.Key); ok {
			named[zone] = true
		}
	}
	for zone := range f.evacuated {
		if !named[zone] {
			f.setEvacuated(zone, false)
		}
	}
}

// setEvacuated starts or ends the evacuation of an availability zone.
func (f *Feed) setEvacuated(zone string, on bool) {
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
	f.targets.SetEvacuated(zones)
	f.logger.Warn("feed: availability zone evacuation changed", "zone", zone, "evacuated", on)
}

// applyConfig puts a configuration in force if it is newer than the present one.
func (f *Feed) applyConfig(rec work.Record) {
	conf, err := f.decoder.Config(rec)
	if err != nil {
		f.rejectedConfigs.Add(1)
		f.logger.Error("feed: configuration rejected", "in_force", f.version(), "cause", err)
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
	f.onConfig(conf)
	f.logger.Info("feed: configuration in force", "version", conf.Version, "routes", len(conf.Routes))
}

// version returns the version of the configuration in force; negative while there is none.
func (f *Feed) version() int64 {
	if conf := f.conf.Load(); conf != nil {
		return conf.Version
	}
	return -1
}

// confirmConfig records that the configuration was the newest at asked, when the request was sent whose
// answer has been applied. An answer with an older configuration than the known one confirms nothing.
func (f *Feed) confirmConfig(asked time.Time) {
	if f.conf.Load() == nil || f.newest < f.version() {
		return
	}
	f.proven.Store(&asked)
}

// follower reads one topic continuously.
type follower struct {
	feed     *Feed
	topic    work.Topic
	interval time.Duration
	// onRecord is called with each record. A replica whose entry is gone may stay missing until the given
	// time, which has passed unless the log has just recovered.
	onRecord func(rec work.Record, until time.Time)
	// onSnapshot is called with all newest records, after onRecord was called with each of them.
	onSnapshot func(recs []work.Record, until time.Time)
	// afterRead is called after every read; it returns how long the next one may wait for new records.
	afterRead func() time.Duration
	wait      time.Duration

	next int64
	// failingSince is when reads began to fail; zero while they succeed.
	failingSince time.Time
	// recoveredAt is when the log answered again after an outage.
	recoveredAt time.Time
	// lastAnswerAt is when the newest answer arrived.
	lastAnswerAt time.Time
	// onAnswer is called with the time as of which the newest answer holds.
	onAnswer func(at time.Time)
	// current is called with the time as of which the known records are surely complete: when the request
	// was sent whose answer has been applied, less the answer's age. A read that waits for new records
	// confirms nothing about the time in which it waited.
	current func(asked time.Time)
}

// follow reads the topic until ctx ends.
func (t *follower) follow(ctx context.Context) {
	t.next = -1
	for ctx.Err() == nil {
		start := time.Now()
		pause := t.interval
		if err := t.readOnce(ctx, start); err != nil && ctx.Err() == nil {
			pause = retryInterval
			t.noteFailure(start)
			t.feed.logger.Debug("feed: cannot read the log", "topic", t.topic, "cause", err)
		}
		if t.afterRead != nil {
			t.wait = t.afterRead()
			pause = min(pause, t.wait)
		}
		select {
		case <-time.After(max(0, pause-time.Since(start))):
		case <-ctx.Done():
		}
	}
}

// noteFailure records that a read which began at start failed.
func (t *follower) noteFailure(start time.Time) {
	if t.failingSince.IsZero() {
		t.failingSince = start
	}
}

// noteSuccess records an answer to a read that began at start and was to wait up to wait for new records.
// It returns the time until which missing entries may come back.
func (t *follower) noteSuccess(start time.Time, wait time.Duration) time.Time {
	now := time.Now()
	t.noteAnswer(now)
	overdue := now.Sub(start) > wait+outageAfter
	if overdue {
		t.noteFailure(start)
	}
	if overdue || (!t.failingSince.IsZero() && now.Sub(t.failingSince) > outageAfter) {
		t.recoveredAt = now
		t.feed.logger.Info("feed: log available again", "topic", t.topic, "away", now.Sub(t.failingSince))
	}
	t.failingSince = time.Time{}
	return t.recoveredAt.Add(missingGrace)
}

// noteAnswer records when an answer arrived, and logs one that is late.
func (t *follower) noteAnswer(now time.Time) {
	if age := now.Sub(t.lastAnswerAt); !t.lastAnswerAt.IsZero() && age > lateAfter {
		t.feed.logger.Info("feed: log answered late", "topic", t.topic, "age", age)
	}
	t.lastAnswerAt = now
}

// readOnce reads the next records, or the newest record of each key if the offset is unknown or no longer
// kept.
func (t *follower) readOnce(ctx context.Context, start time.Time) error {
	if t.next < 0 {
		return t.reload(ctx, start)
	}
	wait := t.wait
	if !t.failingSince.IsZero() {
		wait = 0 // notice the log's recovery at once
	}
	page, err := t.read(ctx, wait)
	if fault.Is(err, fault.HistoryGone) {
		t.feed.logger.Info("feed: log history dropped, reading the newest records", "topic", t.topic)
		t.next = -1
		t.noteSuccess(start, wait) // this is an answer, perhaps the first after an outage
		return t.reload(ctx, time.Now())
	}
	if err != nil {
		return err
	}
	until := t.noteSuccess(start, wait)
	t.next = page.Next
	for _, rec := range page.Records {
		t.onRecord(rec, until)
	}
	t.reportFreshness(start, page.Age)
	return nil
}

func (t *follower) read(ctx context.Context, wait time.Duration) (work.Page, error) {
	ctx, stop := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	defer stop()
	return t.feed.log.Read(ctx, t.topic, t.next, wait)
}

func (t *follower) reload(ctx context.Context, start time.Time) error {
	snapshot, err := t.feed.log.Snapshot(ctx, t.topic)
	if err != nil {
		return err
	}
	until := t.noteSuccess(start, 0)
	t.next = snapshot.Next
	for _, rec := range snapshot.Records {
		t.onRecord(rec, until)
	}
	t.onSnapshot(snapshot.Records, until)
	t.reportFreshness(start, snapshot.Age)
	return nil
}

// reportFreshness reports that the answer to a request sent at start has been applied; its records were
// age old.
func (t *follower) reportFreshness(start time.Time, age time.Duration) {
	t.onAnswer(time.Now().Add(-age))
	t.current(start.Add(-age))
}

// replicaList applies the list of replicas to the targets. A replica whose entry disappears in a log
// outage is kept as missing for a while, since its entry may come back.
type replicaList struct {
	feed *Feed

	mu sync.Mutex
	// missing maps the IDs of replicas whose entries disappeared to the time at which they are dropped.
	missing map[string]time.Time
	// malformed holds the keys of entries that did not decode and have been logged.
	malformed map[string]bool
}

// maxMalformed bounds the malformed entries that are remembered: more than a list of replicas has.
const maxMalformed = 1000

func (l *replicaList) onRecord(rec work.Record, until time.Time) {
	if len(rec.Value) == 0 {
		l.remove(rec.Key, until)
		return
	}
	rep, err := l.feed.decoder.Replica(rec)
	if err != nil {
		l.reject(rec.Key, err)
		return
	}
	l.mu.Lock()
	delete(l.malformed, rec.Key)
	delete(l.missing, rec.Key)
	l.mu.Unlock()
	l.feed.targets.Put(rep)
}

// reject handles an entry that does not decode, such as one from another writer. The replica that was
// listed under its key is dropped. A repeated entry is not logged again.
func (l *replicaList) reject(id string, cause error) {
	l.mu.Lock()
	delete(l.missing, id)
	logged := l.malformed[id]
	if len(l.malformed) < maxMalformed {
		l.malformed[id] = true
	}
	l.mu.Unlock()
	l.feed.targets.Drop(id)
	l.feed.foreign.Add(1)
	if !logged {
		l.feed.logger.Warn("feed: invalid replica entry", "replica", id, "cause", cause)
	}
}

// remove drops a replica, or marks it as missing if its entry may come back until the given time.
func (l *replicaList) remove(id string, until time.Time) {
	if !time.Now().Before(until) {
		l.feed.targets.Drop(id)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.missing[id]; !ok {
		l.missing[id] = until
		l.feed.targets.MarkMissing(id)
		l.feed.logger.Info("feed: replica entry expired during a log outage", "replica", id)
	}
}

func (l *replicaList) onSnapshot(recs []work.Record, until time.Time) {
	listed := map[string]bool{}
	for _, rec := range recs {
		listed[rec.Key] = len(rec.Value) > 0
	}
	for _, id := range l.feed.targets.ListedIDs() {
		if !listed[id] {
			l.remove(id, until)
		}
	}
	l.feed.listLoaded.Store(true)
}

// expire drops missing replicas whose time is over, and returns how long the next read may wait.
func (l *replicaList) expire() time.Duration {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := readWait
	for id, until := range l.missing {
		if !now.Before(until) {
			delete(l.missing, id)
			l.feed.targets.Drop(id)
			continue
		}
		wait = min(wait, missingCheckInterval, until.Sub(now))
	}
	return wait
}
