package target

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// behavior is how a replica treats calls.
type behavior int

const (
	// sound replicas answer after soundTime, slow ones after slowTime.
	sound behavior = iota
	slow
	// silent replicas send nothing that counts: no answer, or a head without events.
	// The callers of impatient ones leave before that can be blamed on the replica.
	silent
	impatient
	// breaking replicas break each answer off at once, and invalid ones send bytes that are no answer.
	breaking
	invalid
)

const (
	soundTime   = 30 * time.Millisecond
	slowTime    = 800 * time.Millisecond
	routeTime   = 2 * time.Second
	callsEvery  = 80 * time.Millisecond
	callsBefore = 15
)

// aliveNet is a crash.Prober that finds all replicas alive.
type aliveNet struct{}

func (aliveNet) Probe(context.Context, work.Replica) crash.Contact { return crash.Alive }

// noCounts is a crash.Counts that drops all metrics.
type noCounts struct{}

func (noCounts) Count(string, int64) {}
func (noCounts) Gauge(string, int64) {}

// silenceWorld is a set of boxes that place calls on the same replicas of one service.
type silenceWorld struct {
	boxes []*Targets
	model bool
	calls sync.WaitGroup

	mu sync.Mutex
	// behaviors holds how replicas treat calls, by ID; the others are sound. taken counts the calls to each replica
	// and open those in progress there.
	behaviors   map[string]behavior
	taken, open map[string]int
}

// awaitCalls waits for the calls, and for the checks of the replicas that broke one off, which end soon after it.
func (w *silenceWorld) awaitCalls() {
	w.calls.Wait()
	time.Sleep(time.Second)
}

// newSilenceWorld returns boxes that know n replicas, which serve a model if model is set.
func newSilenceWorld(boxes, n int, model bool) *silenceWorld {
	w := &silenceWorld{model: model, behaviors: map[string]behavior{}, taken: map[string]int{}, open: map[string]int{}}
	svc := work.Service{Name: "s", Connections: 1000}
	if model {
		svc.Engine = &work.Engine{Slots: 8, Stride: 3}
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for range boxes {
		box := New("a", &fakePools{}, crash.New(aliveNet{}, noCounts{}, log), log)
		box.Configure(work.NewConfig(1, nil, []work.Service{svc}, work.Limits{}))
		for i := range n {
			box.Put(replica(i, "a"))
		}
		box.OnFailing(func(rep work.Replica, share float64) {
			for _, other := range w.boxes {
				if other != box {
					go other.UpdateFailureRate(rep.ID, share)
				}
			}
		})
		w.boxes = append(w.boxes, box)
	}
	return w
}

// set sets how a replica treats the calls that it gets from now on.
func (w *silenceWorld) set(id string, how behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviors[id] = how
}

// drop forgets the counts of calls taken.
func (w *silenceWorld) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.taken)
}

// takenBy returns the number of calls that the replicas took.
func (w *silenceWorld) takenBy(ids ...string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, id := range ids {
		sum += w.taken[id]
	}
	return sum
}

// send sends one call from the box to the replica that it selects.
func (w *silenceWorld) send(t *testing.T, box int, ask CallRequest) string {
	t.Helper()
	ask.WorkKind, ask.Services = "w", splitToS
	lease, err := w.boxes[box].Take(ask)
	if err != nil {
		return ""
	}
	id := lease.Replica.ID
	w.mu.Lock()
	how := w.behaviors[id]
	w.taken[id]++
	w.open[id]++
	w.mu.Unlock()
	w.calls.Go(func() {
		w.run(lease, how)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.open[id]--
	})
	return id
}

// run plays the replica's part of a call.
func (w *silenceWorld) run(lease *Lease, how behavior) {
	answer := func(took time.Duration) {
		time.Sleep(took)
		if w.model {
			lease.RecordFirstEvent(took)
			time.Sleep(took)
		}
		lease.Done(Answered, took)
	}
	switch how {
	case sound:
		answer(soundTime)
	case slow:
		answer(slowTime)
	case silent:
		time.Sleep(routeTime)
		lease.Unbroken = true
		if w.model {
			lease.Done(Unresponsive, 0)
			return
		}
		lease.Done(Incomplete, 0)
	case impatient:
		time.Sleep(time.Second)
		lease.Done(Abandoned, 0)
	case breaking, invalid:
		time.Sleep(time.Millisecond)
		lease.Unbroken = how == invalid
		lease.Done(Incomplete, 0)
	}
}

// repeated returns a call of the n-th content, which may be sent often.
func repeated(content string) func(int) CallRequest {
	return func(int) CallRequest { return CallRequest{Request: work.Fingerprint(content)} }
}

// sharingPrefix returns a turn of a program of its own, whose prompt begins with the n-th prefix.
func sharingPrefix(prefix int) func(int) CallRequest {
	return func(i int) CallRequest {
		program := fmt.Sprintf("p%d", i)
		return CallRequest{
			Turn:   sched.Turn{Program: program, Kind: "w"},
			Prompt: &work.Prompt{Tokens: 5000, Parts: []work.Part{{ID: fmt.Sprintf("prefix%d", prefix), Tokens: 4800}, {ID: program, Tokens: 200}}},
		}
	}
}

// different returns calls of different contents, or turns without a common prefix.
func different(model bool) func(int) CallRequest {
	return func(i int) CallRequest {
		if model {
			return sharingPrefix(i)(i)
		}
		return CallRequest{Request: work.Fingerprint(fmt.Sprint(i))}
	}
}

// burst sends calls from all boxes in turn, one every callsEvery.
func (w *silenceWorld) burst(t *testing.T, calls int, ask func(int) CallRequest) {
	t.Helper()
	for i := range calls {
		w.send(t, i%len(w.boxes), ask(i))
		time.Sleep(callsEvery)
	}
}

