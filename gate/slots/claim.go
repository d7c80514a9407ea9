package slots

import (
	"context"
	"encoding/json"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/fold"
)

const (
	pageSize     = 1000
	claimTimeout = 10 * time.Second
)

// startClaim claims the slot in a new goroutine. It does nothing if the slot is owned, being
// claimed or being released, and rejects the waiting operations if the last attempt began
// less than claimRetryDelay ago.
func (o *owner) startClaim() {
	if o.claiming || o.state != nil || o.releasing != nil {
		return
	}
	if time.Since(o.lastClaim) < claimRetryDelay {
		o.rejectWaiting(notOwner())
		return
	}
	o.claiming = true
	o.lastClaim = time.Now()
	o.svc.goroutines.Go(func() {
		start := time.Now()
		ctx, stop := context.WithTimeout(o.svc.ctx, claimTimeout)
		defer stop()
		state, err := o.svc.appendClaim(ctx, o.id)
		o.send(claimedMsg{state: state, err: err, took: time.Since(start)})
	})
}

// appendClaim appends a claim and reads the whole stream. It returns the slot's state if the
// claim is the newest in the log, and an error otherwise.
func (s *Slots) appendClaim(ctx context.Context, id ident.Slot) (*fold.State, error) {
	claim := types.Claim{Box: s.self.Name, Incarnation: s.incarnation, Attempt: ident.RandomID()}
	data, err := json.Marshal(types.Entry{Claim: &claim})
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot encode the claim").WithCause(err)
	}
	_, appendErr := s.log.Append(ctx, id.Stream(), data)
	if appendErr != nil && fault.From(appendErr).NotRun {
		return nil, appendErr
	}
	// If the append failed without proof that it did not run, the stream shows whether it did.
	state, err := s.readStream(ctx, id)
	if err != nil {
		return nil, err
	}
	if state.Owner != claim {
		return nil, fault.Refuse(fault.NotOwner, "another claim is newer").WithRetryAfter(claimRetryDelay)
	}
	return state, nil
}

// readStream reads the slot's whole stream and returns the state that it gives.
func (s *Slots) readStream(ctx context.Context, id ident.Slot) (*fold.State, error) {
	state := fold.New()
	for {
		page, err := s.log.Read(ctx, id.Stream(), state.NextOffset, pageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			state.ApplyLogEntry(entry)
		}
		state.NextOffset = max(state.NextOffset, page.First)
		if state.NextOffset >= page.Next {
			return state, nil
		}
	}
}

func (o *owner) finishClaim(m claimedMsg) {
	o.claiming = false
	if m.err != nil {
		o.svc.logger.Debug("slots: claim failed", "slot", o.id.String(), "error", m.err)
		o.rejectWaiting(m.err)
		return
	}
	o.state = desk.New(m.state, o.svc.incarnation)
	o.seq = m.state.Seq
	o.epoch.Store(m.state.Epoch)
	o.svc.counts.Count("slots.claims", 1)
	o.svc.counts.Time("slots.claim_time", m.took)
	o.svc.logger.Info("slots: claimed slot", "slot", o.id.String(), "epoch", m.state.Epoch, "programs", len(m.state.Programs), "took", m.took)
	for _, w := range o.svc.watchers {
		go w.Claimed(o.id)
	}
	waiting := o.waiting
	o.waiting = nil
	for _, w := range waiting {
		o.perform(w)
	}
}

func (o *owner) rejectWaiting(err error) {
	for _, m := range o.waiting {
		m.reply <- operationReply{err: err}
	}
	o.waiting = nil
}
