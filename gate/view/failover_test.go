package view

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// silence is how long a fakeLinks takes to find a box silent, as remote.Client does.
const silence = 75 * time.Millisecond

// peerAddr is the address of all boxes.
var peerAddr = netip.MustParseAddrPort("10.0.0.1:80")

// fakeLinks is a network between boxes, whose links can be cut silently.
type fakeLinks struct {
	mu        sync.Mutex
	failovers map[string]*Failover
	// cutZones holds zones that are cut off from the others, cutLinks pairs of boxes that do not reach each other.
	cutZones map[string]bool
	cutLinks map[[2]string]bool
	// killed holds boxes whose process is gone, slow those that take longer than any timeout to respond to a
	// request, but whose kernel accepts connections.
	killed, slow map[string]bool
	// contacts counts the attempts to connect, strays those to an address that no box has.
	contacts, strays int
}

// linkEnd is the fakeLinks as seen by one box.
type linkEnd struct {
	*fakeLinks
	self work.Box
}

func (n *fakeLinks) set(change func(n *fakeLinks)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *fakeLinks) contactCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contacts
}

// cut reports whether packets between the two boxes vanish.
func (n *fakeLinks) cut(a, b work.Box) bool {
	zoneCut := a.Zone != b.Zone && (n.cutZones[a.Zone] || n.cutZones[b.Zone])
	return zoneCut || n.cutLinks[[2]string{a.Name, b.Name}] || n.cutLinks[[2]string{b.Name, a.Name}]
}

func (e linkEnd) Contact(ctx context.Context, box work.Box) Contact {
	e.mu.Lock()
	e.contacts++
	if box.Peer != peerAddr {
		e.strays++
	}
	cut, killed := e.cut(e.self, box), e.killed[box.Name]
	e.mu.Unlock()
	switch {
	case cut:
		select {
		case <-time.After(silence):
			return Silent
		case <-ctx.Done():
			return Unknown
		}
	case killed:
		time.Sleep(time.Millisecond)
		return Gone
	}
	time.Sleep(time.Millisecond)
	return Answered
}

func (e linkEnd) AskContact(ctx context.Context, witness, box work.Box) Contact {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	answers := !e.cut(e.self, witness) && !e.killed[witness.Name] && !e.slow[witness.Name]
	to := e.failovers[witness.Name]
	e.mu.Unlock()
	if !answers {
		<-ctx.Done()
		return Unknown
	}
	return to.Witness(ctx, box)
}

type cutOffFlag struct{ on *bool }

func (c cutOffFlag) CutOff() bool { return *c.on }

type noCounts struct{}

func (noCounts) Count(string, int64) {}

// failoverWorld is a fleet of three boxes in each of three zones: a1 to a3, b1 to b3 and c1 to c3.
type failoverWorld struct {
	log    *fakeLog
	links  *fakeLinks
	cutOff map[string]*bool
	boxes  map[string]*Failover
	// likely counts how often a takeover was called likely.
	likely atomic.Int64
}

// runFailover runs a test on a settled fleet.
func runFailover(t *testing.T, test func(t *testing.T, w *failoverWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &failoverWorld{log: newFakeLog(), cutOff: map[string]*bool{}, boxes: map[string]*Failover{}, links: &fakeLinks{
			cutZones: map[string]bool{}, cutLinks: map[[2]string]bool{}, killed: map[string]bool{}, slow: map[string]bool{},
		}}
		w.links.failovers = w.boxes
		for _, zone := range []string{"a", "b", "c"} {
			for n := range 3 {
				w.add(t, work.Box{Name: fmt.Sprintf("%s%d", zone, n+1), Zone: zone, Peer: peerAddr, Incarnation: "1"})
			}
		}
		time.Sleep(3 * time.Second)
		test(t, w)
		for _, f := range w.boxes {
			_ = f.Stop(context.Background())      // it always returns nil
			_ = f.View.Stop(context.Background()) // it always returns nil
		}
		time.Sleep(time.Second) // requests to witnesses end
	})
}

