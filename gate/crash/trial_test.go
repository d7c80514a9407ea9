package crash

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// listedReplicas is a fixed list of replicas.
type listedReplicas []work.Replica

func (l listedReplicas) Listed(string) []work.Replica { return slices.Clone(l) }

// arbiterBox is the arbiter as the box of that name sees it.
type arbiterBox struct {
	name    string
	tracker *Tracker
}

func (a arbiterBox) Claim(req work.Fingerprint, trial uint64) bool {
	return a.tracker.Grant(a.name, req, trial)
}

func (a arbiterBox) Release(req work.Fingerprint, trial uint64) {
	a.tracker.Ungrant(req, trial)
}

// newTrackers returns trackers of n boxes that report to each other. The first one arbitrates.
func newTrackers(net Prober, n int) []*Tracker {
	var all []*Tracker
	for range n {
		all = append(all, newTracker(net))
	}
	for i, tracker := range all {
		tracker.SetArbiter(arbiterBox{fmt.Sprint(i), all[0]})
		tracker.OnCrash(func(report Report) {
			for j, other := range all {
				if j != i {
					other.Merge(report)
				}
			}
		})
	}
	return all
}

// lockedNet is a fakeNet whose replicas may end while it is used.
type lockedNet struct {
	mu      sync.Mutex
	results fakeNet
}

func (n *lockedNet) set(rep work.Replica, result Contact) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[rep.Addr] = result
}

func (n *lockedNet) Probe(ctx context.Context, rep work.Replica) Contact {
	n.mu.Lock()
	result := n.results[rep.Addr]
	n.mu.Unlock()
	return answerProbe(ctx, result)
}

// TestTrialsRunOneAtATime guards against a request that ends a replica for each caller and box that sends it again at the
// same time after its first crash.
func TestTrialsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		boxes := newTrackers(net, 4)
		crashUnder(t, boxes[0], net, replica(0), "a")
		var mu sync.Mutex
		running, most := 0, 0
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				a, err := boxes[n%len(boxes)].Begin("a")
				if err != nil {
					if f := fault.From(err); !fault.Is(err, fault.Overloaded) || !f.NotRun || f.RetryAfter == 0 {
						t.Errorf("fault %+v, want a refusal with a delay", f)
					}
					return
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				a.Place(replica(n))
				time.Sleep(time.Second)
				mu.Lock()
				running--
				mu.Unlock()
				a.End(NotRun, true)
			})
		}
		all.Wait()
		if diff := cmp.Diff(1, most); diff != "" {
			t.Errorf("trials at a time (-want +got):\n%s", diff)
		}
	})
}

// TestAttemptsWaitForTrial checks that attempts of other callers wait for a trial that is answered soon, and are not refused.
func TestAttemptsWaitForTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		crashUnder(t, tracker, net, replica(0), "a")
		trial := begin(t, tracker, "a", replica(1))
		var all sync.WaitGroup
		for n := range 5 {
			all.Go(func() { begin(t, tracker, "a", replica(n)).End(Completed, true) })
		}
		time.Sleep(trialWait / 2)
		trial.End(Completed, true)
		all.Wait()
	})
}

// TestRequestIsNotBlockedWhileOthersAreDown guards against the refusal of a request whose trials met the crash of a
// whole service: replicas are down on which it was not in progress.
func TestRequestIsNotBlockedWhileOthersAreDown(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			net := fakeNet{}
			tracker := newTracker(net)
			tracker.SetReplicas(listedReplicas{replica(0), replica(1), replica(2), replica(3), replica(4)})
			if down {
				net[replica(4).Addr] = Refused
			}
			for n := range maxCrashes {
				crashUnder(t, tracker, net, replica(n), "a")
			}
			if blocked := fault.Is(tracker.Check("a"), fault.RequestBlocked); blocked == down {
				t.Errorf("others down: %t, refused: %t", down, blocked)
			}
			if _, err := tracker.Begin("a"); err == nil {
				t.Errorf("others down: %t, the next trial began at once", down)
			}
		})
	}
}

