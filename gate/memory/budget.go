package memory

import (
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes that several holders share. Its methods may be called concurrently.
type Budget struct {
	limit int64
	used  atomic.Int64
	// pieces holds unused pieces of bodies.
	pieces sync.Pool
	// joining is locked while a body is joined.
	joining sync.Mutex
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Reserve takes n bytes and reports whether the budget had room for them. If not, it takes nothing.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	b.used.Add(-n)
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 {
	return b.limit
}