// firstChoice returns the ID of the replica that gets the first of the calls, after it was made to treat them like how.
func (w *silenceWorld) firstChoice(t *testing.T, how behavior, ask func(int) CallRequest) string {
	t.Helper()
	for _, id := range []string{"r0", "r1", "r2"} {
		w.set(id, how)
	}
	id := w.send(t, 0, ask(1_000_000))
	for _, other := range []string{"r0", "r1", "r2"} {
		if other != id {
			w.set(other, sound)
		}
	}
	time.Sleep(callsEvery)
	return id
}

// TestBadReplicaDrawsCallsOfOneContent guards against a replica that answers nothing and gets all calls of a content
// because the first one went there, while others are idle.
func TestBadReplicaDrawsCallsOfOneContent(t *testing.T) {
	for how, kind := range map[behavior]string{silent: "silent", impatient: "silent, callers leave early", breaking: "breaks answers off", invalid: "sends no valid answer"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, false)
				bad := w.firstChoice(t, how, repeated("x"))
				w.burst(t, callsBefore-1, repeated("x"))
				if got := w.takenBy(bad); got > 5 {
					t.Errorf("the bad replica took %d of %d calls, want at most 5: %v", got, callsBefore, w.taken)
				}
				w.awaitCalls()
			})
		})
	}
}

// TestOneContentAndTwoOfThreeReplicasBad guards against calls of one content that go to replicas which leave other calls
// unanswered too, although one is sound.
func TestOneContentAndTwoOfThreeReplicasBad(t *testing.T) {
	mixed := func(i int) CallRequest {
		if i >= callsBefore {
			return CallRequest{Request: "x"}
		}
		return different(false)(i)
	}
	for how, kind := range map[behavior]string{silent: "silent", breaking: "breaks answers off"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, false)
				good := "r0"
				if w.firstChoice(t, how, mixed) == good {
					good = "r1"
				}
				for _, id := range []string{"r0", "r1", "r2"} {
					w.set(id, how)
				}
				w.set(good, sound)
				w.burst(t, 2*callsBefore-1, mixed)
				if bad := 2*callsBefore - w.takenBy(good); bad > 10 {
					t.Errorf("the bad replicas took %d of %d calls, want at most 10: %v", bad, 2*callsBefore, w.taken)
				}
				w.awaitCalls()
			})
		})
	}
}

// TestRequestThatIsNeverAnsweredReachesFewReplicas guards against a request that makes each replica hang, and then
// crash, and is sent to one after the other because none of them responds.
func TestRequestThatIsNeverAnsweredReachesFewReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSilenceWorld(1, 6, false)
		for i := range 6 {
			w.set(fmt.Sprintf("r%d", i), silent)
		}
		for range callsBefore {
			w.send(t, 0, repeated("x")(0))
			time.Sleep(callsEvery)
		}
		if len(w.taken) > crash.MaxTogether {
			t.Errorf("%d replicas run the request, want at most %d: %v", len(w.taken), crash.MaxTogether, w.taken)
		}
		w.awaitCalls()
	})
}

// TestAllReplicasAreBad guards against calls that all go to one of several silent replicas, or are not sent at all, while
// there is nothing better.
func TestAllReplicasAreBad(t *testing.T) {
	for name, ask := range map[string]func(int) CallRequest{"calls": different(false), "turns of one prefix": sharingPrefix(0)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, name == "turns of one prefix")
				for _, id := range []string{"r0", "r1", "r2"} {
					w.set(id, silent)
				}
				w.burst(t, 2*callsBefore, ask)
				if got := w.takenBy("r0", "r1", "r2"); got != 2*callsBefore {
					t.Errorf("%d of %d calls were sent", got, 2*callsBefore)
				}
				for id, got := range w.taken {
					if got > callsBefore {
						t.Errorf("%s took %d of %d calls, want at most half: %v", id, got, 2*callsBefore, w.taken)
					}
				}
				w.awaitCalls()
			})
		})
	}
}

// TestSlowReplicasKeepWork guards against replicas that are avoided one after the other because they need longer for
// their first answers than a box expects without knowing of any.
func TestSlowReplicasKeepWork(t *testing.T) {
	for name, model := range map[string]bool{"calls": false, "turns": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, model)
				for _, id := range []string{"r0", "r1", "r2"} {
					w.set(id, slow)
				}
				const calls = 120
				w.burst(t, calls, different(model))
				for _, id := range []string{"r0", "r1", "r2"} {
					if got := w.takenBy(id); got < calls/4 {
						t.Errorf("%s took %d of %d calls, want at least %d: %v", id, got, calls, calls/4, w.taken)
					}
				}
				w.awaitCalls()
			})
		})
	}
}

// TestSilentReplicaAnswersAgain guards against a silent replica that goes on drawing calls whose callers leave early, and
// against one that stays avoided once it answers again.
func TestSilentReplicaAnswersAgain(t *testing.T) {
	for name, model := range map[string]bool{"calls": false, "turns": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, model)
				w.set("r0", impatient)
				const calls = 120
				w.burst(t, calls, different(model))
				if got := w.takenBy("r0"); got > calls/10 {
					t.Errorf("the silent replica took %d of %d calls, want at most %d", got, calls, calls/10)
				}
				w.set("r0", sound)
				time.Sleep(10 * time.Second)
				w.drop()
				w.burst(t, calls, func(i int) CallRequest { return different(model)(calls + i) })
				if got := w.takenBy("r0"); got < calls/5 {
					t.Errorf("the replica took %d of %d calls once it answered again, want at least %d", got, calls, calls/5)
				}
				w.awaitCalls()
			})
		})
	}
}
