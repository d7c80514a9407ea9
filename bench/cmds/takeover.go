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
	takeovers   = 9
	takePause   = 5 * time.Millisecond
	takeWait    = 20 * time.Second
	revisions   = 20
	configBoxes = 12
	logTurns    = 400
	intentCalls = 200
)

// takeoverFigures kills and stops the owner of a program, again and again, and takes the
// time until another box answers for the program.
func takeoverFigures(ctx context.Context, b *builder, table *report.Table) error {
	for _, planned := range []bool{false, true} {
		f, err := b.fleet(ctx, want{boxes: 6, engines: 2})
		if err != nil {
			return err
		}
		hist := hdrhistogram.New(1, histMax, histDigits)
		for i := range takeovers {
			if err := takeover(ctx, f, i%6, planned, hist); err != nil {
				f.Close()
				return err
			}
		}
		f.Close()
		name := "takeover after kill -9"
		if planned {
			name = "gap in service at a planned stop"
		}
		table.Rows = append(table.Rows, []string{fmt.Sprintf("%s, p50 / p99 of %d", name, takeovers), at(hist, 50) + " / " + at(hist, 99)})
	}
	return nil
}

// takeover makes a program, ends the box that owns it, and asks for it through the box's
// neighbour in the zone. It notes the longest time without an answer.
func takeover(ctx context.Context, f *fleet.Fleet, from int, planned bool, hist *hdrhistogram.Histogram) error {
	cli := client.New("takeover", nil)
	s, err := begin(ctx, cli, entry(f, from))
	if err != nil {
		return err
	}
	if err := s.next(ctx, entry(f, from), "hello len=4"); err != nil {
		return err
	}
	i, err := f.OwnerOf(ctx, s.id)
	if err != nil {
		return err
	}
	other := entry(f, (i+3)%6)
	time.Sleep(200 * time.Millisecond)
	ctx, stop := context.WithTimeout(ctx, takeWait)
	defer stop()
	last, longest := time.Now(), time.Duration(0)
	sig := syscall.SIGKILL
	if planned {
		sig = syscall.SIGTERM
	}
	f.Signal(i, sig)
	for ctx.Err() == nil {
		if s.state(ctx, other) == nil {
			longest = max(longest, time.Since(last))
			last = time.Now()
			if !f.Up(i) && (planned || longest > 100*time.Millisecond) {
				break
			}
		}
		time.Sleep(takePause)
	}
	_ = hist.RecordValue(longest.Microseconds())
	f.Wait(i)
	if err := f.Start(i); err != nil {
		return err
	}
	return f.Ready(context.WithoutCancel(ctx))
}

func (s *session) state(ctx context.Context, from string) error {
	auth := client.Auth{Token: sample.Token("flanders")}
	return s.http.CallAs(ctx, auth, http.MethodGet, from+"/v1/programs/"+s.id, nil, nil)
}

// configFigures takes the time from a publication until it is in force on twelve boxes.
func configFigures(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, want{boxes: configBoxes, engines: 1})
	if err != nil {
		return err
	}
	defer f.Close()
	hist := hdrhistogram.New(1, histMax, histDigits)
	for range revisions {
		began := time.Now()
		number, err := f.Republish(ctx)
		if err != nil {
			return err
		}
		for !f.InForce(ctx, number) {
			time.Sleep(takePause)
		}
		_ = hist.RecordValue(time.Since(began).Microseconds())
	}
	table.Rows = append(table.Rows, []string{
		fmt.Sprintf("a published revision in force on %d boxes, p50 / p99 of %d", configBoxes, revisions), at(hist, 50) + " / " + at(hist, 99),
	})
	return nil
}

// logFigures counts appends and bytes per call, calm and with the log away half the
// time, and what an intent adds to a call.
func logFigures(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, want{boxes: 3, engines: 4})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("log-figures", nil)
	for _, outage := range []bool{false, true} {
		before := f.Platform.Log.Stats()
		done, stop := make(chan struct{}), make(chan struct{})
		go flap(f, outage, stop, done)
		turns := manyTurns(ctx, f, cli)
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
	return intents(ctx, f, cli, table)
}

// flap takes the log away and back.
func flap(f *fleet.Fleet, on bool, stop, done chan struct{}) {
	defer close(done)
	down := false
	for on {
		select {
		case <-stop:
			f.Platform.Log.Set(applog.Faults{Limit: 400})
			return
		case <-time.After(300 * time.Millisecond):
			down = !down
			f.Platform.Log.Set(applog.Faults{Limit: 400, Down: down})
		}
	}
}

func manyTurns(ctx context.Context, f *fleet.Fleet, cli *client.Client) int64 {
	var turns atomic.Int64
	var group sync.WaitGroup
	for w := range 16 {
		group.Go(func() {
			from := entry(f, w%3)
			for turns.Load() < logTurns && ctx.Err() == nil {
				s, err := begin(ctx, cli, from)
				for i := 0; err == nil && i < 5; i++ {
					if err = s.next(ctx, from, "a question of some words len=12"); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return turns.Load()
}

// intents compares a booking with a key and one without, taking turns.
func intents(ctx context.Context, f *fleet.Fleet, cli *client.Client, table *report.Table) error {
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
			if err := post(ctx, cli, entry(f, 0)+"/v1/services/booking/calls?data_class=personal", key, body, &answer); err != nil {
				return err
			}
			_ = hist.RecordValue(time.Since(began).Microseconds())
		}
	}
	table.Rows = append(table.Rows,
		[]string{"a booking with a key, p50 / p95", at(with, 50) + " / " + at(with, 95)},
		[]string{"a booking without a key, p50 / p95", at(without, 50) + " / " + at(without, 95)})
	return nil
}

// zoneFigures counts the turns that callers of one zone get answered before and while
// the zone is cut off from all others and from the log.
func zoneFigures(ctx context.Context, b *builder, table *report.Table) error {
	f, err := b.fleet(ctx, want{boxes: 6, engines: 6, proxied: true})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("zone", nil)
	zone := f.Boxes()[0].Zone
	before := zoneTurns(ctx, f, cli)
	f.CutZone(zone, true)
	time.Sleep(2 * time.Second)
	during := zoneTurns(ctx, f, cli)
	f.CutZone(zone, false)
	table.Rows = append(table.Rows, []string{
		"turns answered in a cut-off zone, as a share of before the cut", fmt.Sprintf("%d / %d = %.2f", during, before, float64(during)/float64(before)),
	})
	return nil
}

func zoneTurns(ctx context.Context, f *fleet.Fleet, cli *client.Client) int64 {
	ctx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	var turns atomic.Int64
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			from := entry(f, 3*(w%2))
			for ctx.Err() == nil {
				s, err := begin(ctx, cli, from)
				for i := 0; err == nil && i < 4; i++ {
					if err = s.next(ctx, from, "a question len=8"); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return turns.Load()
}
