package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestPlannedStopCutsNothing keeps callers busy while every box is stopped and replaced,
// one after the other: no call may fail.
func TestPlannedStopCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, err := newWorld()
		if err != nil {
			t.Fatal(err)
		}
		defer w.close()
		o := newOracle(w)
		o.budget = 1_000_000
		time.Sleep(2 * time.Second)
		for i := range 4 {
			o.begin(i%boxCount, "one")
		}
		done := make(chan struct{})
		for i, p := range o.programs {
			o.async.Go(func() { steady(o, p, i, done) })
		}
		for i := range boxCount {
			w.stop(i)
			time.Sleep(500 * time.Millisecond)
			w.start(i)
			time.Sleep(2 * time.Second)
		}
		close(done)
		o.async.Wait()
		if len(o.broken) > 0 {
			t.Fatalf("%s", o.report())
		}
	})
}

// steady runs turns and bookings through the boxes that are up until done.
func steady(o *oracle, p *program, n int, done chan struct{}) {
	for i := 0; i < 15; i++ {
		select {
		case <-done:
			return
		default:
		}
		entry := up(o.w, n+i)
		if ok, err := o.turn(p, []int{entry}); !ok {
			o.fail("stop_cuts_nothing", "%s turn %d: %v", p.id, p.turn+1, err)
		}
		k := &keyCall{key: fmt.Sprintf("%d-%d", n, i), workspace: "one", service: "book", input: "1"}
		o.call(k, nil, up(o.w, n+i))
		if !k.maybe {
			o.fail("stop_cuts_nothing", "key %s was refused", k.key)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// up is a box that takes calls and is not leaving, as the balancer would choose it.
func up(w *world, n int) int {
	for i := range boxCount {
		b := w.box((n + i) % boxCount)
		if b.inService() && b.store.Ready() == nil && b.view.Settled() {
			return (n + i) % boxCount
		}
	}
	return 0
}
