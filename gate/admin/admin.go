package admin

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
)

// MetricsReporter reads the box's metrics: all counters and histograms.
type MetricsReporter interface {
	Report() types.Metrics
}

// TraceFinder finds the recorded scheduling events of a program or request.
type TraceFinder interface {
	Find(id string) []types.TraceEvent
}

// Owners provides the slots that this box owns and their state.
type Owners interface {
	// Owned maps each owned slot to its epoch.
	Owned() map[ident.Slot]int64
	// Describe fills in the state of an owned slot.
	Describe(ctx context.Context, id ident.Slot, st *types.SlotStatus)
}

// View provides the membership of boxes as this box sees it.
type View interface {
	// LastSeen maps each known box to the time of its last heartbeat.
	LastSeen() map[string]time.Time
	Live() []types.Member
	Settled() bool
}

// Policies provides the state of the configuration in force.
type Policies interface {
	// RevisionNumber is the revision of the configuration.
	RevisionNumber() int64
	// Age is the time since the configuration was last confirmed to be the newest.
	Age() time.Duration
	// Ready returns an error while no usable configuration is in force.
	Ready() error
}

// Targets provides the status of the engines.
type Targets interface {
	Status() []types.EngineStatus
}

// Admin serves the requests of operators.
type Admin struct {
	self      types.Member
	version   string
	metrics   MetricsReporter
	trail     TraceFinder
	owners    Owners
	view      View
	policies  Policies
	targets   Targets
	startedAt time.Time
}

// New returns an Admin that reports on the box self.
func New(self types.Member, version string, metrics MetricsReporter, trail TraceFinder, owners Owners, view View, policies Policies, targets Targets) *Admin {
	return &Admin{
		self: self, version: version, metrics: metrics, trail: trail, owners: owners, view: view,
		policies: policies, targets: targets, startedAt: time.Now(),
	}
}

// Start does nothing; it makes Admin a kernel.Service.
func (a *Admin) Start(context.Context) error {
	return nil
}

// Stop does nothing; it makes Admin a kernel.Service.
func (a *Admin) Stop(context.Context) error {
	return nil
}

// Routes returns the routes of the operators' interface.
func (a *Admin) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/live", Handler: a.handleLive},
		{Method: http.MethodGet, Path: "/ready", Handler: a.handleReady},
		{Method: http.MethodGet, Path: "/metrics", Handler: func(w http.ResponseWriter, _ *http.Request) {
			server.WriteJSON(w, http.StatusOK, a.metrics.Report())
		}},
		{Method: http.MethodGet, Path: "/status", Handler: func(w http.ResponseWriter, r *http.Request) {
			server.WriteJSON(w, http.StatusOK, a.Status(r.Context()))
		}},
		{Method: http.MethodGet, Path: "/explain/:id", Handler: func(w http.ResponseWriter, r *http.Request) {
			server.WriteJSON(w, http.StatusOK, a.trail.Find(pathvar.Vars(r)["id"]))
		}},
	}
}

// handleLive reports that the process is running.
func (a *Admin) handleLive(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

// handleReady reports whether the box can serve callers.
func (a *Admin) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.checkReady(); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

// checkReady returns an error until the configuration is usable and the view has settled.
func (a *Admin) checkReady() error {
	if err := a.policies.Ready(); err != nil {
		return err
	}
	if !a.view.Settled() {
		return fault.Refuse(fault.OwnerUnavailable, "the view of the other boxes has not settled yet").WithRetryAfter(time.Second)
	}
	return nil
}

// Status returns the state of the box, with its slots and all known boxes sorted by name.
func (a *Admin) Status(ctx context.Context) types.BoxStatus {
	status := types.BoxStatus{
		Box: a.self.Name, Zone: a.self.Zone, Version: a.version, Ready: true,
		Uptime: types.Duration(time.Since(a.startedAt)), Revision: a.policies.RevisionNumber(),
		RevisionAge: types.Duration(a.policies.Age()), Targets: a.targets.Status(),
	}
	if err := a.checkReady(); err != nil {
		status.Ready, status.NotReadyReason = false, fault.From(err).Detail
	}
	for id, epoch := range a.owners.Owned() {
		slot := types.SlotStatus{Slot: id.String(), Epoch: epoch}
		a.owners.Describe(ctx, id, &slot)
		status.Slots = append(status.Slots, slot)
	}
	sort.Slice(status.Slots, func(i, j int) bool { return status.Slots[i].Slot < status.Slots[j].Slot })
	live := map[string]types.Member{}
	for _, m := range a.view.Live() {
		live[m.Name] = m
	}
	for name, lastSeen := range a.view.LastSeen() {
		m, ok := live[name]
		status.Boxes = append(status.Boxes, types.PeerStatus{Name: name, Zone: m.Zone, Live: ok, Leaving: m.Leaving, LastHeartbeat: lastSeen})
	}
	sort.Slice(status.Boxes, func(i, j int) bool { return status.Boxes[i].Name < status.Boxes[j].Name })
	return status
}
