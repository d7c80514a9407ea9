package work

import "time"

// Topic is a log that boxes read or write.
type Topic string

// The topics.
const (
	// Turns holds the state of programs, with one shard per slot.
	Turns Topic = "turns"
	// Settings holds the operators' configuration. It is read-only for boxes.
	Settings Topic = "settings"
	// Replicas holds the list of replicas. It is read-only for boxes.
	Replicas Topic = "replicas"
	// CopySources names, by availability zone, the boxes that serve copies of topics to other boxes.
	CopySources Topic = "sources"
)

// Shard is a partition of a topic, within which records are ordered.
type Shard struct {
	Topic  Topic
	Number int
}

// Record is a keyed record of a topic. The log keeps at least the newest record of each key.
type Record struct {
	// Key is 1 to 255 bytes long.
	Key string
	// Value is empty if the record deletes its key.
	Value []byte
}

// Page is a range of the records of a shard.
type Page struct {
	Records []Record
	// Next is the offset to continue from after this page. First is the oldest offset that is still
	// stored.
	Next, First int64
	// End is the offset behind the newest record of the shard when the log answered; zero if it is not known.
	End int64 `json:",omitempty"`
	// Age is the staleness of the records at the time of the request; zero if the log itself answered.
	Age time.Duration `json:",omitempty"`
}

// Behind reports whether the log is known to hold records after the page, since its answer was limited or cut off.
func (p Page) Behind() bool {
	return p.Next < p.End
}

// Snapshot is a snapshot of a topic: the newest record of each key that a box has.
type Snapshot struct {
	Records []Record
	// Next is an offset from which Read returns all records added since the snapshot was taken.
	Next int64
	// Age is the staleness of the records at the time of the request.
	Age time.Duration
}

// Writer identifies one append of an owner of a shard.
type Writer struct {
	// Epoch fences off owners with a lower one. Zero means an append without an owner.
	Epoch int64
	// Number increases by one with every append of the epoch.
	Number int64
}
