package revs

import (
	"crypto/ed25519"
	"encoding/json"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// Stream is the name of the configuration stream in the platform's log.
const Stream = "config"

// Verdict is the result of applying a revision.
type Verdict string

// The verdicts. LostRace means that the revision is not based on the current one. AlreadyKnown means
// that it is in force already or, for a copy, that it is no newer than the current one.
const (
	Accepted     Verdict = "accepted"
	LostRace     Verdict = "lost_race"
	BadSignature Verdict = "bad_signature"
	Invalid      Verdict = "invalid"
	AlreadyKnown Verdict = "known"
)

// StreamState is the state of the configuration stream before the offset Next. It is not safe for
// concurrent use.
type StreamState struct {
	// Next is the offset to read from.
	Next int64
	// Current is the accepted revision with the highest number; nil while there is none.
	Current *types.Revision
	// CurrentOffset is the offset of the last entry that holds Current.
	CurrentOffset int64

	keys []ed25519.PublicKey
}

// New returns an empty StreamState that accepts revisions signed by one of the keys.
func New(keys []ed25519.PublicKey) *StreamState {
	return &StreamState{keys: keys}
}

// Apply applies one entry of the stream and returns its revision and the verdict on it.
func (s *StreamState) Apply(entry types.LogEntry) (types.Revision, Verdict) {
	s.Next = max(s.Next, entry.Offset+1)
	var rev types.Revision
	if json.Unmarshal(entry.Data, &rev) != nil {
		return rev, Invalid
	}
	verdict := s.ApplyRevision(rev)
	if s.Current != nil && rev.ID == s.Current.ID && (verdict == Accepted || verdict == AlreadyKnown) {
		s.CurrentOffset = entry.Offset
	}
	return rev, verdict
}

// ApplyRevision applies a revision from the log, or one that another box has accepted, which has IsCopy
// set.
func (s *StreamState) ApplyRevision(rev types.Revision) Verdict {
	if !s.verify(rev) {
		return BadSignature
	}
	currentNumber := int64(0)
	if s.Current != nil {
		currentNumber = s.Current.Number
	}
	if rev.IsCopy {
		return s.applyCopy(rev, currentNumber)
	}
	if s.Current != nil && rev.ID == s.Current.ID {
		return AlreadyKnown
	}
	if rev.Base != currentNumber || rev.Number != currentNumber+1 {
		return LostRace
	}
	return s.accept(rev)
}

// applyCopy applies a copy of an accepted revision. A copy needs no matching base.
func (s *StreamState) applyCopy(rev types.Revision, currentNumber int64) Verdict {
	if rev.Number <= currentNumber {
		return AlreadyKnown
	}
	return s.accept(rev)
}

// accept makes the revision current if its configuration is valid.
func (s *StreamState) accept(rev types.Revision) Verdict {
	if Check(rev.Config) != nil {
		return Invalid
	}
	s.Current = &rev
	return Accepted
}

func (s *StreamState) verify(rev types.Revision) bool {
	body, err := signedBytes(rev)
	if err != nil {
		return false
	}
	for _, key := range s.keys {
		if ed25519.Verify(key, body, rev.Signature) {
			return true
		}
	}
	return false
}

// Sign returns the revision with its signature by an operator's key.
func Sign(rev types.Revision, key ed25519.PrivateKey) (types.Revision, error) {
	body, err := signedBytes(rev)
	if err != nil {
		return rev, err
	}
	rev.Signature = ed25519.Sign(key, body)
	return rev, nil
}

// signedBytes returns the bytes that the signature covers: all fields but Signature and IsCopy.
func signedBytes(rev types.Revision) ([]byte, error) {
	rev.Signature = nil
	rev.IsCopy = false
	body, err := json.Marshal(rev)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot encode revision").WithCause(err)
	}
	return body, nil
}
