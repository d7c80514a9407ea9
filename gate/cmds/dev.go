package cmds

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/logc"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/parts"
	"mulleingate.dev/stand/plat"
)

func init() {
	commands.Register(&dev{})
}

const (
	devEngines = 2
	devReady   = 10 * time.Second
	devPause   = 20 * time.Millisecond
	portsEach  = 3
	devStop    = 5 * time.Second
)

// dev runs a box per availability zone and the platform's stand-ins in one process.
type dev struct {
	level string
	once  bool
}

func (*dev) Aliases() []string { return []string{"dev", "demo"} }
func (*dev) Help() string {
	return "run a small fleet with stand-ins of the platform, on loopback"
}

func (d *dev) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&d.level, "log", "warn", "log level")
	cmd.Flags().BoolVar(&d.once, "once", false, "make one program, run a turn and a booking, print them and stop")
}

func (d *dev) Execute(ctx context.Context, out io.Writer, _ []string) error {
	began := time.Now()
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: conf.Log{Level: d.level}.Slog()}))
	slog.SetDefault(logger)
	shape := sample.Ghent()
	platform, err := plat.New(plat.Spec{
		Zones: shape.Zones, Engines: devEngines, Model: shape.Models[0], Lag: 200 * time.Millisecond,
		Services: map[string]int{"booking": 1, "calendar": 1},
	})
	if err != nil {
		return err
	}
	defer platform.Stop()
	keys := sample.NewKeys("dev")
	if err := publish(ctx, platform, shape, keys); err != nil {
		return err
	}
	boxes, sets, err := fleet(ctx, platform, shape, keys, logger)
	defer stopAll(boxes)
	if err != nil {
		return err
	}
	if err := ready(ctx, sets); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "ready in %d ms\n", time.Since(began).Milliseconds())
	if d.once {
		return tryOut(ctx, out, sets)
	}
	guide(out, sets)
	<-ctx.Done()
	return nil
}

func publish(ctx context.Context, platform *plat.Platform, shape sample.Deployment, keys sample.Keys) error {
	cfg, err := sample.Config(shape, keys)
	if err != nil {
		return err
	}
	log := logc.New(platform.LogAddr, time.Second)
	draft := revs.Draft{Author: "dev", Config: cfg}
	_, err = revs.Publish(ctx, log, keys.Operator, []ed25519.PublicKey{keys.Public()}, draft)
	return err
}

func fleet(ctx context.Context, platform *plat.Platform, shape sample.Deployment, keys sample.Keys, logger *slog.Logger) ([]*parts.Box, []conf.Settings, error) {
	ports, err := plat.FreePorts(portsEach * len(shape.Zones))
	if err != nil {
		return nil, nil, err
	}
	var boxes []*parts.Box
	var sets []conf.Settings
	for i, zone := range shape.Zones {
		set := devSettings(platform, keys, fmt.Sprintf("box-%d", i), zone, ports[portsEach*i:])
		platform.Add(types.Member{Name: set.Box.Name, Zone: zone, Peer: set.Listen.Peers})
		sets = append(sets, set)
	}
	for _, set := range sets {
		box := parts.New(set, logger)
		if err := box.Start(ctx); err != nil {
			return boxes, sets, err
		}
		boxes = append(boxes, box)
	}
	return boxes, sets, nil
}

// devSettings are settings with short intervals, so that a fleet is ready at once.
func devSettings(platform *plat.Platform, keys sample.Keys, name, zone string, ports []netip.AddrPort) conf.Settings {
	set := conf.Defaults()
	set.Box = conf.Box{Name: name, Zone: zone}
	set.Listen = conf.Listen{Callers: ports[0], Peers: ports[1], Admin: ports[2]}
	set.Platform.Log, set.Platform.List = platform.LogAddr, platform.ListAt
	set.Security = conf.Security{RootKey: keys.Root, OperatorKeys: [][]byte{keys.Public()}, InsecureLoopback: true}
	set.Member.Beat = types.Duration(100 * time.Millisecond)
	set.Member.Suspect = types.Duration(500 * time.Millisecond)
	set.Member.List = types.Duration(100 * time.Millisecond)
	set.Slots.Tick = types.Duration(50 * time.Millisecond)
	return set
}

// ready waits until every box serves and all slots are owned.
func ready(ctx context.Context, sets []conf.Settings) error {
	ctx, stop := context.WithTimeout(ctx, devReady)
	defer stop()
	cli := client.New("dev", nil)
	for {
		owned := 0
		for _, set := range sets {
			owned += ownedBy(ctx, cli, set)
		}
		if owned == len(sets)*sample.Ghent().Slots {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Refuse(fault.OwnerUnavailable, "the fleet was not ready in time")
		case <-time.After(devPause):
		}
	}
}

// ownedBy counts the slots of a box, 0 while it is not ready.
func ownedBy(ctx context.Context, cli *client.Client, set conf.Settings) int {
	var status types.BoxStatus
	url := "http://" + set.Listen.Admin.String() + "/status"
	if err := cli.Call(ctx, http.MethodGet, url, nil, &status); err != nil || !status.Ready {
		return 0
	}
	return len(status.Slots)
}

func stopAll(boxes []*parts.Box) {
	ctx, stop := context.WithTimeout(context.Background(), devStop)
	defer stop()
	done := make(chan struct{})
	for _, box := range boxes {
		go func() {
			_ = box.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range boxes {
		<-done
	}
}

func guide(out io.Writer, sets []conf.Settings) {
	url := "http://" + sets[0].Listen.Callers.String()
	auth := "-H 'Authorization: Bearer " + sample.Token("flanders") + "'"
	_, _ = fmt.Fprintf(out, `
Make a program:
  curl -s %[2]s %[1]s/v1/programs -d '{"model":"planner","data_class":"personal","kind":"booking","budget":100000}'
Run a turn (put its id for ID):
  curl -sN %[2]s %[1]s/v1/programs/ID/turns -d '{"turn":1,"stream":true,"max_tokens":32,"messages":[{"role":"user","content":"move my slot to Friday"}]}'
Book, at most once for the key:
  curl -s %[2]s -H 'Idempotency-Key: friday-1' %[1]s/v1/programs/ID/calls/booking -d '{"input":{"chair":7}}'
Look at a box:
  curl -s http://%[3]s/status
Stop with Ctrl-C.
`, url, auth, sets[0].Listen.Admin)
}
