package front

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/plain"
	"mulleingate.dev/gate/prog"
)

// Programs runs programs on this box.
type Programs interface {
	Begin(ctx context.Context, begin types.Begin, parent string) (types.ProgramState, error)
	Turn(ctx context.Context, ask prog.TurnCall) (*prog.Run, error)
	State(ctx context.Context, workspace, id, token string) (types.ProgramState, error)
	End(ctx context.Context, workspace, id string) (types.ProgramState, error)
	Continuation(workspace, program, token string) (*types.Continuation, error)
}

// Calls runs calls of services on this box.
type Calls interface {
	Call(ctx context.Context, slot ident.Slot, ask plain.ServiceCall) (types.ServiceAnswer, error)
}

// Owners finds the box that owns a slot.
type Owners interface {
	Locate(id ident.Slot) (types.Member, bool, error)
	Pick(seed string) (ident.Slot, bool)
	// Live reports whether a box answers heartbeats.
	Live(box string) bool
}

// Dialer forwards requests.
type Dialer interface {
	URL(addr netip.AddrPort, path string) string
	Do(req *http.Request) (*http.Response, error)
}

// Policies is the configuration in force.
type Policies interface {
	Workspace(token string) (types.Workspace, error)
	Ready() error
	Model(name string) (types.Model, error)
	Service(name string) (types.Service, error)
	Slots() []ident.Slot
	Defaults() types.Defaults
	Spend(in types.RuleInput) int64
	Allowed(in types.RuleInput) bool
}

// Counts receives figures.
type Counts interface {
	Count(name string, n int64)
	Latency(name, workspace, class string, d time.Duration)
}

// Options bound what the front takes.
type Options struct {
	Zone      string
	BodyBytes int64
	// BodyTimeout bounds how long a body may take to come.
	BodyTimeout time.Duration
	OwnerWait   time.Duration
}

// Front is the service.
type Front struct {
	opts     Options
	programs Programs
	calls    Calls
	owners   Owners
	dialer   Dialer
	policies Policies
	counts   Counts
	logger   *slog.Logger

	mu sync.Mutex
	// stopping refuses new requests of callers; forwarded ones are still taken.
	stopping bool
}

// New makes the service.
func New(opts Options, programs Programs, calls Calls, owners Owners, dialer Dialer, policies Policies, counts Counts, logger *slog.Logger) *Front {
	return &Front{
		opts: opts, programs: programs, calls: calls, owners: owners, dialer: dialer,
		policies: policies, counts: counts, logger: logger,
	}
}

// The routes that callers and boxes use.
const (
	PathPrograms = "/v1/programs"
	PathProgram  = "/v1/programs/:id"
	PathTurns    = "/v1/programs/:id/turns"
	PathAgents   = "/v1/programs/:id/agents"
	PathCalls    = "/v1/programs/:id/calls/:service"
	PathService  = "/v1/services/:service/calls"
)

// Routes lists the routes for callers.
func (f *Front) Routes() []rest.Route {
	return f.routes(false)
}

// PeerRoutes lists the same routes for requests that other boxes forward.
func (f *Front) PeerRoutes() []rest.Route {
	return f.routes(true)
}

func (f *Front) routes(peer bool) []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: PathPrograms, Handler: f.handle(peer, f.create)},
		{Method: http.MethodGet, Path: PathProgram, Handler: f.handle(peer, f.state)},
		{Method: http.MethodDelete, Path: PathProgram, Handler: f.handle(peer, f.end)},
		{Method: http.MethodPost, Path: PathTurns, Handler: f.handle(peer, f.turn)},
		{Method: http.MethodPost, Path: PathAgents, Handler: f.handle(peer, f.agent)},
		{Method: http.MethodPost, Path: PathCalls, Handler: f.handle(peer, f.programCall)},
		{Method: http.MethodPost, Path: PathService, Handler: f.handle(peer, f.serviceCall)},
	}
}

// call is one request on its way.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	workspace string
	peer      bool
	hop       int
	body      []byte
	started   time.Time
	// sent says that part of an answer has been written.
	sent bool
}

func (f *Front) handle(peer bool, do func(c *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, peer: peer, started: time.Now(), id: requestID(r, peer), hop: hop(r, peer)}
		w.Header().Set("X-Request-Id", c.id)
		err := f.enter(c)
		if err == nil {
			err = do(c)
		}
		if err != nil {
			f.refuse(c, err)
		}
		f.counts.Count("front.requests", 1)
	}
}

// enter authenticates and reads the body.
func (f *Front) enter(c *call) error {
	f.mu.Lock()
	stopping := f.stopping && !c.peer
	f.mu.Unlock()
	if stopping {
		return fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)
	}
	if err := f.policies.Ready(); err != nil {
		return err
	}
	workspace, err := f.policies.Workspace(bearer(c.r))
	if err != nil {
		return err
	}
	c.workspace = workspace.Name
	c.body, err = readBody(c.w, c.r, f.opts)
	return err
}

func (f *Front) refuse(c *call, err error) {
	p := fault.From(err)
	f.counts.Count("front.failed."+string(p.Kind), 1)
	f.logger.Debug("front: request refused", "request", c.id, "kind", string(p.Kind), "not_run", p.NotRun, "error", err)
	if c.sent {
		server.CloseConnection(c.w)
		return
	}
	server.WriteProblem(c.w, c.id, err)
}

// Start implements a service.
func (f *Front) Start(context.Context) error {
	return nil
}

// Stop refuses new requests of callers.
func (f *Front) Stop(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
	return nil
}
