package shard

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// linkLog is a log as a box sees it over a slow link, which all its reads share.
type linkLog struct {
	*memLog
	// pageTime is what a page of records takes if the link carries nothing else, and recordTime what a record of a read takes.
	pageTime, recordTime time.Duration

	linkMu sync.Mutex
	active int
	// pages counts the pages that arrived, and most the largest number that was under way at once.
	pages, most int
	// failEvery makes every call of that number fail once a half of it has arrived; 0 for none.
	failEvery, calls int
	// cut makes all appends fail.
	cut bool
}

func (l *linkLog) setCut(cut bool) {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.cut = cut
}

// transfer returns once the link has carried what takes the given time alone.
func (l *linkLog) transfer(ctx context.Context, alone time.Duration) error {
	const step = 10 * time.Millisecond
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.active++
	defer func() { l.active-- }()
	l.most = max(l.most, l.active)
	for rest := alone; rest > 0; rest -= step / time.Duration(l.active) {
		l.linkMu.Unlock()
		time.Sleep(step)
		l.linkMu.Lock()
		if ctx.Err() != nil {
			return fault.Fail(fault.LogUnavailable, "the answer is incomplete")
		}
	}
	return nil
}

func (l *linkLog) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	batch, err := l.memLog.Newest(ctx, shard, after)
	if err != nil || after == beforeOwnerKey {
		return batch, err
	}
	l.linkMu.Lock()
	l.calls++
	fails := l.failEvery > 0 && l.calls%l.failEvery == 0
	l.linkMu.Unlock()
	if fails {
		_ = l.transfer(ctx, l.pageTime/2)
		return work.Batch{}, fault.Fail(fault.LogUnavailable, "the answer is incomplete")
	}
	if err := l.transfer(ctx, l.pageTime); err != nil {
		return work.Batch{}, err
	}
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.pages++
	return batch, nil
}

// readRecords is the largest number of records that a read returns.
const readRecords = 100

func (l *linkLog) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	page, err := l.memLog.Read(ctx, shard, from, wait)
	if err != nil {
		return page, err
	}
	page.End = page.Next
	if len(page.Records) > readRecords {
		page.Records, page.Next = page.Records[:readRecords], from+readRecords
	}
	return page, l.transfer(ctx, time.Duration(len(page.Records))*l.recordTime)
}

func (l *linkLog) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	l.linkMu.Lock()
	cut := l.cut
	l.linkMu.Unlock()
	if cut {
		return fault.Refuse(fault.LogUnavailable, "cut")
	}
	return l.memLog.Append(ctx, shard, writer, recs)
}

// fill adds records of the given number of answered turns to each slot.
func (l *linkLog) fill(t *testing.T, slots, turns int) {
	t.Helper()
	l.pageNewest(1, 0)
	for number := range slots {
		for n := range turns {
			o := chain.OpenTurn{ID: fmt.Sprint(number, "-", n), Program: fmt.Sprint(number, "-", n), Retention: time.Hour}
			_, recs := chain.New().Finish(time.Now(), o, 1, []byte("text"))
			l.shard(number).recs = append(l.shard(number).recs, recs...)
		}
	}
}

// claimAll makes a box over the link claim all slots, and returns how long the first and the last of them took.
func claimAll(t *testing.T, log *linkLog, slots int) (first, last time.Duration) {
	t.Helper()
	f := newFleet(log)
	view := boxView{fleet: f, self: "a"}
	f.ownerByBox["a"] = "a"
	m := New(work.Box{Name: "a", Incarnation: "a-2", Link: slowLink / 2}, NewLayout(slots), log, view, view, noCounts{}, discard)
	f.managers["a"] = m
	defer f.stop()
	start := time.Now()
	m.Rebalance()
	for time.Since(start) < 5*time.Minute {
		held := m.HeldCount()
		if held > 0 && first == 0 {
			first = time.Since(start)
		}
		if held == slots {
			return first, time.Since(start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("%d of %d slots are claimed after %v", m.HeldCount(), slots, time.Since(start))
	return first, time.Since(start)
}

// TestSlotsOnSlowLinkAreClaimed guards against slots that nobody owns any more: pages of all slots were read at once over one
// link, so that each took longer than its timeout, and all began again together.
func TestSlotsOnSlowLinkAreClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, turns, pageTime = 8, 5, 400 * time.Millisecond
		log := &linkLog{memLog: newLog(), pageTime: pageTime}
		log.fill(t, slots, turns)
		first, last := claimAll(t, log, slots)
		if diff := cmp.Diff([]int{slotLinkPages(slots, turns), slowLinkReads}, []int{log.pages, log.most}); diff != "" {
			t.Errorf("pages read, and at once (-want +got):\n%s", diff)
		}
		if alone := slots * turns * pageTime; last > alone+2*time.Second || first > alone/2 {
			t.Errorf("claimed after %v to %v; the link carries all in %v", first, last, alone)
		}
	})
}

// slotLinkPages returns the number of pages that the slots have, with one record each.
func slotLinkPages(slots, turns int) int { return slots * turns }

// TestFailedReadGoesOn guards against reads that begin again from nothing after each failure, and never end.
func TestFailedReadGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, turns = 4, 20
		log := &linkLog{memLog: newLog(), pageTime: 200 * time.Millisecond, failEvery: 5}
		log.fill(t, slots, turns)
		claimAll(t, log, slots)
		if diff := cmp.Diff(slotLinkPages(slots, turns), log.pages); diff != "" {
			t.Errorf("pages read (-want +got):\n%s", diff)
		}
	})
}

