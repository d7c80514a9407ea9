package fleet_test

import (
	"context"
	"net"
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

// startFleet runs three boxes in three zones as processes, with a proxy on every link.
func startFleet(t *testing.T) (*fleet.Fleet, *fleet.Balancer) {
	t.Helper()
	f, err := newFleet(t, shortenTimeouts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, fleet.NewBalancer(f)
}

// newFleet is fleet.New for the fleet of startFleet, with the settings as edit changes them.
func newFleet(t *testing.T, edit func(set *conf.Settings)) (*fleet.Fleet, error) {
	t.Helper()
	ctx := context.Background()
	dir := t.TempDir()
	gate, err := fleet.Build(ctx, dir)
	if err != nil {
		t.Fatal(err)
	}
	shape := sample.Ghent()
	return fleet.New(ctx, fleet.Spec{
		Shape: shape, Boxes: 3, GatePath: gate, Dir: dir, Proxied: true,
		Platform: plat.Spec{
			Zones: shape.Zones, Engines: 4, Model: "planner", ListLag: 300 * time.Millisecond, Log: applog.Faults{AppendsPerSecond: 400},
			Services: map[string]int{"booking": 3, "calendar": 2},
		},
		EditSettings: edit,
	})
}

// shortenTimeouts shortens the intervals that delay a takeover.
func shortenTimeouts(set *conf.Settings) {
	set.Member.HeartbeatInterval = types.Duration(100 * time.Millisecond)
	set.Member.SuspectTimeout = types.Duration(1200 * time.Millisecond)
	set.Member.ListInterval = types.Duration(200 * time.Millisecond)
	set.Slots.AdoptionDelay = types.Duration(time.Second)
}

func runLoad(ctx context.Context, b *fleet.Balancer, plans []load.Plan) *load.Stats {
	return load.Run(ctx, load.Spec{
		Plans: plans, Workspaces: []string{"flanders", "wallonia"}, Model: "planner", LookupService: "calendar", BookingService: "booking",
		Balancer: b, Deadline: 2 * time.Minute,
	})
}

// checkInvariants checks what must hold under any fault: no wrong answer, and no key with two effects.
func checkInvariants(t *testing.T, f *fleet.Fleet, stats *load.Stats) {
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
		stats.Finished, stats.Planned, stats.Refused, stats.Failed, stats.Turns, stats.Calls, stats.UnknownOutcomes, stats.Retries, stats.Faults)
}

// checkAllFinished checks that every planned program finished.
func checkAllFinished(t *testing.T, stats *load.Stats) {
	t.Helper()
	if diff := cmp.Diff(stats.Planned, stats.Finished); diff != "" {
		t.Errorf("finished programs (-want +got):\n%s", diff)
	}
}

func drawPlans(seed uint64) []load.Plan {
	return load.DrawPlans(load.Ghent, 25, 8*time.Second, seed)
}

// TestPlannedStop checks that no request fails and every booking takes effect exactly once while
// one box drains and stops, and that SIGHUP disturbs neither a running box nor the stopping one.
func TestPlannedStop(t *testing.T) {
	f, b := startFleet(t)
	ctx := context.Background()
	go func() {
		time.Sleep(2 * time.Second)
		f.Signal(0, syscall.SIGHUP)
		time.Sleep(time.Second)
		b.SetOutOfService(1, true)
		f.MarkLeaving(f.Boxes()[1].Name)
		f.Signal(1, syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		f.Signal(1, syscall.SIGHUP)
	}()
	stats := runLoad(ctx, b, drawPlans(1))
	checkInvariants(t, f, stats)
	checkAllFinished(t, stats)
	if diff := cmp.Diff(map[string]int{}, stats.Faults); diff != "" {
		t.Errorf("failed requests during a planned stop (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, f.Wait(1)); diff != "" {
		t.Errorf("exit code of the stopped box (-want +got):\n%s\nend of its log:\n%s", diff, f.LogTail(1))
	}
	if diff := cmp.Diff(stats.Calls-repeatableEffects(f), len(keysWithEffects(f, 1))); diff != "" {
		t.Errorf("answered bookings and keys with one effect (-want +got):\n%s", diff)
	}
}

// repeatableEffects counts the effects at the calendar, the service that may be repeated.
func repeatableEffects(f *fleet.Fleet) int {
	n := 0
	for name, tool := range f.Platform.Tools {
		if name == "calendar-0" || name == "calendar-1" {
			n += len(tool.Effects().Counts)
		}
	}
	return n
}

// keysWithEffects returns the booking keys that took effect n times.
func keysWithEffects(f *fleet.Fleet, n int) []string {
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

// TestKill checks that every program finishes although a box crashes and is restarted.
func TestKill(t *testing.T) {
	f, b := startFleet(t)
	go func() {
		time.Sleep(2 * time.Second)
		f.Kill(0)
		time.Sleep(2 * time.Second)
		if err := f.Start(0); err != nil {
			t.Error(err)
		}
	}()
	stats := runLoad(context.Background(), b, drawPlans(2))
	checkInvariants(t, f, stats)
	checkAllFinished(t, stats)
}

// TestPause checks that a box that is paused until others have taken over its slots causes no
// wrong answer and no duplicate effect when it continues.
func TestPause(t *testing.T) {
	f, b := startFleet(t)
	go func() {
		time.Sleep(2 * time.Second)
		f.Signal(2, syscall.SIGSTOP)
		b.SetOutOfService(2, true)
		time.Sleep(2500 * time.Millisecond)
		f.Signal(2, syscall.SIGCONT)
		b.SetOutOfService(2, false)
	}()
	stats := runLoad(context.Background(), b, drawPlans(3))
	checkInvariants(t, f, stats)
}

// TestLogAndZoneOutage checks that lost answers of the log, an outage of the log, and a partition
// of a zone while the log is slow cause no wrong answer and no duplicate effect.
func TestLogAndZoneOutage(t *testing.T) {
	f, b := startFleet(t)
	go func() {
		time.Sleep(time.Second)
		f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400, LoseResponses: 8})
		time.Sleep(time.Second)
		f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400, Down: true})
		time.Sleep(1500 * time.Millisecond)
		f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400, Delay: types.Duration(30 * time.Millisecond)})
		f.PartitionZone("hall-namur", true)
		time.Sleep(2 * time.Second)
		f.PartitionZone("hall-namur", false)
		f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400})
	}()
	stats := runLoad(context.Background(), b, drawPlans(4))
	checkInvariants(t, f, stats)
}