func (w *failoverWorld) add(t *testing.T, self work.Box) {
	t.Helper()
	v := New(self, boxLog{fake: w.log, box: self.Name}, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := v.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.cutOff[self.Name] = new(bool)
	w.boxes[self.Name] = NewFailover(v, nil, linkEnd{w.links, self}, cutOffFlag{w.cutOff[self.Name]}, noCounts{})
}

// cutZone cuts a zone off from the other zones and from the log.
func (w *failoverWorld) cutZone(zone string, cut bool) {
	w.links.set(func(n *fakeLinks) { n.cutZones[zone] = cut })
	for name, f := range w.boxes {
		if f.self.Zone == zone {
			w.log.setCutOff(name, cut)
		}
	}
}

// confirm has b1 confirm the failure of a1, and returns the result and the time taken.
func (w *failoverWorld) confirm() (bool, time.Duration) {
	start := time.Now()
	checker, suspect := w.boxes["b1"], w.boxes["a1"].self
	checker.Confirm(context.Background(), []work.Box{suspect}, func() { w.likely.Add(1) })
	return checker.Failed(suspect), time.Since(start)
}

// TestFailureIsConfirmed checks that each kind of loss is confirmed well before the log notices it, and guards
// against boxes that wait for the membership of a lost owner to expire.
func TestFailureIsConfirmed(t *testing.T) {
	cases := []struct {
		name   string
		lose   func(w *failoverWorld)
		within time.Duration
	}{
		{"killed", func(w *failoverWorld) { w.links.killed["a1"] = true }, 10 * time.Millisecond},
		{"zone cut off", func(w *failoverWorld) { w.cutZone("a", true) }, confirmTimeout},
		{"no power", func(w *failoverWorld) {
			for name := range w.boxes {
				w.links.cutLinks[[2]string{"a1", name}] = true
			}
		}, confirmTimeout},
		{"zone cut off, one witness is slow", func(w *failoverWorld) {
			w.cutZone("a", true)
			w.links.slow["c1"] = true
		}, confirmTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFailover(t, func(t *testing.T, w *failoverWorld) {
				c.lose(w)
				if failed, took := w.confirm(); !failed || took > c.within {
					t.Errorf("confirmed %v after %v", failed, took)
				}
			})
		})
	}
}

// TestFailureIsNotConfirmed checks the cases in which a box must not confirm a failure: the suspect is alive, or
// the box itself is unable to tell.
func TestFailureIsNotConfirmed(t *testing.T) {
	cases := []struct {
		name string
		set  func(w *failoverWorld)
	}{
		{"alive", func(*failoverWorld) {}},
		{"slow, but its kernel answers", func(w *failoverWorld) { w.links.slow["a1"] = true }},
		{"only the link between both is broken", func(w *failoverWorld) { w.links.cutLinks[[2]string{"b1", "a1"}] = true }},
		{"the links between two zones are broken", func(w *failoverWorld) {
			for _, from := range []string{"b1", "b2", "b3"} {
				for _, to := range []string{"a1", "a2", "a3"} {
					w.links.cutLinks[[2]string{from, to}] = true
				}
			}
		}},
		{"the checking box's zone is cut off", func(w *failoverWorld) { w.cutZone("b", true) }},
		{"the checking box reaches nobody", func(w *failoverWorld) {
			for name := range w.boxes {
				w.links.cutLinks[[2]string{"b1", name}] = true
			}
		}},
		{"the checking box is cut off as the detector sees it", func(w *failoverWorld) {
			w.links.killed["a1"] = true
			*w.cutOff["b1"] = true
		}},
		{"the checking box is without the log", func(w *failoverWorld) {
			w.links.killed["a1"] = true
			w.log.setCutOff("b1", true)
			time.Sleep(time.Second)
		}},
		{"the checking box has not settled again after an outage of the log", func(w *failoverWorld) {
			w.links.killed["a1"] = true
			w.log.setCutOff("b1", true)
			time.Sleep(3 * time.Second)
			w.log.setCutOff("b1", false)
			time.Sleep(500 * time.Millisecond)
		}},
		{"too few witnesses answer", func(w *failoverWorld) {
			w.links.killed["a1"] = true
			for _, name := range []string{"b2", "b3", "c1", "c2", "c3"} {
				w.links.slow[name] = true
			}
		}},
		{"the witnesses are without the log", func(w *failoverWorld) {
			w.links.killed["a1"] = true
			// Heartbeats are due at this moment. Without the pause, some would be lost and others not, so that
			// at times the witnesses' memberships expire before the suspect's and nobody is left to ask.
			time.Sleep(10 * time.Millisecond)
			for name := range w.boxes {
				w.log.setCutOff(name, name != "b1")
			}
			time.Sleep(time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFailover(t, func(t *testing.T, w *failoverWorld) {
				c.set(w)
				if failed, took := w.confirm(); failed || took > confirmTimeout {
					t.Errorf("confirmed %v after %v", failed, took)
				}
			})
		})
	}
}

// TestSlowOwnerIsCheckedRarely guards against a live, slow owner that is checked by eight boxes ten times a second, as
// long as boxes name it as unreachable.
func TestSlowOwnerIsCheckedRarely(t *testing.T) {
	for name, c := range map[string]struct {
		harm func(n *fakeLinks)
		most int
	}{
		"slow":               {func(n *fakeLinks) { n.slow["a1"] = true }, 10},
		"one link is broken": {func(n *fakeLinks) { n.cutLinks[[2]string{"a1", "b1"}] = true }, 10 * (maxWitnesses + 1)},
	} {
		t.Run(name, func(t *testing.T) {
			runFailover(t, func(t *testing.T, w *failoverWorld) {
				w.links.set(c.harm)
				before := w.links.contactCount()
				for range 500 {
					if failed, _ := w.confirm(); failed {
						t.Fatal("a failure was confirmed")
					}
					time.Sleep(20 * time.Millisecond)
				}
				if got := w.links.contactCount() - before; got > c.most {
					t.Errorf("%d attempts to connect in 10 s", got)
				}
				if got := w.likely.Load(); got > 0 {
					t.Errorf("called likely lost %d times", got)
				}
			})
		})
	}
}

// TestLiveBoxIsNotLikelyLost guards against reads of whole slots for owners that answer the check of their failure.
func TestLiveBoxIsNotLikelyLost(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(n *fakeLinks)
		want int64
	}{
		"slow":   {func(n *fakeLinks) { n.slow["a1"] = true }, 0},
		"killed": {func(n *fakeLinks) { n.killed["a1"] = true }, 0},
		"silent": {func(n *fakeLinks) { n.cutZones["a"] = true }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runFailover(t, func(t *testing.T, w *failoverWorld) {
				w.links.set(c.lose)
				if w.confirm(); w.likely.Load() != c.want {
					t.Errorf("called likely %d times", w.likely.Load())
				}
			})
		})
	}
}

