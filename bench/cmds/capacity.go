package cmds

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/bench/fleet"
	"mulleingate.dev/bench/probe"
	"mulleingate.dev/bench/report"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/stand/model"
)

func init() {
	commands.Register(&capacityCmd{})
}

// capacityCmd measures the slopes of docs/CAPACITY.md and derives the page's figures.
type capacityCmd struct {
	sample time.Duration
}

func (*capacityCmd) Aliases() []string { return []string{"capacity"} }
func (*capacityCmd) Help() string {
	return "measure what each part of a box costs, and derive the figures of docs/CAPACITY.md"
}

func (c *capacityCmd) Flags(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&c.sample, "sample", 5*time.Second, "how long each reading takes")
}

// slope is one measured line.
type slope struct {
	name, unit string
	x, y       []float64
	line       probe.Line
}

func (s *slope) add(x, y float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
	s.line = probe.Fit(s.x, s.y)
}

// slopes are all that the page is worked out from.
type slopes struct {
	peerCPU, peerBytes     slope
	pollCPU, pollBytes     slope
	tokenCPU               slope
	restMemory, textMemory slope
	revisionCPU            slope
	revisionBytes          slope
	// proposed is an idle box with the proposed settings.
	proposed probe.Rate
}

func newSlopes() *slopes {
	return &slopes{
		peerCPU:       slope{name: "processor time per peer with heartbeats", unit: "% of a core"},
		peerBytes:     slope{name: "bytes per peer with heartbeats", unit: "B/s"},
		pollCPU:       slope{name: "processor time per engine polled every 100 ms", unit: "% of a core"},
		pollBytes:     slope{name: "bytes per engine polled every 100 ms", unit: "B/s"},
		tokenCPU:      slope{name: "processor time per token of a turn", unit: "µs"},
		restMemory:    slope{name: "memory per program at rest", unit: "KiB"},
		textMemory:    slope{name: "memory per KiB of history", unit: "KiB"},
		revisionCPU:   slope{name: "processor time per revision and workspace", unit: "µs"},
		revisionBytes: slope{name: "bytes per revision and workspace", unit: "B"},
	}
}

func (s *slopes) all() []*slope {
	return []*slope{
		&s.peerCPU, &s.peerBytes, &s.pollCPU, &s.pollBytes, &s.tokenCPU, &s.restMemory, &s.textMemory, &s.revisionCPU, &s.revisionBytes,
	}
}

