package remote

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"mulleingate.dev/gate/work"
)

// recordedTurns answers each turn with a head and records its call.
type recordedTurns struct {
	Turns
	head work.Head
	got  *work.Call
}

func (r *recordedTurns) RunHere(_ context.Context, _ int, _ []work.Box, call *work.Call, _ *work.Route, out work.Answer) error {
	r.got = call
	return out.Begin(r.head)
}

// startOwner starts the server of a box that runs turns, without its handlers in missing.
func startOwner(t *testing.T, turns Turns, missing ...string) work.Box {
	t.Helper()
	owner := NewServer(work.Box{}, turns, nil, nil, nil, nil, nil, &panicCounts{}, slog.New(slog.DiscardHandler))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, path := range missing {
			if r.URL.Path == path {
				http.NotFound(w, r)
				return
			}
		}
		owner.http.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
}

// TestUnreadableTurnHasNotRun guards against a 502 for a turn that its owner could not read, and so has not run.
func TestUnreadableTurnHasNotRun(t *testing.T) {
	whole, err := frame(turnRequest{Call: &work.Call{ID: "i", Turn: &work.Turn{Program: "p"}}, Route: &work.Route{}})
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string]string{
		"empty":          "",
		"long header":    "\xff\xff\xff\xff",
		"not JSON":       "\x00\x00\x00\x02{x",
		"header cut off": string(whole[:len(whole)/2]),
		"no call":        "\x00\x00\x00\x02{}",
	} {
		turns := &recordedTurns{}
		box := startOwner(t, turns)
		resp, err := http.Post("http://"+box.Peer.String()+turnPath, "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close() // it was read
		var got turnResponse
		if err := unframe(bytes.NewReader(raw), &got); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.Problem == nil || !got.Problem.NotRun || turns.got != nil {
			t.Errorf("%s: answer %+v, run: %t", name, got.Problem, turns.got != nil)
		}
	}
}
