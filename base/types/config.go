package types

import "time"

// Config is one published revision's content.
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
	// Slots is how many slots the zone prefers to own.
	Slots int `json:"slots"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `json:"name"`
	// TokenHashes are hexadecimal SHA-256 sums of the bearer tokens in force.
	TokenHashes []string `json:"token_hashes"`
	// Share weighs the workspace in fair queues; 0 means 1.
	Share int `json:"share,omitempty"`
}

// Model is a model that programs may name.
type Model struct {
	Name    string `json:"name"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// MinWarm is the number of replicas kept warm in each pool.
	MinWarm int `json:"min_warm,omitempty"`
}

// Service is a tool or plain service.
type Service struct {
	Name       string `json:"name"`
	Repeatable bool   `json:"repeatable"`
	// Price is in the budget's tokens for each run.
	Price int64 `json:"price,omitempty"`
	// ProbePath settles unknown outcomes where set.
	ProbePath string   `json:"probe_path,omitempty"`
	Timeout   Duration `json:"timeout,omitempty"`
	// HedgeAfter sends a second copy of a repeatable call; 0 never does.
	HedgeAfter Duration `json:"hedge_after,omitempty"`
}

// Policy holds the operators' CEL programs.
type Policy struct {
	Place   string   `json:"place"`
	Order   string   `json:"order"`
	Spend   string   `json:"spend"`
	Samples []Sample `json:"samples"`
	// MaxStale refuses new work when the configuration was not confirmed for so long; 0 never does.
	MaxStale Duration `json:"max_stale,omitempty"`
}

// Sample is an input with the results that the policy must give.
type Sample struct {
	Name  string          `json:"name"`
	Input RuleInput       `json:"input"`
	Want  ExpectedResults `json:"want"`
}

// ExpectedResults holds expected results; unset ones are not compared.
type ExpectedResults struct {
	Place *bool  `json:"place,omitempty"`
	Order *int64 `json:"order,omitempty"`
	Spend *int64 `json:"spend,omitempty"`
}

// RuleInput is what policy programs see.
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

// Defaults are limits for programs that ask for none.
type Defaults struct {
	Turns        int      `json:"turns"`
	Depth        int      `json:"depth"`
	FanOut       int      `json:"fan_out"`
	Idle         Duration `json:"idle"`
	Deadline     Duration `json:"deadline"`
	MaxTokens    int      `json:"max_tokens"`
	GrantChunk   int64    `json:"grant_chunk"`
	TailBytes    int      `json:"tail_bytes"`
	LogWait      Duration `json:"log_wait"`
	KeyRetention Duration `json:"key_retention"`
}

// DataKey is a data encryption key, sealed under the root key of the settings.
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
	// IsCopy marks a copy of the current revision, appended before retention ends.
	IsCopy bool `json:"carry,omitempty"`
}