func (c *capacityCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	b, err := newBuilder(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	all := newSlopes()
	for _, measure := range []func(context.Context, *builder, *slopes) error{
		c.peers, c.polls, c.tokens, c.memory, c.revisions, c.proposed,
	} {
		if err := measure(ctx, b, all); err != nil {
			return err
		}
		progress(out, all)
	}
	table := report.Table{Head: []string{"slope", "value", "base", "range of x", "R²"}}
	for _, s := range all.all() {
		table.Rows = append(table.Rows, []string{
			s.name, fmt.Sprintf("%.3f %s", s.line.Slope, s.unit), fmt.Sprintf("%.2f", s.line.Base),
			fmt.Sprintf("%.0f to %.0f", s.x[0], s.x[len(s.x)-1]), fmt.Sprintf("%.3f", s.line.R2),
		})
	}
	table.Markdown(out)
	_, _ = fmt.Fprintln(out)
	derive(all).Markdown(out)
	return nil
}

// progress shows the readings so far: the whole takes minutes.
func progress(out io.Writer, all *slopes) {
	for _, s := range all.all() {
		if len(s.x) > 0 {
			_, _ = fmt.Fprintf(out, "# %s: x %v, y %.2f\n", s.name, s.x, s.y)
		}
	}
}

// idle reads what box 0 of an idle fleet uses.
func (c *capacityCmd) idle(ctx context.Context, b *builder, w want) (probe.Rate, error) {
	f, err := b.fleet(ctx, w)
	if err != nil {
		return probe.Rate{}, err
	}
	defer f.Close()
	time.Sleep(time.Second)
	before, err := probe.Read(f.PID(0))
	if err != nil {
		return probe.Rate{}, err
	}
	time.Sleep(c.sample)
	after, err := probe.Read(f.PID(0))
	return probe.Between(before, after), err
}

const percent = 100

// proposed reads an idle box of a larger fleet with the intervals that the page proposes.
func (c *capacityCmd) proposed(ctx context.Context, b *builder, all *slopes) error {
	rate, err := c.idle(ctx, b, want{boxes: 32, engines: 32, edit: func(set *conf.Settings) {
		set.Member.Beat, set.Member.Suspect = types.Duration(letterBeat*time.Second), types.Duration(3*letterBeat*time.Second)
		set.Member.List, set.Member.Fanout = types.Duration(5*time.Second), letterPeers/2
		set.Slots.Tick = types.Duration(time.Second)
		set.Engines.Subset = letterSeen / 2
		set.Engines.Poll, set.Engines.IdlePoll = types.Duration(letterPoll*float64(time.Second)), types.Duration(letterIdle*time.Second)
		set.Engines.Sync = types.Duration(time.Minute)
		set.Platform.ConfigPoll = types.Duration(2 * time.Second)
	}})
	all.proposed = rate
	return err
}

// peers: idle fleets of growing size in which every box beats with all others.
func (c *capacityCmd) peers(ctx context.Context, b *builder, all *slopes) error {
	for _, n := range []int{3, 8, 16, 32} {
		rate, err := c.idle(ctx, b, want{boxes: n, engines: 1, edit: func(set *conf.Settings) { set.Member.Fanout = 64 }})
		if err != nil {
			return err
		}
		all.peerCPU.add(float64(n-1), rate.Core*percent)
		all.peerBytes.add(float64(n-1), rate.Bytes)
	}
	return nil
}

func oneZone(s *sample.Deployment) {
	s.Zones = s.Zones[:1]
}

// polls: one idle box with growing numbers of engines, all polled at the full rate.
func (c *capacityCmd) polls(ctx context.Context, b *builder, all *slopes) error {
	for _, n := range []int{1, 8, 16, 32} {
		rate, err := c.idle(ctx, b, want{boxes: 1, engines: n, shape: oneZone, edit: func(set *conf.Settings) {
			set.Engines.Subset, set.Engines.IdlePoll = 64, set.Engines.Poll
		}})
		if err != nil {
			return err
		}
		all.pollCPU.add(float64(n), rate.Core*percent)
		all.pollBytes.add(float64(n), rate.Bytes)
	}
	return nil
}

// fast are engines that never hold a measurement of boxes up.
func fast(s *model.Spec) {
	s.StepTime, s.BatchCost, s.MaxBatch, s.CacheSize = types.Duration(time.Millisecond), 0, 64, 10_000_000
}

// tokens: turns with answers of growing length in closed loop.
func (c *capacityCmd) tokens(ctx context.Context, b *builder, all *slopes) error {
	f, err := b.fleet(ctx, want{boxes: 1, engines: 4, shape: oneZone, engine: fast})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("capacity", nil)
	for _, length := range []int{4, 16, 48} {
		before, err := probe.Read(f.PID(0))
		if err != nil {
			return err
		}
		turns := c.turns(ctx, f, cli, fmt.Sprintf("a question len=%d", length))
		after, err := probe.Read(f.PID(0))
		if err != nil {
			return err
		}
		all.tokenCPU.add(float64(length), float64((after.CPU-before.CPU).Microseconds())/float64(max(1, turns)))
	}
	return nil
}

func (c *capacityCmd) turns(ctx context.Context, f *fleet.Fleet, cli *client.Client, text string) int64 {
	ctx, stop := context.WithTimeout(ctx, c.sample)
	defer stop()
	var turns atomic.Int64
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for ctx.Err() == nil {
				s, err := begin(ctx, cli, entry(f, 0))
				for i := 0; err == nil && i < 4; i++ {
					if err = s.next(ctx, entry(f, 0), text); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return turns.Load()
}

// memory: growing numbers of programs at rest, then growing histories.
func (c *capacityCmd) memory(ctx context.Context, b *builder, all *slopes) error {
	f, err := b.fleet(ctx, want{boxes: 1, engines: 4, shape: oneZone, engine: fast})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("capacity-memory", nil)
	for i := range 3 {
		if err := rest(ctx, cli, entry(f, 0)); err != nil {
			return err
		}
		use, err := settled(f.PID(0))
		if err != nil {
			return err
		}
		all.restMemory.add(float64((i+1)*restPrograms), float64(use.RSS)/1024)
	}
	return histories(ctx, cli, f, all)
}

// settled reads memory once the runtime has had time to give some back.
func settled(pid int) (probe.Usage, error) {
	time.Sleep(3 * time.Second)
	return probe.Read(pid)
}

const (
	historyPrograms = 100
	historyTurns    = 4
	historyBytes    = 4096
)

func histories(ctx context.Context, cli *client.Client, f *fleet.Fleet, all *slopes) error {
	word := "abcdefg "
	text := ""
	for len(text) < historyBytes {
		text += word
	}
	total := 0.0
	for range 3 {
		for range historyPrograms {
			s, err := begin(ctx, cli, entry(f, 0))
			for i := 0; err == nil && i < historyTurns; i++ {
				err = s.next(ctx, entry(f, 0), text+"len=4")
			}
			if err != nil {
				return err
			}
		}
		total += historyPrograms * historyTurns * historyBytes / 1024
		use, err := settled(f.PID(0))
		if err != nil {
			return err
		}
		all.textMemory.add(total, float64(use.RSS)/1024)
	}
	return nil
}

// revisions: configurations with growing numbers of workspaces, published again and again.
func (c *capacityCmd) revisions(ctx context.Context, b *builder, all *slopes) error {
	for _, workspaces := range []int{10, 200, 460} {
		f, err := b.fleet(ctx, want{boxes: 1, engines: 1, edit: quickConfig, shape: func(s *sample.Deployment) {
			oneZone(s)
			s.Workspaces = nil
			for i := range workspaces {
				s.Workspaces = append(s.Workspaces, fmt.Sprintf("workspace-%d", i))
			}
		}})
		if err != nil {
			return err
		}
		err = c.publish(ctx, f, float64(workspaces), all)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// quickConfig reads the stream often, so that publishing does not wait for it.
func quickConfig(set *conf.Settings) {
	set.Platform.ConfigPoll = types.Duration(50 * time.Millisecond)
}

const capacityRevisions = 12

func (c *capacityCmd) publish(ctx context.Context, f *fleet.Fleet, workspaces float64, all *slopes) error {
	idleFrom, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	time.Sleep(c.sample)
	before, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	logged := f.Platform.Log.Stats()
	for range capacityRevisions {
		number, err := f.Republish(ctx)
		if err != nil {
			return err
		}
		for !f.InForce(ctx, number) {
			time.Sleep(takePause)
		}
	}
	after, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	spent := after.CPU - before.CPU
	idle := time.Duration(probe.Between(idleFrom, before).Core * float64(after.At.Sub(before.At)))
	all.revisionCPU.add(workspaces, float64((spent-idle).Microseconds())/capacityRevisions)
	all.revisionBytes.add(workspaces, float64(f.Platform.Log.Stats().Bytes-logged.Bytes)/capacityRevisions)
	return nil
}