// TestBlockEndsIfAnotherReplicaCrashes guards against the refusal of a request whose trials met replicas that crashed one
// after the other for another reason, as the next one that crashes shows.
func TestBlockEndsIfAnotherReplicaCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		boxes := newTrackers(net, 2)
		for n := range maxCrashes {
			crashUnder(t, boxes[0], net, replica(n), "a", "b")
		}
		if err := boxes[1].Check("a"); !fault.Is(err, fault.RequestBlocked) {
			t.Errorf("not refused: %v", err)
		}
		time.Sleep(time.Second)
		for _, report := range boxes[0].Recent() {
			boxes[1].Merge(report)
		}
		crashUnder(t, boxes[0], net, replica(8), "c")
		for n, tracker := range boxes {
			if err := tracker.Check("a"); !fault.Is(err, fault.RequestBlocked) {
				t.Errorf("box %d: not refused after the crash of a replica that ran one other request: %v", n, err)
			}
		}
		time.Sleep(time.Second)
		crashUnder(t, boxes[0], net, replica(9), "d", "e")
		for n, tracker := range boxes {
			if err := tracker.Check("a"); err != nil {
				t.Errorf("box %d: still refused: %v", n, err)
			}
		}
	})
}

// TestCrashesBeforeAnAnswerDoNotCount guards against the refusal of a request after replicas crashed one after the other, the
// first of them before it was answered.
func TestCrashesBeforeAnAnswerDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		crashUnder(t, tracker, net, replica(0), "a")
		begin(t, tracker, "a", replica(9)).End(Completed, true)
		for n := range maxCrashes {
			crashUnder(t, tracker, net, replica(1+n), "a")
		}
		if err := tracker.Check("a"); err != nil {
			t.Errorf("refused: %v", err)
		}
	})
}

