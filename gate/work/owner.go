package work

// Owner is a box that owns a slot, or is said to.
type Owner struct {
	Box Box `json:"box"`
	// Epoch is the epoch of the owner's claim, or a lower one if that is not known.
	Epoch int64 `json:"epoch,omitempty"`
}

// MovedError is the refusal of a box that does not own a slot, but can name another one that does or should.
type MovedError struct {
	Owner Owner
	// Cause is the refusal without the owner.
	Cause error
}

// Error implements error.
func (e *MovedError) Error() string { return e.Cause.Error() + ", " + e.Owner.Box.Name + " may own it" }

// Unwrap returns the refusal without the owner.
func (e *MovedError) Unwrap() error { return e.Cause }