// TestTwoBoxFleetConfirmsOnlyRefusal checks that without a third box only a refused connection counts as a failure:
// silence may come from a broken link.
func TestTwoBoxFleetConfirmsOnlyRefusal(t *testing.T) {
	for got, want := range map[Contact]bool{Gone: true, Silent: false, Answered: false, Unknown: false} {
		if (pollResult{own: got}).confirms() != want {
			t.Errorf("%s counts as a failure: %v", got, !want)
		}
	}
}

// TestBrokenLinkBetweenLargeZones guards against a confirmation by the checking box's own zone: if a link between two
// large zones is broken, a small or missing third one must not leave the first a majority of the witnesses.
func TestBrokenLinkBetweenLargeZones(t *testing.T) {
	for third := range 3 {
		for _, gone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d boxes in the third zone, killed %v", third, gone), func(t *testing.T) {
				runFailover(t, func(t *testing.T, w *failoverWorld) {
					for n := third; n < 3; n++ {
						name := fmt.Sprintf("c%d", n+1)
						w.boxes[name].Leave(context.Background())
						_ = w.boxes[name].View.Stop(context.Background()) // it always returns nil
					}
					for _, zone := range []string{"a", "b"} {
						for n := 4; n < 10; n++ {
							w.add(t, work.Box{Name: fmt.Sprintf("%s%d", zone, n), Zone: zone, Peer: peerAddr, Incarnation: "1"})
						}
					}
					time.Sleep(5 * time.Second)
					w.links.set(func(n *fakeLinks) {
						if gone {
							n.killed["a1"] = true
							return
						}
						for a := 1; a < 10; a++ {
							for b := 1; b < 10; b++ {
								n.cutLinks[[2]string{fmt.Sprintf("a%d", a), fmt.Sprintf("b%d", b)}] = true
							}
						}
					})
					if failed, _ := w.confirm(); failed != gone {
						t.Errorf("the failure is confirmed: %v", failed)
					}
				})
			})
		}
	}
}

