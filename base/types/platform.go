package types

import (
	"net/netip"
	"time"
)

// Member is a box on the platform's list.
type Member struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	Engine       TargetKind = "engine"
	PlainService TargetKind = "service"
)

// Target is a model engine or a service replica on the platform's list.
type Target struct {
	Name    string         `json:"name"`
	Kind    TargetKind     `json:"kind"`
	Zone    string         `json:"zone"`
	Addr    netip.AddrPort `json:"addr"`
	Models  []string       `json:"models,omitempty"`
	Service string         `json:"service,omitempty"`
	Leaving bool           `json:"leaving,omitempty"`
	// Fenced is true if the target refuses orders with an outdated fencing number.
	Fenced bool `json:"fenced,omitempty"`
}

// PlatformList is the platform's list of boxes and targets. It lags behind their actual state.
type PlatformList struct {
	At      time.Time `json:"at"`
	Boxes   []Member  `json:"boxes"`
	Targets []Target  `json:"targets"`
}

// LoadReport is the load that an engine reported at the time At.
type LoadReport struct {
	Name    string    `json:"name"`
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	// PrefillTokens counts the prompt tokens still to be computed and OutputTokens the tokens
	// still to be generated, over all running and queued streams.
	PrefillTokens int64 `json:"prefill_tokens"`
	OutputTokens  int64 `json:"output_tokens"`
	MaxBatch      int   `json:"max_batch"`
	CacheUsed     int64 `json:"cache_used"`
	CacheSize     int64 `json:"cache_size"`
	// PrefillRate is in tokens per second; StepTime is the duration of one decode step.
	PrefillRate float64  `json:"prefill_rate"`
	StepTime    Duration `json:"step_time"`
	Leaving     bool     `json:"leaving,omitempty"`
	Models      []string `json:"models"`
	Version     string   `json:"version,omitempty"`
	Fence       int64    `json:"fence,omitempty"`
}

// CacheEvent reports that a program's prefix was added to an engine's cache or, with Removed set,
// removed from it.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Key     string `json:"key"`
	Tokens  int    `json:"tokens"`
	Removed bool   `json:"gone,omitempty"`
}

// EngineCall is one request to an engine.
type EngineCall struct {
	Attempt   string    `json:"attempt"`
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Priority  int64     `json:"priority"`
	// CacheKey is the program's ID, which identifies the cached prefix. Hold asks the engine to
	// keep the prefix after the answer.
	CacheKey string `json:"cache_key"`
	Hold     bool   `json:"hold,omitempty"`
	Class    string `json:"class,omitempty"`
}

// EngineEvent is one event of an engine's stream.
type EngineEvent struct {
	Attempt string `json:"attempt"`
	Seq     int    `json:"seq"`
	Text    string `json:"text,omitempty"`
	// End marks the last event, which carries Usage and Finish.
	End    bool   `json:"end,omitempty"`
	Finish string `json:"finish,omitempty"`
	Usage  Usage  `json:"usage,omitzero"`
}

// CacheOrder tells an engine to release, hold, unhold or import the cached prefixes of programs.
// From is the engine to import from.
type CacheOrder struct {
	Op   string         `json:"op"`
	Keys []string       `json:"keys"`
	From netip.AddrPort `json:"from,omitzero"`
}

// EngineOrder tells an engine to load or unload a model.
type EngineOrder struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Fence   int64  `json:"fence"`
}

// LogEntry is one record of the platform's log.
type LogEntry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is the answer to a read.
type LogPage struct {
	// First is the oldest retained offset; Next is the offset that the next append will get.
	First   int64      `json:"first"`
	Next    int64      `json:"next"`
	Entries []LogEntry `json:"entries"`
}

// LogAppend is the body of an append request; LogOffset is the answer.
type LogAppend struct {
	Data []byte `json:"data"`
}

// LogOffset is the answer to an append: the offset of the new entry.
type LogOffset struct {
	Offset int64 `json:"offset"`
}
