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

// claim starts a claim unless one is under way, was tried a moment ago, or the box leaves.
func (o *owner) claim() {
	if o.claiming || o.desk != nil || o.releasing != nil {
		return
	}
	if time.Since(o.lastTry) < claimPause {
		o.refuseWaiting(notOwner())
		return
	}
	o.claiming = true
	o.lastTry = time.Now()
	o.svc.done.Go(func() {
		start := time.Now()
		ctx, stop := context.WithTimeout(o.svc.ctx, claimTimeout)
		defer stop()
		state, err := o.svc.claim(ctx, o.id)
		o.send(claimedMsg{state: state, err: err, took: time.Since(start)})
	})
}

// claim appends a claim and reads the stream up to it. It succeeds only if the claim is
// the newest in the log.
func (s *Slots) claim(ctx context.Context, id ident.Slot) (*fold.State, error) {
	mine := types.Claim{Box: s.self.Name, Incarnation: s.inc, Attempt: ident.RandomID()}
	data, err := json.Marshal(types.Entry{Claim: &mine})
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "claim does not encode").WithCause(err)
	}
	_, appendErr := s.log.Append(ctx, id.Stream(), data)
	if appendErr != nil && fault.From(appendErr).NotRun {
		return nil, appendErr
	}
	// An append whose answer was lost is settled by what the stream shows.
	state, err := s.readAll(ctx, id)
	if err != nil {
		return nil, err
	}
	if state.Owner != mine {
		return nil, fault.Refuse(fault.NotOwner, "another claim is newer").WithRetryAfter(claimPause)
	}
	return state, nil
}

// readAll folds the whole stream.
func (s *Slots) readAll(ctx context.Context, id ident.Slot) (*fold.State, error) {
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

func (o *owner) claimed(m claimedMsg) {
	o.claiming = false
	if m.err != nil {
		o.svc.logger.Debug("slots: claim failed", "slot", o.id.String(), "error", m.err)
		o.refuseWaiting(m.err)
		return
	}
	o.desk = desk.New(m.state, o.svc.inc)
	o.seq = m.state.Seq
	o.epoch.Store(m.state.Epoch)
	o.svc.counts.Count("slots.claims", 1)
	o.svc.counts.Time("slots.claim_time", m.took)
	o.svc.logger.Info("slots: claimed", "slot", o.id.String(), "epoch", m.state.Epoch, "programs", len(m.state.Programs), "took", m.took)
	for _, w := range o.svc.watchers {
		go w.Claimed(o.id)
	}
	waiting := o.waiting
	o.waiting = nil
	for _, w := range waiting {
		o.perform(w)
	}
}

func (o *owner) refuseWaiting(err error) {
	for _, m := range o.waiting {
		m.reply <- doReply{err: err}
	}
	o.waiting = nil
}
