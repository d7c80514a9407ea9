package crash

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// fakeNet holds the result of a check of each address; Alive for those that it lacks.
type fakeNet map[netip.AddrPort]Contact

func (n fakeNet) Probe(ctx context.Context, rep work.Replica) Contact {
	return answerProbe(ctx, n[rep.Addr])
}

// answerProbe returns the result after the time that it takes.
func answerProbe(ctx context.Context, result Contact) Contact {
	if result == Silent {
		<-ctx.Done()
	}
	return result
}

// switchedNet is a network in which the result of all checks changes.
type switchedNet struct {
	mu     sync.Mutex
	result Contact
}

func (n *switchedNet) Probe(ctx context.Context, _ work.Replica) Contact {
	n.mu.Lock()
	result := n.result
	n.mu.Unlock()
	return answerProbe(ctx, result)
}

func (n *switchedNet) set(result Contact) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.result = result
}

// refusesFrom refuses connections from a time on.
type refusesFrom time.Time

func (r refusesFrom) Probe(context.Context, work.Replica) Contact {
	if time.Now().Before(time.Time(r)) {
		return Alive
	}
	return Refused
}

// noCounts records no metrics.
type noCounts struct{}

func (noCounts) Count(string, int64) {}
func (noCounts) Gauge(string, int64) {}

func newTracker(net Prober) *Tracker {
	return New(net, noCounts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func replica(n int) work.Replica {
	return work.Replica{ID: fmt.Sprintf("r%d", n), Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+n))}
}

// begin begins an attempt of the request at the replica, once it is not deferred any more.
func begin(t *testing.T, tracker *Tracker, req work.Fingerprint, rep work.Replica) *Attempt {
	t.Helper()
	a, err := beginAgain(tracker, req)
	if err != nil {
		t.Fatal(err)
	}
	a.Place(rep)
	return a
}

// beginAgain begins an attempt of the request. If it is deferred, it comes again after the delay that it is told.
func beginAgain(tracker *Tracker, req work.Fingerprint) (*Attempt, error) {
	a, err := tracker.Begin(req)
	if err == nil || fault.From(err).RetryAfter == 0 {
		return a, err
	}
	time.Sleep(fault.From(err).RetryAfter)
	return tracker.Begin(req)
}

// crashUnder makes the replica crash under the requests.
func crashUnder(t *testing.T, tracker *Tracker, net fakeNet, rep work.Replica, reqs ...work.Fingerprint) {
	t.Helper()
	var attempts []*Attempt
	for _, req := range reqs {
		attempts = append(attempts, begin(t, tracker, req, rep))
	}
	net[rep.Addr] = Refused
	for _, a := range attempts {
		a.End(Broken, true)
	}
	synctest.Wait()
}

// crashes returns the number of replicas that count as crashed under the request.
func crashes(tracker *Tracker, req work.Fingerprint) int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.history.count(time.Now(), req)
}

