package crash

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// busyRetryDelay is the Retry-After delay while other attempts of a request are in progress that may show whether
	// the request makes replicas crash.
	busyRetryDelay = 150 * time.Millisecond
)

// The metrics of crashes.
const (
	// FoundMetric counts crashes that this box found, checkMetric the connections opened to find them.
	FoundMetric = "crash.found"
	checkMetric = "crash.checks"
	// BlockedMetric counts requests that are refused from then on, refusedMetric their refused attempts, and deferredMetric
	// attempts that were asked to come again since it was not known yet whether replicas crashed.
	BlockedMetric  = "crash.blocked"
	refusedMetric  = "crash.refused"
	deferredMetric = "crash.deferred"
	// notBlockedMetric counts the times that a request was not refused since other replicas were down too.
	notBlockedMetric = "crash.not_blocked"
	// recordsMetric is the number of requests under which replicas crashed that are remembered.
	recordsMetric = "crash.records"
)

// Prober checks replicas.
type Prober interface {
	// Probe finds out whether the replica still runs, by a request that it does not run as a call.
	Probe(ctx context.Context, rep work.Replica) Contact
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
	Gauge(name string, v int64)
}

// Tracker tracks attempts, the replicas that crash under them, and the requests that are refused for it. Its methods may
// be called concurrently; those whose names end in Locked need mu.
type Tracker struct {
	prober Prober
	counts Counts
	log    *slog.Logger
	// onCrash is called with what this box found, without locks.
	onCrash func(Report)
	arbiter Arbiter
	// replicas may be nil.
	replicas Replicas

	mu      sync.Mutex
	history history
	// answers holds the requests that were answered lately.
	answers answers
	// recentBlocks holds requests that were blocked lately.
	recentBlocks map[work.Fingerprint]bool
	// unsent holds the reports to pass to onCrash once mu is unlocked.
	unsent []Report
	// attempts holds the attempts in progress, and inFlight their number by request.
	attempts map[*Attempt]bool
	inFlight map[work.Fingerprint]int
	// trials holds the requests with a trial in progress at this box, changes the channels to close once an attempt of a
	// request has ended, and grants the trials that this box arbitrates.
	trials  map[work.Fingerprint]bool
	changes map[work.Fingerprint]chan struct{}
	grants  map[work.Fingerprint]grant
	// checks holds the newest check of each replica, by work.Replica.RunID, and checking the latest unfinished check
	// that concerns a request.
	checks   map[string]*check
	checking map[work.Fingerprint]*check
	// undecided holds the attempts that got no complete answer although their replicas may not have crashed, and rechecks
	// the timers of the replicas that will be checked again, by RunID. stopped is set once there are no further ones.
	undecided map[string]undecidedAt
	rechecks  map[string]*time.Timer
	stopped   bool
	// crashed holds the replicas that crashed recently, by RunID.
	crashed map[string]crashedReplica
	// unframed holds the replicas of the latest unframed answers, by request.
	unframed map[work.Fingerprint]unframedAnswer
}

// New returns a tracker that knows of no crashes. Without attempts of requests with fingerprints, it uses none of its
// dependencies.
func New(prober Prober, counts Counts, log *slog.Logger) *Tracker {
	return &Tracker{
		prober: prober, counts: counts, log: log, onCrash: func(Report) {}, arbiter: noArbiter{},
		history: history{records: map[work.Fingerprint]*record{}}, attempts: map[*Attempt]bool{}, inFlight: map[work.Fingerprint]int{},
		trials: map[work.Fingerprint]bool{}, changes: map[work.Fingerprint]chan struct{}{}, grants: map[work.Fingerprint]grant{},
		checks: map[string]*check{}, checking: map[work.Fingerprint]*check{}, undecided: map[string]undecidedAt{}, rechecks: map[string]*time.Timer{},
		recentBlocks: map[work.Fingerprint]bool{}, crashed: map[string]crashedReplica{}, unframed: map[work.Fingerprint]unframedAnswer{},
	}
}

// Start implements kernel.Service.
func (t *Tracker) Start(context.Context) error { return nil }

// Stop implements kernel.Service. Replicas are not checked again after it.
func (t *Tracker) Stop(context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, timer := range t.rechecks {
		timer.Stop()
	}
	return nil
}

// OnCrash registers do, which is called with crashes that this box found or suspects, to tell the other boxes. It must be
// called before the first attempt.
func (t *Tracker) OnCrash(do func(Report)) {
	t.onCrash = do
}

// unlock unlocks mu and passes the reports of what was found to onCrash.
func (t *Tracker) unlock() {
	reports := t.unsent
	t.unsent = nil
	t.mu.Unlock()
	if len(reports) > 0 {
		go t.send(reports)
	}
}

func (t *Tracker) send(reports []Report) {
	for _, report := range reports {
		t.onCrash(report)
	}
}

// Check returns a fault if the request is refused since too many replicas have crashed under it. It waits for checks of
// replicas at which the request was in progress.
func (t *Tracker) Check(req work.Fingerprint) error {
	if req == "" {
		return nil
	}
	t.checkUnframed(req)
	t.Await(req)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkLocked(time.Now(), req)
}

func (t *Tracker) checkLocked(now time.Time, req work.Fingerprint) error {
	rec := t.history.get(now, req)
	if rec == nil || !now.Before(rec.blockedUntil) {
		return nil
	}
	t.counts.Count(refusedMetric, 1)
	return fault.Refuse(fault.RequestBlocked, "replicas crashed under earlier attempts of this request")
}

