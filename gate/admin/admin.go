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

// Figures are all counters and histograms.
type Figures interface {
	Report() types.Metrics
}

// Steps finds decisions.
type Steps interface {
	Find(id string) []types.TraceEvent
}

// Owners tells which slots are held.
type Owners interface {
	Owned() map[ident.Slot]int64
	Describe(ctx context.Context, id ident.Slot, st *types.SlotStatus)
}

// View tells what is believed of other boxes.
type View interface {
	All() map[string]time.Time
	Live() []types.Member
	Settled() bool
}

// Policies tells of the configuration in force.
type Policies interface {
	Number() int64
	Age() time.Duration
	Ready() error
}

// Targets tells of the engines.
type Targets interface {
	Status() []types.EngineStatus
}

// Admin answers operators.
type Admin struct {
	self     types.Member
	version  string
	figures  Figures
	steps    Steps
	owners   Owners
	view     View
	policies Policies
	targets  Targets
	started  time.Time
}

// New makes the handler's owner.
func New(self types.Member, version string, figures Figures, steps Steps, owners Owners, view View, policies Policies, targets Targets) *Admin {
	return &Admin{
		self: self, version: version, figures: figures, steps: steps, owners: owners, view: view,
		policies: policies, targets: targets, started: time.Now(),
	}
}

// Start implements a service.
func (a *Admin) Start(context.Context) error {
	return nil
}

// Stop implements a service.
func (a *Admin) Stop(context.Context) error {
	return nil
}

// Routes lists the routes.
func (a *Admin) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/live", Handler: a.live},
		{Method: http.MethodGet, Path: "/ready", Handler: a.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: func(w http.ResponseWriter, _ *http.Request) {
			server.WriteJSON(w, http.StatusOK, a.figures.Report())
		}},
		{Method: http.MethodGet, Path: "/status", Handler: func(w http.ResponseWriter, r *http.Request) {
			server.WriteJSON(w, http.StatusOK, a.Status(r.Context()))
		}},
		{Method: http.MethodGet, Path: "/explain/:id", Handler: func(w http.ResponseWriter, r *http.Request) {
			server.WriteJSON(w, http.StatusOK, a.steps.Find(pathvar.Vars(r)["id"]))
		}},
	}
}

func (a *Admin) live(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.notReady(); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (a *Admin) notReady() error {
	if err := a.policies.Ready(); err != nil {
		return err
	}
	if !a.view.Settled() {
		return fault.Refuse(fault.OwnerUnavailable, "the other boxes were not heard out yet").WithRetryAfter(time.Second)
	}
	return nil
}

// Status collects the state of the box.
func (a *Admin) Status(ctx context.Context) types.BoxStatus {
	st := types.BoxStatus{
		Box: a.self.Name, Zone: a.self.Zone, Version: a.version, Ready: true,
		Uptime: types.Duration(time.Since(a.started)), Revision: a.policies.Number(),
		RevisionAge: types.Duration(a.policies.Age()), Targets: a.targets.Status(),
	}
	if err := a.notReady(); err != nil {
		st.Ready, st.NotReadyReason = false, fault.From(err).Detail
	}
	for id, epoch := range a.owners.Owned() {
		slot := types.SlotStatus{Slot: id.String(), Epoch: epoch}
		a.owners.Describe(ctx, id, &slot)
		st.Slots = append(st.Slots, slot)
	}
	sort.Slice(st.Slots, func(i, j int) bool { return st.Slots[i].Slot < st.Slots[j].Slot })
	live := map[string]types.Member{}
	for _, m := range a.view.Live() {
		live[m.Name] = m
	}
	for name, heard := range a.view.All() {
		m, ok := live[name]
		st.Boxes = append(st.Boxes, types.PeerStatus{Name: name, Zone: m.Zone, Live: ok, Leaving: m.Leaving, LastHeartbeat: heard})
	}
	sort.Slice(st.Boxes, func(i, j int) bool { return st.Boxes[i].Name < st.Boxes[j].Name })
	return st
}
