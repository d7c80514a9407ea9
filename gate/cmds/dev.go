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
	engineCount       = 2
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	portsPerBox       = 3
	stopTimeout       = 5 * time.Second
)

// dev runs one box per availability zone and a simulated platform in this process.
type dev struct {
	level string
	once  bool
}

func (*dev) Aliases() []string { return []string{"dev", "demo"} }
func (*dev) Help() string {
	return "run a small fleet with a simulated platform, on loopback"
}

func (d *dev) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&d.level, "log", "warn", "log level")
	cmd.Flags().BoolVar(&d.once, "once", false, "create one program, run a turn and a booking, print them and stop")
}

func (d *dev) Execute(ctx context.Context, out io.Writer, _ []string) error {
	startedAt := time.Now()
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: conf.Log{Level: d.level}.SlogLevel()}))
	slog.SetDefault(logger)
	deployment := sample.Ghent()
	platform, err := plat.New(plat.Spec{
		Zones: deployment.Zones, Engines: engineCount, Model: deployment.Models[0], ListLag: 200 * time.Millisecond,
		Services: map[string]int{"booking": 1, "calendar": 1},
	})
	if err != nil {
		return err
	}
	defer platform.Stop()
	keys := sample.NewKeys("dev")
	if err := publishConfig(ctx, platform, deployment, keys); err != nil {
		return err
	}
	boxes, allSettings, err := startBoxes(ctx, platform, deployment, keys, logger)
	defer stopBoxes(boxes)
	if err != nil {
		return err
	}
	if err := waitReady(ctx, allSettings); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "ready in %d ms\n", time.Since(startedAt).Milliseconds())
	if d.once {
		return runSampleProgram(ctx, out, allSettings)
	}
	printExamples(out, allSettings)
	<-ctx.Done()
	return nil
}

// publishConfig publishes the first revision of the sample configuration to the log.
func publishConfig(ctx context.Context, platform *plat.Platform, deployment sample.Deployment, keys sample.Keys) error {
	cfg, err := sample.Config(deployment, keys)
	if err != nil {
		return err
	}
	log := logc.New(platform.LogAddr, time.Second)
	draft := revs.Draft{Author: "dev", Config: cfg}
	_, err = revs.Publish(ctx, log, keys.Operator, []ed25519.PublicKey{keys.Public()}, draft)
	return err
}

// startBoxes starts one box per zone. On an error it also returns the boxes that it started,
// which the caller must stop.
func startBoxes(ctx context.Context, platform *plat.Platform, deployment sample.Deployment, keys sample.Keys, logger *slog.Logger) ([]*parts.Box, []conf.Settings, error) {
	ports, err := plat.FreePorts(portsPerBox * len(deployment.Zones))
	if err != nil {
		return nil, nil, err
	}
	var boxes []*parts.Box
	var allSettings []conf.Settings
	for i, zone := range deployment.Zones {
		settings := devSettings(platform, keys, fmt.Sprintf("box-%d", i), zone, ports[portsPerBox*i:])
		platform.AddBox(types.Member{Name: settings.Box.Name, Zone: zone, Peer: settings.Listen.Peers})
		allSettings = append(allSettings, settings)
	}
	for _, settings := range allSettings {
		box := parts.New(settings, logger)
		if err := box.Start(ctx); err != nil {
			return boxes, allSettings, err
		}
		boxes = append(boxes, box)
	}
	return boxes, allSettings, nil
}

// devSettings returns settings with short intervals, so that the fleet is ready quickly.
func devSettings(platform *plat.Platform, keys sample.Keys, name, zone string, ports []netip.AddrPort) conf.Settings {
	settings := conf.Defaults()
	settings.Box = conf.Box{Name: name, Zone: zone}
	settings.Listen = conf.Listen{Callers: ports[0], Peers: ports[1], Admin: ports[2]}
	settings.Platform.Log, settings.Platform.List = platform.LogAddr, platform.ListAddr
	settings.Security = conf.Security{RootKey: keys.Root, OperatorKeys: [][]byte{keys.Public()}, InsecureLoopback: true}
	settings.Member.HeartbeatInterval = types.Duration(100 * time.Millisecond)
	settings.Member.SuspectTimeout = types.Duration(500 * time.Millisecond)
	settings.Member.ListInterval = types.Duration(100 * time.Millisecond)
	settings.Slots.CheckInterval = types.Duration(50 * time.Millisecond)
	return settings
}

// waitReady waits until every box is ready and all slots are owned, at most readyTimeout.
func waitReady(ctx context.Context, allSettings []conf.Settings) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	cli := client.New("dev", nil)
	for {
		owned := 0
		for _, settings := range allSettings {
			owned += countOwnedSlots(ctx, cli, settings)
		}
		if owned == len(allSettings)*sample.Ghent().SlotsPerZone {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Refuse(fault.OwnerUnavailable, "the boxes were not ready or did not own all slots in time")
		case <-time.After(readyPollInterval):
		}
	}
}

// countOwnedSlots returns the number of slots that a box owns, or 0 while it is not ready.
func countOwnedSlots(ctx context.Context, cli *client.Client, settings conf.Settings) int {
	var status types.BoxStatus
	url := "http://" + settings.Listen.Admin.String() + "/status"
	if err := cli.Call(ctx, http.MethodGet, url, nil, &status); err != nil || !status.Ready {
		return 0
	}
	return len(status.Slots)
}

// stopBoxes stops the boxes concurrently and waits for them, at most about stopTimeout.
func stopBoxes(boxes []*parts.Box) {
	ctx, stop := context.WithTimeout(context.Background(), stopTimeout)
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

// printExamples prints commands to try against the fleet.
func printExamples(out io.Writer, allSettings []conf.Settings) {
	url := "http://" + allSettings[0].Listen.Callers.String()
	auth := "-H 'Authorization: Bearer " + sample.Token("flanders") + "'"
	_, _ = fmt.Fprintf(out, `
Create a program:
  curl -s %[2]s %[1]s/v1/programs -d '{"model":"planner","data_class":"personal","kind":"booking","budget":100000}'
Run a turn (replace ID with the program's id):
  curl -sN %[2]s %[1]s/v1/programs/ID/turns -d '{"turn":1,"stream":true,"max_tokens":32,"messages":[{"role":"user","content":"move my slot to Friday"}]}'
Make a booking, which runs at most once per key:
  curl -s %[2]s -H 'Idempotency-Key: friday-1' %[1]s/v1/programs/ID/calls/booking -d '{"input":{"chair":7}}'
Show a box's status:
  curl -s http://%[3]s/status
Stop with Ctrl-C.
`, url, auth, allSettings[0].Listen.Admin)
}
