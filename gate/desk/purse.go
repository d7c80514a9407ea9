package desk

import (
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// available returns the tokens that may still be reserved: up to the budget, or up to the
// confirmed grant while the log is unavailable.
func (s *OwnerState) available(tree *types.TreeBudget) int64 {
	bound := tree.Budget
	if !s.LogAvailable {
		bound = min(bound, s.confirmed[tree.Root])
	}
	return bound - tree.Spent - s.reserved[tree.Root]
}

// reserve reserves need tokens. If the grant does not cover them, it returns a grant record
// that the log must confirm before the work is dispatched.
func (s *OwnerState) reserve(tree *types.TreeBudget, need, chunk int64) []types.Record {
	s.reserved[tree.Root] += need
	used := tree.Spent + s.reserved[tree.Root]
	if used <= tree.Granted {
		return nil
	}
	total := min(tree.Budget, max(used, tree.Granted+chunk))
	return s.write(types.Record{Grant: &types.Grant{Root: tree.Root, Total: total}})
}

// Covered reports whether the confirmed grant of a root program covers all that is
// reserved and spent.
func (s *OwnerState) Covered(root string) bool {
	tree, ok := s.State.TreeBudgets[root]
	return ok && tree.Spent+s.reserved[root] <= s.confirmed[root]
}

// settle ends a reservation of which spent tokens were used.
func (s *OwnerState) settle(root string, reserved, spent int64) {
	s.reserved[root] -= reserved
	if tree, ok := s.State.TreeBudgets[root]; ok {
		tree.Spent = min(tree.Spent+spent, tree.Granted)
	}
}

// treeBudget returns the budget of the tree that the program belongs to.
func (s *OwnerState) treeBudget(prog *types.Program) (*types.TreeBudget, error) {
	tree, ok := s.State.TreeBudgets[prog.Begin.Root]
	if !ok {
		return nil, fault.Refuse(fault.BudgetSpent, "the budget of the program's tree is unknown")
	}
	return tree, nil
}

// Spent returns the tokens that the program's tree has spent and the tree's budget. Both
// are 0 if the budget is unknown.
func (s *OwnerState) Spent(prog *types.Program) (spent, budget int64) {
	tree, ok := s.State.TreeBudgets[prog.Begin.Root]
	if !ok {
		return 0, 0
	}
	return tree.Spent, tree.Budget
}

// SettleGrants applies and returns the records that give unspent grants back at a planned
// release. Trees with reservations are left out.
func (s *OwnerState) SettleGrants() []types.Record {
	var recs []types.Record
	for root, tree := range s.State.TreeBudgets {
		if s.reserved[root] == 0 && tree.Spent < tree.Granted {
			recs = append(recs, types.Record{Settle: &types.Settle{Root: root, Spent: tree.Spent}})
		}
	}
	return s.write(recs...)
}
