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

// capacityCmd measures how the resource usage of a box grows with its load, and derives the usage
// in the reference deployment.
type capacityCmd struct {
	// readingLength is the length of one reading.
	readingLength time.Duration
}

func (*capacityCmd) Aliases() []string { return []string{"capacity"} }
func (*capacityCmd) Help() string {
	return "measure what each part of a box costs, and derive the figures of docs/CAPACITY.md"
}

func (c *capacityCmd) Flags(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&c.readingLength, "sample", 5*time.Second, "how long each reading takes")
}

// linearFit holds the readings of one resource and the line that fits them.
type linearFit struct {
	name, unit string
	x, y       []float64
	line       probe.Line
}

func (f *linearFit) add(x, y float64) {
	f.x = append(f.x, x)
	f.y = append(f.y, y)
	f.line = probe.Fit(f.x, f.y)
}

// capacityFits holds all measurements from which deriveTable computes the capacity table.
type capacityFits struct {
	heartbeatCPU, heartbeatBytes linearFit
	pollCPU, pollBytes           linearFit
	tokenCPU                     linearFit
	programMemory, historyMemory linearFit
	revisionCPU                  linearFit
	revisionBytes                linearFit
	// proposed is the usage of an idle box with the proposed settings.
	proposed probe.Rate
}

func newCapacityFits() *capacityFits {
	return &capacityFits{
		heartbeatCPU:   linearFit{name: "processor time per peer with heartbeats", unit: "% of a core"},
		heartbeatBytes: linearFit{name: "bytes per peer with heartbeats", unit: "B/s"},
		pollCPU:        linearFit{name: "processor time per engine polled every 100 ms", unit: "% of a core"},
		pollBytes:      linearFit{name: "bytes per engine polled every 100 ms", unit: "B/s"},
		tokenCPU:       linearFit{name: "processor time per token of a turn", unit: "µs"},
		programMemory:  linearFit{name: "memory per program at rest", unit: "KiB"},
		historyMemory:  linearFit{name: "memory per KiB of history", unit: "KiB"},
		revisionCPU:    linearFit{name: "processor time per revision and workspace", unit: "µs"},
		revisionBytes:  linearFit{name: "bytes per revision and workspace", unit: "B"},
	}
}

func (f *capacityFits) all() []*linearFit {
	return []*linearFit{
		&f.heartbeatCPU, &f.heartbeatBytes, &f.pollCPU, &f.pollBytes, &f.tokenCPU, &f.programMemory, &f.historyMemory, &f.revisionCPU, &f.revisionBytes,
	}
}

