package policy

import (
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
)

// Keyring returns the current keyring.
func (s *Store) Keyring() (*seal.Keyring, error) {
	st, err := s.Current()
	if err != nil {
		return nil, err
	}
	return st.Keyring, nil
}

// Defaults returns the current default limits, the zero value before the first revision.
func (s *Store) Defaults() types.Defaults {
	if st := s.current.Load(); st != nil {
		return st.Defaults()
	}
	return types.Defaults{}
}

// Allowed reports whether the policy's place rule allows a use of data. Nothing is allowed
// before the first revision.
func (s *Store) Allowed(in types.RuleInput) bool {
	st := s.current.Load()
	if st == nil {
		return false
	}
	in.Region = st.Region(in.Zone)
	// The place rule does not use these fields, so they are left out of the cache key.
	in.Depth, in.Turn, in.Budget = 0, 0, 0
	if verdict, ok := st.verdicts.Load(in); ok {
		return verdict.(bool)
	}
	verdict := st.Rules.Place(in)
	if st.cachedVerdicts.Add(1) <= maxVerdicts {
		st.verdicts.Store(in, verdict)
	}
	return verdict
}

// Priority returns the policy's priority for a call, 0 before the first revision.
func (s *Store) Priority(in types.RuleInput) int64 {
	if st := s.current.Load(); st != nil {
		return st.Rules.Order(in)
	}
	return 0
}

// BudgetLimit returns the policy's limit on a new program's budget, in tokens; 0 before the first
// revision.
func (s *Store) BudgetLimit(in types.RuleInput) int64 {
	if st := s.current.Load(); st != nil {
		return st.Rules.Spend(in)
	}
	return 0
}

// Share returns the fair share of a workspace, at least 1.
func (s *Store) Share(workspace string) int {
	if st := s.current.Load(); st != nil {
		return st.Share(workspace)
	}
	return 1
}

// Workspace returns the workspace that a bearer token belongs to.
func (s *Store) Workspace(token string) (types.Workspace, error) {
	st, err := s.Current()
	if err != nil {
		return types.Workspace{}, err
	}
	return st.Workspace(token)
}

// Model returns the configuration of a model.
func (s *Store) Model(name string) (types.Model, error) {
	st, err := s.Current()
	if err != nil {
		return types.Model{}, err
	}
	return st.Model(name)
}

// Service returns the configuration of a tool or plain service.
func (s *Store) Service(name string) (types.Service, error) {
	st, err := s.Current()
	if err != nil {
		return types.Service{}, err
	}
	return st.Service(name)
}

// Ready returns an error if the configuration does not allow new work: see Fresh.
func (s *Store) Ready() error {
	_, err := s.Fresh()
	return err
}

// Models returns the configured models, nil before the first revision.
func (s *Store) Models() []types.Model {
	if st := s.current.Load(); st != nil {
		return st.Revision.Config.Models
	}
	return nil
}
