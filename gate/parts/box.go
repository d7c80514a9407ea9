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
	"mulleingate.dev/gate/front"
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

// serviceBuilder returns the description of a service. Box.Start sets its name.
type serviceBuilder func(env *Env) kernel.ServiceSpec

// serviceBuilders holds the builder of each service by the service's name.
var serviceBuilders = map[string]serviceBuilder{}

// register adds a service under the name by which other services find it.
func register(name string, build serviceBuilder) {
	serviceBuilders[name] = build
}

// Box runs all services of a box.
type Box struct {
	env    *Env
	kernel *kernel.Kernel
}

// New returns a box with the settings. Start starts its services.
func New(settings conf.Settings, logger *slog.Logger) *Box {
	env := &Env{
		Settings: settings, Logger: logger.With("box", settings.Box.Name), Incarnation: ident.RandomID(),
		Self: types.Member{Name: settings.Box.Name, Zone: settings.Box.Zone, Peer: settings.Listen.Peers},
		Log:  logc.New(settings.Platform.Log, time.Duration(settings.Platform.LogTimeout)),
	}
	return &Box{env: env, kernel: kernel.New(env.Logger)}
}

// Start creates and starts all services in dependency order.
func (b *Box) Start(ctx context.Context) error {
	names := make([]string, 0, len(serviceBuilders))
	for name := range serviceBuilders {
		names = append(names, name)
	}
	sort.Strings(names)
	specs := make([]kernel.ServiceSpec, 0, len(names))
	for _, name := range names {
		spec := serviceBuilders[name](b.env)
		spec.Name = name
		specs = append(specs, spec)
	}
	if err := b.kernel.Start(ctx, specs); err != nil {
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
	// A request that becomes whole later could be cut at the end of the stop. Another box can take it.
	if entrance, ok := b.kernel.Find("front").(*front.Front); ok {
		_ = entrance.Stop(ctx) // never fails
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
