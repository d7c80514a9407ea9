package policy

import (
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
)

// Ring is the key ring in force.
func (s *Store) Ring() (*seal.Keyring, error) {
	st, err := s.Current()
	if err != nil {
		return nil, err
	}
	return st.Ring, nil
}

// Defaults are the limits in force, the zero value while there are none.
func (s *Store) Defaults() types.Defaults {
	if st := s.current.Load(); st != nil {
		return st.Defaults()
	}
	return types.Defaults{}
}

// Allowed runs the place program; without configuration nothing is allowed.
func (s *Store) Allowed(in types.RuleInput) bool {
	st := s.current.Load()
	if st == nil {
		return false
	}
	in.Region = st.Region(in.Zone)
	// Place sees none of these, so that its verdict can be kept.
	in.Depth, in.Turn, in.Budget = 0, 0, 0
	if verdict, ok := st.verdicts.Load(in); ok {
		return verdict.(bool)
	}
	verdict := st.Rules.Place(in)
	if st.kept.Add(1) <= maxVerdicts {
		st.verdicts.Store(in, verdict)
	}
	return verdict
}

// Order is the policy's priority of a call.
func (s *Store) Order(in types.RuleInput) int64 {
	if st := s.current.Load(); st != nil {
		return st.Rules.Order(in)
	}
	return 0
}

// Spend is the policy's bound on a new program's budget, in tokens.
func (s *Store) Spend(in types.RuleInput) int64 {
	if st := s.current.Load(); st != nil {
		return st.Rules.Spend(in)
	}
	return 0
}

// Share is the fair share of a workspace, at least 1.
func (s *Store) Share(workspace string) int {
	if st := s.current.Load(); st != nil {
		return st.Share(workspace)
	}
	return 1
}

// Workspace finds the workspace of a bearer token.
func (s *Store) Workspace(token string) (types.Workspace, error) {
	st, err := s.Current()
	if err != nil {
		return types.Workspace{}, err
	}
	return st.Workspace(token)
}

// Model finds a model.
func (s *Store) Model(name string) (types.Model, error) {
	st, err := s.Current()
	if err != nil {
		return types.Model{}, err
	}
	return st.Model(name)
}

// Service finds a tool or plain service.
func (s *Store) Service(name string) (types.Service, error) {
	st, err := s.Current()
	if err != nil {
		return types.Service{}, err
	}
	return st.Service(name)
}

// Ready reports why no work can be taken, if so.
func (s *Store) Ready() error {
	_, err := s.Fresh()
	return err
}

// Models lists the configured models.
func (s *Store) Models() []types.Model {
	if st := s.current.Load(); st != nil {
		return st.Revision.Config.Models
	}
	return nil
}
