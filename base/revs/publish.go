package revs

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error)
}

const (
	pageSize    = 500
	settlePause = 200 * time.Millisecond
)

// HistoryEntry is an entry with the fold's verdict.
type HistoryEntry struct {
	Offset   int64          `json:"offset"`
	Revision types.Revision `json:"revision"`
	Verdict  Verdict        `json:"verdict"`
}

// History folds the whole stream and returns every entry that is still kept.
func History(ctx context.Context, log Log, keys []ed25519.PublicKey) (*StreamState, []HistoryEntry, error) {
	fold := New(keys)
	var all []HistoryEntry
	for {
		page, err := log.Read(ctx, Stream, fold.Next, pageSize)
		if err != nil {
			return nil, nil, err
		}
		for _, entry := range page.Entries {
			rev, verdict := fold.Apply(entry)
			all = append(all, HistoryEntry{Offset: entry.Offset, Revision: rev, Verdict: verdict})
		}
		fold.Next = max(fold.Next, page.First)
		if fold.Next >= page.Next {
			return fold, all, nil
		}
	}
}

// Draft is what an operator wants in force.
type Draft struct {
	// Base is the revision that the draft was made from.
	Base   int64
	Author string
	Note   string
	Config types.Config
}

// Publish appends the draft if its base is in force, and returns the accepted revision.
// Of operators who race, exactly one wins; the others get revision_conflict. An append
// whose answer is lost is settled by reading back.
// keys are the public keys of all operators, as the boxes' settings have them.
func Publish(ctx context.Context, log Log, key ed25519.PrivateKey, keys []ed25519.PublicKey, draft Draft) (types.Revision, error) {
	if err := Check(draft.Config); err != nil {
		return types.Revision{}, err
	}
	rev, err := Sign(types.Revision{
		Number: draft.Base + 1, Base: draft.Base, ID: ident.RandomID(), Author: draft.Author, Note: draft.Note,
		At: time.Now().UTC(), Config: draft.Config,
	}, key)
	if err != nil {
		return rev, err
	}
	raw, err := json.Marshal(rev)
	if err != nil {
		return rev, fault.Refuse(fault.Internal, "revision does not encode").WithCause(err)
	}
	_, appendErr := log.Append(ctx, Stream, raw)
	if appendErr != nil && fault.From(appendErr).NotRun {
		return rev, appendErr
	}
	return rev, settle(ctx, log, keys, rev)
}

// settle reads the stream until it shows what became of the revision.
func settle(ctx context.Context, log Log, keys []ed25519.PublicKey, rev types.Revision) error {
	for {
		verdict, found, err := outcome(ctx, log, keys, rev)
		if err == nil && found {
			return told(verdict)
		}
		select {
		case <-ctx.Done():
			return fault.Fail(fault.OutcomeUnknown, "the revision may have been published; look at the history").WithCause(err)
		case <-time.After(settlePause):
		}
	}
}

func outcome(ctx context.Context, log Log, keys []ed25519.PublicKey, rev types.Revision) (Verdict, bool, error) {
	fold, all, err := History(ctx, log, keys)
	if err != nil {
		return "", false, err
	}
	for _, seen := range all {
		if seen.Revision.ID == rev.ID && !seen.Revision.IsCopy {
			return seen.Verdict, true, nil
		}
	}
	current := fold.Current
	if current != nil && current.Number >= rev.Number {
		return LostRace, true, nil
	}
	return "", false, nil
}

func told(verdict Verdict) error {
	switch verdict {
	case Accepted, AlreadyKnown:
		return nil
	case LostRace:
		return fault.Refuse(fault.RevisionConflict, "another revision was published first; diff and publish again")
	default:
		return fault.Refuse(fault.BadConfig, "the log shows the revision as "+string(verdict))
	}
}

// Keys lists public keys.
func Keys(keys ...ed25519.PublicKey) []ed25519.PublicKey {
	return keys
}
