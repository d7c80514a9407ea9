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

// State is a revision with its compiled policy, keyring and indexes. It is immutable apart
// from the cache of verdicts, and safe for concurrent use.
type State struct {
	Revision types.Revision
	Rules    *rules.Policy
	Keyring  *seal.Keyring

	slots      []ident.Slot
	workspaces map[string]types.Workspace
	models     map[string]types.Model
	services   map[string]types.Service
	regions    map[string]string
	// verdicts caches the verdicts of the place rule by input, at most maxVerdicts of them.
	verdicts       sync.Map
	cachedVerdicts atomic.Int64
}

const maxVerdicts = 100_000

// newState compiles the policy of a revision and derives its keyring and indexes.
func newState(rev types.Revision, root *seal.RootKey) (*State, error) {
	cfg := rev.Config
	policy, err := rules.Compile(cfg.Policy)
	if err != nil {
		return nil, err
	}
	ring, err := seal.NewKeyring(root, cfg.Keys)
	if err != nil {
		return nil, err
	}
	st := &State{
		Revision: rev, Rules: policy, Keyring: ring, workspaces: map[string]types.Workspace{},
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

// Workspace returns the workspace that a bearer token belongs to.
func (st *State) Workspace(token string) (types.Workspace, error) {
	workspace, ok := st.workspaces[ident.KeyDigest(token)]
	if !ok {
		return types.Workspace{}, fault.Refuse(fault.Unauthorized, "unknown bearer token")
	}
	return workspace, nil
}

// Model returns the configuration of a model.
func (st *State) Model(name string) (types.Model, error) {
	model, ok := st.models[name]
	if !ok {
		return model, fault.Refuse(fault.UnknownModel, "no such model")
	}
	return model, nil
}

// Service returns the configuration of a tool or plain service.
func (st *State) Service(name string) (types.Service, error) {
	svc, ok := st.services[name]
	if !ok {
		return svc, fault.Refuse(fault.UnknownService, "no such service")
	}
	return svc, nil
}

// Region returns the region of an availability zone, "" if the zone is not configured.
func (st *State) Region(zone string) string {
	return st.regions[zone]
}

// Slots returns all slots of all zones. The caller must not change the slice.
func (st *State) Slots() []ident.Slot {
	return st.slots
}

// Share returns the fair share of a workspace, at least 1.
func (st *State) Share(workspace string) int {
	i := slices.IndexFunc(st.Revision.Config.Workspaces, func(t types.Workspace) bool { return t.Name == workspace })
	if i < 0 {
		return 1
	}
	return max(1, st.Revision.Config.Workspaces[i].Share)
}

// Defaults returns the configured default limits.
func (st *State) Defaults() types.Defaults {
	return st.Revision.Config.Defaults
}

// KeyRetention returns how long idempotency keys are kept.
func (st *State) KeyRetention() time.Duration {
	return time.Duration(st.Defaults().KeyRetention)
}
