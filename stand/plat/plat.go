package plat

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
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

// Spec configures a platform.
type Spec struct {
	Zones []string
	// ListLag is the delay after which readers see changes of the platform list.
	ListLag time.Duration
	Log     applog.Faults
	// Engines is the number of engines, spread over the zones; Model is the model that they serve.
	Engines int
	Model   string
	// AdjustEngine adjusts the spec of each engine before it starts; it may be nil.
	AdjustEngine func(spec *model.Spec)
	// Services is the number of replicas by service.
	Services map[string]int
	// WeightRate is the limit of the weight store in fetches per second; at least 1 is used.
	WeightRate float64
}

// Platform is a running platform.
type Platform struct {
	Log      *applog.Store
	Roster   *roster.Roster
	Engines  map[string]*model.Engine
	Tools    map[string]*tool.Tool
	LogAddr  netip.AddrPort
	ListAddr netip.AddrPort

	initialList types.PlatformList
	servers     []*server.Server
	cancel      context.CancelFunc
}

// New starts a platform. Stop must be called to release its resources.
func New(spec Spec) (*Platform, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{Engines: map[string]*model.Engine{}, Tools: map[string]*tool.Tool{}, cancel: cancel}
	if err := p.start(ctx, spec); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(ctx context.Context, spec Spec) error {
	p.Log = applog.New(spec.Log)
	var err error
	if p.LogAddr, err = p.serve(p.Log.Routes()); err != nil {
		return err
	}
	weights, err := p.serve(weight.New(max(spec.WeightRate, 1)).Routes())
	if err != nil {
		return err
	}
	for i := range spec.Engines {
		if err := p.startEngine(ctx, spec, i, weights); err != nil {
			return err
		}
	}
	for name, count := range spec.Services {
		for i := range count {
			if err := p.startTool(spec, name, i); err != nil {
				return err
			}
		}
	}
	p.Roster = roster.New(p.initialList, spec.ListLag)
	p.ListAddr, err = p.serve(p.Roster.Routes())
	return err
}

func (p *Platform) startEngine(ctx context.Context, spec Spec, index int, weights netip.AddrPort) error {
	name := fmt.Sprintf("engine-%d", index)
	engineSpec := model.DefaultSpec(name, spec.Model)
	if spec.AdjustEngine != nil {
		spec.AdjustEngine(&engineSpec)
	}
	engine := model.New(engineSpec)
	go engine.Run(ctx)
	addr, err := p.serve(model.NewServer(engine, weights).Routes())
	if err != nil {
		return err
	}
	p.Engines[name] = engine
	p.initialList.Targets = append(p.initialList.Targets, types.Target{
		Name: name, Kind: types.Engine, Zone: spec.Zones[index%len(spec.Zones)], Addr: addr, Models: []string{spec.Model}, Fenced: engineSpec.Fenced,
	})
	return nil
}

func (p *Platform) startTool(spec Spec, service string, index int) error {
	name := fmt.Sprintf("%s-%d", service, index)
	t := tool.New(service)
	addr, err := p.serve(t.Routes())
	if err != nil {
		return err
	}
	p.Tools[name] = t
	p.initialList.Targets = append(p.initialList.Targets, types.Target{
		Name: name, Kind: types.PlainService, Zone: spec.Zones[index%len(spec.Zones)], Addr: addr, Service: service,
	})
	return nil
}

func (p *Platform) serve(routes []rest.Route) (netip.AddrPort, error) {
	handler, err := server.Handler(routes)
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv, err := server.Listen(Loopback(), handler, nil)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p.servers = append(p.servers, srv)
	return srv.Addr(), nil
}

// AddBox adds a box to the platform list. Readers see it after the list's lag.
func (p *Platform) AddBox(box types.Member) {
	p.Roster.Update(func(list *types.PlatformList) { list.Boxes = append(list.Boxes, box) })
}

// Effects returns the number of effects by key, summed over all replicas of all services.
func (p *Platform) Effects() map[string]int {
	out := map[string]int{}
	for _, t := range p.Tools {
		for key, n := range t.Effects().Counts {
			out[key] += n
		}
	}
	return out
}

// Stop stops the engines and all servers.
func (p *Platform) Stop() {
	p.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, srv := range p.servers {
		_ = srv.Stop(ctx)
	}
}

// Loopback returns an IPv4 loopback address with port 0, for listening on any free port.
func Loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// firstPort is below the range of ephemeral ports, so that neither listeners on port 0 nor outgoing connections
// take a port between its test by FreePorts and its use.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// portsUsed counts the ports that FreePorts has tested.
var portsUsed atomic.Int64

// processAddr returns a loopback address that depends on the process ID, so that processes which run side by side
// rarely test the same ports, or 127.0.0.1 on systems that have no other.
func processAddr() netip.Addr {
	pid := os.Getpid()
	addr := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(pid)})
	ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, 0).String())
	if err != nil {
		return Loopback().Addr()
	}
	_ = ln.Close() // only its address was of interest
	return addr
}

// FreePorts returns n different loopback addresses whose ports are not in use at the moment. It returns no address
// twice.
func FreePorts(n int) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, n)
	ip := processAddr()
	for len(out) < n {
		port := firstPort + portsUsed.Add(1)
		if port > lastPort {
			return nil, fault.Refuse(fault.BadSettings, "no free port")
		}
		addr := netip.AddrPortFrom(ip, uint16(port))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		_ = ln.Close() // only its port was of interest
		out = append(out, addr)
	}
	return out, nil
}