// TestFailureEndsWithAnswer checks that a confirmed failure ends soon after the box answers again, and that
// callers are not sent to it before.
func TestFailureEndsWithAnswer(t *testing.T) {
	runFailover(t, func(t *testing.T, w *failoverWorld) {
		a1 := w.boxes["a1"].self
		w.links.set(func(n *fakeLinks) { n.cutZones["a"] = true })
		if failed, _ := w.confirm(); !failed {
			t.Fatal("the failure is not confirmed")
		}
		for range 100 {
			time.Sleep(7 * time.Millisecond)
			if !w.boxes["b1"].Failed(a1) || !w.boxes["b1"].RecentlyUnreachable(a1) {
				t.Fatal("the box counts as reachable while it is silent")
			}
		}
		w.links.set(func(n *fakeLinks) { n.cutZones["a"] = false })
		time.Sleep(recheckInterval + silence + time.Millisecond)
		if w.boxes["b1"].Failed(a1) {
			t.Error("the failure outlasts the answer of the box")
		}
		time.Sleep(unreachableBackoff)
		if w.boxes["b1"].RecentlyUnreachable(a1) {
			t.Error("the box that answers again is still skipped")
		}
	})
}

// TestConfirmationExpires guards against a box that takes slots over for ever from an owner which it can't reach, but
// the others can again.
func TestConfirmationExpires(t *testing.T) {
	runFailover(t, func(t *testing.T, w *failoverWorld) {
		a1, b1 := w.boxes["a1"].self, w.boxes["b1"]
		recovered := 0
		b1.OnRecovered(func(work.Box) { recovered++ })
		w.links.set(func(n *fakeLinks) { n.cutZones["a"] = true })
		if failed, _ := w.confirm(); !failed || !b1.FailedRecently(a1) {
			t.Fatal("the failure is not confirmed")
		}
		w.links.set(func(n *fakeLinks) {
			n.cutZones["a"] = false
			n.cutLinks[[2]string{"a1", "b1"}] = true
		})
		time.Sleep(confirmedTTL)
		if b1.FailedRecently(a1) || !b1.Failed(a1) {
			t.Errorf("may start a takeover: %v, may go on with one: %v", b1.FailedRecently(a1), b1.Failed(a1))
		}
		if failed, _ := w.confirm(); failed || recovered != 1 {
			t.Errorf("failed %v after the others reach the box again, recovered %d times", failed, recovered)
		}
	})
}

// TestFarBoxIsNotWatched guards against a box of another region that is skipped for ever, since a round trip to it takes
// longer than a check waits.
func TestFarBoxIsNotWatched(t *testing.T) {
	runFailover(t, func(t *testing.T, w *failoverWorld) {
		b1, far := w.boxes["b1"], w.boxes["a1"].self
		b1.regions = work.Regions{"a": "south", "b": "north", "c": "north"}
		w.links.set(func(n *fakeLinks) { n.cutLinks[[2]string{"a1", "b1"}] = true })
		before := w.links.contactCount()
		b1.MarkUnreachable(far)
		time.Sleep(unreachableBackoff + time.Millisecond)
		if got := w.links.contactCount() - before; got > 0 || b1.RecentlyUnreachable(far) {
			t.Errorf("still skipped: %v, after %d checks", b1.RecentlyUnreachable(far), got)
		}
	})
}

// TestListedAddressIsChecked guards against a failure that is confirmed because the message names a wrong address of a
// live box.
func TestListedAddressIsChecked(t *testing.T) {
	runFailover(t, func(t *testing.T, w *failoverWorld) {
		named := w.boxes["a1"].self
		named.Peer = netip.MustParseAddrPort("10.0.0.9:9")
		w.boxes["b1"].Confirm(context.Background(), []work.Box{named}, func() {})
		if w.links.strays > 0 || w.links.contactCount() == 0 {
			t.Errorf("%d of %d attempts to a wrong address", w.links.strays, w.links.contactCount())
		}
	})
}

