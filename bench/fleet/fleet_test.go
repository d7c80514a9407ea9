package fleet_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/bench/fleet"
	"mulleingate.dev/bench/load"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/stand/applog"
	"mulleingate.dev/stand/plat"
)

// start runs three boxes in three zones as processes, with a proxy on every link.
func start(t *testing.T) (*fleet.Fleet, *fleet.Balancer) {
	t.Helper()
	ctx := context.Background()
	dir := t.TempDir()
	gate, err := fleet.Build(ctx, dir)
	if err != nil {
		t.Fatal(err)
	}
	shape := sample.Ghent()
	f, err := fleet.New(ctx, fleet.Spec{
		Shape: shape, Boxes: 3, Gate: gate, Dir: dir, Proxied: true,
		Platform: plat.Spec{
			Zones: shape.Zones, Engines: 4, Model: "planner", Lag: 300 * time.Millisecond, Log: applog.Faults{Limit: 400},
			Services: map[string]int{"booking": 3, "calendar": 2},
		},
		Edit: quick,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, fleet.NewBalancer(f)
}

// quick shortens the intervals that a takeover waits for.
func quick(set *conf.Settings) {
	set.Member.Beat = types.Duration(100 * time.Millisecond)
	set.Member.Suspect = types.Duration(1200 * time.Millisecond)
	set.Member.List = types.Duration(200 * time.Millisecond)
	set.Slots.AdoptAfter = types.Duration(time.Second)
}

func play(ctx context.Context, b *fleet.Balancer, plans []load.Plan) *load.Stats {
	return load.Run(ctx, load.Spec{
		Plans: plans, Workspaces: []string{"flanders", "wallonia"}, Model: "planner", Look: "calendar", Book: "booking",
		Entries: b, Deadline: 2 * time.Minute,
	})
}

// judge checks what must hold whatever was broken during the run.
func judge(t *testing.T, f *fleet.Fleet, stats *load.Stats) {
	t.Helper()
	if diff := cmp.Diff([]string(nil), stats.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	for key, n := range f.Platform.Effects() {
		if n > 1 {
			t.Errorf("key %s took effect %d times", key, n)
		}
	}
	t.Logf("finished %d of %d, refused %d, failed %d, turns %d, calls %d, unknown %d, retries %d, refusals %v",
		stats.Finished, stats.Planned, stats.Refused, stats.Failed, stats.Turns, stats.Calls, stats.Unknown, stats.Retries, stats.Refusals)
}

// calm checks that nothing failed at all.
func calm(t *testing.T, stats *load.Stats) {
	t.Helper()
	if diff := cmp.Diff(stats.Planned, stats.Finished); diff != "" {
		t.Errorf("finished programs (-want +got):\n%s", diff)
	}
}

func plans(seed uint64) []load.Plan {
	return load.Plans(load.Ghent, 25, 8*time.Second, seed)
}

// TestPrograms runs some two hundred programs and stops one box as planned in the middle. The
// boxes are told that their settings have changed before and while it stops: every program
// ends well, and every effect happens exactly once.
func TestPrograms(t *testing.T) {
	f, b := start(t)
	ctx := context.Background()
	go func() {
		time.Sleep(2 * time.Second)
		f.Signal(0, syscall.SIGHUP)
		time.Sleep(time.Second)
		b.Out(1, true)
		f.Leave(f.Boxes()[1].Name)
		f.Signal(1, syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		f.Signal(1, syscall.SIGHUP)
	}()
	stats := play(ctx, b, plans(1))
	judge(t, f, stats)
	calm(t, stats)
	if diff := cmp.Diff(map[string]int{}, stats.Refusals); diff != "" {
		t.Errorf("refusals at a planned stop (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, f.Wait(1)); diff != "" {
		t.Errorf("exit code of the stopped box (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(stats.Calls-repeatable(f), len(exactly(f, 1))); diff != "" {
		t.Errorf("bookings answered and effects (-want +got):\n%s", diff)
	}
}

// repeatable counts the calls of the service that may be repeated.
func repeatable(f *fleet.Fleet) int {
	n := 0
	for name, tool := range f.Platform.Tools {
		if name == "calendar-0" || name == "calendar-1" {
			n += len(tool.Effects().Counts)
		}
	}
	return n
}

// exactly lists the booking keys that took effect n times.
func exactly(f *fleet.Fleet, n int) []string {
	var keys []string
	for name, tool := range f.Platform.Tools {
		if name == "calendar-0" || name == "calendar-1" {
			continue
		}
		for key, count := range tool.Effects().Counts {
			if count == n {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// TestKill kills a box without warning and starts it again.
func TestKill(t *testing.T) {
	f, b := start(t)
	go func() {
		time.Sleep(2 * time.Second)
		f.Kill(0)
		time.Sleep(2 * time.Second)
		if err := f.Start(0); err != nil {
			t.Error(err)
		}
	}()
	stats := play(context.Background(), b, plans(2))
	judge(t, f, stats)
	calm(t, stats)
}

// TestPause stops a box for longer than others wait for it, then lets it go on.
func TestPause(t *testing.T) {
	f, b := start(t)
	go func() {
		time.Sleep(2 * time.Second)
		f.Signal(2, syscall.SIGSTOP)
		b.Out(2, true)
		time.Sleep(2500 * time.Millisecond)
		f.Signal(2, syscall.SIGCONT)
		b.Out(2, false)
	}()
	stats := play(context.Background(), b, plans(3))
	judge(t, f, stats)
}

// TestCuts loses answers of the log, then takes the log away, and cuts one zone off
// while the log is slow.
func TestCuts(t *testing.T) {
	f, b := start(t)
	go func() {
		time.Sleep(time.Second)
		f.Platform.Log.Set(applog.Faults{Limit: 400, LoseAnswers: 8})
		time.Sleep(time.Second)
		f.Platform.Log.Set(applog.Faults{Limit: 400, Down: true})
		time.Sleep(1500 * time.Millisecond)
		f.Platform.Log.Set(applog.Faults{Limit: 400, Slow: types.Duration(30 * time.Millisecond)})
		f.CutZone("hall-namur", true)
		time.Sleep(2 * time.Second)
		f.CutZone("hall-namur", false)
		f.Platform.Log.Set(applog.Faults{Limit: 400})
	}()
	stats := play(context.Background(), b, plans(4))
	judge(t, f, stats)
}

// TestLeavingEngine takes an engine off the list in mid run: two seconds later no call
// reaches it any more, and every program ends well.
func TestLeavingEngine(t *testing.T) {
	f, b := start(t)
	left := make(chan time.Time, 1)
	go func() {
		time.Sleep(3 * time.Second)
		f.Leave("engine-0")
		left <- time.Now()
	}()
	stats := play(context.Background(), b, plans(5))
	judge(t, f, stats)
	calm(t, stats)
	last := f.Platform.Engines["engine-0"].Stats().LastCall
	if late := last.Sub(<-left); late > 2*time.Second {
		t.Errorf("the engine got a call %v after it was leaving", late)
	}
}
