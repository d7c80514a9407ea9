package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// fakeReplicas answers calls, except that the next call at the replica failOnce fails with the fault.
type fakeReplicas struct {
	failOnce string
	fault    error
	// sent counts the calls by replica, failed ones included.
	sent map[string]int
}

func (*fakeReplicas) Open(work.Replica, int) target.Pool { return fakePool{} }

func (r *fakeReplicas) Send(_ context.Context, lease *target.Lease, _ *work.Call, _ time.Duration) (work.Reply, error) {
	r.sent[lease.Replica.ID]++
	if lease.Replica.ID == r.failOnce {
		r.failOnce = ""
		return work.Reply{}, r.fault
	}
	return work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: true, Body: fakeBody{strings.NewReader("")}}, nil
}

type fakePool struct{}

func (fakePool) Close()        {}
func (fakePool) SetLimit(int)  {}
func (fakePool) HasIdle() bool { return true }

type fakeBody struct{ io.Reader }

func (fakeBody) Close() {}

// noCounts records no metrics.
type noCounts struct{}

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}

// discardedAnswer is an answer that nobody reads.
type discardedAnswer struct{}

func (discardedAnswer) Begin(work.Head) error { return nil }
func (discardedAnswer) Write([]byte) error    { return nil }

// TestFullPoolDoesNotAvoidReplica checks that a call for which no connection to a replica is free goes to another
// replica, that later calls still go to the first one, and that none does for a while if it could not be reached.
// A full pool was taken for a replica that was not reached.
func TestFullPoolDoesNotAvoidReplica(t *testing.T) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	route := &work.Route{Name: "look", Kind: work.Repeatable, Splits: []work.Split{{Service: "tool", Weight: 1}}, Attempts: 2}
	for _, c := range []struct {
		name  string
		fault error
		// avoided is whether later calls avoid the replica.
		avoided bool
	}{
		{"pool full", fault.Refuse(fault.Overloaded, "no connection to the target is free"), false},
		{"no connection", fault.Refuse(fault.NoTarget, "cannot connect to the target"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			replicas := &fakeReplicas{failOnce: "a", fault: c.fault, sent: map[string]int{}}
			targets := target.New("z", replicas, quiet)
			targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "tool", Connections: 100}}, work.Limits{}))
			for i, id := range []string{"a", "b"} {
				targets.Put(work.Replica{ID: id, Service: "tool", Zone: "z", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i))})
			}
			r := New(targets, replicas, noCounts{}, quiet)
			forward := func() {
				t.Helper()
				call := &work.Call{ID: "i", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
				if err := r.Forward(context.Background(), call, route, discardedAnswer{}); err != nil {
					t.Fatal(err)
				}
			}
			for replicas.failOnce != "" {
				forward() // until a call has failed at the replica
			}
			replicas.sent["a"] = 0
			for range 40 {
				forward()
			}
			if diff := cmp.Diff(c.avoided, replicas.sent["a"] == 0); diff != "" {
				t.Errorf("replica is avoided (-want +got):\n%s", diff)
			}
		})
	}
}
