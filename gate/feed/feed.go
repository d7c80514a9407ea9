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
	// readWait is how long one read waits for new records. It is half of the 2 s within which a change must
	// be in force and leaving replicas keep serving, as the log may not wake a read that starts at a change.
	readWait = time.Second
	// readTimeoutMargin is how much longer than readWait a read may take: time for two attempts that hang.
	readTimeoutMargin = 2 * time.Second
	// configReadInterval and replicaReadInterval are the minimum time between the starts of reads, so that
	// many small changes cost few calls. Both are well below the time within which a change must be in force.
	configReadInterval  = 150 * time.Millisecond
	replicaReadInterval = 800 * time.Millisecond
	// retryInterval is the time from the start of a failed read to the next one.
	retryInterval = 250 * time.Millisecond
	// outageAfter is how much longer than requested a read may take, or how long reads may fail, before
	// the log counts as having been unavailable. A store that is sixty times slower takes half of it.
	outageAfter = 500 * time.Millisecond
	// missingGrace is how long after the log's recovery a replica may stay missing if its entry disappeared
	// in the outage. A running replica writes its entry again within 2 s.
	missingGrace = 2200 * time.Millisecond
	// lateAfter is the time between two answers above which the newer one is logged as late. It is longer
	// than an interval and a read that gets no new records.
	lateAfter = replicaReadInterval + readWait + outageAfter
	// missingCheckInterval bounds a read's wait while replicas are missing, so that they are dropped in time.
	missingCheckInterval = 300 * time.Millisecond
)

// Log is the part of the log that a feed reads.
type Log interface {
	// Snapshot returns the newest record of each key of a topic. It applies its own timeouts.
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
	// Evacuation returns the zone that a record with the key evacuates; ok is false for other keys.
	Evacuation(key string) (zone string, ok bool)
}