// TestSignsOfCrash checks what shows that a replica crashed under an attempt: what breaks an answer without the end of
// its replica must not count against the request.
func TestSignsOfCrash(t *testing.T) {
	rep := replica(1)
	started := func(after time.Duration) work.Replica {
		again := rep
		again.StartedAt = time.Now().Add(after)
		return again
	}
	reused := rep
	reused.ID = "other"
	cases := []struct {
		name string
		net  Contact
		// how ended the attempt, of a listed replica unless unlisted is set; then follows what happens later.
		how      Ending
		unlisted bool
		then     func(tracker *Tracker)
		want     int
	}{
		{"crash", Refused, Broken, false, nil, 1},
		{"broken connection", Alive, Broken, false, nil, 0},
		{"broken connection, later a planned stop without notice", Alive, Broken, false, func(tr *Tracker) { tr.ReplicaUnlisted(rep) }, 0},
		{"broken connection, restarted much later", Alive, Broken, false, func(tr *Tracker) { time.Sleep(2 * lingerTime); tr.ReplicaRestarted(rep, time.Now()) }, 0},
		{"broken connection, another process answers", Replaced, Broken, false, nil, 1},
		{"lingers, restarted soon", Accepted, Broken, false, func(tr *Tracker) { time.Sleep(3 * time.Second); tr.ReplicaRestarted(rep, time.Now()) }, 1},
		{"lingers, restarted much later", Accepted, Broken, false, func(tr *Tracker) { time.Sleep(2 * lingerTime); tr.ReplicaRestarted(rep, time.Now()) }, 0},
		{"lingers, then answers", Accepted, Broken, false, func(tr *Tracker) { tr.prober.(*switchedNet).set(Alive); time.Sleep(2 * lingerTime) }, 0},
		{"lingers, then another process answers", Accepted, Broken, false, func(tr *Tracker) { tr.prober.(*switchedNet).set(Replaced); time.Sleep(2 * lingerTime) }, 1},
		{"late answer, restarted soon after its timeout", Alive, Unanswered, false, func(tr *Tracker) { time.Sleep(3 * time.Second); tr.ReplicaRestarted(rep, time.Now()) }, 1},
		{"late answer, then a planned stop without notice", Alive, Unanswered, false, func(tr *Tracker) { tr.ReplicaUnlisted(rep) }, 0},
		{"crash and restart at once", Alive, Broken, false, func(tr *Tracker) { tr.ReplicaRestarted(rep, started(0).StartedAt) }, 1},
		{"restart known when the attempt ends", Alive, Restarted, false, nil, 1},
		{"silence, then the address is reused", Silent, Broken, false, func(tr *Tracker) { time.Sleep(time.Second); tr.ReplicaListed(reused) }, 1},
		{"broken connection, the address is reused later", Alive, Broken, false, func(tr *Tracker) { time.Sleep(2 * time.Second); tr.ReplicaListed(reused) }, 0},
		{"broken connection, later a crash", Alive, Broken, false, func(tr *Tracker) {
			time.Sleep(time.Second)
			refuse(tr)
			tr.ReplicaUnlisted(rep)
		}, 0},
		{"lingers, the address is reused soon", Accepted, Broken, false, func(tr *Tracker) { time.Sleep(2 * time.Second); tr.ReplicaListed(reused) }, 1},
		{"lingers, the address is reused later", Accepted, Broken, false, func(tr *Tracker) { time.Sleep(2 * lingerTime); tr.ReplicaListed(reused) }, 0},
		{"lingers, then the entry goes", Accepted, Broken, false, func(tr *Tracker) {
			time.Sleep(time.Second)
			refuse(tr)
			tr.ReplicaUnlisted(rep)
		}, 1},
		{"lingers, then refuses while listed", Accepted, Broken, false, func(tr *Tracker) {
			time.Sleep(lingerTime)
			refuse(tr)
			time.Sleep(time.Second)
		}, 1},
		{"lingers, later the entry goes", Accepted, Broken, false, func(tr *Tracker) {
			time.Sleep(2 * lingerTime)
			refuse(tr)
			tr.ReplicaUnlisted(rep)
		}, 0},
		{"silence", Silent, Broken, false, nil, 0},
		{"silence, then the entry goes", Silent, Broken, false, func(tr *Tracker) { time.Sleep(time.Second); tr.ReplicaUnlisted(rep) }, 1},
		{"silence, the entry goes during the check", Silent, Broken, false, func(tr *Tracker) { tr.ReplicaUnlisted(rep) }, 1},
		{"silence, then restarted", Silent, Broken, false, func(tr *Tracker) { time.Sleep(5 * time.Second); tr.ReplicaRestarted(rep, time.Now()) }, 1},
		{"caller left a silent replica, then the entry goes", Silent, Unknown, false, func(tr *Tracker) { tr.ReplicaUnlisted(rep) }, 1},
		{"caller left, a planned stop without notice", Alive, Unknown, false, func(tr *Tracker) { tr.ReplicaUnlisted(rep) }, 0},
		{"caller left, the entry goes much later", Silent, Unknown, false, func(tr *Tracker) { time.Sleep(undecidedTTL + time.Second); tr.ReplicaUnlisted(rep) }, 0},
		{"silence after the entry has gone", Silent, Unknown, true, nil, 1},
		{"planned stop cuts the answer", Refused, Broken, true, nil, 0},
		{"cut network, the entry comes back", Silent, Broken, false, func(tr *Tracker) {
			time.Sleep(time.Second)
			tr.ReplicaUnlisted(rep)
			time.Sleep(time.Second)
			tr.ReplicaListed(rep)
		}, 0},
		{"not run", Refused, NotRun, false, nil, 0},
		{"answered", Refused, Completed, false, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker(&switchedNet{result: c.net})
				begin(t, tracker, "a", rep).End(c.how, !c.unlisted)
				if c.then != nil {
					c.then(tracker)
				}
				time.Sleep(checkTimeout)
				synctest.Wait()
				if diff := cmp.Diff(c.want, crashes(tracker, "a")); diff != "" {
					t.Errorf("crashes (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// refuse makes all replicas of a tracker with a switchedNet refuse connections.
func refuse(tracker *Tracker) {
	tracker.prober.(*switchedNet).set(Refused)
}

// TestRequestIsRefusedAfterThreeCrashes checks that a request is refused at once, as not run and without an invitation to
// come back, after the third crash and not before, until the crashes lapse.
func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		for n := range maxCrashes {
			if err := tracker.Check("a"); err != nil {
				t.Fatalf("refused after %d crashes: %v", n, err)
			}
			crashUnder(t, tracker, net, replica(n), "a")
		}
		_, err := tracker.Begin("a")
		if f := fault.From(err); !fault.Is(err, fault.RequestBlocked) || !f.NotRun || f.RetryAfter != 0 {
			t.Errorf("fault %+v, want an immediate and final refusal", f)
		}
		if err := tracker.Check("b"); err != nil {
			t.Errorf("another request is refused: %v", err)
		}
		time.Sleep(retention)
		if err := tracker.Check("a"); err != nil {
			t.Errorf("refused after %v: %v", retention, err)
		}
	})
}

// TestNextAttemptWaitsForCheck checks that an attempt which follows a broken answer at once is not sent before it is known
// whether the replica crashed.
func TestNextAttemptWaitsForCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		crashUnder(t, tracker, net, replica(0), "a")
		crashUnder(t, tracker, net, replica(1), "a")
		last := begin(t, tracker, "a", replica(2))
		net[replica(2).Addr] = Refused
		last.End(Broken, true)
		if err := tracker.Check("a"); !fault.Is(err, fault.RequestBlocked) {
			t.Errorf("sent during the check: %v", err)
		}
	})
}

