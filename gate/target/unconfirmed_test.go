package target

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/sched"
)

// TestBadReplicaDrawsTurnsOfOnePrefix guards against a replica that answers nothing and gets all turns of a prompt prefix
// because the first one went there, while others are idle.
func TestBadReplicaDrawsTurnsOfOnePrefix(t *testing.T) {
	for how, kind := range map[behavior]string{silent: "silent", impatient: "silent, callers leave early", breaking: "breaks answers off", invalid: "sends no valid answer"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, true)
				bad := w.firstChoice(t, how, sharingPrefix(0))
				w.burst(t, callsBefore-1, sharingPrefix(0))
				if got := w.takenBy(bad); got > 5 {
					t.Errorf("the bad replica took %d of %d calls, want at most 5: %v", got, callsBefore, w.taken)
				}
				w.awaitCalls()
			})
		})
	}
}

// TestOnePrefixAndTwoOfThreeReplicasBad guards against turns that go to bad replicas although one is sound.
func TestOnePrefixAndTwoOfThreeReplicasBad(t *testing.T) {
	for how, kind := range map[behavior]string{silent: "silent", breaking: "breaks answers off"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, true)
				good := "r0"
				if w.firstChoice(t, how, sharingPrefix(0)) == good {
					good = "r1"
				}
				for _, id := range []string{"r0", "r1", "r2"} {
					w.set(id, how)
				}
				w.set(good, sound)
				w.burst(t, 2*callsBefore-1, sharingPrefix(0))
				if bad := 2*callsBefore - w.takenBy(good); bad > 10 {
					t.Errorf("the bad replicas took %d of %d calls, want at most 10: %v", bad, 2*callsBefore, w.taken)
				}
				w.awaitCalls()
			})
		})
	}
}

// TestBurstOfTurnsOnSilentReplica guards against a burst on a prefix that goes to one replica before anything has come
// back from it.
func TestBurstOfTurnsOnSilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSilenceWorld(1, 3, true)
		bad := w.firstChoice(t, silent, sharingPrefix(0))
		const turns = 30
		for i := range turns {
			w.send(t, 0, sharingPrefix(0)(i))
			time.Sleep(5 * time.Millisecond)
		}
		if got := w.takenBy(bad); got > 5 {
			t.Errorf("the silent replica took %d of %d turns, want at most %d: %v", got, turns+1, 5, w.taken)
		}
		w.awaitCalls()
	})
}

// TestReplicaFallsSilent guards against programs that stay at a replica which holds their prompts but has stopped to
// answer.
func TestReplicaFallsSilent(t *testing.T) {
	for _, name := range []string{"shared prefix", "history"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSilenceWorld(1, 3, true)
				w.burst(t, 40, sharingPrefix(0))
				home := "r0"
				for _, id := range []string{"r1", "r2"} {
					if w.takenBy(id) > w.takenBy(home) {
						home = id
					}
				}
				w.set(home, silent)
				w.drop()
				ask := sharingPrefix(0)
				w.burst(t, callsBefore, func(i int) CallRequest {
					req := ask(i)
					if name == "history" {
						req.CachedTokens = map[string]int{replica(0, "a").RunID(): 0}
						for n := range 3 {
							if rep := replica(n, "a"); rep.ID == home {
								req.CachedTokens = map[string]int{rep.RunID(): 5000}
							}
						}
					}
					return req
				})
				if got := w.takenBy(home); got > 5 {
					t.Errorf("the silent replica took %d of %d turns, want at most 5: %v", got, callsBefore, w.taken)
				}
				w.awaitCalls()
			})
		})
	}
}

// TestPreferredReplicaFallsSilent guards against boxes that all send the turns of a prefix to the replica that is assigned
// to it although none of them has got a response from it.
func TestPreferredReplicaFallsSilent(t *testing.T) {
	const boxes = 6
	synctest.Test(t, func(t *testing.T) {
		w := newSilenceWorld(boxes, 8, true)
		demand := sched.PrefixDemand{Service: "s", Calls: 160}
		for i := range 16 {
			demand.Parts = append(demand.Parts, sched.PartDemand{ID: fmt.Sprintf("prefix%d", i), Tokens: testPrefix, Calls: 10, Programs: 8})
		}
		for _, box := range w.boxes {
			configureMemory(box, testMemory)
			take(t, box, prefixAsk(99, "own")).Done(Answered, 0)
			box.UpdatePrefixDemand("other", demand)
		}
		time.Sleep(time.Second)
		for _, box := range w.boxes {
			box.updatePrefixes(time.Now(), "s")
		}
		preferred := preferredFor(w.boxes[0], 0, "a")
		for _, id := range preferred {
			w.set(id, silent)
		}
		const turns = callsBefore * boxes
		for i := range turns {
			w.send(t, i%boxes, prefixAsk(0, fmt.Sprintf("p%d", i)))
			time.Sleep(callsEvery / boxes)
		}
		if got := w.takenBy(preferred...); got > 5*boxes*len(preferred) {
			t.Errorf("%v took %d of %d turns of %d boxes, want at most 5 of each box: %v", preferred, got, turns, boxes, w.taken)
		}
		t.Logf("%v took %d of %d turns: %v", preferred, w.takenBy(preferred...), turns, w.taken)
		w.awaitCalls()
	})
}

// TestLogOutageMovesPrograms guards against programs that leave the replica which holds their prompts because this box
// delays first events until the log is back.
func TestLogOutageMovesPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, _ := newTargets(3, true)
		ask := sharingPrefix(0)(0)
		first := take(t, targets, ask)
		first.RecordFirstEvent(soundTime)
		first.Done(Answered, soundTime)
		home := first.Replica.ID
		var held []*Lease
		for i := range 5 {
			lease := take(t, targets, sharingPrefix(0)(i))
			if lease.Replica.ID != home {
				t.Errorf("turn %d went to %s, want %s", i, lease.Replica.ID, home)
			}
			resume := lease.HoldResponse()
			time.AfterFunc(5*time.Second, resume)
			held = append(held, lease)
			time.Sleep(time.Second)
		}
		for i, lease := range held {
			if i > 0 {
				lease.RecordFirstEvent(5 * time.Second)
			}
			lease.Done(Answered, soundTime)
		}
		time.Sleep(5 * time.Second)
		for _, s := range targets.services["s"] {
			if s.inFlight != 0 || s.awaited != 0 || s.silence.Unanswered() != 0 {
				t.Errorf("%s: %d calls in flight, %d awaited, %d unanswered in the end", s.ID, s.inFlight, s.awaited, s.silence.Unanswered())
			}
		}
	})
}