// TestReadQueueOrder checks that the pages of a slot that nobody can serve are read before those of slots that others serve,
// and those of the slot that was begun first before others of its class.
func TestReadQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &readQueue{limit: 1}
		if err := q.acquire(t.Context(), readOwned, 1); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var got []string
		var all sync.WaitGroup
		for _, ticket := range []*readTicket{{class: readOwned, order: 2}, {class: readOrphan, order: 4}, {class: readOrphan, order: 3}, {class: readFenced, order: 5}} {
			all.Go(func() {
				if err := q.acquire(t.Context(), ticket.class, ticket.order); err != nil {
					t.Error(err)
				}
				mu.Lock()
				got = append(got, fmt.Sprint(ticket.class, "-", ticket.order))
				mu.Unlock()
				q.release()
			})
			synctest.Wait()
		}
		gone, stop := context.WithCancel(t.Context())
		stop()
		if err := q.acquire(gone, readFenced, 0); err == nil {
			t.Error("a read that was given up is admitted")
		}
		q.release()
		all.Wait()
		if diff := cmp.Diff([]string{"0-5", "1-3", "1-4", "2-2"}, got); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

// moveSlot makes box b, over the slow link, claim the slot of a while turns run. It returns the longest time without one, and the number of
// turns that did not run.
func moveSlot(t *testing.T, log *linkLog, during func(at time.Duration, f *fleet)) (gap time.Duration, failed int, f *fleet) {
	t.Helper()
	ctx := t.Context()
	f = newFleet(log.memLog, "a", "b")
	view := boxView{fleet: f, self: "b"}
	f.managers["b"] = New(work.Box{Name: "b", Incarnation: "b-1", Link: slowLink / 2}, NewLayout(1), log, view, view, noCounts{}, discard)
	previous := ""
	run := func(n int) bool {
		id := fmt.Sprint("t", n)
		for _, box := range []string{"a", "b"} {
			if runTurn(ctx, f.managers[box], newTurn(id, previous), -1, 0, ignoreTokens) == nil {
				previous = id
				return true
			}
		}
		return false
	}
	if !run(-1) {
		t.Fatal("no turn runs before the move")
	}
	f.setOwner("a", "b")
	f.setOwner("b", "b")
	f.managers["b"].startClaim(0)
	start := time.Now()
	served := start
	for n := range 800 {
		during(time.Since(start), f)
		if run(n) {
			served = time.Now()
		} else {
			failed++
		}
		gap = max(gap, time.Since(served))
		time.Sleep(50 * time.Millisecond)
	}
	return gap, failed, f
}

// TestOwnerServesUntilNextCan guards against a slot without an owner after a planned move: its owner let go before the next one
// had read what was written during its long read.
func TestOwnerServesUntilNextCan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &linkLog{memLog: newLog(), pageTime: 300 * time.Millisecond, recordTime: 10 * time.Millisecond}
		log.fill(t, 1, 300)
		log.pageNewest(10, 0)
		gap, _, f := moveSlot(t, log, func(time.Duration, *fleet) {})
		defer f.stop()
		if !f.managers["b"].Holds(0) {
			t.Error("the slot was not moved")
		}
		if gap > time.Second {
			t.Errorf("no turn ran for %v", gap)
		}
	})
}

// TestReadIsNotAbandoned guards against a slot that is served late: the box that had read most of it gave up when another one came
// to rank before it, which then had to read all of it.
func TestReadIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log)
		filler := &linkLog{memLog: log}
		filler.fill(t, 1, 200)
		log.pageNewest(10, 0)
		for _, name := range []string{"a", "b"} {
			view := boxView{fleet: f, self: name}
			link := &linkLog{memLog: log, pageTime: 500 * time.Millisecond}
			f.ownerByBox[name] = "a"
			f.managers[name] = New(work.Box{Name: name, Incarnation: name + "-1", Link: slowLink / 2}, NewLayout(1), link, view, view, noCounts{}, discard)
		}
		defer f.stop()
		alone := 10 * time.Second // for 20 pages
		a, b := f.managers["a"], f.managers["b"]
		a.Rebalance()
		time.Sleep(alone * 8 / 10)
		f.setOwner("a", "b")
		f.setOwner("b", "b")
		b.Rebalance()
		start := time.Now()
		for !a.Holds(0) && !b.Holds(0) && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(start); took > alone*4/10 {
			t.Errorf("the slot was without an owner for another %v", took)
		}
		time.Sleep(2 * alone)
		if !b.Holds(0) {
			t.Error("the slot was not moved to the box that should own it")
		}
	})
}

// TestSlotIsTakenBack guards against a slot without an owner after its owner has released it to a box that can't claim it any
// more. What the owner has written in between counts.
func TestSlotIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &linkLog{memLog: newLog(), pageTime: 100 * time.Millisecond}
		log.fill(t, 1, 30)
		log.pageNewest(10, 0)
		log.setCut(true)
		gap, failed, f := moveSlot(t, log, func(at time.Duration, f *fleet) {
			if at > 10*time.Second {
				f.setOwner("a", "a") // b is found to have failed
				f.setOwner("b", "a")
			}
		})
		defer f.stop()
		if !f.managers["a"].Holds(0) {
			t.Error("the owner has not taken the slot back")
		}
		// Each turn that does not run waits for the claim of b.
		if gap > takeBackDelay+time.Second || failed > int((takeBackDelay+time.Second)/claimTimeout) {
			t.Errorf("no turn ran for %v, and %d in all", gap, failed)
		}
	})
}
