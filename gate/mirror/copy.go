package mirror

import (
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// historyLength is how many of the log's newest answers with records a source keeps.
	historyLength = 64
	// historyBytes bounds the records in these answers, in bytes; the newest answer is kept in any case. It is several
	// times what a zone of thousands of replicas changes while a box is away.
	historyBytes = 2 << 20
	// stableAfter is how long the size of a group must be unchanged before parts that have become too small
	// are drawn anew, so that boxes don't read their parts again when replicas disappear from the list and
	// soon return. Parts that are too large are drawn anew at once; otherwise a growing list would be sent
	// whole to every box.
	stableAfter = 1500 * time.Millisecond
	// maxCopyAge is the age above which a copy is not served. It allows for a read that waits
	// without getting records, the pause after it and a slow answer.
	maxCopyAge = 2500 * time.Millisecond
)

// groupedRecord is a record with the group of its replica, which is empty for other records.
type groupedRecord struct {
	work.Record
	group string
}

// segment is one answer of the log: the records up to the offset next. It may lack records that can't be read.
type segment struct {
	next    int64
	records []groupedRecord
	// bytes is the size of the records.
	bytes int
}

// topicCopy is a source's copy of a topic.
type topicCopy struct {
	// groupOf returns the group of a record's replica; empty if it has none.
	groupOf func(rec work.Record) string

	mu sync.Mutex
	// newest holds the newest record of each key, groupSizes the number of replicas per group and sizeChangedAt
	// when that number last changed.
	newest        map[string]groupedRecord
	groupSizes    map[string]int
	sizeChangedAt map[string]time.Time
	// history holds the answers that cover the offsets from first to next, in order.
	history []segment
	// bytes is the size of the records in history.
	bytes       int
	first, next int64
	// verifiedAt is when the last successful read of the log was sent; the copy was complete at that time.
	verifiedAt time.Time
	// changed is closed and replaced when Add takes an answer.
	changed chan struct{}
}

func newCopy(groupOf func(work.Record) string, whole work.Snapshot, sentAt time.Time) *topicCopy {
	c := &topicCopy{
		groupOf: groupOf, newest: map[string]groupedRecord{}, groupSizes: map[string]int{}, sizeChangedAt: map[string]time.Time{}, first: whole.Next, next: whole.Next, verifiedAt: sentAt,
		changed: make(chan struct{}),
	}
	for _, rec := range whole.Records {
		c.put(rec)
	}
	return c
}

// put stores a record and returns it with its group. A record without a value deletes its key and gets the
// key's former group.
func (c *topicCopy) put(rec work.Record) groupedRecord {
	previous := c.newest[rec.Key]
	if len(rec.Value) == 0 {
		delete(c.newest, rec.Key)
		c.moveReplica(previous.group, "")
		return groupedRecord{Record: rec, group: previous.group}
	}
	current := groupedRecord{Record: rec, group: c.groupOf(rec)}
	c.newest[rec.Key] = current
	c.moveReplica(previous.group, current.group)
	return current
}

// moveReplica updates the sizes of two groups when a replica moves between them; an empty name stands for no
// group.
func (c *topicCopy) moveReplica(from, to string) {
	if from == to {
		return
	}
	now := time.Now()
	if from != "" {
		c.groupSizes[from]--
		c.sizeChangedAt[from] = now
		if c.groupSizes[from] == 0 {
			delete(c.groupSizes, from)
			delete(c.sizeChangedAt, from)
		}
	}
	if to != "" {
		c.groupSizes[to]++
		c.sizeChangedAt[to] = now
	}
}

// EndsAt reports whether the copy ends at the offset.
func (c *topicCopy) EndsAt(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next == offset
}

// Add appends an answer of the log, which must continue where the copy ends. sentAt is when the request was
// sent. An answer without the newest records does not make the copy fresh.
func (c *topicCopy) Add(page work.Page, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(page.Records) > 0 {
		seg := segment{next: page.Next}
		for _, rec := range page.Records {
			seg.records = append(seg.records, c.put(rec))
			seg.bytes += len(rec.Key) + len(rec.Value)
		}
		c.history = append(c.history, seg)
		c.bytes += seg.bytes
	}
	for len(c.history) > historyLength || (len(c.history) > 1 && c.bytes > historyBytes) {
		c.first = c.history[0].next
		c.bytes -= c.history[0].bytes
		c.history = slices.Delete(c.history, 0, 1)
	}
	c.next = page.Next
	if !page.Behind() {
		c.verifiedAt = sentAt
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// levels returns the levels (see subset.Level) at which parts are drawn now for a zone with this many boxes.
func (c *topicCopy) levels(boxes int) subset.Levels {
	levels := subset.Levels{}
	for group, n := range c.groupSizes {
		if level := subset.Level(n, boxes); level > 0 {
			levels[group] = level
		}
	}
	return levels
}

// keepsParts reports whether no part drawn at the levels is too large, nor too small in a group whose size has
// been unchanged for stableAfter.
func (c *topicCopy) keepsParts(levels subset.Levels, boxes int) bool {
	now := time.Now()
	for group, n := range c.groupSizes {
		level := levels[group]
		if n == 0 || subset.LevelFits(n, boxes, level) {
			continue
		}
		if level < subset.Level(n, boxes) || now.Sub(c.sizeChangedAt[group]) >= stableAfter {
			return false
		}
	}
	return true
}

// Fits reports whether a part drawn at the levels can be kept.
func (c *topicCopy) Fits(levels subset.Levels, boxes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keepsParts(levels, boxes)
}

// ageIfFresh returns the copy's age, or a fault if it is too old to be served.
func (c *topicCopy) ageIfFresh(now time.Time) (time.Duration, error) {
	age := now.Sub(c.verifiedAt)
	if age > maxCopyAge {
		return 0, fault.Refuse(fault.LogUnavailable, "the source's copy is too old")
	}
	return age, nil
}

// All returns the box's part of the copy and the levels at which the part was drawn.
func (c *topicCopy) All(box string, boxes int) (work.Snapshot, subset.Levels, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.ageIfFresh(time.Now())
	if err != nil {
		return work.Snapshot{}, nil, err
	}
	levels := c.levels(boxes)
	whole := work.Snapshot{Next: c.next, Age: age}
	for _, rec := range c.newest {
		if levels.Knows(box, rec.Key, rec.group) {
			whole.Records = append(whole.Records, rec.Record)
		}
	}
	return whole, levels, nil
}

// Since returns the records of the box's part from the offset on, and a channel that is closed when the copy
// next changes. If the offset lies within one of the log's answers, that answer is included whole; the box
// may get some records again, but in order.
func (c *topicCopy) Since(from int64, box string, boxes int, levels subset.Levels) (work.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.ageIfFresh(time.Now())
	switch {
	case err != nil:
		return work.Page{}, nil, err
	case from > c.next:
		return work.Page{}, nil, fault.Refuse(fault.LogUnavailable, "the source's copy ends before the offset")
	case from < c.first || !c.keepsParts(levels, boxes):
		return work.Page{}, nil, fault.Refuse(fault.HistoryGone, "the part must be read whole")
	}
	page := work.Page{Next: c.next, First: c.first, Age: age}
	for _, seg := range c.history {
		if seg.next <= from {
			continue
		}
		for _, rec := range seg.records {
			if levels.Knows(box, rec.Key, rec.group) {
				page.Records = append(page.Records, rec.Record)
			}
		}
	}
	return page, c.changed, nil
}
