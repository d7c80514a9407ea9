package cmds

import (
	"context"
	"sort"
	"strings"
	"syscall"
	"time"

	"mulleingate.dev/bench/fleet"
	"mulleingate.dev/stand/applog"
	"mulleingate.dev/stand/model"
)

func splitVariant(text string) []string {
	return strings.Split(text, "+")
}

// faults holds the faults that an experiment can inject, by the name that its flag takes.
var faults = map[string]func(ctx context.Context, f *fleet.Fleet, b *fleet.Balancer){
	"none":         func(context.Context, *fleet.Fleet, *fleet.Balancer) {},
	"box_killed":   boxKilled,
	"box_stopped":  boxStopped,
	"engine_slow":  engineSlow,
	"engine_leave": engineLeave,
	"log_down":     logDown,
	"zone_cut":     zoneCut,
	"config":       configChange,
}

func faultNames() string {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// inject injects the fault after the given time. The returned function cancels a fault that has
// not begun and stops one that repeats; boxes and links keep the state that they have then.
func inject(f *fleet.Fleet, b *fleet.Balancer, name string, after time.Duration) func() {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		if pause(ctx, after) {
			faults[name](ctx, f, b)
		}
	}()
	return stop
}

// pause waits for d and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// boxKilled kills a box and restarts it after three seconds, as a platform would.
func boxKilled(ctx context.Context, f *fleet.Fleet, _ *fleet.Balancer) {
	f.Kill(0)
	if pause(ctx, 3*time.Second) {
		_ = f.Start(0)
	}
}

// boxStopped drains and stops a box as in a planned stop, and does not restart it.
func boxStopped(_ context.Context, f *fleet.Fleet, b *fleet.Balancer) {
	b.SetOutOfService(0, true)
	f.MarkLeaving(f.Boxes()[0].Name)
	f.Signal(0, syscall.SIGTERM)
}

func engineSlow(_ context.Context, f *fleet.Fleet, _ *fleet.Balancer) {
	f.Platform.Engines["engine-0"].SetFaults(model.Faults{SlowdownFactor: 4})
}

func engineLeave(_ context.Context, f *fleet.Fleet, _ *fleet.Balancer) {
	f.MarkLeaving("engine-0")
}

func logDown(ctx context.Context, f *fleet.Fleet, _ *fleet.Balancer) {
	f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400, Down: true})
	if pause(ctx, 3*time.Second) {
		f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400})
	}
}

func zoneCut(ctx context.Context, f *fleet.Fleet, _ *fleet.Balancer) {
	zone := f.Boxes()[0].Zone
	f.PartitionZone(zone, true)
	if pause(ctx, 3*time.Second) {
		f.PartitionZone(zone, false)
	}
}

// configChange republishes the configuration until ctx ends or a publication fails.
func configChange(ctx context.Context, f *fleet.Fleet, _ *fleet.Balancer) {
	for {
		if _, err := f.Republish(ctx); err != nil || !pause(ctx, 500*time.Millisecond) {
			return
		}
	}
}