// TestRequestsThatCrashReplicasInTurn guards against a request that is not refused since replicas crashed shortly before it under
// another one, which is known to be the cause.
func TestRequestsThatCrashReplicasInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakeNet{}
		tracker := newTracker(net)
		var listed listedReplicas
		for n := range 10 * maxCrashes {
			listed = append(listed, replica(n))
		}
		tracker.SetReplicas(listed)
		for n := range 5 {
			req := work.Fingerprint(fmt.Sprint(n))
			for i := range maxCrashes {
				crashUnder(t, tracker, net, replica(n*maxCrashes+i), req)
			}
			if err := tracker.Check(req); !fault.Is(err, fault.RequestBlocked) {
				t.Errorf("request %d is not refused: %v", n, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestEndsInAnHour checks how many replicas one request ends in an hour at the most, if callers of several boxes send
// it all the time.
func TestEndsInAnHour(t *testing.T) {
	cases := []struct {
		name string
		// broken is what a replica's address does after it broke an answer off, and later what it does after linger.
		broken, later Contact
		linger        time.Duration
		// others is set if another replica is down all the time.
		others bool
		want   int
	}{
		{"ends at once", Refused, Refused, 0, false, 5},
		{"lingers", Accepted, Refused, 4 * time.Second, false, 5},
		{"listens on", Accepted, Accepted, 0, false, 14},
		{"ends at once, others are down", Refused, Refused, 0, true, 16},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := &lockedNet{results: fakeNet{}}
				boxes := newTrackers(net, 3)
				for _, tracker := range boxes {
					defer func() { _ = tracker.Stop(t.Context()) }()
					if c.others {
						tracker.SetReplicas(listedReplicas{replica(0)})
					}
				}
				net.set(replica(0), Refused)
				ends := 0
				for start, n := time.Now(), 0; time.Since(start) < time.Hour; n++ {
					time.Sleep(150 * time.Millisecond)
					a, err := boxes[n%len(boxes)].Begin("a")
					if err != nil {
						continue
					}
					ends++
					rep := replica(ends)
					a.Place(rep)
					net.set(rep, c.broken)
					if c.linger > 0 {
						time.AfterFunc(c.linger, func() { net.set(rep, c.later) })
					}
					a.End(Broken, true)
					boxes[n%len(boxes)].Await("a")
				}
				if diff := cmp.Diff(c.want, ends); diff != "" {
					t.Errorf("replicas ended (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestRequestsSurviveCrashesByChance checks that a request which many callers send is never refused for good, however
// replicas crash for other reasons, and is served again within seconds.
func TestRequestsSurviveCrashesByChance(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { surviveCrashes(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// surviveCrashes plays one draw of TestRequestsSurviveCrashesByChance.
func surviveCrashes(t *testing.T, rng *rand.Rand) {
	net := &lockedNet{results: fakeNet{}}
	boxes := newTrackers(net, 1+rng.IntN(3))
	service := &simulatedService{net: net, alive: map[int]bool{}}
	for range 2 + rng.IntN(10) {
		service.start()
	}
	for n, tracker := range boxes {
		defer func() { _ = tracker.Stop(t.Context()) }()
		tracker.SetReplicas(service)
		tracker.log = slog.New(slog.NewTextHandler(t.Output(), nil)).With("box", n)
	}
	duration := time.Duration(20+rng.IntN(1500)) * time.Millisecond
	callers := &simulatedCallers{t: t, boxes: boxes, service: service, duration: duration, done: make(chan struct{})}
	for n := range 2 + rng.IntN(12) {
		callers.all.Go(func() { callers.run(n) })
	}
	for range 1 + rng.IntN(3) {
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		service.crashSome(rng)
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		service.startAll()
		callers.expectServed()
	}
	close(callers.done)
	callers.all.Wait()
}

// simulatedService is a service whose replicas crash.
type simulatedService struct {
	net *lockedNet

	mu sync.Mutex
	// alive holds the replicas by number, and whether they run.
	alive map[int]bool
	next  int
}

func (s *simulatedService) Listed(string) []work.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []work.Replica
	for n := range s.alive {
		listed = append(listed, replica(n))
	}
	return listed
}

func (s *simulatedService) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive[s.next] = true
	s.next++
}

// crashSome crashes replicas: all at once or in waves.
func (s *simulatedService) crashSome(rng *rand.Rand) {
	pause := time.Duration(rng.IntN(2)*rng.IntN(800)) * time.Millisecond
	wave := 1 + rng.IntN(4)
	share := rng.Float64()
	if rng.IntN(2) == 0 {
		share = 1
	}
	s.mu.Lock()
	all := len(s.alive)
	s.mu.Unlock()
	for n := range all {
		if rng.Float64() > share {
			continue
		}
		s.mu.Lock()
		if s.alive[n] {
			s.alive[n] = false
			s.net.set(replica(n), Refused)
		}
		s.mu.Unlock()
		if n%wave == 0 {
			time.Sleep(pause)
		}
	}
}

// startAll starts new replicas in place of those that have crashed.
func (s *simulatedService) startAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, runs := range s.alive {
		if runs {
			continue
		}
		delete(s.alive, n)
		s.alive[s.next] = true
		s.next++
	}
}

// pick returns a listed replica, or -1.
func (s *simulatedService) pick() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.alive {
		return n
	}
	return -1
}

func (s *simulatedService) runs(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive[n]
}

// simulatedCallers send the same request all the time.
type simulatedCallers struct {
	t        *testing.T
	boxes    []*Tracker
	service  *simulatedService
	duration time.Duration
	done     chan struct{}
	all      sync.WaitGroup
	refused  sync.Once

	mu       sync.Mutex
	servedAt time.Time
}

func (c *simulatedCallers) run(n int) {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c.call(c.boxes[n%len(c.boxes)])
	}
}

// call sends the request once.
func (c *simulatedCallers) call(box *Tracker) {
	a, err := box.Begin("shared")
	if fault.Is(err, fault.RequestBlocked) {
		c.refused.Do(func() { c.t.Error("refused for good") })
	}
	if err != nil {
		return
	}
	n := c.service.pick()
	if n < 0 || !c.service.runs(n) {
		a.End(NotRun, true)
		return
	}
	a.Place(replica(n))
	for end := time.Now().Add(c.duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !c.service.runs(n) {
			a.End(Broken, true)
			return
		}
	}
	a.End(Completed, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servedAt = time.Now()
}

// expectServed checks that the request is served again within five seconds and its duration.
func (c *simulatedCallers) expectServed() {
	start := time.Now()
	time.Sleep(5*time.Second + c.duration)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.servedAt.After(start) {
		c.t.Error("not served again")
	}
}
