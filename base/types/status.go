package types

import "time"

// BoxStatus is the state of a box, as its admin address reports it. RevisionAge is the time since the
// configuration was last confirmed to be the newest.
type BoxStatus struct {
	Box            string         `json:"box"`
	Zone           string         `json:"zone"`
	Version        string         `json:"version"`
	Ready          bool           `json:"ready"`
	NotReadyReason string         `json:"why,omitempty"`
	Uptime         Duration       `json:"up"`
	Revision       int64          `json:"revision"`
	RevisionAge    Duration       `json:"revision_age"`
	Slots          []SlotStatus   `json:"slots"`
	Boxes          []PeerStatus   `json:"boxes"`
	Targets        []EngineStatus `json:"targets"`
}

// SlotStatus is the state of a slot that the box owns.
type SlotStatus struct {
	Slot  string `json:"slot"`
	Epoch int64  `json:"epoch"`
	// LogUp is false if the slot's last append to the log failed.
	LogUp bool `json:"log_up"`
	// Programs counts the programs that have not ended, Turns and Calls those in flight, and Keys
	// the idempotency keys that are kept.
	Programs int `json:"programs"`
	Turns    int `json:"turns"`
	Calls    int `json:"calls"`
	Keys     int `json:"keys"`
	// Budget, Granted and Spent are totals over all program trees, in tokens.
	Budget  int64 `json:"budget"`
	Granted int64 `json:"granted"`
	Spent   int64 `json:"spent"`
}

// PeerStatus is the state of a box as seen by the reporting box. LastHeartbeat is the time of the last
// heartbeat.
type PeerStatus struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone,omitempty"`
	Live          bool      `json:"live"`
	Leaving       bool      `json:"leaving"`
	LastHeartbeat time.Time `json:"heard"`
}

// EngineStatus is the state of an engine as seen by the reporting box. InFlight counts that box's
// streams in flight, Slowdown is the engine's slowdown factor.
type EngineStatus struct {
	Name           string        `json:"name"`
	Zone           string        `json:"zone"`
	Leaving        bool          `json:"leaving"`
	Ejected        bool          `json:"ejected"`
	InFlight       int           `json:"mine"`
	Limit          int           `json:"limit"`
	Running        int           `json:"running"`
	Queued         int           `json:"queued"`
	Slowdown       float64       `json:"slow"`
	CachedPrograms int           `json:"cached_programs"`
	ReportAge      time.Duration `json:"report_age"`
}

// Metrics holds all counters, gauges and histograms of a box by name.
type Metrics struct {
	Counters   map[string]int64     `json:"counters"`
	Gauges     map[string]int64     `json:"gauges"`
	Histograms map[string]Histogram `json:"histograms"`
}

// Histogram summarizes recorded durations, in microseconds.
type Histogram struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   float64 `json:"p50_us"`
	P95   float64 `json:"p95_us"`
	P99   float64 `json:"p99_us"`
	Max   int64   `json:"max_us"`
}

// TraceEvent is one decision or event in a box's handling of a program or request.
type TraceEvent struct {
	At         time.Time      `json:"at"`
	Request    string         `json:"request,omitempty"`
	Program    string         `json:"program,omitempty"`
	Event      string         `json:"what"`
	Reason     string         `json:"why,omitempty"`
	Target     string         `json:"target,omitempty"`
	Candidates []ScoredTarget `json:"weighed,omitempty"`
}

// ScoredTarget is a target that was considered for a call, with its score (lower is better).
type ScoredTarget struct {
	Name         string        `json:"name"`
	Score        time.Duration `json:"score"`
	Load         int           `json:"load"`
	CachedTokens int           `json:"cached"`
	HasRoom      bool          `json:"room"`
}
