package types

import "time"

// BoxStatus is the state of a box, as its admin address tells it.
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

// SlotStatus is a slot that the box holds.
type SlotStatus struct {
	Slot  string `json:"slot"`
	Epoch int64  `json:"epoch"`
	// LogUp is false while the slot's last append has failed.
	LogUp bool `json:"log_up"`
	// Programs have not ended; Turns and Calls are under way; Keys are remembered.
	Programs int `json:"programs"`
	Turns    int `json:"turns"`
	Calls    int `json:"calls"`
	Keys     int `json:"keys"`
	// Budget, Granted and Spent are sums over program trees, in tokens.
	Budget  int64 `json:"budget"`
	Granted int64 `json:"granted"`
	Spent   int64 `json:"spent"`
}

// PeerStatus is another box as this one sees it.
type PeerStatus struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone,omitempty"`
	Live          bool      `json:"live"`
	Leaving       bool      `json:"leaving"`
	LastHeartbeat time.Time `json:"heard"`
}

// EngineStatus is an engine as this box believes it to be.
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

// Metrics is all counters and histograms of a box by name.
type Metrics struct {
	Counters   map[string]int64     `json:"counters"`
	Gauges     map[string]int64     `json:"gauges"`
	Histograms map[string]Histogram `json:"histograms"`
}

// Histogram is a summary, in microseconds.
type Histogram struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   float64 `json:"p50_us"`
	P95   float64 `json:"p95_us"`
	P99   float64 `json:"p99_us"`
	Max   int64   `json:"max_us"`
}

// TraceEvent is one decision of a box on a program or request.
type TraceEvent struct {
	At         time.Time      `json:"at"`
	Request    string         `json:"request,omitempty"`
	Program    string         `json:"program,omitempty"`
	Event      string         `json:"what"`
	Reason     string         `json:"why,omitempty"`
	Target     string         `json:"target,omitempty"`
	Candidates []ScoredTarget `json:"weighed,omitempty"`
}

// ScoredTarget is a target that was considered, with its score.
type ScoredTarget struct {
	Name         string        `json:"name"`
	Score        time.Duration `json:"score"`
	Load         int           `json:"load"`
	CachedTokens int           `json:"cached"`
	HasRoom      bool          `json:"room"`
}
