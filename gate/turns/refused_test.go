package turns

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// threeReplicas returns targets with three replicas of the service model.
func threeReplicas(t *testing.T) *target.Targets {
	t.Helper()
	targets := target.New("z", fakePool{}, crash.New(nil, nil, nil), slog.New(slog.DiscardHandler))
	targets.Configure(work.NewConfig(1, nil, []work.Service{{Name: "model", Connections: 100}}, work.Limits{}))
	for i := range 3 {
		targets.Put(work.Replica{ID: fmt.Sprint("r", i), Service: "model", Zone: "z", Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", 1000+i))})
	}
	return targets
}

// lateSender breaks the first attempt off before its first event. The time of the turn ends while the second one connects.
type lateSender struct {
	sent int
	stop context.CancelFunc
}

func (s *lateSender) Send(context.Context, *target.Lease, *work.Call, time.Duration) (work.Reply, error) {
	s.sent++
	if s.sent == 1 {
		return work.Reply{}, fault.Fail(fault.TargetFailed, "the connection broke")
	}
	s.stop()
	return work.Reply{}, fault.Refuse(fault.NoTarget, "no connection was opened in time")
}

// TestTurnThatHasRunIsNotRefused guards against a turn that a replica may have run and whose caller is told that it has not
// run, since its time ended while another replica was to resume it.
func TestTurnThatHasRunIsNotRefused(t *testing.T) {
	tr := newAnsweredTurn(t, &caller{takes: 10}, &countingLedger{})
	tr.lease.Done(target.Answered, 0)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	tr.mayHaveRun, tr.lease, tr.route.Attempts = false, &target.Lease{}, 3
	tr.targets, tr.counts, tr.sender = threeReplicas(t), noCounts{}, &lateSender{stop: stop}
	tr.call.Turn = &work.Turn{Program: "p"}
	tr.route.Splits = []work.Split{{Service: "model", Weight: 1}}
	err := tr.run(ctx)
	if !tr.mayHaveRun || fault.From(err).NotRun {
		t.Errorf("may have run: %v, fault: %+v", tr.mayHaveRun, fault.From(err))
	}
}
