package cmds

import (
	"fmt"

	"mulleingate.dev/bench/report"
)

// The letter's sizes.
const (
	letterNodes      = 1100
	letterReplicas   = 3000
	letterRequests   = 17_000
	letterTokens     = 8_100_000
	letterPrograms   = 270_000
	letterWorkspaces = 460
	letterZones      = 9
	letterRevisions  = 4500
	daySeconds       = 86_400
)

// The settings that the page proposes at that size.
const (
	letterPeers = 12
	letterBeat  = 2
	letterSeen  = 32
	letterBusy  = 4
	letterPoll  = 0.5
	letterIdle  = 10.0
	// measuredBeat and measuredPoll are the intervals, in seconds, of the measurements.
	measuredBeat = 0.3
	measuredPoll = 0.1
	// listBytes is the size of the list, listChanges how often it changes a day.
	listBytes   = (letterNodes + letterReplicas) * 110
	listChanges = 600.0
)

// derive works the page's figures out from the slopes.
func derive(s *slopes) report.Table {
	table := report.Table{Head: []string{"figure at the letter's size", "value", "bound", "from"}}
	row := func(name, value, bound, from string) {
		table.Rows = append(table.Rows, []string{name, value, bound, from})
	}
	beatCPU := s.peerCPU.line.Slope * letterPeers * measuredBeat / letterBeat
	beatBytes := s.peerBytes.line.Slope * letterPeers * measuredBeat / letterBeat
	polls := letterBusy/letterPoll + (letterSeen-letterBusy)/letterIdle
	pollCPU := s.pollCPU.line.Slope * measuredPoll * polls
	pollBytes := s.pollBytes.line.Slope * measuredPoll * polls
	perRevision := s.revisionCPU.line.Base + s.revisionCPU.line.Slope*letterWorkspaces
	revisionCPU := perRevision * letterRevisions / daySeconds / 1e6 * percent
	revisionSize := s.revisionBytes.line.Base + s.revisionBytes.line.Slope*letterWorkspaces
	revisionBytes := 2 * revisionSize * letterRevisions / daySeconds
	row("heartbeats with 12 peers every 2 s", fmt.Sprintf("%.2f%% of a core, %.0f B/s", beatCPU, beatBytes), "", "peer slopes")
	row("polls: 4 engines in use every 0.5 s, 28 others every 10 s", fmt.Sprintf("%.2f%% of a core, %.0f B/s", pollCPU, pollBytes), "", "poll slopes")
	row("measured: idle box of 32 with 32 engines and these settings", fmt.Sprintf("%.2f%% of a core, %.1f KB/s", s.proposed.Core*percent, s.proposed.Bytes/1000), "1.1%, 13 KB/s", "one reading")
	list := listBytes * listChanges / daySeconds
	row("the list, sent only when it changed", fmt.Sprintf("%.0f B/s", list), "", "4,100 entries of 110 B, 600 changes a day")
	row("4,500 revisions a day with 460 workspaces", fmt.Sprintf("%.3f%% of a core, %.0f B/s, %.0f ms each", revisionCPU, revisionBytes, perRevision/1000), "", "revision slopes")
	row("control per node", fmt.Sprintf("%.2f%% of a core", beatCPU+pollCPU+revisionCPU), "1.1%", "sum")
	row("control per node", fmt.Sprintf("%.1f KB/s", (beatBytes+pollBytes+revisionBytes+list)/1000), "13 KB/s", "sum")
	perNode := float64(letterPrograms) / letterNodes
	memory := (s.restMemory.line.Base + s.restMemory.line.Slope*perNode) / 1024
	row("memory of a node with 245 programs at rest, without history", fmt.Sprintf("%.0f MiB", memory), "128 MB", "memory slope")
	history := float64(4 * 720_000 / 1024)
	row("memory of one longest history (720,000 tokens of 4 bytes)", fmt.Sprintf("%.1f MiB", s.textMemory.line.Slope*history/1024), "", "history slope")
	turn := s.tokenCPU.line.Base + s.tokenCPU.line.Slope*float64(letterTokens)/letterRequests
	row("data path per node: 15.5 requests/s of 476 tokens", fmt.Sprintf("%.0f%% of a core", turn*letterRequests/letterNodes/1e6*percent), "", "token slope")
	row("replicas seen by how many boxes of their zone", fmt.Sprintf("%.0f", float64(letterSeen)*letterNodes/letterReplicas), "", "32 of 333 each")
	return table
}
