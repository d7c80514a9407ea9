package shard

import (
	"context"
	"encoding/binary"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// oddRecords returns records that no box writes: of odd lengths, with counts and times out of range, and nested deeply.
func oddRecords() []work.Record {
	deep := []byte(strings.Repeat("[", 20_000))
	largest := binary.AppendUvarint(nil, 1<<64-1)
	recs := []work.Record{{Key: "", Value: []byte("x")}, {Key: "\xff\xfe", Value: deep}, {Key: strings.Repeat("k", 255), Value: []byte{0}}, {Key: "confirm", Value: deep}}
	for _, kind := range []string{"t", "c", "s", "g", "p", "\x00"} {
		for _, value := range [][]byte{{0}, {0xff}, largest, append(largest, largest...), deep, []byte("null"), make([]byte, 1<<20), append([]byte("\x01p\x00"), append(largest, largest...)...)} {
			recs = append(recs, work.Record{Key: kind + "odd", Value: value}, work.Record{Key: kind + "odd\x00odd", Value: value}, work.Record{Key: kind, Value: value})
		}
	}
	return recs
}

// TestOddRecordsDoNotKeepSlots guards against records that no box writes and that keep a slot from being claimed, above all an
// owner's epoch out of range, and against turns that are lost since such records stand among theirs.
func TestOddRecordsDoNotKeepSlots(t *testing.T) {
	for name, owner := range map[string]string{
		"largest epoch":   `{"box":"x","epoch":9223372036854775807}`,
		"lowest epoch":    `{"box":"x","epoch":-9223372036854775808}`,
		"negative epoch":  `{"box":"x","epoch":-4611686018427387904}`,
		"too large":       `{"box":"x","epoch":1e400}`,
		"fraction":        `{"box":"x","epoch":1.5}`,
		"text":            `{"box":"x","epoch":"1"}`,
		"null":            `null`,
		"list":            `[]`,
		"nested":          strings.Repeat(`{"box":`, 20_000),
		"binary":          "\x00\xff",
		"two epochs":      `{"box":"x","epoch":5,"epoch":9223372036854775807}`,
		"large box names": `{"box":"` + strings.Repeat("x", 1<<20) + `","epoch":1048576}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				log := newLog()
				first := newFleet(log, "a")
				first.setOwner("a", "a")
				if err := runTurn(ctx, first.managers["a"], newTurn("1", ""), 1000, time.Millisecond, ignoreTokens); err != nil {
					t.Fatal(err)
				}
				first.stop()
				log.mu.Lock()
				log.shard(0).recs = append(oddRecords(), log.shard(0).recs...)
				log.shard(0).recs = append(log.shard(0).recs, append(oddRecords(), work.Record{Key: ownerKey, Value: []byte(owner)})...)
				log.mu.Unlock()
				next := newFleet(log, "b")
				defer next.stop()
				next.setOwner("b", "b")
				slot, err := next.managers["b"].Get(ctx, 0)
				for range 20 {
					if err == nil {
						break
					}
					time.Sleep(time.Second)
					slot, err = next.managers["b"].Get(ctx, 0)
				}
				if err != nil {
					t.Fatalf("the slot is not claimed: %v", err)
				}
				slot.Update(func(state *chain.State) {
					if text, ok := state.ChainText("1"); !ok || text == nil {
						t.Error("the next owner does not have the turn")
					}
				})
			})
		})
	}
}

// TestSlotsThatDoNotExist guards against requests of other boxes for a slot that is none, which panicked.
func TestSlotsThatDoNotExist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a")
		defer f.stop()
		m := f.managers["a"]
		for _, number := range []int{-1, len(m.slots), -1 << 63, 1<<63 - 1} {
			if m.Holds(number) {
				t.Errorf("slot %d is held", number)
			}
			m.Prepare(number)
			if err := m.Deliver(t.Context(), number, nil); err == nil {
				t.Errorf("records of slot %d were accepted", number)
			}
			if m.Handover(t.Context(), number, work.Owner{}) == nil || m.NotifyTaken(number, work.Owner{}) == nil || m.Keeps(number, work.Owner{}) {
				t.Errorf("slot %d was handed over or taken", number)
			}
		}
	})
}
