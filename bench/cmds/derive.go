package cmds

import (
	"fmt"

	"mulleingate.dev/bench/report"
)

// Sizes of the reference deployment for which deriveTable computes the load of a box.
const (
	refBoxes      = 1100
	refReplicas   = 3000
	refRequests   = 17_000
	refTokens     = 8_100_000
	refPrograms   = 270_000
	refWorkspaces = 460
	refZones      = 9
	refRevisions  = 4500
	daySeconds    = 86_400
)

// Proposed settings for the reference deployment: counts per box, and intervals in seconds.
const (
	proposedPeers       = 12
	proposedHeartbeat   = 2
	proposedEngines     = 32
	proposedBusyEngines = 4
	proposedPoll        = 0.5
	proposedIdlePoll    = 10.0
	// defaultHeartbeat and defaultPoll are the default intervals, to which the slopes apply.
	defaultHeartbeat = 0.3
	defaultPoll      = 0.1
	// listBytes is the size of the list of boxes and replicas, listChanges the number of its changes
	// per day.
	listBytes   = (refBoxes + refReplicas) * 110
	listChanges = 600.0
)

// deriveTable computes the load of a box of the reference deployment from the slopes.
func deriveTable(fits *capacityFits) report.Table {
	table := report.Table{Header: []string{"figure at the letter's size", "value", "bound", "from"}}
	addRow := func(name, value, bound, from string) {
		table.Rows = append(table.Rows, []string{name, value, bound, from})
	}
	heartbeatCPU := fits.heartbeatCPU.line.Slope * proposedPeers * defaultHeartbeat / proposedHeartbeat
	heartbeatBytes := fits.heartbeatBytes.line.Slope * proposedPeers * defaultHeartbeat / proposedHeartbeat
	polls := proposedBusyEngines/proposedPoll + (proposedEngines-proposedBusyEngines)/proposedIdlePoll
	pollCPU := fits.pollCPU.line.Slope * defaultPoll * polls
	pollBytes := fits.pollBytes.line.Slope * defaultPoll * polls
	perRevision := fits.revisionCPU.line.Intercept + fits.revisionCPU.line.Slope*refWorkspaces
	revisionCPU := perRevision * refRevisions / daySeconds / 1e6 * percent
	revisionSize := fits.revisionBytes.line.Intercept + fits.revisionBytes.line.Slope*refWorkspaces
	revisionBytes := 2 * revisionSize * refRevisions / daySeconds
	addRow("heartbeats with 12 peers every 2 s", fmt.Sprintf("%.2f%% of a core, %.0f B/s", heartbeatCPU, heartbeatBytes), "", "peer slopes")
	addRow("polls: 4 engines in use every 0.5 s, 28 others every 10 s", fmt.Sprintf("%.2f%% of a core, %.0f B/s", pollCPU, pollBytes), "", "poll slopes")
	addRow("measured: idle box of 32 with 32 engines and these settings", fmt.Sprintf("%.2f%% of a core, %.1f KB/s", fits.proposed.Core*percent, fits.proposed.Bytes/1000), "1.1%, 13 KB/s", "one reading")
	listRate := listBytes * listChanges / daySeconds
	addRow("the list, sent only when it changed", fmt.Sprintf("%.0f B/s", listRate), "", "4,100 entries of 110 B, 600 changes a day")
	addRow("4,500 revisions a day with 460 workspaces", fmt.Sprintf("%.3f%% of a core, %.0f B/s, %.0f ms each", revisionCPU, revisionBytes, perRevision/1000), "", "revision slopes")
	addRow("control per node", fmt.Sprintf("%.2f%% of a core", heartbeatCPU+pollCPU+revisionCPU), "1.1%", "sum")
	addRow("control per node", fmt.Sprintf("%.1f KB/s", (heartbeatBytes+pollBytes+revisionBytes+listRate)/1000), "13 KB/s", "sum")
	programsPerBox := float64(refPrograms) / refBoxes
	memoryMiB := (fits.programMemory.line.Intercept + fits.programMemory.line.Slope*programsPerBox) / 1024
	addRow("memory of a node with 245 programs at rest, without history", fmt.Sprintf("%.0f MiB", memoryMiB), "128 MB", "memory slope")
	historyKiB := float64(4 * 720_000 / 1024)
	addRow("memory of one longest history (720,000 tokens of 4 bytes)", fmt.Sprintf("%.1f MiB", fits.historyMemory.line.Slope*historyKiB/1024), "", "history slope")
	turnCPU := fits.tokenCPU.line.Intercept + fits.tokenCPU.line.Slope*float64(refTokens)/refRequests
	addRow("data path per node: 15.5 requests/s of 476 tokens", fmt.Sprintf("%.0f%% of a core", turnCPU*refRequests/refBoxes/1e6*percent), "", "token slope")
	addRow("replicas seen by how many boxes of their zone", fmt.Sprintf("%.0f", float64(proposedEngines)*refBoxes/refReplicas), "", "32 of 333 each")
	return table
}
