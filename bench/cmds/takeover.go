package cmds

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/bench/fleet"
	"mulleingate.dev/bench/report"
	"mulleingate.dev/stand/applog"
)

const (
	takeovers       = 9
	pollInterval    = 5 * time.Millisecond
	takeoverTimeout = 20 * time.Second
	configRevisions = 20
	configBoxes     = 12
	logTurns        = 400
	intentCalls     = 200
)

// measureTakeovers repeatedly kills, and then stops as planned, the owner of a program, and measures
// the longest time without an answer for the program.
func measureTakeovers(ctx context.Context, b *builder, table *report.Table) error {
	for _, planned := range []bool{false, true} {
		f, err := b.fleet(ctx, fleetNeeds{boxes: 6, engines: 2})
		if err != nil {
			return err
		}
		hist := hdrhistogram.New(1, histMax, histDigits)
		for i := range takeovers {
			if err := measureTakeover(ctx, f, i%6, planned, hist); err != nil {
				f.Close()
				return err
			}
		}
		f.Close()
		name := "takeover after kill -9"
		if planned {
			name = "gap in service at a planned stop"
		}
		table.Rows = append(table.Rows, []string{fmt.Sprintf("%s, p50 / p99 of %d", name, takeovers), formatPercentile(hist, 50) + " / " + formatPercentile(hist, 99)})
	}
	return nil
}

// measureTakeover begins a program, kills or stops its owner, and reads the program's state through
// the next box of the same zone. It records the longest time without an answer and restarts the owner.
func measureTakeover(ctx context.Context, f *fleet.Fleet, box int, planned bool, hist *hdrhistogram.Histogram) error {
	cli := client.New("takeover", nil)
	s, err := beginProgram(ctx, cli, callerURL(f, box))
	if err != nil {
		return err
	}
	if err := s.runTurn(ctx, callerURL(f, box), "hello len=4"); err != nil {
		return err
	}
	i, err := f.OwnerOf(ctx, s.id)
	if err != nil {
		return err
	}
	other := callerURL(f, (i+3)%6)
	time.Sleep(200 * time.Millisecond)
	ctx, stop := context.WithTimeout(ctx, takeoverTimeout)
	defer stop()
	last, longest := time.Now(), time.Duration(0)
	sig := syscall.SIGKILL
	if planned {
		sig = syscall.SIGTERM
	}
	f.Signal(i, sig)
	for ctx.Err() == nil {
		if s.readState(ctx, other) == nil {
			longest = max(longest, time.Since(last))
			last = time.Now()
			if !f.Running(i) && (planned || longest > 100*time.Millisecond) {
				break
			}
		}
		time.Sleep(pollInterval)
	}
	_ = hist.RecordValue(longest.Microseconds())
	f.Wait(i)
	if err := f.Start(i); err != nil {
		return err
	}
	return f.WaitReady(context.WithoutCancel(ctx))
}

func (s *session) readState(ctx context.Context, url string) error {
	auth := client.Auth{Token: sample.Token("flanders")}
	return s.http.CallAs(ctx, auth, http.MethodGet, url+"/v1/programs/"+s.id, nil, nil)
}

// measureConfig measures the time from a publication until all boxes have applied it.
func measureConfig(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, fleetNeeds{boxes: configBoxes, engines: 1})
	if err != nil {
		return err
	}
	defer f.Close()
	hist := hdrhistogram.New(1, histMax, histDigits)
	for range configRevisions {
		began := time.Now()
		number, err := f.Republish(ctx)
		if err != nil {
			return err
		}
		for !f.RevisionApplied(ctx, number) {
			time.Sleep(pollInterval)
		}
		_ = hist.RecordValue(time.Since(began).Microseconds())
	}
	table.Rows = append(table.Rows, []string{
		fmt.Sprintf("a published revision in force on %d boxes, p50 / p99 of %d", configBoxes, configRevisions), formatPercentile(hist, 50) + " / " + formatPercentile(hist, 99),
	})
	return nil
}

