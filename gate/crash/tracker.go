package crash

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// busyRetryDelay is the Retry-After delay while other attempts of a request are in progress that may show whether
	// the request makes replicas crash.
	busyRetryDelay = 150 * time.Millisecond
	// suspectRetryDelay is that delay while replicas do not respond. Whether they have crashed is known once their entries
	// have gone, a few seconds after they fell silent.
	suspectRetryDelay = time.Second
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
	// recordsMetric is the number of requests under which replicas crashed that are remembered.
	recordsMetric = "crash.records"
)

// Connector opens connections to replicas.
type Connector interface {
	// Connect opens and closes a connection. Its error wraps syscall.ECONNREFUSED if the host refused it.
	Connect(ctx context.Context, addr netip.AddrPort) error
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
	Gauge(name string, v int64)
}

// Tracker tracks attempts, the replicas that crash under them, and the requests that are refused for it. Its methods may
// be called concurrently; those whose names end in Locked need mu.
type Tracker struct {
	connector Connector
	counts    Counts
	log       *slog.Logger
	// onCrash is called with what this box found, without locks.
	onCrash func(Report)

	mu      sync.Mutex
	history history
	// unsent holds the reports to pass to onCrash once mu is unlocked.
	unsent []Report
	// attempts holds the attempts in progress, and inFlight their number by request.
	attempts map[*Attempt]bool
	inFlight map[work.Fingerprint]int
	// checks holds the newest check of each replica, by work.Replica.RunID, and checking the latest unfinished check
	// that concerns a request.
	checks   map[string]*check
	checking map[work.Fingerprint]*check
	// undecided holds the attempts that got no complete answer although their replicas may not have crashed, by RunID.
	undecided map[string]undecidedAt
	// crashed holds the replicas that crashed recently, by RunID.
	crashed map[string]crashedReplica
	// unframed holds the replicas of the latest unframed answers, by request.
	unframed map[work.Fingerprint]unframedAnswer
	// suspected holds, by request, the replicas that do not respond since an attempt there broke off.
	suspected map[work.Fingerprint][]suspect
}

// New returns a tracker that knows of no crashes. Without attempts of requests with fingerprints, it uses none of its
// dependencies.
func New(connector Connector, counts Counts, log *slog.Logger) *Tracker {
	return &Tracker{
		connector: connector, counts: counts, log: log, onCrash: func(Report) {},
		history: history{records: map[work.Fingerprint]*record{}}, attempts: map[*Attempt]bool{}, inFlight: map[work.Fingerprint]int{},
		checks: map[string]*check{}, checking: map[work.Fingerprint]*check{}, undecided: map[string]undecidedAt{}, crashed: map[string]crashedReplica{},
		unframed: map[work.Fingerprint]unframedAnswer{}, suspected: map[work.Fingerprint][]suspect{},
	}
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
	if t.history.count(now, req) < maxCrashes {
		return nil
	}
	t.counts.Count(refusedMetric, 1)
	return fault.Refuse(fault.RequestBlocked, "replicas crashed under earlier attempts of this request")
}

// Begin begins an attempt of the request, unless that is refused. An attempt of a request without a fingerprint is not
// tracked.
func (t *Tracker) Begin(req work.Fingerprint) (*Attempt, error) {
	a := &Attempt{tracker: t, req: req}
	if req == "" {
		return a, nil
	}
	t.checkUnframed(req)
	t.Await(req)
	t.mu.Lock()
	defer t.mu.Unlock()
	a.begunAt = time.Now()
	if err := t.checkLocked(a.begunAt, req); err != nil {
		return nil, err
	}
	if err := t.deferLocked(a.begunAt, req); err != nil {
		return nil, err
	}
	t.attempts[a] = true
	t.inFlight[req]++
	return a, nil
}

// deferLocked returns a fault if the attempts in progress and the suspected replicas may turn out to be the crashes after
// which the request is refused.
func (t *Tracker) deferLocked(now time.Time, req work.Fingerprint) error {
	suspects := t.suspects(now, req)
	found := t.history.count(now, req) + suspects
	if found == 0 || found+t.inFlight[req] < maxCrashes {
		return nil
	}
	t.counts.Count(deferredMetric, 1)
	delay := busyRetryDelay
	if suspects > 0 {
		delay = suspectRetryDelay
	}
	return fault.Refuse(fault.Overloaded, "it is not known yet whether replicas crashed under the request").WithRetryAfter(delay)
}

// Attempt is one attempt to send a request to a replica. End must be called exactly once.
type Attempt struct {
	tracker *Tracker
	req     work.Fingerprint
	begunAt time.Time
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

// Avoid returns the IDs of replicas to which the request should not be sent if there are others. Of the requests that were
// in progress on a crashed replica only one may be the cause, so their next attempts go to different replicas.
func (a *Attempt) Avoid() []string {
	if a.req == "" {
		return nil
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.history.count(now, a.req) == 0 {
		return nil
	}
	var ids []string
	for other := range t.attempts {
		if other.req != a.req && other.replica.ID != "" && t.history.count(now, other.req) > 0 {
			ids = append(ids, other.replica.ID)
		}
	}
	return ids
}

// Ending is how an attempt ended.
type Ending int

// The endings of attempts.
const (
	// NotRun means that the replica did not get or did not run the request, or that it was about to stop as planned.
	NotRun Ending = iota
	// Completed means that a whole answer arrived.
	Completed
	// Broken means that the answer did not arrive or broke off, or that nothing arrived for long.
	Broken
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
	ended := undecided{req: a.req, at: now}
	switch how {
	case NotRun:
	case Completed:
		t.clear(now, a.req)
		t.noteAlive(a)
	case Unframed:
		t.noteAlive(a)
		t.rememberUnframed(now, a)
	case Restarted:
		t.recordCrash(now, a.replica.RunID(), false, shownByRestart, []undecided{ended})
	case Broken:
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
}