func (c *capacityCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	b, err := newBuilder(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	fits := newCapacityFits()
	for _, measure := range []func(context.Context, *builder, *capacityFits) error{
		c.measurePeers, c.measurePolls, c.measureTokens, c.measureMemory, c.measureRevisions, c.measureProposed,
	} {
		if err := measure(ctx, b, fits); err != nil {
			return err
		}
		printReadings(out, fits)
	}
	table := report.Table{Header: []string{"slope", "value", "base", "range of x", "R²"}}
	for _, fit := range fits.all() {
		table.Rows = append(table.Rows, []string{
			fit.name, fmt.Sprintf("%.3f %s", fit.line.Slope, fit.unit), fmt.Sprintf("%.2f", fit.line.Intercept),
			fmt.Sprintf("%.0f to %.0f", fit.x[0], fit.x[len(fit.x)-1]), fmt.Sprintf("%.3f", fit.line.R2),
		})
	}
	table.Markdown(out)
	_, _ = fmt.Fprintln(out)
	deriveTable(fits).Markdown(out)
	return nil
}

// printReadings prints the readings so far, since a full run takes minutes.
func printReadings(out io.Writer, fits *capacityFits) {
	for _, fit := range fits.all() {
		if len(fit.x) > 0 {
			_, _ = fmt.Fprintf(out, "# %s: x %v, y %.2f\n", fit.name, fit.x, fit.y)
		}
	}
}

// measureIdle returns the usage of box 0 in an idle fleet.
func (c *capacityCmd) measureIdle(ctx context.Context, b *builder, needs fleetNeeds) (probe.Rate, error) {
	f, err := b.fleet(ctx, needs)
	if err != nil {
		return probe.Rate{}, err
	}
	defer f.Close()
	time.Sleep(time.Second)
	before, err := probe.Read(f.PID(0))
	if err != nil {
		return probe.Rate{}, err
	}
	time.Sleep(c.readingLength)
	after, err := probe.Read(f.PID(0))
	return probe.RateBetween(before, after), err
}

const percent = 100

// measureProposed measures an idle box of a larger fleet with the proposed settings.
func (c *capacityCmd) measureProposed(ctx context.Context, b *builder, fits *capacityFits) error {
	rate, err := c.measureIdle(ctx, b, fleetNeeds{boxes: 32, engines: 32, edit: func(set *conf.Settings) {
		set.Member.HeartbeatInterval, set.Member.SuspectTimeout = types.Duration(proposedHeartbeat*time.Second), types.Duration(3*proposedHeartbeat*time.Second)
		set.Member.ListInterval, set.Member.Fanout = types.Duration(5*time.Second), proposedPeers/2
		set.Slots.CheckInterval = types.Duration(time.Second)
		set.Engines.SubsetSize = proposedEngines / 2
		set.Engines.PollInterval, set.Engines.IdlePollInterval = types.Duration(proposedPoll*float64(time.Second)), types.Duration(proposedIdlePoll*time.Second)
		set.Engines.SyncInterval = types.Duration(time.Minute)
		set.Platform.ConfigPollInterval = types.Duration(2 * time.Second)
	}})
	fits.proposed = rate
	return err
}

// measurePeers measures idle fleets of growing size in which every box sends heartbeats to all others.
func (c *capacityCmd) measurePeers(ctx context.Context, b *builder, fits *capacityFits) error {
	for _, n := range []int{3, 8, 16, 32} {
		rate, err := c.measureIdle(ctx, b, fleetNeeds{boxes: n, engines: 1, edit: func(set *conf.Settings) { set.Member.Fanout = 64 }})
		if err != nil {
			return err
		}
		fits.heartbeatCPU.add(float64(n-1), rate.Core*percent)
		fits.heartbeatBytes.add(float64(n-1), rate.Bytes)
	}
	return nil
}

func oneZone(s *sample.Deployment) {
	s.Zones = s.Zones[:1]
}

// measurePolls measures one idle box with growing numbers of engines, all polled at the full rate.
func (c *capacityCmd) measurePolls(ctx context.Context, b *builder, fits *capacityFits) error {
	for _, n := range []int{1, 8, 16, 32} {
		rate, err := c.measureIdle(ctx, b, fleetNeeds{boxes: 1, engines: n, shape: oneZone, edit: func(set *conf.Settings) {
			set.Engines.SubsetSize, set.Engines.IdlePollInterval = 64, set.Engines.PollInterval
		}})
		if err != nil {
			return err
		}
		fits.pollCPU.add(float64(n), rate.Core*percent)
		fits.pollBytes.add(float64(n), rate.Bytes)
	}
	return nil
}

// fastEngines makes engines so fast that they do not limit a measurement of boxes.
func fastEngines(s *model.Spec) {
	s.StepTime, s.BatchCost, s.MaxBatch, s.CacheSize = types.Duration(time.Millisecond), 0, 64, 10_000_000
}

// measureTokens measures the CPU time of turns with answers of growing length, in closed loop.
func (c *capacityCmd) measureTokens(ctx context.Context, b *builder, fits *capacityFits) error {
	f, err := b.fleet(ctx, fleetNeeds{boxes: 1, engines: 4, shape: oneZone, engine: fastEngines})
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
		turns := c.runTurns(ctx, f, cli, fmt.Sprintf("a question len=%d", length))
		after, err := probe.Read(f.PID(0))
		if err != nil {
			return err
		}
		fits.tokenCPU.add(float64(length), float64((after.CPU-before.CPU).Microseconds())/float64(max(1, turns)))
	}
	return nil
}

