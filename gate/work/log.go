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
	// Newest hands out the newest record of each key and returns an offset from which Read
	// tells all that was added meanwhile.
	Newest(ctx context.Context, shard Shard, each func(Record)) (next int64, err error)
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