// Begin begins an attempt of the request, unless that is refused. After an attempt that failed, the next ones are trials,
// one at a time over all boxes, until one of them is answered. An attempt of a request without a fingerprint is not tracked.
func (t *Tracker) Begin(req work.Fingerprint) (*Attempt, error) {
	a := &Attempt{tracker: t, req: req}
	if req == "" {
		return a, nil
	}
	t.checkUnframed(req)
	t.Await(req)
	t.awaitOthers(req)
	if err := t.register(a); err != nil {
		return nil, err
	}
	if a.trial == 0 {
		return a, nil
	}
	if err := t.beginTrial(a); err != nil {
		return nil, err
	}
	return a, nil
}

// register adds the attempt to those in progress, unless it is refused.
func (t *Tracker) register(a *Attempt) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.begunAt = time.Now()
	if err := t.admit(a.begunAt, a.req); err != nil {
		return err
	}
	if t.isBusy(a.begunAt, a.req) {
		return t.deferral(busyRetryDelay)
	}
	if t.history.get(a.begunAt, a.req) != nil {
		a.trial = newTrialID()
		t.trials[a.req] = true
	}
	t.attempts[a] = true
	t.inFlight[a.req]++
	return nil
}

// Attempt is one attempt to send a request to a replica. End must be called exactly once.
type Attempt struct {
	tracker *Tracker
	req     work.Fingerprint
	begunAt time.Time
	// trial identifies the attempt as a trial; zero if earlier attempts did not fail.
	trial uint64
	// claimed is set if the arbiter has granted the trial.
	claimed bool
	// replica is set by Place.
	replica work.Replica
}

// Place records the replica that the request is sent to.
func (a *Attempt) Place(rep work.Replica) {
	if a.req == "" {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.replica = rep
}

// Avoid returns the replicas, by work.Replica.RunID, to which the request should not be sent if there are others: those where
// earlier attempts failed, and those of other requests that were in progress on crashed replicas. Of these only one may be
// the cause, so their next attempts go to different replicas.
func (a *Attempt) Avoid() []string {
	if a.req == "" {
		return nil
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	rec := t.history.get(now, a.req)
	if rec == nil {
		return nil
	}
	var runs []string
	for _, failed := range rec.ends {
		if !failed.cleared {
			runs = append(runs, failed.replica)
		}
	}
	for other := range t.attempts {
		if other.req != a.req && other.replica.ID != "" && t.history.count(now, other.req) > 0 {
			runs = append(runs, other.replica.RunID())
		}
	}
	slices.Sort(runs)
	return runs
}

// Prefer returns the replicas, by work.Replica.RunID, to which the request should be sent if they can take it: those where
// other attempts of it are in progress, each as often as there are such attempts. Until it has been answered, as few replicas as possible should run it.
func (a *Attempt) Prefer() []string {
	if a.req == "" {
		return nil
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[a.req] < 2 || t.answers.has(time.Now(), a.req) {
		return nil
	}
	var runs []string
	for other := range t.attempts {
		if other != a && other.req == a.req && other.replica.ID != "" {
			runs = append(runs, other.replica.RunID())
		}
	}
	slices.Sort(runs)
	return runs
}

// Ending is how an attempt ended.
type Ending int

// The endings of attempts.
const (
	// NotRun means that the replica did not get or did not run the request, or that it was about to stop as planned.
	NotRun Ending = iota
	// Completed means that a whole answer arrived.
	Completed
	// Broken means that the replica broke the answer off, or the connection before it.
	Broken
	// Unanswered means that the answer did not arrive in time, or was not valid, although the connection did not break.
	Unanswered
	// Unframed means that an answer arrived whose end does not show whether it is complete.
	Unframed
	// GivenUp means that this box did not wait for the end of the answer, although its caller still does.
	GivenUp
	// Unknown means that nobody waited for the end of the answer.
	Unknown
	// Restarted means that the replica has restarted meanwhile, without having announced a stop.
	Restarted
)

// End ends the attempt. listed reports whether the replica was listed until then; one that no longer is may have stopped
// as planned.
func (a *Attempt) End(how Ending, listed bool) {
	if a.req == "" {
		return
	}
	t := a.tracker
	t.mu.Lock()
	defer t.unlock()
	delete(t.attempts, a)
	if t.inFlight[a.req]--; t.inFlight[a.req] == 0 {
		delete(t.inFlight, a.req)
	}
	now := time.Now()
	ended := undecided{req: a.req, at: now, trial: a.trial, broken: how == Broken}
	switch how {
	case NotRun:
	case Completed:
		t.clear(now, a.req)
		t.noteAlive(a)
	case Unframed:
		t.noteAlive(a)
		t.rememberUnframed(now, a)
	case Restarted:
		t.recordCrash(now, a.replica, false, shownByRestart, []undecided{ended})
	case Broken, Unanswered:
		t.check(now, a.replica, ended, listed)
	case GivenUp:
		t.startCheck(now, a.replica, onBreak, []undecided{ended}, givenUpDelay)
	case Unknown:
		if listed {
			t.await(now, a.replica, ended)
		} else {
			t.check(now, a.replica, ended, listed)
		}
	}
	t.endTrial(a)
	t.notifyWaiting(a.req)
}

// endTrial makes room for the next trial, at other boxes once these know what this one showed.
func (t *Tracker) endTrial(a *Attempt) {
	if a.trial == 0 {
		return
	}
	delete(t.trials, a.req)
	if !a.claimed {
		return
	}
	go func() {
		t.Await(a.req)
		t.arbiter.Release(a.req, a.trial)
	}()
}
