package desk

import "mulleingate.dev/base/types"

// FillStatus fills in the slot's figures for the status report.
func (d *OwnerState) FillStatus(st *types.SlotStatus) {
	st.LogUp = d.LogAvailable
	st.Turns, st.Calls, st.Keys = len(d.Turns), len(d.Calls), len(d.State.Keys)
	for _, prog := range d.State.Programs {
		if prog.Ended == "" {
			st.Programs++
		}
	}
	for _, tree := range d.State.Purses {
		st.Budget += tree.Budget
		st.Granted += tree.Granted
		st.Spent += tree.Spent
	}
}
