package shard

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

const (
	// pageTimeout bounds the read of one page of records. On a slow link, a page arrives beside others and beside the calls
	// that the box serves; the log ends sooner what does not arrive at all.
	pageTimeout = 10 * time.Second
	// slowLink is the bandwidth, in Mbit/s, below which slowLinkReads pages are read at once, and otherwise maxReads. More
	// would only end later, and each takes the memory of a page. On a slow link, two that share it would also take so long
	// that each is asked for through another box as well, over the same link.
	slowLink      = 100
	slowLinkReads = 1
	maxReads      = 4
)

// readClass is how urgent it is to read a slot.
type readClass int

const (
	// readFenced is for a slot that this box has fenced off: no other box serves it.
	readFenced readClass = iota
	// readOrphan is for a slot whose last owner may be gone.
	readOrphan
	// readOwned is for a slot that another box serves meanwhile.
	readOwned
)

// readQueue admits reads of pages, the most urgent first and those of one class in the order in which their slots were begun, so
// that the first slots can be served while others are read.
type readQueue struct {
	limit int

	mu      sync.Mutex
	running int
	begun   int64
	waiting []*readTicket
}

// readTicket is a place in the queue.
type readTicket struct {
	class readClass
	order int64
	// admitted is closed when the page may be read.
	admitted chan struct{}
}

func newReadQueue(box work.Box) *readQueue {
	if box.Link > 0 && box.Link < slowLink {
		return &readQueue{limit: slowLinkReads}
	}
	return &readQueue{limit: maxReads}
}

// begin returns the place of a slot among those of its class.
func (q *readQueue) begin() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.begun++
	return q.begun
}

// acquire waits until a page may be read. The caller must call release then.
func (q *readQueue) acquire(ctx context.Context, class readClass, order int64) error {
	ticket := &readTicket{class: class, order: order, admitted: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, ticket)
	q.admitLocked()
	q.mu.Unlock()
	select {
	case <-ticket.admitted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for n, other := range q.waiting {
		if other == ticket {
			q.waiting = append(q.waiting[:n], q.waiting[n+1:]...)
			return ctx.Err()
		}
	}
	q.releaseLocked() // it was admitted meanwhile
	return ctx.Err()
}

func (q *readQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseLocked()
}

func (q *readQueue) releaseLocked() {
	q.running--
	q.admitLocked()
}

func (q *readQueue) admitLocked() {
	for q.running < q.limit && len(q.waiting) > 0 {
		first := 0
		for n, ticket := range q.waiting {
			if ticket.before(q.waiting[first]) {
				first = n
			}
		}
		close(q.waiting[first].admitted)
		q.waiting = append(q.waiting[:first], q.waiting[first+1:]...)
		q.running++
	}
}

func (t *readTicket) before(other *readTicket) bool {
	if t.class != other.class {
		return t.class < other.class
	}
	return t.order < other.order
}

// slotRead is the read of a slot's records. It keeps what it has read when a page fails, so that the next attempt goes on from
// there. Only one goroutine uses it at a time.
type slotRead struct {
	manager *Manager
	shard   work.Shard
	order   int64
	newest  work.NewestRead
	loader  *slotLoader
}

func (m *Manager) newSlotRead(number int) *slotRead {
	r := &slotRead{manager: m, shard: work.Shard{Topic: work.Turns, Number: number}, order: m.reads.begin()}
	r.restart()
	return r
}

// restart discards what was read.
func (r *slotRead) restart() {
	r.newest = work.NewestRead{}
	r.loader = &slotLoader{state: chain.New(), manager: r.manager}
}

// readNewest reads the newest record of every key. The total time is not bounded, since it depends on the size of the slot; it
// ends early if this box must not claim the slot any more.
func (r *slotRead) readNewest(class func() readClass, wanted func() bool) error {
	for !r.newest.Done {
		if !wanted() {
			return fault.Refuse(fault.NotOwner, "another box should own the slot")
		}
		err := r.page(class(), func(ctx context.Context) error {
			return r.newest.Step(ctx, r.manager.log, r.shard, r.loader.apply)
		})
		if fault.Is(err, fault.Protocol) {
			r.restart()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// catchUp applies the records written since the newest ones were read. If the log no longer keeps them, it returns
// HistoryGone, and the slot must be read anew.
func (r *slotRead) catchUp(class readClass) error {
	for {
		var page work.Page
		err := r.page(class, func(ctx context.Context) (err error) {
			page, err = r.manager.log.Read(ctx, r.shard, r.newest.Next, 0)
			return err
		})
		if fault.Is(err, fault.HistoryGone) {
			r.restart()
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && !page.Behind() {
			return nil
		}
		if page.Next <= r.newest.Next {
			return fault.Fail(fault.LogUnavailable, "the log returned none of the slot's records")
		}
		for _, rec := range page.Records {
			r.loader.apply(rec)
		}
		r.newest.Next = page.Next
	}
}

// page reads one page once the queue admits it.
func (r *slotRead) page(class readClass, read func(ctx context.Context) error) error {
	reads := r.manager.reads
	if err := reads.acquire(r.manager.ctx, class, r.order); err != nil {
		return fault.Fail(fault.LogUnavailable, "the read of a page has not begun").WithCause(err)
	}
	defer reads.release()
	ctx, stop := context.WithTimeout(r.manager.ctx, pageTimeout)
	defer stop()
	return read(ctx)
}
