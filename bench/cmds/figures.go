package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/bench/fleet"
	"mulleingate.dev/bench/report"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/stand/applog"
	"mulleingate.dev/stand/model"
	"mulleingate.dev/stand/plat"
)

func init() {
	commands.Register(&figures{})
}

// figures measures the latency that a box adds, its resource usage, and how long takeovers and
// configuration changes take.
type figures struct {
	only string
}

func (*figures) Aliases() []string { return []string{"figures"} }
func (*figures) Help() string {
	return "measure added latency, cost of a box, takeover, configuration, intents and cut-off zones"
}

func (f *figures) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.only, "only", "", "one of latency, cost, takeover, config, log, zone")
}

// measurement adds rows to the table; the flag "only" selects it by its name.
type measurement struct {
	name string
	run  func(ctx context.Context, b *builder, table *report.Table) error
}

func (f *figures) Execute(ctx context.Context, out io.Writer, _ []string) error {
	b, err := newBuilder(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	table := &report.Table{Header: []string{"figure", "value"}}
	all := []measurement{
		{"latency", measureLatency}, {"cost", measureCost}, {"takeover", measureTakeovers},
		{"config", measureConfig}, {"log", measureLog}, {"zone", measureZonePartition},
	}
	for _, fig := range all {
		if f.only != "" && f.only != fig.name {
			continue
		}
		if err := fig.run(ctx, b, table); err != nil {
			return err
		}
	}
	table.Markdown(out)
	return nil
}

// builder starts fleets for measurements. It builds the gate program once.
type builder struct {
	gate, dir string
}

func newBuilder(ctx context.Context) (*builder, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, fault.Fail(fault.Internal, "cannot create a temporary folder").WithCause(err)
	}
	gate, err := fleet.Build(ctx, dir)
	if err != nil {
		return nil, err
	}
	return &builder{gate: gate, dir: dir}, nil
}

func (b *builder) close() {
	_ = os.RemoveAll(b.dir)
}

// fleetNeeds describes the fleet of a measurement. Functions that are nil change nothing.
type fleetNeeds struct {
	boxes, engines int
	proxied        bool
	env            []string
	engine         func(*model.Spec)
	shape          func(*sample.Deployment)
	edit           func(*conf.Settings)
}

func (b *builder) fleet(ctx context.Context, needs fleetNeeds) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp(b.dir, "fleet")
	if err != nil {
		return nil, fault.Fail(fault.Internal, "cannot create a temporary folder").WithCause(err)
	}
	shape := sample.Ghent()
	if needs.shape != nil {
		needs.shape(&shape)
	}
	return fleet.New(ctx, fleet.Spec{
		Shape: shape, Boxes: needs.boxes, GatePath: b.gate, Dir: dir, Proxied: needs.proxied, Env: needs.env, EditSettings: needs.edit,
		Platform: plat.Spec{
			Zones: shape.Zones, Engines: needs.engines, Model: "planner", AdjustEngine: needs.engine, ListLag: 200 * time.Millisecond,
			Log: applog.Faults{AppendsPerSecond: 400}, Services: map[string]int{"booking": 2, "calendar": 1},
		},
	})
}

// session is the caller's state of one program.
type session struct {
	http  *client.Client
	id    string
	token string
	turn  int
}

func beginProgram(ctx context.Context, http *client.Client, entry string) (*session, error) {
	var state types.ProgramState
	body := types.NewProgram{Model: "planner", DataClass: "personal", Kind: "booking", Budget: 1_000_000}
	if err := post(ctx, http, entry+"/v1/programs", "", body, &state); err != nil {
		return nil, err
	}
	return &session{http: http, id: state.ID, token: state.Continuation}, nil
}

func (s *session) runTurn(ctx context.Context, entry, text string) error {
	var answer types.TurnAnswer
	body := types.TurnRequest{
		Turn: s.turn + 1, Messages: []types.Message{{Role: "user", Content: text}}, MaxTokens: 64, Continuation: s.token,
	}
	if err := post(ctx, s.http, entry+"/v1/programs/"+s.id+"/turns", "", body, &answer); err != nil {
		return err
	}
	s.turn++
	s.token = answer.Continuation
	return nil
}

func post(ctx context.Context, http *client.Client, url, key string, in, out any) error {
	return http.CallAs(ctx, client.Auth{Token: sample.Token("flanders"), Key: key}, "POST", url, in, out)
}

func callerURL(f *fleet.Fleet, i int) string {
	return "http://" + f.Boxes()[i].Settings.Listen.Callers.String()
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.3f ms", float64(d)/float64(time.Millisecond))
}
