package memory

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// shareStep is the number of bytes in which a share grows.
	shareStep = 16 << 10
	// firstRead is the size of the buffer with which ReadAll begins, in bytes.
	firstRead = 512
)

// Share is what one holder takes of a budget, in bytes. It is not safe for concurrent use, but other shares of the budget
// may be used at the same time.
//
// A share grows to at most half of what is left of the budget. One holder alone gets a third, and the more of them there
// are, the less each gets, so that the largest ones come to their limit while there is room for small ones.
type Share struct {
	budget *Budget
	// free is the size that takes nothing of the budget.
	free int64
	// reserved is the size beyond free that is taken of the budget.
	reserved int64
}

// NewShare returns an empty share of the budget.
func NewShare(budget *Budget, free int) *Share {
	return &Share{budget: budget, free: int64(free)}
}

// Grow makes room for size bytes in all and reports whether there is any. If not, the share stays as it is.
func (s *Share) Grow(size int) bool {
	missing := int64(size) - s.free - s.reserved
	if missing <= 0 {
		return true
	}
	missing = (missing + shareStep - 1) / shareStep * shareStep
	if !s.budget.Reserve(missing) {
		return false
	}
	if left := s.budget.Limit() - s.budget.Used(); s.reserved+missing > left/2 {
		s.budget.Release(missing)
		return false
	}
	s.reserved += missing
	return true
}

// Release returns the whole share. It may grow again.
func (s *Share) Release() {
	s.budget.Release(s.reserved)
	s.reserved = 0
}

// ReadAll reads from until its end. It stops early, and reports false, once it has read limit bytes or the share has no
// room for more.
func (s *Share) ReadAll(from io.Reader, limit int) (data []byte, whole bool, err error) {
	data = make([]byte, 0, min(firstRead, limit))
	for {
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil || len(data) == limit {
			return data, false, err
		}
		if len(data) < cap(data) {
			continue
		}
		size := min(2*cap(data), limit)
		if !s.Grow(size) {
			return data, false, nil
		}
		data = append(make([]byte, 0, size), data...)
	}
}