// TestCrashAfterAttemptWasGivenUp guards against a crash that goes unnoticed since the box stopped waiting for the answer
// just before, for example as it lost the slot of the turn: the caller must not learn of that before it is known.
func TestCrashAfterAttemptWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(nil, noCounts{}, slog.New(slog.DiscardHandler))
		for n := range maxCrashes {
			tracker.prober = refusesFrom(time.Now().Add(givenUpDelay / 2))
			begin(t, tracker, "a", replica(n)).End(GivenUp, true)
			tracker.Await("a")
		}
		if err := tracker.Check("a"); !fault.Is(err, fault.RequestBlocked) {
			t.Errorf("not refused: %v", err)
		}
	})
}

// TestAttemptsInProgressCount checks that no more attempts of a request are in progress at a time than replicas may still
// crash under it. Without a crash, their number is not limited.
func TestAttemptsInProgressCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		var all []*Attempt
		for n := range 10 {
			all = append(all, begin(t, tracker, "a", replica(n)))
		}
		net[replica(0).Addr] = Refused
		all[0].End(Broken, true)
		synctest.Wait()
		_, err := tracker.Begin("a")
		if f := fault.From(err); !fault.Is(err, fault.Overloaded) || !f.NotRun || f.RetryAfter == 0 {
			t.Errorf("fault %+v, want a refusal with a delay", f)
		}
		for _, a := range all[1:9] {
			a.End(Unknown, true)
		}
		begin(t, tracker, "a", replica(10)).End(NotRun, true)
		all[9].End(Completed, true)
		for range 10 {
			begin(t, tracker, "a", replica(10))
		}
	})
}

