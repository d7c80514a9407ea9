package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestPlannedStopFailsNoCall checks that no call fails while every box is stopped and replaced,
// one after the other.
func TestPlannedStopFailsNoCall(t *testing.T) {
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
			o.async.Go(func() { sendCalls(o, p, i, done) })
		}
		for i := range boxCount {
			w.stopPlanned(i)
			time.Sleep(500 * time.Millisecond)
			w.start(i)
			time.Sleep(2 * time.Second)
		}
		close(done)
		o.async.Wait()
		if len(o.violations) > 0 {
			t.Fatalf("%s", o.report())
		}
	})
}

// sendCalls sends turns and tool calls through boxes in service until done is closed, or 15 of each.
func sendCalls(o *oracle, p *program, n int, done chan struct{}) {
	for i := 0; i < 15; i++ {
		select {
		case <-done:
			return
		default:
		}
		entry := pickBox(o.w, n+i)
		if ok, err := o.turn(p, []int{entry}); !ok {
			o.fail("stop_cuts_nothing", "%s turn %d: %v", p.id, p.turn+1, err)
		}
		k := &keyCall{key: fmt.Sprintf("%d-%d", n, i), workspace: "one", service: "book", input: "1"}
		o.call(k, nil, pickBox(o.w, n+i))
		if !k.mayHaveRun {
			o.fail("stop_cuts_nothing", "key %s was not run", k.key)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// pickBox returns the index of a box that takes new calls, as a balancer would choose it, or 0 for none.
func pickBox(w *world, n int) int {
	for i := range boxCount {
		b := w.box((n + i) % boxCount)
		if b.inService() && b.store.Ready() == nil && b.view.Settled() {
			return (n + i) % boxCount
		}
	}
	return 0
}
