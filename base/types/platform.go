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

// TargetKind tells engines from plain services.
type TargetKind string

// The kinds of target.
const (
	Engine TargetKind = "engine"
	Plain  TargetKind = "service"
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
	// Fenced targets refuse orders with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
}

// PlatformList is the platform's lagging list.
type PlatformList struct {
	At      time.Time `json:"at"`
	Boxes   []Member  `json:"boxes"`
	Targets []Target  `json:"targets"`
}

// LoadReport is what an engine says of itself, some time ago.
type LoadReport struct {
	Name    string    `json:"name"`
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	// PrefillTokens are prompt tokens not computed yet, OutputTokens output not made yet,
	// over all running and queued streams.
	PrefillTokens int64 `json:"prefill_tokens"`
	OutputTokens  int64 `json:"output_tokens"`
	MaxBatch      int   `json:"max_batch"`
	CacheUsed     int64 `json:"cache_used"`
	CacheSize     int64 `json:"cache_size"`
	// PrefillRate is in tokens a second; StepTime is the time of one decode step.
	PrefillRate float64  `json:"prefill_rate"`
	StepTime    Duration `json:"step_time"`
	Leaving     bool     `json:"leaving,omitempty"`
	Models      []string `json:"models"`
	Version     string   `json:"version,omitempty"`
	Fence       int64    `json:"fence,omitempty"`
}

// CacheEvent tells that an engine holds, or no longer holds, a program's prefix.
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
	// CacheKey names the prefix: the program. Hold asks that it be kept after the answer.
	CacheKey string `json:"cache_key"`
	Hold     bool   `json:"hold,omitempty"`
	Class    string `json:"class,omitempty"`
}

// EngineEvent is one event of an engine's stream.
type EngineEvent struct {
	Attempt string `json:"attempt"`
	Seq     int    `json:"seq"`
	Text    string `json:"text,omitempty"`
	// End marks the last event; it carries Usage and Finish.
	End    bool   `json:"end,omitempty"`
	Finish string `json:"finish,omitempty"`
	Usage  Usage  `json:"usage,omitzero"`
}

// CacheOrder releases, holds, exports or imports a program's cache on an engine.
type CacheOrder struct {
	Op   string         `json:"op"`
	Keys []string       `json:"keys"`
	From netip.AddrPort `json:"from,omitzero"`
}

// EngineOrder changes what an engine serves.
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
	// First is the oldest offset still kept; Next is the offset the next append gets.
	First   int64      `json:"first"`
	Next    int64      `json:"next"`
	Entries []LogEntry `json:"entries"`
}

// LogAppend is the body of an append; LogOffset is its answer.
type LogAppend struct {
	Data []byte `json:"data"`
}

// LogOffset is where an append landed.
type LogOffset struct {
	Offset int64 `json:"offset"`
}
