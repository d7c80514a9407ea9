package types

import "time"

// Config is the content of one published revision.
type Config struct {
	Zones      []Zone      `json:"zones"`
	Workspaces []Workspace `json:"workspaces"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services"`
	Policy     Policy      `json:"policy"`
	Defaults   Defaults    `json:"defaults"`
	Keys       []DataKey   `json:"keys"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Slots is the number of slots that the zone's boxes should own.
	Slots int `json:"slots"`
}

// Workspace is a customer.
type Workspace struct {
	Name string `json:"name"`
	// TokenHashes holds the SHA-256 hashes of the valid bearer tokens, in hexadecimal.
	TokenHashes []string `json:"token_hashes"`
	// Share is the weight of the workspace in fair queueing; 0 means 1.
	Share int `json:"share,omitempty"`
}

// Model is a model that programs can use.
type Model struct {
	Name    string `json:"name"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// MinWarm is the minimum number of engines on which the boxes keep the model loaded. If it is 0,
	// they send no orders for the model.
	MinWarm int `json:"min_warm,omitempty"`
}

// Service is a tool or plain service.
type Service struct {
	Name       string `json:"name"`
	Repeatable bool   `json:"repeatable"`
	// Price is what each run costs the program's budget, in tokens.
	Price int64 `json:"price,omitempty"`
	// ProbePath, if set, is queried to find out whether a call with an unknown outcome took effect.
	ProbePath string   `json:"probe_path,omitempty"`
	Timeout   Duration `json:"timeout,omitempty"`
	// HedgeAfter is the delay before a repeatable call is sent a second time; 0 disables hedging.
	HedgeAfter Duration `json:"hedge_after,omitempty"`
}

// Policy holds the operators' CEL programs: Place allows or denies a use of a target, Order sets
// a priority and Spend bounds a program's budget.
type Policy struct {
	Place   string   `json:"place"`
	Order   string   `json:"order"`
	Spend   string   `json:"spend"`
	Samples []Sample `json:"samples"`
	// MaxStale is how long the configuration may stay unconfirmed before new work is refused;
	// 0 means no limit.
	MaxStale Duration `json:"max_stale,omitempty"`
}

// Sample is a test case for a policy: an input and the results expected for it.
type Sample struct {
	Name  string          `json:"name"`
	Input RuleInput       `json:"input"`
	Want  ExpectedResults `json:"want"`
}

// ExpectedResults holds expected results; nil fields are not compared.
type ExpectedResults struct {
	Place *bool  `json:"place,omitempty"`
	Order *int64 `json:"order,omitempty"`
	Spend *int64 `json:"spend,omitempty"`
}

// RuleInput holds the variables that policy programs can read.
type RuleInput struct {
	Workspace string `json:"workspace"`
	DataClass string `json:"data_class"`
	Kind      string `json:"kind"`
	Model     string `json:"model"`
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	Target    string `json:"target"`
	// Use is one of run, cache, checkpoint, plaintext.
	Use    string `json:"use"`
	Depth  int64  `json:"depth"`
	Turn   int64  `json:"turn"`
	Budget int64  `json:"budget"`
}

// Defaults holds the limits of programs that set none, and settings that apply to all programs.
type Defaults struct {
	Turns     int      `json:"turns"`
	Depth     int      `json:"depth"`
	FanOut    int      `json:"fan_out"`
	Idle      Duration `json:"idle"`
	Deadline  Duration `json:"deadline"`
	MaxTokens int      `json:"max_tokens"`
	// GrantChunk is the minimum increase of a program tree's grant, in tokens. The budget limits it.
	GrantChunk int64 `json:"grant_chunk"`
	// TailBytes bounds a program's answered turns that the log has not confirmed, in bytes.
	TailBytes int `json:"tail_bytes"`
	// LogWait is how long an answer waits for the log to confirm its records.
	LogWait Duration `json:"log_wait"`
	// KeyRetention is how long idempotency keys are kept.
	KeyRetention Duration `json:"key_retention"`
}

// DataKey is a data encryption key, encrypted with the root key from the settings.
type DataKey struct {
	ID        string    `json:"id"`
	Sealed    []byte    `json:"sealed"`
	CreatedAt time.Time `json:"made"`
}

// Revision is an entry of the configuration stream.
type Revision struct {
	// Number is Base+1; accepted revisions have no gaps.
	Number int64     `json:"number"`
	Base   int64     `json:"base"`
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
	Config Config    `json:"config"`
	// Signature is the operator's Ed25519 signature over the fields above.
	Signature []byte `json:"signature"`
	// IsCopy marks a copy of an accepted revision: one appended again before the log's retention
	// removes the original, or one fetched from another box.
	IsCopy bool `json:"carry,omitempty"`
}
