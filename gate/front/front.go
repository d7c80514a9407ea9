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
	Turn(ctx context.Context, call prog.TurnCall) (*prog.Run, error)
	State(ctx context.Context, workspace, id, token string) (types.ProgramState, error)
	End(ctx context.Context, workspace, id string) (types.ProgramState, error)
	Continuation(workspace, program, token string) (*types.Continuation, error)
}

// Calls runs calls of services on this box.
type Calls interface {
	Call(ctx context.Context, slot ident.Slot, call plain.ServiceCall) (types.ServiceAnswer, error)
}

// Owners finds the box that owns a slot.
type Owners interface {
	// Locate returns the owner of a slot and whether it is this box.
	Locate(id ident.Slot) (types.Member, bool, error)
	// PickOwned returns one of the slots that this box owns, the same for the same seed and slots.
	PickOwned(seed string) (ident.Slot, bool)
	// Live reports whether a box is live.
	Live(box string) bool
}

// Dialer forwards requests.
type Dialer interface {
	URL(addr netip.AddrPort, path string) string
	Do(req *http.Request) (*http.Response, error)
}

// Policies provides the current configuration.
type Policies interface {
	Workspace(token string) (types.Workspace, error)
	Ready() error
	Model(name string) (types.Model, error)
	Service(name string) (types.Service, error)
	Slots() []ident.Slot
	Defaults() types.Defaults
	// BudgetLimit returns the policy's limit on a new program's budget, in tokens.
	BudgetLimit(in types.RuleInput) int64
	Allowed(in types.RuleInput) bool
}

// Counts receives metrics.
type Counts interface {
	Count(name string, n int64)
	Latency(name, workspace, class string, d time.Duration)
}

// Options are the settings and limits of a Front.
type Options struct {
	// Zone is the availability zone of this box.
	Zone string
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout time.Duration
	// OwnerTimeout bounds the time in which attempts to reach the owner of a slot are repeated.
	OwnerTimeout time.Duration
}

// Front handles the HTTP requests of callers and those that other boxes forward. It is safe
// for concurrent use.
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
	// stopping makes callers' new requests fail; forwarded requests are still accepted.
	stopping bool
}

// New returns a Front.
func New(opts Options, programs Programs, calls Calls, owners Owners, dialer Dialer, policies Policies, counts Counts, logger *slog.Logger) *Front {
	return &Front{
		opts: opts, programs: programs, calls: calls, owners: owners, dialer: dialer,
		policies: policies, counts: counts, logger: logger,
	}
}

// Routes of the API, the same for callers and for other boxes.
const (
	PathPrograms = "/v1/programs"
	PathProgram  = "/v1/programs/:id"
	PathTurns    = "/v1/programs/:id/turns"
	PathAgents   = "/v1/programs/:id/agents"
	PathCalls    = "/v1/programs/:id/calls/:service"
	PathService  = "/v1/services/:service/calls"
)

// Routes returns the routes for callers.
func (f *Front) Routes() []rest.Route {
	return f.routes(false)
}

// PeerRoutes returns the same routes for requests that other boxes forward.
func (f *Front) PeerRoutes() []rest.Route {
	return f.routes(true)
}

func (f *Front) routes(peer bool) []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: PathPrograms, Handler: f.handle(peer, f.createProgram)},
		{Method: http.MethodGet, Path: PathProgram, Handler: f.handle(peer, f.programState)},
		{Method: http.MethodDelete, Path: PathProgram, Handler: f.handle(peer, f.endProgram)},
		{Method: http.MethodPost, Path: PathTurns, Handler: f.handle(peer, f.runTurn)},
		{Method: http.MethodPost, Path: PathAgents, Handler: f.handle(peer, f.createAgent)},
		{Method: http.MethodPost, Path: PathCalls, Handler: f.handle(peer, f.programCall)},
		{Method: http.MethodPost, Path: PathService, Handler: f.handle(peer, f.serviceCall)},
	}
}

// call is an HTTP request in progress.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	workspace string
	// peer says that another box forwarded the request.
	peer bool
	// hops is the number of boxes that have forwarded the request.
	hops    int
	body    []byte
	started time.Time
	// responseStarted says that the response header was written.
	responseStarted bool
}

// handle returns a handler that authenticates a request, reads its body and runs do.
func (f *Front) handle(peer bool, do func(c *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, peer: peer, started: time.Now(), id: requestID(r, peer), hops: hopCount(r, peer)}
		w.Header().Set("X-Request-Id", c.id)
		err := f.prepare(c)
		if err == nil {
			err = do(c)
		}
		if err != nil {
			f.writeError(c, err)
		}
		f.counts.Count("front.requests", 1)
	}
}

// prepare fails while the box cannot serve requests; otherwise it authenticates the caller and
// reads the body.
func (f *Front) prepare(c *call) error {
	if err := f.checkStopping(c); err != nil {
		return err
	}
	if err := f.policies.Ready(); err != nil {
		return err
	}
	workspace, err := f.policies.Workspace(bearerToken(c.r))
	if err != nil {
		return err
	}
	c.workspace = workspace.Name
	if c.body, err = readBody(c.w, c.r, f.opts); err != nil {
		return err
	}
	return f.checkStopping(c) // the body may have taken long
}

// checkStopping refuses a caller's request if Stop has been called.
func (f *Front) checkStopping(c *call) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stopping || c.peer {
		return nil
	}
	return fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)
}

// writeError reports the failure to the caller. It cuts the connection if the response has
// started, since the status can no longer change.
func (f *Front) writeError(c *call, err error) {
	failure := fault.From(err)
	f.counts.Count("front.failed."+string(failure.Kind), 1)
	f.logger.Debug("front: request refused", "request", c.id, "kind", string(failure.Kind), "not_run", failure.NotRun, "error", err)
	if c.responseStarted {
		server.CloseConnection(c.w)
		return
	}
	server.WriteProblem(c.w, c.id, err)
}

// Start implements kernel.Service. It does nothing.
func (f *Front) Start(context.Context) error {
	return nil
}

// Stop makes new requests of callers fail. Requests in progress and forwarded requests are
// still served.
func (f *Front) Stop(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
	return nil
}
