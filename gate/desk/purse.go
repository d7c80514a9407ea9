package desk

import (
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// left is what may still be reserved: up to the budget, or while the log is away up to
// what it has granted.
func (d *Desk) left(purse *types.TreeBudget) int64 {
	bound := purse.Budget
	if !d.LogUp {
		bound = min(bound, d.confirmed[purse.Root])
	}
	return bound - purse.Spent - d.reserved[purse.Root]
}

// reserve sets need aside and returns the grant that the log must hold first, if any.
func (d *Desk) reserve(purse *types.TreeBudget, need, chunk int64) []types.Record {
	d.reserved[purse.Root] += need
	used := purse.Spent + d.reserved[purse.Root]
	if used <= purse.Granted {
		return nil
	}
	total := min(purse.Budget, max(used, purse.Granted+chunk))
	return d.write(types.Record{Grant: &types.Grant{Root: purse.Root, Total: total}})
}

// Covered reports whether the log is known to grant all that is reserved and spent.
func (d *Desk) Covered(root string) bool {
	purse, ok := d.State.Purses[root]
	return ok && purse.Spent+d.reserved[root] <= d.confirmed[root]
}

// settle ends a reservation of which spent was used.
func (d *Desk) settle(root string, reserved, spent int64) {
	d.reserved[root] -= reserved
	if purse, ok := d.State.Purses[root]; ok {
		purse.Spent = min(purse.Spent+spent, purse.Granted)
	}
}

// purse finds the purse of a program's tree.
func (d *Desk) purse(prog *types.Program) (*types.TreeBudget, error) {
	purse, ok := d.State.Purses[prog.Begin.Root]
	if !ok {
		return nil, fault.Refuse(fault.BudgetSpent, "the program's budget is not known")
	}
	return purse, nil
}

// Spent is what the program's tree has spent, and its budget, in tokens.
func (d *Desk) Spent(prog *types.Program) (spent, budget int64) {
	purse, ok := d.State.Purses[prog.Begin.Root]
	if !ok {
		return 0, 0
	}
	return purse.Spent, purse.Budget
}

// Settles are the records that give unspent grants back at a planned release.
func (d *Desk) Settles() []types.Record {
	var recs []types.Record
	for root, purse := range d.State.Purses {
		if d.reserved[root] == 0 && purse.Spent < purse.Granted {
			recs = append(recs, types.Record{Settle: &types.Settle{Root: root, Spent: purse.Spent}})
		}
	}
	return d.write(recs...)
}
