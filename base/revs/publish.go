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

// Log appends to and reads the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error)
}

const (
	pageSize = 500 // entries
	// readBackInterval is the delay between two reads of the stream for the verdict on an append.
	readBackInterval = 200 * time.Millisecond
)

// HistoryEntry is an entry of the stream with the verdict on it.
type HistoryEntry struct {
	Offset   int64          `json:"offset"`
	Revision types.Revision `json:"revision"`
	Verdict  Verdict        `json:"verdict"`
}

// History reads the whole stream. It returns its state and every retained entry.
func History(ctx context.Context, log Log, keys []ed25519.PublicKey) (*StreamState, []HistoryEntry, error) {
	state := New(keys)
	var all []HistoryEntry
	for {
		page, err := log.Read(ctx, Stream, state.Next, pageSize)
		if err != nil {
			return nil, nil, err
		}
		for _, entry := range page.Entries {
			rev, verdict := state.Apply(entry)
			all = append(all, HistoryEntry{Offset: entry.Offset, Revision: rev, Verdict: verdict})
		}
		state.Next = max(state.Next, page.First)
		if state.Next >= page.Next {
			return state, all, nil
		}
	}
}

// Draft is a configuration to be published.
type Draft struct {
	// Base is the number of the revision that the draft is based on.
	Base   int64
	Author string
	Note   string
	Config types.Config
}

// Publish signs and appends the draft, reads the stream back for the verdict and returns the
// accepted revision. If several operators publish on the same base, exactly one succeeds and the
// others get a RevisionConflict fault. If ctx ends before the verdict is known, the fault is
// OutcomeUnknown. The keys are the public keys of all operators, as in the boxes' settings.
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
		return rev, fault.Refuse(fault.Internal, "cannot encode revision").WithCause(err)
	}
	_, appendErr := log.Append(ctx, Stream, raw)
	if appendErr != nil && fault.From(appendErr).NotRun {
		return rev, appendErr
	}
	return rev, awaitVerdict(ctx, log, keys, rev)
}

// awaitVerdict reads the stream until it shows the verdict on the revision.
func awaitVerdict(ctx context.Context, log Log, keys []ed25519.PublicKey, rev types.Revision) error {
	for {
		verdict, found, err := findVerdict(ctx, log, keys, rev)
		if err == nil && found {
			return verdictError(verdict)
		}
		select {
		case <-ctx.Done():
			return fault.Fail(fault.OutcomeUnknown, "the revision may have been published; look at the history").WithCause(err)
		case <-time.After(readBackInterval):
		}
	}
}

// findVerdict returns the verdict on the revision, and whether the stream shows one. A revision
// that is missing counts as LostRace once one with the same or a higher number is in force.
func findVerdict(ctx context.Context, log Log, keys []ed25519.PublicKey, rev types.Revision) (Verdict, bool, error) {
	state, all, err := History(ctx, log, keys)
	if err != nil {
		return "", false, err
	}
	for _, seen := range all {
		if seen.Revision.ID == rev.ID && !seen.Revision.IsCopy {
			return seen.Verdict, true, nil
		}
	}
	current := state.Current
	if current != nil && current.Number >= rev.Number {
		return LostRace, true, nil
	}
	return "", false, nil
}

// verdictError returns the error that Publish reports for a verdict.
func verdictError(verdict Verdict) error {
	switch verdict {
	case Accepted, AlreadyKnown:
		return nil
	case LostRace:
		return fault.Refuse(fault.RevisionConflict, "another revision was published first; diff and publish again")
	default:
		return fault.Refuse(fault.BadConfig, "the revision was rejected: "+string(verdict))
	}
}

// Keys returns its arguments as a slice.
func Keys(keys ...ed25519.PublicKey) []ed25519.PublicKey {
	return keys
}