// TestTakeoverEstimate checks that callers are told to retry when a takeover after a confirmation is likely to be done,
// and later, if that did not happen, when the log drops the box.
func TestTakeoverEstimate(t *testing.T) {
	runFailover(t, func(t *testing.T, w *failoverWorld) {
		a1, b1 := w.boxes["a1"].self, w.boxes["b1"]
		w.links.set(func(n *fakeLinks) { n.cutZones["a"] = true })
		b1.MarkUnreachable(a1)
		start := time.Now()
		for _, c := range []struct{ at, want time.Duration }{
			{0, takeoverDuration}, {200 * time.Millisecond, takeoverDuration - 200*time.Millisecond}, {300 * time.Millisecond, minTakeoverRetry}, {400 * time.Millisecond, DefaultTiming().MemberTTL + 150*time.Millisecond},
		} {
			time.Sleep(time.Until(start.Add(c.at)))
			if got := b1.TakeoverIn(a1); got != c.want {
				t.Errorf("after %v: %v, want %v", c.at, got, c.want)
			}
		}
	})
}

// TestFailureDoesNotExtendToNextIncarnation checks that a box restarted under the same name does not inherit the
// failure, and that checks of the old incarnation end.
func TestFailureDoesNotExtendToNextIncarnation(t *testing.T) {
	runFailover(t, func(t *testing.T, w *failoverWorld) {
		old := w.boxes["a1"].self
		_ = w.boxes["a1"].View.Stop(context.Background()) // it always returns nil
		w.links.set(func(n *fakeLinks) { n.killed["a1"] = true })
		if failed, _ := w.confirm(); !failed {
			t.Fatal("the failure is not confirmed")
		}
		w.links.set(func(n *fakeLinks) { n.killed["a1"] = false })
		restarted := old
		restarted.Incarnation = "2"
		w.add(t, restarted)
		time.Sleep(time.Second)
		if w.boxes["b1"].Failed(restarted) || w.boxes["b1"].Failed(old) {
			t.Error("the failure outlasts the incarnation")
		}
		before := w.links.contactCount()
		time.Sleep(2 * time.Second)
		if got := w.links.contactCount(); got != before {
			t.Errorf("%d more checks of a replaced box", got-before)
		}
	})
}

// TestConfirmationsAreShared checks that many turns for a silent or a slow owner cause few checks, since a fleet
// under load would otherwise spend its time on them.
func TestConfirmationsAreShared(t *testing.T) {
	for name, lose := range map[string]func(n *fakeLinks){
		"silent": func(n *fakeLinks) { n.cutZones["a"] = true },
		"slow":   func(n *fakeLinks) { n.slow["a1"] = true },
	} {
		t.Run(name, func(t *testing.T) {
			runFailover(t, func(t *testing.T, w *failoverWorld) {
				w.links.set(lose)
				before := w.links.contactCount()
				var all sync.WaitGroup
				for range 200 {
					all.Go(func() { w.confirm() })
				}
				all.Wait()
				w.confirm()
				if got := w.links.contactCount() - before; got > maxWitnesses+1 {
					t.Errorf("%d attempts to connect", got)
				}
			})
		})
	}
}

// TestWitnessesAreSpread checks that the boxes asked about a failure lie in several zones, that few of them are in
// the suspect's zone, which may be cut off with it, and that no other region is asked.
func TestWitnessesAreSpread(t *testing.T) {
	regions := work.Regions{"a": "north", "b": "north", "c": "north", "d": "south"}
	var live []work.Box
	fromOwn := 0
	for _, zone := range []string{"a", "b", "c", "d"} {
		for n := range 20 {
			live = append(live, work.Box{Name: fmt.Sprintf("%s%d", zone, n), Zone: zone, Cores: 0.2})
		}
	}
	for _, suspect := range live[:20] {
		count := map[string]int{}
		for _, box := range chooseWitnesses(live, live[25], suspect, regions) {
			count[box.Zone]++
			if box == suspect || box == live[25] {
				t.Errorf("%s is a witness", box.Name)
			}
		}
		if diff := cmp.Diff(map[string]int{"a": 1, "b": 3, "c": 3}, count); diff != "" {
			t.Errorf("witnesses by zone (-want +got):\n%s", diff)
		}
	}
	for _, box := range chooseWitnesses(append(live[:20:20], live[20:41]...), live[25], live[0], regions) {
		if box.Zone == "b" {
			fromOwn++
		}
	}
	if fromOwn > maxZoneWitnesses {
		t.Errorf("%d witnesses from the zone of the checking box, with one box in the third", fromOwn)
	}
	if got := chooseWitnesses(live[:2], live[0], live[1], regions); len(got) != 0 {
		t.Errorf("witnesses %v of a fleet of two", got)
	}
}
