package shard

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// TestLongWritesAreSplit guards against a write that is longer than the log accepts in one call, such as the copy of a long
// chain: it must be split into appends that keep its order, and be forwarded as a whole.
func TestLongWritesAreSplit(t *testing.T) {
	for _, size := range []int{0, 10, 250 << 10, maxAppendBytes / 2, maxAppendBytes - recordOverhead - 3, maxAppendBytes, 2 * maxAppendBytes} {
		for _, count := range []int{0, 1, 2, 3, 9} {
			var recs []work.Record
			for n := range count {
				recs = append(recs, work.Record{Key: fmt.Sprintf("k-%d", n), Value: make([]byte, size)})
			}
			pending := &PendingWrite{}
			for _, part := range splitRecords(recs) {
				if len(part) > 1 && recordBytes(part) > maxAppendBytes {
					t.Errorf("%d records of %d bytes: an append of %d bytes", count, size, recordBytes(part))
				}
				pending.batches = append(pending.batches, &batch{recs: part})
			}
			if diff := cmp.Diff(keys(recs), keys(pending.records())); diff != "" {
				t.Errorf("%d records of %d bytes: keys (-want +got):\n%s", count, size, diff)
			}
		}
	}
}

func keys(recs []work.Record) []string {
	var all []string
	for _, rec := range recs {
		all = append(all, rec.Key)
	}
	return all
}