// TestLeavingEngine checks that an engine marked as leaving gets no call after two seconds, and
// that every program finishes.
func TestLeavingEngine(t *testing.T) {
	f, b := startFleet(t)
	left := make(chan time.Time, 1)
	go func() {
		time.Sleep(3 * time.Second)
		f.MarkLeaving("engine-0")
		left <- time.Now()
	}()
	stats := runLoad(context.Background(), b, drawPlans(5))
	checkInvariants(t, f, stats)
	checkAllFinished(t, stats)
	last := f.Platform.Engines["engine-0"].Stats().LastCall
	if late := last.Sub(<-left); late > 2*time.Second {
		t.Errorf("the engine got a call %v after it was marked as leaving", late)
	}
}

// TestFleetNeedsAllBoxes checks that a fleet is not ready without a box that could not start. The other boxes took
// over its slots, so that tests ran without it and failed only at its exit code, if they looked at that.
func TestFleetNeedsAllBoxes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }() // the test is over
	f, err := newFleet(t, func(set *conf.Settings) {
		shortenTimeouts(set)
		if set.Box.Name == "box-1" {
			set.Listen.Callers = taken.Addr().(*net.TCPAddr).AddrPort()
		}
	})
	if err == nil {
		t.Errorf("a fleet without box-1, which exited with %d, is ready", f.Wait(1))
		f.Close()
	}
}
