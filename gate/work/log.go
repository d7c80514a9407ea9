package work

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
)

// Log is the platform's log as a box uses it. All of its calls may be retried.
type Log interface {
	// Append adds all of the records or none. NotOwner means that another writer has fenced this one
	// off, and NotRun that nothing was added; after any other fault the records may have been added. An
	// append may be retried with the same number.
	Append(ctx context.Context, shard Shard, writer Writer, recs []Record) error
	// Newest returns the newest record of each key that sorts after the given key, as many as fit into
	// one answer. An empty key starts from the beginning.
	Newest(ctx context.Context, shard Shard, after string) (Batch, error)
	// Read returns as soon as there are records at or after the offset, or once wait has passed.
	// HistoryGone means that records at the offset are no longer stored.
	Read(ctx context.Context, shard Shard, from int64, wait time.Duration) (Page, error)
	// Join adds the member to the fleet, or renews its membership, for ttl. The generation increases
	// with each change of the fleet; the caller passes the one that it received last, and the current
	// one is returned.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	// Leave removes the member from the fleet.
	Leave(ctx context.Context, member string) error
	// Members returns all members of the fleet.
	Members(ctx context.Context) ([]string, error)
}

// Batch is part of the newest records of a shard, ordered by key.
type Batch struct {
	Records []Record
	// After is the key from which to continue with Newest; empty after the last batch.
	After string
	// Next is an offset from which Read returns all records added since this batch was read.
	Next int64
}

// NewestReader is the part of Log that AllNewest uses.
type NewestReader interface {
	Newest(ctx context.Context, shard Shard, after string) (Batch, error)
}

// NewestRead reads the newest record of every key of a shard, batch by batch. A call that fails leaves it as it was, so that the
// read goes on from there.
type NewestRead struct {
	// Next is an offset from which Read returns all records added since the first batch was read.
	Next int64
	// Done is set once all batches have been read.
	Done bool

	after string
	begun bool
	count int64
	seen  map[string]bool
}

// Step reads the next batch and calls each with its records. It fails with Protocol if the batch ends with the same key as an
// earlier one or if there are more keys than the shard has records, since such batches may never end.
func (r *NewestRead) Step(ctx context.Context, log NewestReader, shard Shard, each func(Record)) error {
	batch, err := log.Newest(ctx, shard, r.after)
	if err != nil {
		return err
	}
	r.count += int64(len(batch.Records))
	if r.seen[batch.After] || r.count > batch.Next {
		return fault.Fail(fault.Protocol, "the log's newest records do not end")
	}
	if !r.begun {
		r.begun, r.Next, r.seen = true, batch.Next, map[string]bool{} // covers records added while later batches are read
	}
	r.seen[batch.After] = true
	for _, rec := range batch.Records {
		each(rec)
	}
	r.after, r.Done = batch.After, batch.After == ""
	return nil
}

// AllNewest calls each with the newest record of every key and returns an offset from which Read returns all
// records added since AllNewest was called. wait is the timeout of each call to the log; the total time is
// not bounded, since it depends on the size of the shard.
func AllNewest(ctx context.Context, log NewestReader, shard Shard, wait time.Duration, each func(Record)) (next int64, err error) {
	read := &NewestRead{}
	for !read.Done {
		if err := read.stepWithin(ctx, log, shard, wait, each); err != nil {
			return 0, err
		}
	}
	return read.Next, nil
}

func (r *NewestRead) stepWithin(ctx context.Context, log NewestReader, shard Shard, wait time.Duration, each func(Record)) error {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	return r.Step(ctx, log, shard, each)
}