// TestBystandersAreServed checks that requests which were in progress on a crashed replica together with the cause are
// not refused: they go to other replicas than the cause, and an answer clears them.
func TestBystandersAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		crashUnder(t, tracker, net, replica(0), "cause", "bystander", "another")
		begin(t, tracker, "cause", replica(1))
		next, err := tracker.Begin("bystander")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"r0", "r1"}, next.Avoid()); diff != "" {
			t.Errorf("replicas to avoid (-want +got):\n%s", diff)
		}
		next.Place(replica(2))
		next.End(Completed, true)
		if diff := cmp.Diff(map[string]int{"cause": 1, "bystander": 0, "another": 1}, map[string]int{
			"cause": crashes(tracker, "cause"), "bystander": crashes(tracker, "bystander"), "another": crashes(tracker, "another"),
		}); diff != "" {
			t.Errorf("crashes by request (-want +got):\n%s", diff)
		}
		tracker.Merge(Report{Replica: replica(0).RunID(), Requests: []work.Fingerprint{"bystander"}})
		if n := crashes(tracker, "bystander"); n != 0 {
			t.Errorf("a late report of a crash before the answer counts")
		}
		unrelated := begin(t, tracker, "unrelated", replica(1))
		if ids := unrelated.Avoid(); ids != nil {
			t.Errorf("a request without crashes avoids %v", ids)
		}
	})
}

// TestAnsweredBeforeCrash checks that a request whose answer did not show its end, or whose caller left, is not taken for the
// cause of a crash if the replica has answered other requests after it.
func TestAnsweredBeforeCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{replica(0).Addr: Refused}
		tracker := newTracker(net)
		begin(t, tracker, "unframed", replica(0)).End(Unframed, true)
		begin(t, tracker, "left", replica(0)).End(Unknown, true)
		time.Sleep(100 * time.Millisecond)
		begin(t, tracker, "answered", replica(0)).End(Unframed, true)
		begin(t, tracker, "left at last", replica(0)).End(Unknown, true)
		time.Sleep(3 * time.Second)
		tracker.ReplicaUnlisted(replica(0))
		synctest.Wait()
		if diff := cmp.Diff(map[string]int{"unframed": 0, "left": 0, "answered": 0, "left at last": 1}, map[string]int{
			"unframed": crashes(tracker, "unframed"), "left": crashes(tracker, "left"),
			"answered": crashes(tracker, "answered"), "left at last": crashes(tracker, "left at last"),
		}); diff != "" {
			t.Errorf("crashes by request (-want +got):\n%s", diff)
		}
	})
}

// TestUnframedAnswerIsCheckedWhenRequestComesAgain checks that a crash counts although it cut off an answer whose end does
// not show it, once the caller sends the request again, and that whole answers of that kind do not count.
func TestUnframedAnswerIsCheckedWhenRequestComesAgain(t *testing.T) {
	for _, crashed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			net := fakeNet{}
			tracker := newTracker(net)
			sent := 0
			for n := range 2 * maxCrashes {
				a, err := beginAgain(tracker, "a")
				if err != nil {
					break
				}
				sent++
				a.Place(replica(n))
				if crashed {
					net[replica(n).Addr] = Refused
				}
				a.End(Unframed, true)
				time.Sleep(time.Second)
			}
			want := 2 * maxCrashes
			if crashed {
				want = maxCrashes
			}
			if diff := cmp.Diff(want, sent); diff != "" {
				t.Errorf("crashed %t: attempts sent (-want +got):\n%s", crashed, diff)
			}
		})
	}
}

