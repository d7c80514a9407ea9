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
	// tapeLength is how many of the log's newest answers that brought records a source keeps: some seconds of them.
	tapeLength = 64
	// calmAfter is how long a group must have kept its size before parts of it are drawn anew that have grown too small. A
	// zone's replicas that lapse with the log and come back within two seconds would have all boxes read their parts several
	// times. Parts that have grown too large are drawn anew at once: a list that fills would be told whole to all.
	calmAfter = 1500 * time.Millisecond
	// staleAfter is the age from which a source's copy is told to nobody: a read that waits for news in vain, a pause,
	// and a slow answer.
	staleAfter = 2500 * time.Millisecond
)

// grouped is a record with the group of its replica, empty for other records.
type grouped struct {
	work.Record
	group string
}

// segment is an answer of the log: the records from an offset to the next. It may lack some that nobody can read.
type segment struct {
	next    int64
	records []grouped
}

// topicCopy is what a source keeps of a topic.
type topicCopy struct {
	// group names the group of a record's replica; empty if it has none.
	group func(rec work.Record) string

	mu sync.Mutex
	// newest holds the newest record of each key, counts the number of replicas by their groups, and moved when that
	// changed last.
	newest map[string]grouped
	counts map[string]int
	moved  map[string]time.Time
	// tape holds the answers from offset first to next, in order.
	tape        []segment
	first, next int64
	// proven is when the question was sent whose answer last showed that the copy is whole.
	proven time.Time
	// changed is closed at the next answer of the log.
	changed chan struct{}
}

func newCopy(group func(work.Record) string, whole work.Whole, asked time.Time) *topicCopy {
	c := &topicCopy{
		group: group, newest: map[string]grouped{}, counts: map[string]int{}, moved: map[string]time.Time{}, first: whole.Next, next: whole.Next, proven: asked,
		changed: make(chan struct{}),
	}
	for _, rec := range whole.Records {
		c.put(rec)
	}
	return c
}

// put takes a record and returns it with its group: that which its key had before, if it is dropped.
func (c *topicCopy) put(rec work.Record) grouped {
	before := c.newest[rec.Key]
	if len(rec.Value) == 0 {
		delete(c.newest, rec.Key)
		c.count(before.group, "")
		return grouped{Record: rec, group: before.group}
	}
	now := grouped{Record: rec, group: c.group(rec)}
	c.newest[rec.Key] = now
	c.count(before.group, now.group)
	return now
}

// count notes that a replica went from one group to another; empty stands for none.
func (c *topicCopy) count(from, to string) {
	if from == to {
		return
	}
	now := time.Now()
	if from != "" {
		c.counts[from]--
		c.moved[from] = now
	}
	if to != "" {
		c.counts[to]++
		c.moved[to] = now
	}
}

// At reports whether the copy ends at the offset.
func (c *topicCopy) At(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next == offset
}

// Add takes an answer of the log to a question that was sent when the copy ended where the answer begins.
func (c *topicCopy) Add(page work.Page, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(page.Records) > 0 {
		part := segment{next: page.Next}
		for _, rec := range page.Records {
			part.records = append(part.records, c.put(rec))
		}
		c.tape = append(c.tape, part)
	}
	for len(c.tape) > tapeLength {
		c.first = c.tape[0].next
		c.tape = slices.Delete(c.tape, 0, 1)
	}
	c.next = page.Next
	c.proven = asked
	close(c.changed)
	c.changed = make(chan struct{})
}

// levels are those at which parts are drawn now, for a zone of so many boxes.
func (c *topicCopy) levels(boxes int) subset.Levels {
	levels := subset.Levels{}
	for group, n := range c.counts {
		if level := subset.Level(n, boxes); level > 0 {
			levels[group] = level
		}
	}
	return levels
}

// fits reports that parts which were drawn at the levels have a fair size still, or may have again in a moment.
func (c *topicCopy) fits(levels subset.Levels, boxes int) bool {
	now := time.Now()
	for group, n := range c.counts {
		level := levels[group]
		if n == 0 || subset.Fits(n, boxes, level) {
			continue
		}
		if level < subset.Level(n, boxes) || now.Sub(c.moved[group]) >= calmAfter {
			return false
		}
	}
	return true
}

// Fits reports that a part which was drawn at the levels need not be drawn anew.
func (c *topicCopy) Fits(levels subset.Levels, boxes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fits(levels, boxes)
}

// fresh returns how old the copy is, or a fault if that is too old to be told.
func (c *topicCopy) fresh(now time.Time) (time.Duration, error) {
	age := now.Sub(c.proven)
	if age > staleAfter {
		return 0, fault.Refuse(fault.LogUnavailable, "the copy is stale")
	}
	return age, nil
}

// All returns the part of the copy that the box knows, and the levels at which that was drawn.
func (c *topicCopy) All(box string, boxes int) (work.Whole, subset.Levels, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.fresh(time.Now())
	if err != nil {
		return work.Whole{}, nil, err
	}
	levels := c.levels(boxes)
	whole := work.Whole{Next: c.next, Age: age}
	for _, rec := range c.newest {
		if levels.Holds(box, rec.Key, rec.group) {
			whole.Records = append(whole.Records, rec.Record)
		}
	}
	return whole, levels, nil
}

// Since returns what the box knows of the records from the offset on, and a channel that is closed at the next answer
// of the log. Where the offset lies within an answer the box gets all of it: it may have heard some of that from another
// source, and takes it again in order.
func (c *topicCopy) Since(from int64, box string, boxes int, levels subset.Levels) (work.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.fresh(time.Now())
	switch {
	case err != nil:
		return work.Page{}, nil, err
	case from > c.next:
		return work.Page{}, nil, fault.Refuse(fault.LogUnavailable, "the copy is behind")
	case from < c.first || !c.fits(levels, boxes):
		return work.Page{}, nil, fault.Refuse(fault.HistoryGone, "the part is to be read anew")
	}
	page := work.Page{Next: c.next, First: c.first, Age: age}
	for _, part := range c.tape {
		if part.next <= from {
			continue
		}
		for _, rec := range part.records {
			if levels.Holds(box, rec.Key, rec.group) {
				page.Records = append(page.Records, rec.Record)
			}
		}
	}
	return page, c.changed, nil
}
