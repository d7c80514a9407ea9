package cmds

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/bench/probe"
	"mulleingate.dev/bench/report"
	"mulleingate.dev/stand/model"
)

const (
	cpuWorkers   = 48
	cpuLength    = 8 * time.Second
	idlePrograms = 5000
	idleWorkers  = 32
)

// measureCost measures the memory, turns per second and CPU time of a box on one core.
func measureCost(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, fleetNeeds{
		boxes: 1, engines: 4, env: []string{"GOMAXPROCS=1"},
		shape: func(s *sample.Deployment) { s.Zones, s.SlotsPerZone = s.Zones[:1], 4 },
		engine: func(s *model.Spec) {
			s.StepTime, s.BatchCost, s.MaxBatch, s.CacheSize = types.Duration(time.Millisecond), 0, 64, 10_000_000
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("cost", nil)
	idle, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	table.Rows = append(table.Rows, []string{"memory of an idle box", formatMiB(idle.RSS)})
	if err := beginIdlePrograms(ctx, cli, callerURL(f, 0)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	full, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	table.Rows = append(table.Rows, []string{
		fmt.Sprintf("memory per program at rest (%d programs of one turn)", idlePrograms),
		fmt.Sprintf("%.1f KiB", float64(full.RSS-idle.RSS)/idlePrograms/1024),
	})
	return measureTurnRate(ctx, cli, f.PID(0), callerURL(f, 0), table)
}

func formatMiB(n int64) string {
	return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20))
}

// beginIdlePrograms begins idlePrograms programs, runs one turn of each and leaves them idle.
func beginIdlePrograms(ctx context.Context, cli *client.Client, url string) error {
	var remaining atomic.Int64
	remaining.Store(idlePrograms)
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	for range idleWorkers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				s, err := beginProgram(ctx, cli, url)
				if err == nil {
					err = s.runTurn(ctx, url, "a short question len=4")
				}
				if err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	return failed
}

// measureTurnRate runs short turns in closed loop for cpuLength and measures the usage of the box.
func measureTurnRate(ctx context.Context, cli *client.Client, pid int, url string, table *report.Table) error {
	ctx, stop := context.WithTimeout(ctx, cpuLength)
	defer stop()
	before, err := probe.Read(pid)
	if err != nil {
		return err
	}
	var turns atomic.Int64
	var group sync.WaitGroup
	for range cpuWorkers {
		group.Go(func() {
			for ctx.Err() == nil {
				s, err := beginProgram(ctx, cli, url)
				for i := 0; err == nil && i < 8; i++ {
					if err = s.runTurn(ctx, url, "a short question len=4"); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	after, err := probe.Read(pid)
	if err != nil {
		return err
	}
	secs := after.At.Sub(before.At).Seconds()
	perTurn := (after.CPU - before.CPU) / time.Duration(max(1, turns.Load()))
	table.Rows = append(table.Rows,
		[]string{"turns a second of a box on one core (closed loop, 4 tokens)", fmt.Sprintf("%.0f", float64(turns.Load())/secs)},
		[]string{"share of the core used, processor time per turn", fmt.Sprintf("%.0f%%, %s", 100*probe.RateBetween(before, after).Core, formatMillis(perTurn))})
	return nil
}