// TestPlannedEndAfterUnframedAnswerIsNoCrash guards against a replica that stopped as planned and is taken for a crashed one, since a
// request that it had answered unframed came again after its end. Crashes of other replicas at that time were then not blamed on
// the request under which they crashed. One that is gone when its entry goes has crashed.
func TestPlannedEndAfterUnframedAnswerIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		goneFirst bool
		want      int
	}{"removed, then gone": {false, 0}, "gone, then removed": {true, 1}} {
		synctest.Test(t, func(t *testing.T) {
			net := fakeNet{}
			tracker := newTracker(net)
			listed := listedReplicas{replica(0), replica(1)}
			tracker.SetReplicas(&listed)
			begin(t, tracker, "a", replica(0)).End(Unframed, true)
			time.Sleep(time.Second)
			if c.goneFirst {
				net[replica(0).Addr] = Refused
			}
			listed = listedReplicas{replica(1)}
			tracker.ReplicaUnlisted(replica(0))
			synctest.Wait() // the check has ended
			time.Sleep(time.Second)
			net[replica(0).Addr] = Refused
			begin(t, tracker, "a", replica(1)).End(Completed, true)
			synctest.Wait()
			tracker.mu.Lock()
			defer tracker.mu.Unlock()
			if diff := cmp.Diff(c.want, len(tracker.crashed)); diff != "" {
				t.Errorf("%s: replicas that crashed (-want +got):\n%s", name, diff)
			}
		})
	}
}

// TestAnswerClearsRequestAtOtherBoxes guards against the refusal of a request that many callers send, such as a GET of one
// path, after several replicas on which it ran have crashed at once, for example those of a rack, and checks that one
// answer clears it, also at boxes that had no attempt of it in progress.
func TestAnswerClearsRequestAtOtherBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		busy, idle := newTracker(net), newTracker(net)
		busy.OnCrash(idle.Merge)
		var lost []*Attempt
		for n := range 2 * maxCrashes {
			lost = append(lost, begin(t, busy, "a", replica(n)))
			net[replica(n).Addr] = Refused
		}
		answered := begin(t, busy, "a", replica(2*maxCrashes))
		for _, a := range lost {
			a.End(Broken, true)
		}
		synctest.Wait()
		for name, tracker := range map[string]*Tracker{"busy": busy, "idle": idle} {
			if diff := cmp.Diff(2*maxCrashes, crashes(tracker, "a")); diff != "" {
				t.Errorf("%s: crashes (-want +got):\n%s", name, diff)
			}
			if err := tracker.Check("a"); err != nil {
				t.Errorf("%s: refused after crashes at the same time: %v", name, err)
			}
		}
		answered.End(Completed, true)
		synctest.Wait()
		for name, tracker := range map[string]*Tracker{"busy": busy, "idle": idle} {
			if err := tracker.Check("a"); err != nil {
				t.Errorf("%s: refused although it was answered: %v", name, err)
			}
			if n := crashes(tracker, "a"); n != 0 {
				t.Errorf("%s: %d crashes although it was answered", name, n)
			}
		}
	})
}

// TestTwoCrashesByChance checks that a request which met two crashes is sent a third time, and served from then on.
func TestTwoCrashesByChance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		crashUnder(t, tracker, net, replica(0), "a")
		crashUnder(t, tracker, net, replica(1), "a")
		begin(t, tracker, "a", replica(2)).End(Completed, true)
		crashUnder(t, tracker, net, replica(3), "a")
		if err := tracker.Check("a"); err != nil {
			t.Errorf("refused although it was answered: %v", err)
		}
	})
}

// TestReportsReachOtherBoxes checks that boxes which learn of crashes only from others refuse the request too, that
// the same crash counts once however often and by whom it is reported, and that a box which starts later learns of it.
func TestReportsReachOtherBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		finder, other, late := newTracker(net), newTracker(net), newTracker(net)
		finder.OnCrash(func(report Report) { other.Merge(report); other.Merge(report) })
		for n := range maxCrashes {
			crashUnder(t, finder, net, replica(n), "a", "b")
			if n < maxCrashes-1 {
				crashUnder(t, other, net, replica(n), "a")
			}
		}
		time.Sleep(time.Minute)
		for _, report := range other.Recent() {
			late.Merge(report)
		}
		for name, tracker := range map[string]*Tracker{"finder": finder, "other": other, "late": late} {
			if diff := cmp.Diff(maxCrashes, crashes(tracker, "a")); diff != "" {
				t.Errorf("crashes at %s (-want +got):\n%s", name, diff)
			}
			if err := tracker.Check("a"); !fault.Is(err, fault.RequestBlocked) {
				t.Errorf("%s: not refused: %v", name, err)
			}
		}
		time.Sleep(retention)
		late.Merge(Report{Replica: "r9", AgeMillis: retention.Milliseconds(), Requests: []work.Fingerprint{"a"}})
		if n := crashes(late, "a"); n != 0 {
			t.Errorf("%d crashes after %v: reports renewed them", n, retention)
		}
	})
}

