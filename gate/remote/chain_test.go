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
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
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

// headAnswer records the head of an answer.
type headAnswer struct{ head work.Head }

func (h *headAnswer) Begin(head work.Head) error {
	h.head = head
	return nil
}

func (*headAnswer) Write([]byte) error { return nil }

// startOwner starts the server of a box that runs turns, without its handlers in missing.
func startOwner(t *testing.T, turns Turns, missing ...string) work.Box {
	t.Helper()
	owner := NewServer(work.Box{}, turns, nil, nil, nil, nil, nil, memory.NewBudgets(0).Bodies, &panicCounts{}, slog.New(slog.DiscardHandler))
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

// TestLongChainsTravel guards against turns that can't be forwarded since the chain that they continue is long.
func TestLongChainsTravel(t *testing.T) {
	for _, size := range []int{0, 1, maxInlineBase, maxInlineBase + 1, 150 << 10, 278_800, 1 << 20, 16 << 20} {
		turns := &recordedTurns{head: work.Head{Status: http.StatusOK}}
		box := startOwner(t, turns)
		client := newNearClient()
		base := bytes.Repeat([]byte("chain "), size/6+1)[:size]
		body := bytes.Repeat([]byte("input "), size/60+1)
		call := &work.Call{ID: "i", Method: http.MethodPost, Body: body, Turn: &work.Turn{Program: "p", Previous: "t", Base: base}, Deadline: time.Now().Add(5 * time.Second), Arrived: time.Now()}
		if err := client.Turn(context.Background(), box, 0, nil, call, &work.Route{}, &headAnswer{}); err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		if !bytes.Equal(base, turns.got.Turn.Base) || !bytes.Equal(body, turns.got.Body) {
			t.Errorf("%d bytes: a chain of %d bytes and a body of %d of %d arrived", size, len(turns.got.Turn.Base), len(turns.got.Body), len(body))
		}
		client.CloseAllExcept(nil)
	}
}

// TestLongChainForEarlierVersion checks that a box which does not know how long chains travel is sent none in a form that it
// would misread: the turn has not run.
func TestLongChainForEarlierVersion(t *testing.T) {
	turns := &recordedTurns{head: work.Head{Status: http.StatusOK}}
	box := startOwner(t, turns, chainTurnPath)
	client := newNearClient()
	defer client.CloseAllExcept(nil)
	call := &work.Call{ID: "i", Method: http.MethodPost, Turn: &work.Turn{Program: "p", Base: make([]byte, 1<<20)}, Deadline: time.Now().Add(5 * time.Second), Arrived: time.Now()}
	err := client.Turn(context.Background(), box, 0, nil, call, &work.Route{}, &headAnswer{})
	if f := fault.From(err); !fault.Is(err, fault.OwnerUnavailable) || !f.NotRun {
		t.Errorf("fault %+v, want a refusal", f)
	}
	call.Turn.Base = call.Turn.Base[:maxInlineBase]
	if err := client.Turn(context.Background(), box, 0, nil, call, &work.Route{}, &headAnswer{}); err != nil {
		t.Error(err)
	}
}

// TestTextsThatAreNotUTF8Travel guards against headers and names that arrive changed at the owner of a slot, or at the caller,
// since messages between boxes are JSON.
func TestTextsThatAreNotUTF8Travel(t *testing.T) {
	const latin1, valid = "caf\xe9 \xff\x80", "café"
	head := work.Head{Status: http.StatusOK, Header: http.Header{"X-Name": {latin1, valid}}, Length: -1}
	for _, text := range []string{latin1, valid, "plain"} {
		turns := &recordedTurns{head: head}
		box := startOwner(t, turns)
		client := newNearClient()
		call := &work.Call{
			ID: text, Method: http.MethodPost, Host: "h", Target: "/x?" + text, Header: http.Header{"X-Name": {text, valid}}, Body: []byte(text),
			Prompt: &work.Prompt{Tokens: 1, Parts: []work.Part{{ID: text, Tokens: 1}}}, Turn: &work.Turn{Program: text, Previous: text, Budget: -1},
			Deadline: time.Now().Add(5 * time.Second), Arrived: time.Now(),
		}
		answer := &headAnswer{}
		if err := client.Turn(context.Background(), box, 0, nil, call, &work.Route{}, answer); err != nil {
			t.Fatal(err)
		}
		got := *turns.got
		got.Deadline, got.Arrived = call.Deadline, call.Arrived
		if diff := cmp.Diff(*call, got); diff != "" {
			t.Errorf("%q: call (-want +got):\n%s", text, diff)
		}
		if diff := cmp.Diff(head, answer.head); diff != "" {
			t.Errorf("%q: head (-want +got):\n%s", text, diff)
		}
		client.CloseAllExcept(nil)
	}
}

// TestUnreadableTurnHasNotRun guards against a 502 for a turn that its owner could not read, and so has not run.
func TestUnreadableTurnHasNotRun(t *testing.T) {
	whole, err := frame(turnRequest{Call: &work.Call{ID: "i", Turn: &work.Turn{Program: "p"}}, Route: &work.Route{}, BaseBytes: 1000})
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string]string{
		"empty":           "",
		"long header":     "\xff\xff\xff\xff",
		"not JSON":        "\x00\x00\x00\x02{x",
		"header cut off":  string(whole[:len(whole)/2]),
		"no call":         "\x00\x00\x00\x02{}",
		"chain cut off":   string(whole) + "chain",
		"negative length": strings.Replace(string(whole), `"base_bytes":1000`, `"base_bytes":-999`, 1),
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
