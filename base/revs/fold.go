package revs

import (
	"crypto/ed25519"
	"encoding/json"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// Stream is the name of the configuration stream in the platform's log.
const Stream = "config"

// Verdict says what a fold did with an entry.
type Verdict string

// The verdicts.
const (
	Accepted     Verdict = "accepted"
	LostRace     Verdict = "lost_race"
	BadSignature Verdict = "bad_signature"
	Invalid      Verdict = "invalid"
	AlreadyKnown Verdict = "known"
)

// StreamState is the state of the configuration stream up to Next.
type StreamState struct {
	// Next is the offset to read from.
	Next int64
	// Current has the highest number that was accepted; it is never replaced by a lower one.
	Current *types.Revision
	// CurrentOffset is the offset of the newest entry that holds Current.
	CurrentOffset int64

	keys []ed25519.PublicKey
}

// New makes a fold that accepts revisions signed by one of the keys.
func New(keys []ed25519.PublicKey) *StreamState {
	return &StreamState{keys: keys}
}

// Apply folds one log entry.
func (f *StreamState) Apply(entry types.LogEntry) (types.Revision, Verdict) {
	f.Next = max(f.Next, entry.Offset+1)
	var rev types.Revision
	if json.Unmarshal(entry.Data, &rev) != nil {
		return rev, Invalid
	}
	verdict := f.ApplyRevision(rev)
	if f.Current != nil && rev.ID == f.Current.ID && (verdict == Accepted || verdict == AlreadyKnown) {
		f.CurrentOffset = entry.Offset
	}
	return rev, verdict
}

// ApplyRevision considers a revision, from the log or from a peer that has already accepted it
// (then Carry is set).
func (f *StreamState) ApplyRevision(rev types.Revision) Verdict {
	if !f.verify(rev) {
		return BadSignature
	}
	have := int64(0)
	if f.Current != nil {
		have = f.Current.Number
	}
	if rev.IsCopy {
		return f.carry(rev, have)
	}
	if f.Current != nil && rev.ID == f.Current.ID {
		return AlreadyKnown
	}
	if rev.Base != have || rev.Number != have+1 {
		return LostRace
	}
	return f.take(rev)
}

func (f *StreamState) carry(rev types.Revision, have int64) Verdict {
	if rev.Number <= have {
		return AlreadyKnown
	}
	return f.take(rev)
}

func (f *StreamState) take(rev types.Revision) Verdict {
	if Check(rev.Config) != nil {
		return Invalid
	}
	f.Current = &rev
	return Accepted
}

func (f *StreamState) verify(rev types.Revision) bool {
	body, err := signed(rev)
	if err != nil {
		return false
	}
	for _, key := range f.keys {
		if ed25519.Verify(key, body, rev.Signature) {
			return true
		}
	}
	return false
}

// Sign signs the revision with an operator's key.
func Sign(rev types.Revision, key ed25519.PrivateKey) (types.Revision, error) {
	body, err := signed(rev)
	if err != nil {
		return rev, err
	}
	rev.Signature = ed25519.Sign(key, body)
	return rev, nil
}

func signed(rev types.Revision) ([]byte, error) {
	rev.Signature = nil
	rev.IsCopy = false
	body, err := json.Marshal(rev)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "revision does not encode").WithCause(err)
	}
	return body, nil
}
