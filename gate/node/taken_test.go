package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/drain"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/relay"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// breakingOnce breaks the first call off after breaksAfter and answers the others.
type breakingOnce struct {
	sent        int
	breaksAfter time.Duration
}

func (s *breakingOnce) Send(context.Context, *target.Lease, *work.Call, time.Duration) (work.Reply, error) {
	s.sent++
	if s.sent == 1 {
		time.Sleep(s.breaksAfter)
		return work.Reply{}, fault.Fail(fault.TargetFailed, "the connection broke")
	}
	time.Sleep(50 * time.Millisecond)
	return work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: wholeBody{strings.NewReader("x")}}, nil
}

func (*breakingOnce) Open(work.Replica, int) target.Pool { return idlePool{} }

type idlePool struct{}

func (idlePool) Close()        {}
func (idlePool) SetLimit(int)  {}
func (idlePool) HasIdle() bool { return true }

type wholeBody struct{ io.Reader }

func (wholeBody) Close() {}

type nobody struct{}

func (nobody) Begin(work.Head) error { return nil }
func (nobody) Write([]byte) error    { return nil }

type noMetrics struct{}

func (noMetrics) Count(string, int64)        {}
func (noMetrics) Time(string, time.Duration) {}

// TestCallTakenInStopIsFinishedOnAnotherReplica guards against a call that a stopping box has taken and passed on, and gives
// up with half of the grace period left when its replica breaks the answer off.
func TestCallTakenInStopIsFinishedOnAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &breakingOnce{breaksAfter: 2 * time.Second}
		targets := target.New("z", replicas, crash.New(nil, nil, nil), slog.New(slog.DiscardHandler))
		targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "tool", Connections: 100}}, work.Limits{}))
		for _, addr := range []string{"10.0.0.1:1000", "10.0.0.2:1000"} {
			targets.Put(work.Replica{ID: addr, Service: "tool", Zone: "z", Addr: netip.MustParseAddrPort(addr)})
		}
		state := drain.New(drain.NewSchedule(8 * time.Second))
		forwarder := relay.New(targets, drainSender{Sender: replicas, drain: state}, memory.New(1<<20), noMetrics{}, slog.New(slog.DiscardHandler))
		state.Begin()
		time.Sleep(time.Second)
		call := &work.Call{ID: "i", Arrived: time.Now(), Deadline: time.Now().Add(9 * time.Second)}
		route := &work.Route{Name: "look", Kind: work.Repeatable, Splits: []work.Split{{Service: "tool", Weight: 1}}, Attempts: 3, Objective: 5 * time.Second}
		err := state.Run(t.Context(), func(ctx context.Context) error { return forwarder.Forward(ctx, call, route, nobody{}) })
		if err != nil {
			t.Errorf("after %v, sent %d times: %v", time.Since(call.Arrived), replicas.sent, err)
		}
		time.Sleep(time.Minute)
	})
}
