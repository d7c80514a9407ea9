package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestTrialsOfSilentReplica guards against a silent replica that is tried so often that calls go on failing there, or so
// rarely that it stays unused long after it answers again.
func TestTrialsOfSilentReplica(t *testing.T) {
	start := time.Unix(0, 0)
	var silence Silence
	var sent []time.Duration
	for at := time.Duration(0); at < 2*time.Minute; at += 100 * time.Millisecond {
		if now := start.Add(at); !silence.Silent(now) {
			silence.Sent(now, 250*time.Millisecond)
			sent = append(sent, at)
		}
	}
	// The intervals double from 1 s after the first calls, up to 30 s.
	var want []time.Duration
	for _, ms := range []int{0, 100, 200, 1200, 2400, 4800, 9600, 19_200, 38_400, 68_400, 98_400} {
		want = append(want, time.Duration(ms)*time.Millisecond)
	}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Errorf("calls to a replica that never responds (-want +got):\n%s", diff)
	}
}

// TestResponseEndsSilence guards against a replica that stays silent after a response, and against a call that counts as
// unanswered for ever.
func TestResponseEndsSilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var silence Silence
		awaited := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				silence.Sent(now, 250*time.Millisecond)
				awaited++
			case 1:
				if awaited == 0 {
					continue
				}
				awaited--
				silence.Responded(now, awaited)
				if silence.Silent(now) {
					t.Fatal("silent right after a response")
				}
			case 2:
				if awaited == 0 {
					continue
				}
				awaited--
				silence.Withdrawn()
			case 3:
				awaited = max(0, awaited-1) // a call ends without a response, which counts
			}
			if silence.Unanswered() < awaited {
				t.Fatalf("%d calls without a response, but %d wait for one", silence.Unanswered(), awaited)
			}
			if silence.Unanswered() == 0 && (silence.Overdue(now) || silence.Silent(now)) {
				t.Fatal("silent without a call")
			}
		}
	})
}

// TestExpectedResponseFollowsLoad guards against responses that count as overdue because all replicas are loaded.
func TestExpectedResponseFollowsLoad(t *testing.T) {
	var r ResponseTime
	for i := range 200 {
		took := 50*time.Millisecond + time.Duration(i)*10*time.Millisecond
		if i > 20 && r.Expected() < took {
			t.Fatalf("a response after %v is overdue, expected within %v", took, r.Expected())
		}
		r.Observe(took)
	}
	for range 100 {
		r.Observe(50 * time.Millisecond)
	}
	if got := r.Expected(); got > 300*time.Millisecond {
		t.Errorf("responses are expected within %v although they took 50 ms for long", got)
	}
}
