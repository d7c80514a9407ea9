package mirror

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

// oddPeers answers every request for a topic with the same response.
type oddPeers struct {
	*testBox
	response CopyResponse
}

func (o oddPeers) Copy(context.Context, work.Box, CopyRequest) (CopyResponse, error) {
	return o.response, nil
}

// TestOddAnswersOfSources guards against answers of other boxes with numbers out of range: levels that end the process when
// they are used as the number of bits, offsets that lead back or where the log never has records, and ages that make a copy
// look newer than it is. The box reads from the log instead.
func TestOddAnswersOfSources(t *testing.T) {
	for name, response := range map[string]CopyResponse{
		"negative level":  {Page: work.Page{Next: 9}, Levels: subset.Levels{"s@a": -1}},
		"level too large": {Page: work.Page{Next: 9}, Levels: subset.Levels{"s@a": 65}},
		"largest level":   {Page: work.Page{Next: 9}, Levels: subset.Levels{"s@a": math.MaxInt}},
		"negative offset": {Page: work.Page{Next: -1}},
		"lowest offset":   {Page: work.Page{Next: math.MinInt64}},
		"negative age":    {Page: work.Page{Next: 9, Age: -time.Hour}},
		"largest age":     {Page: work.Page{Next: 9, Age: math.MaxInt64}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newTestZone(40)
				z.addReplicas(3)
				z.settleViews()
				box := notSource(z)
				m := New(box.Box, []string{"a"}, boxLog{z.log, box.Name}, box, oddPeers{box, response}, plainDecoder{}, slog.New(slog.DiscardHandler))
				m.OnLevels(func(levels subset.Levels) { levels.Knows(box.Name, "i-0001", "s@a") })
				_, _ = m.recordMembers(nil, nil) // it returns its arguments
				ctx, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				whole, err := m.Snapshot(ctx, work.Replicas)
				if err != nil || len(whole.Records) != 3 || whole.Next != 3 || whole.Age != 0 {
					t.Errorf("%d records, next %d, age %v, %v", len(whole.Records), whole.Next, whole.Age, err)
				}
				page, err := m.Read(ctx, work.Replicas, 1, time.Second)
				if err != nil || len(page.Records) != 2 || page.Next != 3 {
					t.Errorf("read: %d records, next %d, %v", len(page.Records), page.Next, err)
				}
			})
		})
	}
}

// notSource returns a box of the zone that is none of its sources.
func notSource(z *testZone) *testBox {
	for _, box := range z.all {
		if !contains(z.sources(), box.Name) {
			return z.boxes[box.Name]
		}
	}
	return nil
}

// TestOddRequestsToSources guards against requests of other boxes with numbers out of range, which made the source panic, or
// wait for years.
func TestOddRequestsToSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(40)
		z.addReplicas(3)
		z.settleViews()
		source := z.boxes[z.sources()[0].Name].mirror
		for name, c := range map[string]struct {
			req CopyRequest
			err fault.Kind
		}{
			"negative level":   {CopyRequest{Levels: subset.Levels{"s@a": -1}}, fault.BadRequest},
			"level too large":  {CopyRequest{Levels: subset.Levels{"s@a": 65}}, fault.BadRequest},
			"negative offset":  {CopyRequest{From: math.MinInt64}, fault.HistoryGone},
			"largest offset":   {CopyRequest{From: math.MaxInt64}, fault.LogUnavailable},
			"negative wait":    {CopyRequest{From: 3, Wait: math.MinInt64}, ""},
			"wait without end": {CopyRequest{From: 3, Wait: math.MaxInt64}, fault.LogUnavailable},
		} {
			if _, err := source.loadCopy(t.Context(), work.Replicas); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			c.req.Topic, c.req.Box = work.Replicas, "x"
			_, err := source.Copy(t.Context(), c.req)
			if took := time.Since(start); (err == nil) != (c.err == "") || (err != nil && !fault.Is(err, c.err)) || took > maxCopyAge {
				t.Errorf("%s: %v after %v", name, err, took)
			}
		}
	})
}

// TestCopyForgetsChanges guards against a source that keeps up to 64 answers of any size, and the names of groups that no
// replica is in any more, while other writers change their long entries again and again.
func TestCopyForgetsChanges(t *testing.T) {
	const answers, size = 60, 200 << 10
	groupOf := func(rec work.Record) string { return string(rec.Value[:8]) }
	cached := newCopy(groupOf, work.Snapshot{}, time.Now())
	for n := range answers {
		value := append(fmt.Appendf(nil, "%08d", n), make([]byte, size)...)
		cached.Add(work.Page{Records: []work.Record{{Key: "odd", Value: value}}, Next: int64(n + 1)}, time.Now())
	}
	kept := 0
	for _, seg := range cached.history {
		for _, rec := range seg.records {
			kept += len(rec.Value)
		}
	}
	if kept > historyBytes || len(cached.groupSizes) != 1 || len(cached.sizeChangedAt) != 1 {
		t.Errorf("keeps %d bytes of changes, %d groups, %d times", kept, len(cached.groupSizes), len(cached.sizeChangedAt))
	}
	if page, _, err := cached.Since(answers-1, "x", 0, nil); err != nil || len(page.Records) != 1 {
		t.Errorf("newest change: %d records, %v", len(page.Records), err)
	}
	if _, _, err := cached.Since(0, "x", 0, nil); !fault.Is(err, fault.HistoryGone) {
		t.Errorf("oldest change: %v", err)
	}
}
