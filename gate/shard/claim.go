package shard

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// ownerKey is the key of the record that names the owner of a slot.
const ownerKey = "owner"

// owner is the value of that record.
type owner struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
}

// An epoch is a rising count with a mark of the claimant below it, so that two boxes that
// claim side by side never write under the same epoch.
const (
	markBits  = 20
	maxFences = 12
)

func (s *Shards) epoch(count int64) int64 {
	mark := int64(xxhash.Sum64String(s.self.Name+s.self.Incarnation) & (1<<markBits - 1))
	return count<<markBits | mark
}

// acquire makes this box the owner: it asks the owner before to finish, fences it off, and
// only then reads what it may have written last.
func (s *Shards) acquire(number int) (*Slot, error) {
	shard := work.Shard{Topic: work.Turns, Number: number}
	load := &loading{state: chain.New(), log: s}
	// Only each answer is bounded, not all: a box that can't read a large slot within some time would
	// begin again and again, and the slot's programs would have no owner.
	next, err := work.AllNewest(s.ctx, s.log, shard, callTimeout, load.take)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(s.ctx, callTimeout+handoverWait)
	defer stop()
	if s.ask(ctx, number, load.owner) {
		// The owner before may have written many records since they were read.
		s.logger.Info("shard: slot handed over", "slot", number, "from", load.owner.Box)
	}
	epoch, err := s.fence(ctx, shard, load.owner.Epoch>>markBits)
	if err != nil {
		return nil, err
	}
	if err := s.catchUp(ctx, shard, next, load); err != nil {
		return nil, err
	}
	slot := newSlot(s, number, epoch, load.state)
	raw, err := json.Marshal(owner{Box: s.self.Name, Incarnation: s.self.Incarnation, Epoch: epoch})
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "owner does not encode").Because(err)
	}
	return slot, slot.Write(ctx, []work.Record{{Key: ownerKey, Value: raw}})
}

// ask asks the owner before for the slot, if it lives. Without an answer the claim goes on:
// the fence keeps it safe.
func (s *Shards) ask(ctx context.Context, number int, before owner) bool {
	box, ok := s.boxes.Find(before.Box, before.Incarnation)
	if !ok || box.Name == s.self.Name {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, handoverWait)
	defer stop()
	if err := s.peers.Handover(ctx, box, number); err != nil {
		s.logger.Warn("shard: slot not handed over", "slot", number, "from", box.Name, "cause", err)
		return false
	}
	return true
}

// fence takes an epoch above count.
func (s *Shards) fence(ctx context.Context, shard work.Shard, count int64) (int64, error) {
	var err error
	step := int64(1)
	for range maxFences {
		count += step
		epoch := s.epoch(count)
		err = s.log.Append(ctx, shard, work.Writer{Epoch: epoch}, nil)
		if err == nil {
			return epoch, nil
		}
		if !fault.Is(err, fault.NotOwner) {
			return 0, err
		}
		step *= 2
	}
	return 0, err
}

// catchUp folds what was written since offset next.
func (s *Shards) catchUp(ctx context.Context, shard work.Shard, next int64, load *loading) error {
	for {
		page, err := s.log.Read(ctx, shard, next, 0)
		if fault.Is(err, fault.HistoryGone) {
			*load = loading{state: chain.New(), log: s}
			_, err = work.AllNewest(s.ctx, s.log, shard, callTimeout, load.take)
			return err
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		for _, rec := range page.Records {
			load.take(rec)
		}
		next = page.Next
	}
}

// loading folds the records of a slot.
type loading struct {
	state *chain.State
	owner owner
	log   *Shards
}

func (l *loading) take(rec work.Record) {
	if rec.Key == ownerKey {
		if err := json.Unmarshal(rec.Value, &l.owner); err != nil {
			l.log.logger.Error("shard: malformed owner in the log", "cause", err)
		}
		return
	}
	if err := l.state.Apply(rec); err != nil {
		l.log.logger.Error("shard: malformed record in the log", "key", rec.Key, "cause", err)
	}
}