// runTurns runs turns in closed loop for the length of a reading, and returns the number answered.
func (c *capacityCmd) runTurns(ctx context.Context, f *fleet.Fleet, cli *client.Client, text string) int64 {
	ctx, stop := context.WithTimeout(ctx, c.readingLength)
	defer stop()
	var turns atomic.Int64
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for ctx.Err() == nil {
				s, err := beginProgram(ctx, cli, callerURL(f, 0))
				for i := 0; err == nil && i < 4; i++ {
					if err = s.runTurn(ctx, callerURL(f, 0), text); err == nil {
						turns.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return turns.Load()
}

// measureMemory measures memory usage with growing numbers of idle programs, then with growing histories.
func (c *capacityCmd) measureMemory(ctx context.Context, b *builder, fits *capacityFits) error {
	f, err := b.fleet(ctx, fleetNeeds{boxes: 1, engines: 4, shape: oneZone, engine: fastEngines})
	if err != nil {
		return err
	}
	defer f.Close()
	cli := client.New("capacity-memory", nil)
	for i := range 3 {
		if err := beginIdlePrograms(ctx, cli, callerURL(f, 0)); err != nil {
			return err
		}
		usage, err := readAfterPause(f.PID(0))
		if err != nil {
			return err
		}
		fits.programMemory.add(float64((i+1)*idlePrograms), float64(usage.RSS)/1024)
	}
	return measureHistories(ctx, cli, f, fits)
}

// readAfterPause reads the usage of a process after its runtime has had time to return free memory.
func readAfterPause(pid int) (probe.Usage, error) {
	time.Sleep(3 * time.Second)
	return probe.Read(pid)
}

const (
	historyPrograms = 100
	historyTurns    = 4
	historyBytes    = 4096
)

// measureHistories measures memory with growing numbers of programs with long histories.
func measureHistories(ctx context.Context, cli *client.Client, f *fleet.Fleet, fits *capacityFits) error {
	word := "abcdefg "
	text := ""
	for len(text) < historyBytes {
		text += word
	}
	total := 0.0
	for range 3 {
		for range historyPrograms {
			s, err := beginProgram(ctx, cli, callerURL(f, 0))
			for i := 0; err == nil && i < historyTurns; i++ {
				err = s.runTurn(ctx, callerURL(f, 0), text+"len=4")
			}
			if err != nil {
				return err
			}
		}
		total += historyPrograms * historyTurns * historyBytes / 1024
		usage, err := readAfterPause(f.PID(0))
		if err != nil {
			return err
		}
		fits.historyMemory.add(total, float64(usage.RSS)/1024)
	}
	return nil
}

// measureRevisions measures what it costs to publish configurations with growing numbers of workspaces.
func (c *capacityCmd) measureRevisions(ctx context.Context, b *builder, fits *capacityFits) error {
	for _, workspaces := range []int{10, 200, 460} {
		f, err := b.fleet(ctx, fleetNeeds{boxes: 1, engines: 1, edit: pollConfigOften, shape: func(s *sample.Deployment) {
			oneZone(s)
			s.Workspaces = nil
			for i := range workspaces {
				s.Workspaces = append(s.Workspaces, fmt.Sprintf("workspace-%d", i))
			}
		}})
		if err != nil {
			return err
		}
		err = c.measurePublications(ctx, f, float64(workspaces), fits)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// pollConfigOften makes boxes poll for configurations so often that a publication hardly waits for it.
func pollConfigOften(set *conf.Settings) {
	set.Platform.ConfigPollInterval = types.Duration(50 * time.Millisecond)
}

const capacityRevisions = 12

// measurePublications republishes the configuration several times and adds the CPU time, without
// that of an idle box, and the log bytes per revision.
func (c *capacityCmd) measurePublications(ctx context.Context, f *fleet.Fleet, workspaces float64, fits *capacityFits) error {
	idleStart, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	time.Sleep(c.readingLength)
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
		for !f.RevisionApplied(ctx, number) {
			time.Sleep(pollInterval)
		}
	}
	after, err := probe.Read(f.PID(0))
	if err != nil {
		return err
	}
	spent := after.CPU - before.CPU
	idle := time.Duration(probe.RateBetween(idleStart, before).Core * float64(after.At.Sub(before.At)))
	fits.revisionCPU.add(workspaces, float64((spent-idle).Microseconds())/capacityRevisions)
	fits.revisionBytes.add(workspaces, float64(f.Platform.Log.Stats().Bytes-logged.Bytes)/capacityRevisions)
	return nil
}
