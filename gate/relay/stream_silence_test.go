package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// steadyReplicas answer with streams of an event every 100 ms for the given time. silent never answers.
type steadyReplicas struct {
	length time.Duration

	mu     sync.Mutex
	silent string
	sent   map[string]int
}

func (*steadyReplicas) Open(work.Replica, int) target.Pool { return fakePool{} }

func (r *steadyReplicas) Send(ctx context.Context, lease *target.Lease, _ *work.Call, _ time.Duration) (work.Reply, error) {
	r.mu.Lock()
	r.sent[lease.Replica.ID]++
	isSilent := lease.Replica.ID == r.silent
	r.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return work.Reply{}, ctx.Err()
	}
	return work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: &steadyStream{ctx: ctx, until: time.Now().Add(r.length)}}, nil
}

type steadyStream struct {
	ctx   context.Context
	until time.Time
}

func (s *steadyStream) Read(data []byte) (int, error) {
	if !time.Now().Before(s.until) {
		return 0, io.EOF
	}
	time.Sleep(100 * time.Millisecond)
	if s.ctx.Err() != nil {
		return 0, s.ctx.Err()
	}
	return copy(data, "data: x\n\n"), nil
}

func (*steadyStream) Close() {}

// TestSilentReplicaOfStreamsDrawsCalls guards against a replica from which nothing comes back and that gets streams as long as
// whole streams usually take, since their first events are not noticed.
func TestSilentReplicaOfStreamsDrawsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &steadyReplicas{length: 6 * time.Second, sent: map[string]int{}}
		targets := target.New("z", replicas, crash.New(nil, nil, nil), slog.New(slog.DiscardHandler))
		targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "s", Connections: 1000}}, work.Limits{}))
		for _, addr := range []string{"10.0.0.1:1000", "10.0.0.2:1000", "10.0.0.3:1000"} {
			targets.Put(work.Replica{ID: addr, Service: "s", Zone: "z", Addr: netip.MustParseAddrPort(addr)})
		}
		r := New(targets, replicas, memory.New(1<<20), noCounts{}, slog.New(slog.DiscardHandler))
		route := &work.Route{Name: "r", Kind: work.Stream, Splits: []work.Split{{Service: "s", Weight: 1}}, Attempts: 1}
		var calls sync.WaitGroup
		burst := func(n int) {
			for range n {
				calls.Go(func() {
					call := &work.Call{ID: "i", Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second)}
					_ = r.Forward(context.Background(), call, route, discardedAnswer{})
				})
				time.Sleep(100 * time.Millisecond)
			}
		}
		burst(120)
		replicas.mu.Lock()
		replicas.silent = "10.0.0.1:1000"
		clear(replicas.sent)
		replicas.mu.Unlock()
		burst(120)
		calls.Wait()
		if got := replicas.sent[replicas.silent]; got > 12 {
			t.Errorf("the silent replica took %d of 120 streams in 12 s, want at most 12: %v", got, replicas.sent)
		}
	})
}
