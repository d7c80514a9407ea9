package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/spool"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// quietLog is a fake log with one configuration, one replica and one member. It gets no further records.
type quietLog struct{ member string }

func (quietLog) Append(context.Context, work.Shard, work.Writer, []work.Record) error { return nil }
func (quietLog) Newest(_ context.Context, shard work.Shard, _ string) (work.Batch, error) {
	if shard.Number > 0 || (shard.Topic != work.Settings && shard.Topic != work.Replicas) {
		return work.Batch{Next: 1}, nil
	}
	return work.Batch{Records: []work.Record{{Key: "one", Value: []byte("one")}}, Next: 1}, nil
}

func (quietLog) Read(ctx context.Context, _ work.Shard, from int64, wait time.Duration) (work.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return work.Page{Next: from}, ctx.Err()
}
func (quietLog) Join(context.Context, string, int64, time.Duration) (int64, error) { return 1, nil }
func (quietLog) Leave(context.Context, string) error                               { return nil }
func (l quietLog) Members(context.Context) ([]string, error)                       { return []string{l.member}, nil }

// coldDecoder decodes each record to the same configuration or to the same cold replica.
type coldDecoder struct{}

func (coldDecoder) Config(work.Record) (*work.Config, error) {
	route := work.Route{Name: "look", Host: "h", Prefix: "/", Kind: work.Repeatable, Timeout: time.Second, Splits: []work.Split{{Service: "tool", Weight: 1}}, Attempts: 1}
	tool := work.Service{Name: "tool", Connections: 10, WarmupTime: time.Minute, WarmupRate: 20}
	return work.NewConfig(1, []work.Route{route}, []work.Service{tool}, work.Limits{}), nil
}

func (coldDecoder) Replica(work.Record) (work.Replica, error) {
	return work.Replica{ID: "one", Service: "tool", Zone: "a", Addr: netip.MustParseAddrPort("127.0.0.1:1"), WarmupLeft: time.Minute}, nil
}
func (coldDecoder) Evacuation(string) (zone string, ok bool) { return "", false }

// okReplicas answers each call with an empty body.
type okReplicas struct{}

func (okReplicas) Open(work.Replica, int) target.Pool { return okPool{} }
func (okReplicas) Send(context.Context, *target.Lease, *work.Call, time.Duration) (work.Reply, error) {
	return work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: emptyBody{strings.NewReader("")}}, nil
}
func (okReplicas) Report(context.Context, work.Replica) (work.Load, error) { return work.Load{}, nil }
func (okReplicas) Probe(context.Context, work.Replica) crash.Contact       { return crash.Alive }

type okPool struct{}

func (okPool) Close()        {}
func (okPool) SetLimit(int)  {}
func (okPool) HasIdle() bool { return true }

type emptyBody struct{ io.Reader }

func (emptyBody) Close() {}

// statusAnswer is an answer that keeps only the status.
type statusAnswer struct{ status int }

func (a *statusAnswer) Begin(head work.Head) error { a.status = head.Status; return nil }
func (*statusAnswer) Write([]byte) error           { return nil }

// noFront is a front without listeners.
type noFront struct{}

func (noFront) Start(context.Context) error { return nil }
func (noFront) Stop(context.Context) error  { return nil }

// startBox starts a box with fakes for the log and the replicas, and waits until it is ready.
func startBox(t *testing.T) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := work.Box{Name: "a", Zone: "a", Peer: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: "1"}
	_ = ln.Close() // it only found a free port
	counts, logger := meter.New(), slog.New(slog.NewTextHandler(io.Discard, nil))
	n := New(Deps{
		Self: self, Slots: 2, RecordBytes: 1 << 16, Log: quietLog{self.Member()}, Decoder: coldDecoder{}, Replicas: okReplicas{},
		Logger: logger, Meter: counts, Timing: view.DefaultTiming(),
		Zones: []string{"a"}, Regions: work.Regions{"a": "r"}, Spool: spool.New(spool.Limits{}.Fill(0), counts, logger), Memory: memory.NewBudgets(0),
	})
	if err := n.Start(context.Background(), noFront{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.kern.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	for end := time.Now().Add(10 * time.Second); !n.Ready() || !n.view.Settled(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the box is not ready")
		}
	}
	return n
}

// TestCallReachesColdReplica checks that an assembled box sends a call to a cold replica. The check whether it
// may do so used a nil pointer, so that each such call panicked.
func TestCallReachesColdReplica(t *testing.T) {
	n := startBox(t)
	var out statusAnswer
	call := &work.Call{ID: "i", Method: http.MethodGet, Host: "h", Target: "/x", Arrived: time.Now()}
	if err := n.Handle(context.Background(), call, time.Second, &out); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(http.StatusOK, out.status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}