// measureLog measures appends and bytes per turn, without faults and with the log down half of the
// time, and the latency that an intent record adds to a call.
func measureLog(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, fleetNeeds{boxes: 3, engines: 4})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("log-figures", nil)
	for _, outage := range []bool{false, true} {
		before := f.Platform.Log.Stats()
		done, stop := make(chan struct{}), make(chan struct{})
		go toggleLog(f, outage, stop, done)
		turns := runTurns(ctx, f, cli)
		close(stop)
		<-done
		time.Sleep(time.Second)
		after := f.Platform.Log.Stats()
		name := "calm"
		if outage {
			name = "log away half of the time"
		}
		table.Rows = append(table.Rows, []string{
			fmt.Sprintf("appends / bytes per turn, %s (%d turns answered)", name, turns),
			fmt.Sprintf("%.2f / %.0f", float64(after.Appends-before.Appends)/float64(turns), float64(after.Bytes-before.Bytes)/float64(turns)),
		})
	}
	return measureIntents(ctx, f, cli, table)
}

// toggleLog alternately takes the log down and brings it up again until stop is closed. It does
// nothing if on is false. It closes done when it returns.
func toggleLog(f *fleet.Fleet, on bool, stop, done chan struct{}) {
	defer close(done)
	down := false
	for on {
		select {
		case <-stop:
			f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400})
			return
		case <-time.After(300 * time.Millisecond):
			down = !down
			f.Platform.Log.SetFaults(applog.Faults{AppendsPerSecond: 400, Down: down})
		}
	}
}

// runTurns runs turns from several callers until logTurns are answered, and returns their number.
func runTurns(ctx context.Context, f *fleet.Fleet, cli *client.Client) int64 {
	var turns atomic.Int64
	var group sync.WaitGroup
	for w := range 16 {
		group.Go(func() {
			url := callerURL(f, w%3)
			for turns.Load() < logTurns && ctx.Err() == nil {
				s, err := beginProgram(ctx, cli, url)
				for i := 0; err == nil && i < 5; i++ {
					if err = s.runTurn(ctx, url, "a question of some words len=12"); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return turns.Load()
}

// measureIntents compares the latency of bookings with a key, which need an intent record in the
// log, and without one. The two kinds alternate.
func measureIntents(ctx context.Context, f *fleet.Fleet, cli *client.Client, table *report.Table) error {
	with, without := hdrhistogram.New(1, histMax, histDigits), hdrhistogram.New(1, histMax, histDigits)
	for range intentCalls {
		for _, keyed := range []bool{true, false} {
			key, hist := "", without
			if keyed {
				key, hist = ident.RandomID(), with
			}
			began := time.Now()
			var answer types.ServiceAnswer
			body := types.ServiceCall{Input: []byte(`{"chair":1}`)}
			if err := post(ctx, cli, callerURL(f, 0)+"/v1/services/booking/calls?data_class=personal", key, body, &answer); err != nil {
				return err
			}
			_ = hist.RecordValue(time.Since(began).Microseconds())
		}
	}
	table.Rows = append(table.Rows,
		[]string{"a booking with a key, p50 / p95", formatPercentile(with, 50) + " / " + formatPercentile(with, 95)},
		[]string{"a booking without a key, p50 / p95", formatPercentile(without, 50) + " / " + formatPercentile(without, 95)})
	return nil
}

// measureZonePartition counts the turns answered in one zone before and during a partition from the
// other zones and from the log.
func measureZonePartition(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, fleetNeeds{boxes: 6, engines: 6, proxied: true})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("zone", nil)
	zone := f.Boxes()[0].Zone
	before := countZoneTurns(ctx, f, cli)
	f.PartitionZone(zone, true)
	time.Sleep(2 * time.Second)
	during := countZoneTurns(ctx, f, cli)
	f.PartitionZone(zone, false)
	table.Rows = append(table.Rows, []string{
		"turns answered in a cut-off zone, as a share of before the cut", fmt.Sprintf("%d / %d = %.2f", during, before, float64(during)/float64(before)),
	})
	return nil
}

// countZoneTurns runs turns through the boxes of the first zone for four seconds, and returns the
// number answered.
func countZoneTurns(ctx context.Context, f *fleet.Fleet, cli *client.Client) int64 {
	ctx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	var turns atomic.Int64
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			url := callerURL(f, 3*(w%2))
			for ctx.Err() == nil {
				s, err := beginProgram(ctx, cli, url)
				for i := 0; err == nil && i < 4; i++ {
					if err = s.runTurn(ctx, url, "a question len=8"); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return turns.Load()
}