// TestReplicaThatAnswersHasNotCrashed checks that a replica which refused a connection, for example since it had too many,
// does not count as crashed once it has run a later attempt.
func TestReplicaThatAnswersHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		crashUnder(t, tracker, net, replica(0), "a")
		time.Sleep(time.Second)
		begin(t, tracker, "b", replica(0)).End(Completed, true)
		if n := crashes(tracker, "a"); n != 0 {
			t.Errorf("%d crashes of a replica that lives", n)
		}
	})
}

// TestFloodOfCrashes checks that memory is bounded however many requests replicas crash under, and that the requests
// under which several have crashed are kept.
func TestFloodOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(fakeNet{})
		for n := range maxCrashes {
			tracker.Merge(Report{Replica: replica(n).ID, Trial: uint64(n), Requests: []work.Fingerprint{"a"}})
		}
		tracker.Merge(Report{Replica: replica(0).ID, BlockedMillis: retention.Milliseconds(), Blocks: 1, Requests: []work.Fingerprint{"a"}})
		time.Sleep(2 * reviewWindow)
		for n := range 2 * maxRecords {
			tracker.Merge(Report{Replica: "r", Requests: []work.Fingerprint{work.Fingerprint(fmt.Sprint(n))}})
			tracker.Merge(Report{Replica: fmt.Sprint(n), Requests: []work.Fingerprint{"b"}})
			a := begin(t, tracker, work.Fingerprint(fmt.Sprint(n)), replica(n%50_000))
			a.End(Unknown, true)
		}
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		if records, ends := len(tracker.history.records), len(tracker.history.records["b"].ends); records > maxRecords || ends > maxEnds {
			t.Errorf("%d requests are remembered, and %d replicas for one", records, ends)
		}
		if len(tracker.undecided) > maxUndecided || len(tracker.attempts) > 0 || len(tracker.inFlight) > 0 {
			t.Errorf("%d undecided, %d attempts, %d requests in flight", len(tracker.undecided), len(tracker.attempts), len(tracker.inFlight))
		}
		if err := tracker.checkLocked(time.Now(), "a"); !fault.Is(err, fault.RequestBlocked) {
			t.Errorf("the flood evicted a request that is refused: %v", err)
		}
	})
}

// TestSilentReplicasDeferRequest checks that a request under which replicas fell silent is not sent to further ones before
// it is known whether they crashed, at each box, and that it is served again if they had not. Entries disappear only
// seconds after their replicas, and callers come again before that.
func TestSilentReplicasDeferRequest(t *testing.T) {
	for name, crashed := range map[string]bool{"crashed": true, "cut off": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := fakeNet{}
				finder, other := newTracker(net), newTracker(net)
				finder.OnCrash(other.Merge)
				for n := range maxCrashes {
					a := begin(t, finder, "a", replica(n))
					net[replica(n).Addr] = Silent
					a.End(Broken, true)
					finder.Await("a")
				}
				for name, tracker := range map[string]*Tracker{"finder": finder, "other": other} {
					_, err := tracker.Begin("a")
					if f := fault.From(err); !fault.Is(err, fault.Overloaded) || !f.NotRun || f.RetryAfter == 0 {
						t.Errorf("%s: fault %+v, want a refusal with a delay", name, f)
					}
				}
				if crashed {
					for n := range maxCrashes {
						finder.ReplicaUnlisted(replica(n))
					}
				}
				time.Sleep(suspectTTL)
				for name, tracker := range map[string]*Tracker{"finder": finder, "other": other} {
					if blocked := fault.Is(tracker.Check("a"), fault.RequestBlocked); blocked != crashed {
						t.Errorf("%s: refused for good: %t", name, blocked)
					}
					if a, err := tracker.Begin("a"); err == nil {
						a.End(NotRun, true)
					} else if !crashed {
						t.Errorf("%s: still refused: %v", name, err)
					}
				}
			})
		})
	}
}
