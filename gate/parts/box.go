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

// Version is the program's version.
const Version = "0.1.0"

// drain is how long a leaving box still takes new connections, so that the platform's
// balancer, whose list lags, sends it none that would be refused.
const drain = 1500 * time.Millisecond

// Env is what all services of one box are made from.
type Env struct {
	Settings conf.Settings
	Logger   *slog.Logger
	// Incarnation is new for every start.
	Incarnation string
	Self        types.Member
	Log         *logc.Client
}

// maker describes a service of a box.
type maker func(env *Env) kernel.Part

var makers = map[string]maker{}

func register(name string, make maker) {
	makers[name] = make
}

// Box is a running box.
type Box struct {
	env  *Env
	kern *kernel.Kernel
}

// New makes a box from settings; nothing runs yet.
func New(set conf.Settings, logger *slog.Logger) *Box {
	env := &Env{
		Settings: set, Logger: logger.With("box", set.Box.Name), Incarnation: ident.RandomID(),
		Self: types.Member{Name: set.Box.Name, Zone: set.Box.Zone, Peer: set.Listen.Peers},
		Log:  logc.New(set.Platform.Log, time.Duration(set.Platform.LogTimeout)),
	}
	return &Box{env: env, kern: kernel.New(env.Logger)}
}

// Start starts all services.
func (b *Box) Start(ctx context.Context) error {
	names := make([]string, 0, len(makers))
	for name := range makers {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]kernel.Part, 0, len(names))
	for _, name := range names {
		part := makers[name](b.env)
		part.Name = name
		parts = append(parts, part)
	}
	if err := b.kern.Start(ctx, parts); err != nil {
		return err
	}
	b.env.Logger.Info("box: started", "zone", b.env.Self.Zone, "callers", b.env.Settings.Listen.Callers.String())
	return nil
}

// Stop is a planned stop: it says that it leaves, hands its slots over while it still
// serves, then finishes what it has accepted.
func (b *Box) Stop(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, time.Duration(b.env.Settings.Limits.StopWait))
	defer stop()
	b.env.Logger.Info("box: leaving")
	b.leave()
	select {
	case <-time.After(drain):
	case <-ctx.Done():
	}
	if owners, ok := b.kern.Find("slots").(*slots.Slots); ok {
		owners.Release(ctx)
	}
	// Once more, so that nobody forwards to this box for slots that it gave up.
	b.leave()
	err := b.kern.Stop(ctx)
	b.env.Logger.Info("box: stopped")
	return err
}

// leave tells the other boxes that this one leaves, and which slots it still holds.
func (b *Box) leave() {
	if view, ok := b.kern.Find("member").(*member.View); ok {
		view.Leave()
	}
}
