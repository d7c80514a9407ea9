package parts

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/logc"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/slots"
)

// Version is the version of gate.
const Version = "0.1.0"

// drainDelay is how long a leaving box still accepts new connections: the platform's load
// balancer keeps sending them until its list, which lags, marks the box as leaving.
const drainDelay = 1500 * time.Millisecond

// Env holds what the services of a box are created from.
type Env struct {
	Settings conf.Settings
	Logger   *slog.Logger
	// Incarnation identifies this run of the box; it is random and differs after a restart.
	Incarnation string
	Self        types.Member
	Log         *logc.Client
}

// partBuilder returns the description of a service. Box.Start sets its name.
type partBuilder func(env *Env) kernel.ServiceSpec

// partBuilders holds the builder of each service by the service's name.
var partBuilders = map[string]partBuilder{}

// register adds a service under the name by which other services find it.
func register(name string, build partBuilder) {
	partBuilders[name] = build
}

// Box runs all services of a box.
type Box struct {
	env    *Env
	kernel *kernel.Kernel
}

// New returns a box with the settings. Start starts its services.
func New(set conf.Settings, logger *slog.Logger) *Box {
	env := &Env{
		Settings: set, Logger: logger.With("box", set.Box.Name), Incarnation: ident.RandomID(),
		Self: types.Member{Name: set.Box.Name, Zone: set.Box.Zone, Peer: set.Listen.Peers},
		Log:  logc.New(set.Platform.Log, time.Duration(set.Platform.LogTimeout)),
	}
	return &Box{env: env, kernel: kernel.New(env.Logger)}
}

// Start creates and starts all services in dependency order.
func (b *Box) Start(ctx context.Context) error {
	names := make([]string, 0, len(partBuilders))
	for name := range partBuilders {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]kernel.ServiceSpec, 0, len(names))
	for _, name := range names {
		part := partBuilders[name](b.env)
		part.Name = name
		parts = append(parts, part)
	}
	if err := b.kernel.Start(ctx, parts); err != nil {
		return err
	}
	b.env.Logger.Info("box: started", "zone", b.env.Self.Zone, "callers", b.env.Settings.Listen.Callers.String())
	return nil
}

// Stop stops the box gracefully: it announces that the box leaves, releases the slots while the
// box still serves, and then finishes the accepted work, within Limits.StopTimeout in total.
func (b *Box) Stop(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, time.Duration(b.env.Settings.Limits.StopTimeout))
	defer stop()
	b.env.Logger.Info("box: leaving")
	b.announceLeave()
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	if owners, ok := b.kernel.Find("slots").(*slots.Slots); ok {
		owners.Release(ctx)
	}
	// Announce the released slots, so that other boxes stop forwarding requests for them here.
	b.announceLeave()
	err := b.kernel.Stop(ctx)
	b.env.Logger.Info("box: stopped")
	return err
}

// announceLeave sends heartbeats that say that this box leaves and which slots it still owns.
func (b *Box) announceLeave() {
	if view, ok := b.kernel.Find("member").(*member.View); ok {
		view.AnnounceLeave()
	}
}
