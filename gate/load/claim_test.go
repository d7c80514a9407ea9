package load

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// TestClaimsOfOneRequest checks that one box at a time gets the only trial of a request, whichever boxes ask, and that a
// box that does not respond holds no trial up for long.
func TestClaimsOfOneRequest(t *testing.T) {
	boxes := fleet{{Name: "a", Zone: "z", Peer: freePort(t)}, {Name: "b", Zone: "z", Peer: freePort(t)}, {Name: "c", Zone: "y", Peer: freePort(t)}}
	watches := map[string]*Watch{}
	for _, box := range boxes {
		targets := &fakeTargets{loads: map[string]work.Load{}, failing: map[string]float64{}}
		watches[box.Name] = New(box, reporter{}, targets, &fakeCrashes{}, boxes, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := watches[box.Name].Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	for _, req := range []work.Fingerprint{"x", "y", "some other", "one more"} {
		got := []bool{watches["a"].Claim(req, 1), watches["b"].Claim(req, 2), watches["c"].Claim(req, 3)}
		if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
			t.Errorf("%s: claims granted (-want +got):\n%s", req, diff)
		}
		watches["a"].Release(req, 1)
		granted := false
		for end := time.Now().Add(time.Second); time.Now().Before(end) && !granted; time.Sleep(5 * time.Millisecond) {
			granted = watches["c"].Claim(req, 4)
		}
		if !granted {
			t.Errorf("%s: no claim granted after the release", req)
		}
	}
	for _, name := range []string{"a", "b"} {
		_ = watches[name].Stop(context.Background()) // it only closes a socket
	}
	for _, req := range []work.Fingerprint{"p", "q", "r", "s", "t"} {
		start := time.Now()
		if !watches["c"].Claim(req, 5) {
			t.Errorf("%s: not granted although the other boxes are gone", req)
		}
		if took := time.Since(start); took > 10*claimAttempts*claimTimeout {
			t.Errorf("%s: took %v", req, took)
		}
	}
	_ = watches["c"].Stop(context.Background()) // it only closes a socket
}
