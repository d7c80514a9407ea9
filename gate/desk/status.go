package desk

import "mulleingate.dev/base/types"

// FillStatus fills in the slot's figures for the status report.
func (s *OwnerState) FillStatus(st *types.SlotStatus) {
	st.LogUp = s.LogAvailable
	st.Turns, st.Calls, st.Keys = len(s.Turns), len(s.Calls), len(s.State.Keys)
	for _, prog := range s.State.Programs {
		if prog.Ended == "" {
			st.Programs++
		}
	}
	for _, tree := range s.State.TreeBudgets {
		st.Budget += tree.Budget
		st.Granted += tree.Granted
		st.Spent += tree.Spent
	}
}
