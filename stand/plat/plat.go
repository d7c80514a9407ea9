package plat

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
	"mulleingate.dev/stand/applog"
	"mulleingate.dev/stand/model"
	"mulleingate.dev/stand/roster"
	"mulleingate.dev/stand/tool"
	"mulleingate.dev/stand/weight"
)

// Spec says what a platform has.
type Spec struct {
	Zones []string
	Lag   time.Duration
	Log   applog.Faults
	// Engines is the number of engines, spread over the zones; Model is what they serve.
	Engines int
	Model   string
	// Engine changes an engine's speed and size; may be nil.
	Engine func(spec *model.Spec)
	// Services holds the number of replicas by service.
	Services map[string]int
	// WeightRate is in fetches a second.
	WeightRate float64
}

// Platform is a running platform.
type Platform struct {
	Log     *applog.Store
	Roster  *roster.Roster
	Engines map[string]*model.Engine
	Tools   map[string]*tool.Tool
	LogAddr netip.AddrPort
	ListAt  netip.AddrPort

	list    types.PlatformList
	servers []*server.Server
	stop    context.CancelFunc
}

// New starts a platform.
func New(spec Spec) (*Platform, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Platform{Engines: map[string]*model.Engine{}, Tools: map[string]*tool.Tool{}, stop: stop}
	if err := r.start(ctx, spec); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *Platform) start(ctx context.Context, spec Spec) error {
	r.Log = applog.New(spec.Log)
	var err error
	if r.LogAddr, err = r.serve(r.Log.Routes()); err != nil {
		return err
	}
	weights, err := r.serve(weight.New(max(spec.WeightRate, 1)).Routes())
	if err != nil {
		return err
	}
	for i := range spec.Engines {
		if err := r.engine(ctx, spec, i, weights); err != nil {
			return err
		}
	}
	for name, count := range spec.Services {
		for i := range count {
			if err := r.tool(spec, name, i); err != nil {
				return err
			}
		}
	}
	r.Roster = roster.New(r.list, spec.Lag)
	r.ListAt, err = r.serve(r.Roster.Routes())
	return err
}

func (r *Platform) engine(ctx context.Context, spec Spec, i int, weights netip.AddrPort) error {
	name := fmt.Sprintf("engine-%d", i)
	made := model.DefaultSpec(name, spec.Model)
	if spec.Engine != nil {
		spec.Engine(&made)
	}
	engine := model.New(made)
	go engine.Run(ctx)
	addr, err := r.serve(model.NewServer(engine, weights).Routes())
	if err != nil {
		return err
	}
	r.Engines[name] = engine
	r.list.Targets = append(r.list.Targets, types.Target{
		Name: name, Kind: types.Engine, Zone: spec.Zones[i%len(spec.Zones)], Addr: addr, Models: []string{spec.Model}, Fenced: made.Fenced,
	})
	return nil
}

func (r *Platform) tool(spec Spec, service string, i int) error {
	name := fmt.Sprintf("%s-%d", service, i)
	t := tool.New(service)
	addr, err := r.serve(t.Routes())
	if err != nil {
		return err
	}
	r.Tools[name] = t
	r.list.Targets = append(r.list.Targets, types.Target{
		Name: name, Kind: types.Plain, Zone: spec.Zones[i%len(spec.Zones)], Addr: addr, Service: service,
	})
	return nil
}

func (r *Platform) serve(routes []rest.Route) (netip.AddrPort, error) {
	handler, err := server.Handler(routes)
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv, err := server.Listen(Loopback(), handler, nil)
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.servers = append(r.servers, srv)
	return srv.Addr(), nil
}

// Add puts a box on the list at once.
func (r *Platform) Add(box types.Member) {
	r.Roster.Change(func(list *types.PlatformList) { list.Boxes = append(list.Boxes, box) })
}

// Effects sums up the effects of all replicas of a service by key.
func (r *Platform) Effects() map[string]int {
	out := map[string]int{}
	for _, t := range r.Tools {
		for key, n := range t.Effects().Counts {
			out[key] += n
		}
	}
	return out
}

// Stop ends the platform.
func (r *Platform) Stop() {
	r.stop()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	for _, srv := range r.servers {
		_ = srv.Stop(ctx)
	}
}

// Loopback is any free port on loopback.
func Loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// FreePorts finds ports that nobody listens on now.
func FreePorts(n int) ([]netip.AddrPort, error) {
	lns := make([]net.Listener, 0, n)
	out := make([]netip.AddrPort, 0, n)
	defer func() {
		for _, ln := range lns {
			_ = ln.Close()
		}
	}()
	for range n {
		ln, err := net.Listen("tcp", Loopback().String())
		if err != nil {
			return nil, fault.Refuse(fault.BadSettings, "no free port").WithCause(err)
		}
		lns = append(lns, ln)
		out = append(out, ln.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}
