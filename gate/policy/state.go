package policy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/rules"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
)

// State is one revision in force, with what was made from it. It never changes.
type State struct {
	Revision types.Revision
	Rules    *rules.Policy
	Ring     *seal.Keyring

	slots      []ident.Slot
	workspaces map[string]types.Workspace
	models     map[string]types.Model
	services   map[string]types.Service
	regions    map[string]string
	// verdicts keeps place verdicts by input, at most maxVerdicts of them.
	verdicts sync.Map
	kept     atomic.Int64
}

const maxVerdicts = 100_000

func newState(rev types.Revision, root *seal.RootKey) (*State, error) {
	cfg := rev.Config
	set, err := rules.Compile(cfg.Policy)
	if err != nil {
		return nil, err
	}
	ring, err := seal.NewKeyring(root, cfg.Keys)
	if err != nil {
		return nil, err
	}
	st := &State{
		Revision: rev, Rules: set, Ring: ring, workspaces: map[string]types.Workspace{},
		models: map[string]types.Model{}, services: map[string]types.Service{}, regions: map[string]string{},
	}
	st.index(cfg)
	return st, nil
}

func (st *State) index(cfg types.Config) {
	for _, zone := range cfg.Zones {
		st.regions[zone.Name] = zone.Region
		for n := range zone.Slots {
			st.slots = append(st.slots, ident.Slot{Zone: zone.Name, Number: n})
		}
	}
	for _, workspace := range cfg.Workspaces {
		for _, hash := range workspace.TokenHashes {
			st.workspaces[hash] = workspace
		}
	}
	for _, model := range cfg.Models {
		st.models[model.Name] = model
	}
	for _, svc := range cfg.Services {
		st.services[svc.Name] = svc
	}
}

// Workspace finds the workspace of a bearer token.
func (st *State) Workspace(token string) (types.Workspace, error) {
	workspace, ok := st.workspaces[ident.KeyDigest(token)]
	if !ok {
		return types.Workspace{}, fault.Refuse(fault.Unauthorized, "the bearer token is not known")
	}
	return workspace, nil
}

// Model finds a model.
func (st *State) Model(name string) (types.Model, error) {
	model, ok := st.models[name]
	if !ok {
		return model, fault.Refuse(fault.UnknownModel, "no such model")
	}
	return model, nil
}

// Service finds a tool or plain service.
func (st *State) Service(name string) (types.Service, error) {
	svc, ok := st.services[name]
	if !ok {
		return svc, fault.Refuse(fault.UnknownService, "no such service")
	}
	return svc, nil
}

// Region is the region of an availability zone.
func (st *State) Region(zone string) string {
	return st.regions[zone]
}

// Slots lists all slots.
func (st *State) Slots() []ident.Slot {
	return st.slots
}

// Share is the fair share of a workspace, at least 1.
func (st *State) Share(workspace string) int {
	i := slices.IndexFunc(st.Revision.Config.Workspaces, func(t types.Workspace) bool { return t.Name == workspace })
	if i < 0 {
		return 1
	}
	return max(1, st.Revision.Config.Workspaces[i].Share)
}

// Defaults are the configured limits.
func (st *State) Defaults() types.Defaults {
	return st.Revision.Config.Defaults
}

// KeyRetention is how long idempotency keys are kept.
func (st *State) KeyRetention() time.Duration {
	return time.Duration(st.Defaults().KeyRetention)
}
