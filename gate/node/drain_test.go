package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/drain"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// countingSender counts the calls that are sent.
type countingSender struct{ sent int }

func (s *countingSender) Send(context.Context, *target.Lease, *work.Call, time.Duration) (work.Reply, error) {
	s.sent++
	return work.Reply{}, nil
}

// TestRetryLateInStopIsNotSent checks that a call that has waited, for a replica, a trial or the store, until it could not
// end before the stop is not passed on, and that the replica chosen for it is not blamed.
func TestRetryLateInStopIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &countingSender{}
		sender := drainSender{Sender: replicas, drain: drain.New(drain.NewSchedule(8 * time.Second))}
		call := &work.Call{Deadline: time.Now().Add(20 * time.Second)}
		send := func() error {
			_, err := sender.Send(context.Background(), nil, call, time.Until(call.Deadline))
			return err
		}
		if err := send(); err != nil {
			t.Error(err)
		}
		sender.drain.Begin()
		time.Sleep(3 * time.Second)
		err := send()
		if !fault.From(err).NotRun || target.NotSentOutcome(err) == target.Unreached {
			t.Errorf("late call: %v", err)
		}
		if diff := cmp.Diff(1, replicas.sent); diff != "" {
			t.Errorf("calls sent (-want +got):\n%s", diff)
		}
		time.Sleep(time.Minute) // until the cut has been set
	})
}
