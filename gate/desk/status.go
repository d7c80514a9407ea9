package desk

import "mulleingate.dev/base/types"

// Describe fills in what an operator wants to know of the slot.
func (d *Desk) Describe(st *types.SlotStatus) {
	st.LogUp = d.LogUp
	st.Turns, st.Calls, st.Keys = len(d.Turns), len(d.Calls), len(d.State.Keys)
	for _, prog := range d.State.Programs {
		if prog.Ended == "" {
			st.Programs++
		}
	}
	for _, purse := range d.State.Purses {
		st.Budget += purse.Budget
		st.Granted += purse.Granted
		st.Spent += purse.Spent
	}
}
