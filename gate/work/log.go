package work

import (
	"context"
	"time"
)

// Log is the platform's log as a box uses it. All its calls may be made again.
type Log interface {
	// Append adds the records in one call, all or none. A fault NotOwner means that another
	// writer has fenced this one off; NotRun means that nothing was added; after any other fault
	// the records may have been added. The same number may be sent again.
	Append(ctx context.Context, shard Shard, writer Writer, recs []Record) error
	// Newest returns the newest records of the keys behind after, as many as fit one answer; an empty after
	// begins with the first key.
	Newest(ctx context.Context, shard Shard, after string) (Batch, error)
	// Read returns as soon as there are records from the offset on, or after wait. A fault
	// HistoryGone means that they are no longer kept.
	Read(ctx context.Context, shard Shard, from int64, wait time.Duration) (Page, error)
	// Join keeps the member in the fleet for ttl. The generation rises with each change of the
	// fleet; the one heard last is handed back.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	// Leave takes the member out of the fleet.
	Leave(ctx context.Context, member string) error
	// Members returns all members of the fleet.
	Members(ctx context.Context) ([]string, error)
}

// Batch is some of the newest records of a shard, by key.
type Batch struct {
	Records []Record
	// After is the key to go on behind; empty if there are no more.
	After string
	// Next is an offset from which Read tells all that was added since this batch was read.
	Next int64
}

// Pages is the part of a log that AllNewest uses.
type Pages interface {
	Newest(ctx context.Context, shard Shard, after string) (Batch, error)
}

// AllNewest hands out the newest record of each key and returns an offset from which Read tells all that was
// added meanwhile. Each answer may take wait: a shard takes as long to read as it is large.
func AllNewest(ctx context.Context, log Pages, shard Shard, wait time.Duration, each func(Record)) (next int64, err error) {
	next, after := int64(-1), ""
	for {
		batch, err := oneBatch(ctx, log, shard, wait, after)
		if err != nil {
			return 0, err
		}
		if next < 0 {
			next = batch.Next // what is written while the others are read lies behind it
		}
		for _, rec := range batch.Records {
			each(rec)
		}
		if batch.After == "" {
			return next, nil
		}
		after = batch.After
	}
}

func oneBatch(ctx context.Context, log Pages, shard Shard, wait time.Duration, after string) (Batch, error) {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	return log.Newest(ctx, shard, after)
}
