package relay

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

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// fakeReplicas answers calls, except that the next call at the replica failOnce fails with the fault.
type fakeReplicas struct {
	failOnce string
	fault    error
	body     string
	// unsigned makes answers lack the replica's signature.
	unsigned bool
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
	return work.Reply{Head: work.Head{Status: http.StatusOK}, Signed: !r.unsigned, Body: fakeBody{strings.NewReader(r.body)}}, nil
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
			targets := target.New("z", replicas, crash.New(nil, nil, nil), quiet)
			targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "tool", Connections: 100}}, work.Limits{}))
			for i, id := range []string{"a", "b"} {
				targets.Put(work.Replica{ID: id, Service: "tool", Zone: "z", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i))})
			}
			r := New(targets, replicas, memory.NewBudgets(0).Answers, noCounts{}, quiet)
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

// countingAnswer counts the answers that have begun.
type countingAnswer struct {
	discardedAnswer
	begun int
}

func (a *countingAnswer) Begin(work.Head) error {
	a.begun++
	return nil
}

// TestUnsignedSuccessIsNotForwarded checks that a success without the replica's signature reaches no caller, whatever its
// kind and length.
func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	for kind, body := range map[work.Kind]string{work.Stream: "data: x\n\n", work.AtMostOnce: "short", work.Repeatable: strings.Repeat("x", 2*maxBuffered)} {
		t.Run(string(kind), func(t *testing.T) {
			replicas := &fakeReplicas{body: body, unsigned: true, sent: map[string]int{}}
			targets := target.New("z", replicas, crash.New(nil, nil, nil), quiet)
			targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "s", Connections: 100}}, work.Limits{}))
			targets.Put(work.Replica{ID: "a", Service: "s", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:1000")})
			out := &countingAnswer{}
			route := &work.Route{Name: "r", Kind: kind, Splits: []work.Split{{Service: "s", Weight: 1}}, Attempts: 1}
			call := &work.Call{ID: "i", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
			err := New(targets, replicas, memory.NewBudgets(0).Answers, noCounts{}, quiet).Forward(context.Background(), call, route, out)
			if !fault.Is(err, fault.Protocol) || fault.From(err).NotRun || out.begun != 0 {
				t.Errorf("%v, %d answers begun", err, out.begun)
			}
		})
	}
}

// unconnected opens pools without idle connections, so that no replica is preferred for having one.
type unconnected struct{ *fakeReplicas }

func (unconnected) Open(work.Replica, int) target.Pool { return busyPool{} }

type busyPool struct{ fakePool }

func (busyPool) HasIdle() bool { return false }

// goneAnswer is an answer whose caller takes nothing.
type goneAnswer struct{ discardedAnswer }

func (goneAnswer) Write([]byte) error { return fault.Fail(fault.CallerGone, "the caller is gone") }

// TestGoneCallerDoesNotCountAgainstReplica checks that both replicas of a service get calls after many callers did not
// take their streams. Each such call counted as an incomplete answer, so that a replica was ejected.
func TestGoneCallerDoesNotCountAgainstReplica(t *testing.T) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	route := &work.Route{Name: "ask", Kind: work.Stream, Splits: []work.Split{{Service: "model", Weight: 1}}, Attempts: 1}
	replicas := unconnected{&fakeReplicas{body: "data: x\n\n", sent: map[string]int{}}}
	targets := target.New("z", replicas, crash.New(nil, nil, nil), quiet)
	targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "model", Connections: 100}}, work.Limits{}))
	for i, id := range []string{"a", "b"} {
		targets.Put(work.Replica{ID: id, Service: "model", Zone: "z", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i))})
	}
	r := New(targets, replicas, memory.NewBudgets(0).Answers, noCounts{}, quiet)
	forward := func(out work.Answer) error {
		return r.Forward(context.Background(), &work.Call{ID: "i", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}, route, out)
	}
	for range 40 {
		if err := forward(goneAnswer{}); !fault.Is(err, fault.CallerGone) {
			t.Fatalf("a caller that is gone: %v", err)
		}
	}
	clear(replicas.sent)
	for range 40 {
		if err := forward(discardedAnswer{}); err != nil {
			t.Fatal(err)
		}
	}
	if replicas.sent["a"] == 0 || replicas.sent["b"] == 0 {
		t.Errorf("calls by replica: %v", replicas.sent)
	}
}

// TestBrokenOutcome checks what a stream that broke off at the end of the call's time says about its replica: nothing
// if its caller took the time, but an answer that is incomplete if the replica was silent.
func TestBrokenOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := fault.Fail(fault.TargetFailed, "")
		for _, c := range []struct {
			name           string
			write, silence time.Duration
			want           target.Outcome
		}{
			{"slow caller", 3 * time.Second, 0, target.Abandoned},
			{"silent replica", 0, 3 * time.Second, target.Incomplete},
		} {
			ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
			out := &timedAnswer{Answer: slowAnswer{delay: c.write}}
			if err := out.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.silence)
			if diff := cmp.Diff(c.want, brokenOutcome(ctx, out, broken)); diff != "" {
				t.Errorf("%s: outcome (-want +got):\n%s", c.name, diff)
			}
			if diff := cmp.Diff(c.write, out.writeTime); diff != "" {
				t.Errorf("%s: time of writes (-want +got):\n%s", c.name, diff)
			}
			stop()
		}
	})
}

// slowAnswer is an answer whose caller takes each write after a delay.
type slowAnswer struct {
	discardedAnswer
	delay time.Duration
}

func (s slowAnswer) Write([]byte) error {
	time.Sleep(s.delay)
	return nil
}