// Targets receives the configuration, the list of replicas and the evacuated zones.
type Targets interface {
	Configure(conf *work.Config)
	Put(rep work.Replica)
	// MarkMissing marks a replica whose entry disappeared but may come back.
	MarkMissing(id string)
	Remove(id string)
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
	// newestVersion is the version of the configuration that the log returned last.
	newestVersion int64
	// confirmedAt is when the newest request was sent whose answer showed that conf is the newest
	// configuration, less the answer's age; nil before. It is stored after the answer's records are applied.
	confirmedAt atomic.Pointer[time.Time]
	// listLoaded is set once the list of replicas has been read.
	listLoaded atomic.Bool
	// listCheckedAt is the time as of which the list was last read or found unchanged; nil before.
	listCheckedAt atomic.Pointer[time.Time]
	// evacuated holds the evacuated availability zones. Only the goroutine that follows the settings uses
	// it, and replaces the map instead of changing it.
	evacuated map[string]bool
	// rejectedConfigs and rejectedEntries count the configurations and replica entries that did not decode.
	rejectedConfigs, rejectedEntries atomic.Int64
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

// Current returns the newest configuration and when it was last shown to be the newest.
func (f *Feed) Current() access.ConfigSnapshot {
	known := access.ConfigSnapshot{}
	if confirmedAt := f.confirmedAt.Load(); confirmedAt != nil {
		known.ConfirmedAt = *confirmedAt
	}
	known.Config = f.conf.Load() // loaded after confirmedAt, so that it is no older than that
	return known
}

// ConfigAge returns the time since the configuration was last shown to be the newest; zero if it never was.
func (f *Feed) ConfigAge() time.Duration {
	return age(f.confirmedAt.Load())
}

// RejectedConfigs returns the number of configurations that did not decode.
func (f *Feed) RejectedConfigs() int64 {
	return f.rejectedConfigs.Load()
}

// RejectedEntries returns the number of replica entries that did not decode.
func (f *Feed) RejectedEntries() int64 {
	return f.rejectedEntries.Load()
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

// ListAge returns the time since the list of replicas was last read or found unchanged; zero if it never
// was. It bounds how long a replica's departure may have gone unnoticed.
func (f *Feed) ListAge() time.Duration {
	return age(f.listCheckedAt.Load())
}

// Start implements kernel.Service.
func (f *Feed) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	settingsFollower := &follower{
		feed: f, topic: work.Settings, interval: configReadInterval, wait: readWait,
		onRecord: f.applySetting, onSnapshot: f.applySettingsSnapshot, onAnswer: func(time.Time) {}, onConfirmed: f.confirmConfig,
	}
	replicas := &replicaList{feed: f, missing: map[string]time.Time{}, malformed: map[string]bool{}}
	replicaFollower := &follower{
		feed: f, topic: work.Replicas, interval: replicaReadInterval, wait: readWait,
		onRecord: replicas.onRecord, onSnapshot: replicas.onSnapshot, afterRead: replicas.expire, onAnswer: func(at time.Time) { f.listCheckedAt.Store(&at) },
		onConfirmed: func(time.Time) {},
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

func (f *Feed) applySetting(rec work.Record, _ time.Time) {
	if zone, ok := f.decoder.Evacuation(rec.Key); ok {
		f.setEvacuated(zone, len(rec.Value) > 0)
		return
	}
	if len(rec.Value) > 0 {
		f.applyConfig(rec)
	}
}

// applySettingsSnapshot ends the evacuation of each zone that none of the newest settings records names.
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

// applyConfig puts a configuration in force if it is newer than the current one.
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
	f.newestVersion = conf.Version
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

// confirmConfig records that conf was the newest at requestedAt, unless the answer's configuration was older.
func (f *Feed) confirmConfig(requestedAt time.Time) {
	if f.conf.Load() == nil || f.newestVersion < f.version() {
		return
	}
	f.confirmedAt.Store(&requestedAt)
}

// follower reads one topic continuously.
type follower struct {
	feed     *Feed
	topic    work.Topic
	interval time.Duration
	// onRecord is called with each record, and with the time until which a replica whose entry disappeared
	// may stay missing. That time has passed unless the log has just recovered.
	onRecord func(rec work.Record, until time.Time)
	// onSnapshot is called with all newest records, after onRecord was called with each of them.
	onSnapshot func(recs []work.Record, until time.Time)
	// afterRead is called after every read and returns the new value of wait; it may be nil.
	afterRead func() time.Duration
	// wait is how long the next read may wait for new records.
	wait time.Duration

	// next is the offset of the next record, negative if it is unknown.
	next int64
	// failingSince is when reads began to fail; zero while they succeed.
	failingSince time.Time
	// recoveredAt is when the log answered again after an outage.
	recoveredAt time.Time
	// lastAnswerAt is when the newest answer arrived.
	lastAnswerAt time.Time
	// onAnswer is called with the time at which the newest answer was accurate.
	onAnswer func(at time.Time)
	// onConfirmed is called with the time at which the known records were certainly complete: when the
	// request was sent whose answer has been applied, less the age of the answer. A read that waits for new
	// records confirms nothing about the time in which it waited.
	onConfirmed func(requestedAt time.Time)
}

// follow reads the topic until ctx ends.
func (f *follower) follow(ctx context.Context) {
	f.next = -1
	for ctx.Err() == nil {
		start := time.Now()
		pause := f.interval
		if err := f.readOnce(ctx, start); err != nil && ctx.Err() == nil {
			pause = retryInterval
			f.noteFailure(start)
			f.feed.logger.Debug("feed: cannot read the log", "topic", f.topic, "cause", err)
		}
		if f.afterRead != nil {
			f.wait = f.afterRead()
			pause = min(pause, f.wait)
		}
		select {
		case <-time.After(max(0, pause-time.Since(start))):
		case <-ctx.Done():
		}
	}
}

// noteFailure records that a read which began at start has failed.
func (f *follower) noteFailure(start time.Time) {
	if f.failingSince.IsZero() {
		f.failingSince = start
	}
}

// noteSuccess records an answer to a read that began at start and could wait for new records as long as
// wait. It returns the time until which replicas whose entries disappeared may stay missing.
func (f *follower) noteSuccess(start time.Time, wait time.Duration) time.Time {
	now := time.Now()
	f.noteAnswer(now)
	overdue := now.Sub(start) > wait+outageAfter
	if overdue {
		f.noteFailure(start)
	}
	if overdue || (!f.failingSince.IsZero() && now.Sub(f.failingSince) > outageAfter) {
		f.recoveredAt = now
		f.feed.logger.Info("feed: log available again", "topic", f.topic, "away", now.Sub(f.failingSince))
	}
	f.failingSince = time.Time{}
	return f.recoveredAt.Add(missingGrace)
}

// noteAnswer records when an answer arrived, and logs one that is late.
func (f *follower) noteAnswer(now time.Time) {
	if age := now.Sub(f.lastAnswerAt); !f.lastAnswerAt.IsZero() && age > lateAfter {
		f.feed.logger.Info("feed: log answered late", "topic", f.topic, "age", age)
	}
	f.lastAnswerAt = now
}

// readOnce reads the next records, or each key's newest if the next offset is unknown or no longer kept.
func (f *follower) readOnce(ctx context.Context, start time.Time) error {
	if f.next < 0 {
		return f.reload(ctx, start)
	}
	wait := f.wait
	if !f.failingSince.IsZero() {
		wait = 0 // notice the log's recovery at once
	}
	page, err := f.read(ctx, wait)
	if fault.Is(err, fault.HistoryGone) {
		f.feed.logger.Info("feed: log history dropped, reading the newest records", "topic", f.topic)
		f.next = -1
		f.noteSuccess(start, wait) // this is an answer, perhaps the first after an outage
		return f.reload(ctx, time.Now())
	}
	if err != nil {
		return err
	}
	until := f.noteSuccess(start, wait)
	f.next = page.Next
	for _, rec := range page.Records {
		f.onRecord(rec, until)
	}
	if !page.Behind() {
		f.reportFreshness(start, page.Age)
	}
	return nil
}

func (f *follower) read(ctx context.Context, wait time.Duration) (work.Page, error) {
	ctx, stop := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	defer stop()
	return f.feed.log.Read(ctx, f.topic, f.next, wait)
}

// reload reads the newest record of each key.
func (f *follower) reload(ctx context.Context, start time.Time) error {
	snapshot, err := f.feed.log.Snapshot(ctx, f.topic)
	if err != nil {
		return err
	}
	until := f.noteSuccess(start, 0)
	f.next = snapshot.Next
	for _, rec := range snapshot.Records {
		f.onRecord(rec, until)
	}
	f.onSnapshot(snapshot.Records, until)
	f.reportFreshness(start, snapshot.Age)
	return nil
}

// reportFreshness reports that the answer to a request sent at start, age old on arrival, has been applied.
func (f *follower) reportFreshness(start time.Time, age time.Duration) {
	f.onAnswer(time.Now().Add(-age))
	f.onConfirmed(start.Add(-age))
}

// replicaList applies the list of replicas to the targets. A replica whose entry disappears in a log
// outage is kept as missing for a while, since its entry may come back.
type replicaList struct {
	feed *Feed

	mu sync.Mutex
	// missing maps the IDs of replicas whose entries disappeared to the time at which they are dropped.
	missing map[string]time.Time
	// malformed holds the keys of entries that did not decode and were logged.
	malformed map[string]bool
}

// maxMalformed bounds the malformed entries that are remembered.
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

// reject handles an entry that does not decode, such as one from another writer. It drops the replica that
// was listed under the key. A repeated entry is not logged again.
func (l *replicaList) reject(id string, cause error) {
	l.mu.Lock()
	delete(l.missing, id)
	logged := l.malformed[id]
	if len(l.malformed) < maxMalformed {
		l.malformed[id] = true
	}
	l.mu.Unlock()
	l.feed.targets.Remove(id)
	l.feed.rejectedEntries.Add(1)
	if !logged {
		l.feed.logger.Warn("feed: invalid replica entry", "replica", id, "cause", cause)
	}
}

// remove drops a replica, or marks it as missing if its entry may come back until the given time.
func (l *replicaList) remove(id string, until time.Time) {
	if !time.Now().Before(until) {
		l.feed.targets.Remove(id)
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

// onSnapshot removes the replicas that are not among the newest records.
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
			l.feed.targets.Remove(id)
			continue
		}
		wait = min(wait, missingCheckInterval, until.Sub(now))
	}
	return wait
}
