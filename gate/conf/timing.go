package conf

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/sched"
)

// Member holds the settings of membership.
type Member struct {
	// HeartbeatInterval is the interval between heartbeats to other boxes.
	HeartbeatInterval types.Duration `json:"beat"`
	// SuspectTimeout is how long a box may be silent before it no longer counts as live. It must
	// be at least three times HeartbeatInterval.
	SuspectTimeout types.Duration `json:"suspect"`
	// ListInterval is the interval between reads of the platform's list.
	ListInterval types.Duration `json:"list"`
	// Fanout is the maximum number of boxes in this box's zone that it sends heartbeats to,
	// and also the maximum for the boxes of all other zones together.
	Fanout int `json:"fanout"`
}

func memberDefaults() Member {
	return Member{
		HeartbeatInterval: types.Duration(300 * time.Millisecond), SuspectTimeout: types.Duration(1200 * time.Millisecond),
		ListInterval: types.Duration(500 * time.Millisecond), Fanout: 16,
	}
}

func (m Member) check(rep *report) {
	rep.require(m.HeartbeatInterval > 0, "member.beat", "not positive")
	rep.require(m.SuspectTimeout >= 3*m.HeartbeatInterval, "member.suspect", "less than three times member.beat")
	rep.require(m.ListInterval > 0, "member.list", "not positive")
	rep.require(m.Fanout > 0, "member.fanout", "not positive")
}

// Slots holds the settings of slot ownership.
type Slots struct {
	// CheckInterval is the interval between checks of which slots this box should own.
	CheckInterval types.Duration `json:"tick"`
	// FlushDelay is how long a record that no caller waits for may be delayed for batching.
	FlushDelay types.Duration `json:"flush_after"`
	// AdoptionDelay is how long a zone must be without boxes before other zones take over its slots.
	AdoptionDelay types.Duration `json:"adopt_after"`
	// MaxQueuedRecords is the maximum number of records that wait to be written to a slot's stream.
	MaxQueuedRecords int `json:"max_queued"`
}

func slotsDefaults() Slots {
	return Slots{
		CheckInterval: types.Duration(200 * time.Millisecond), FlushDelay: types.Duration(10 * time.Millisecond),
		AdoptionDelay: types.Duration(10 * time.Second), MaxQueuedRecords: 10_000,
	}
}

func (s Slots) check(rep *report) {
	rep.require(s.CheckInterval > 0, "slots.tick", "not positive")
	rep.require(s.FlushDelay > 0, "slots.flush_after", "not positive")
	rep.require(s.AdoptionDelay > 0, "slots.adopt_after", "not positive")
	rep.require(s.MaxQueuedRecords > 0, "slots.max_queued", "not positive")
}

// Engines holds the settings for polling engines.
type Engines struct {
	// PollInterval is the interval between polls of an engine that has calls of this box in
	// flight, IdlePollInterval that of other engines.
	PollInterval     types.Duration `json:"poll"`
	IdlePollInterval types.Duration `json:"idle_poll"`
	// SyncInterval is the interval between reads of an engine's whole cache list.
	SyncInterval types.Duration `json:"sync"`
	// SubsetSize is the maximum number of engines in this box's zone that the box uses, and also
	// the maximum for the engines of all other zones together.
	SubsetSize int `json:"subset"`
}

func enginesDefaults() Engines {
	return Engines{PollInterval: types.Duration(100 * time.Millisecond), IdlePollInterval: types.Duration(400 * time.Millisecond), SyncInterval: types.Duration(5 * time.Second), SubsetSize: 32}
}

func (e Engines) check(rep *report) {
	rep.require(e.PollInterval > 0, "engines.poll", "not positive")
	rep.require(e.IdlePollInterval >= e.PollInterval, "engines.idle_poll", "shorter than engines.poll")
	rep.require(e.SyncInterval > 0, "engines.sync", "not positive")
	rep.require(e.SubsetSize > 0, "engines.subset", "not positive")
}

// Admit holds the settings of the queue of waiting calls.
type Admit struct {
	// Strategy is how an engine is selected for a call.
	Strategy sched.Strategy `json:"strategy"`
	// Order is how waiting calls of equal priority are ordered.
	Order sched.Order `json:"order"`
	// MaxWait is the longest expected wait at which a new program is still accepted.
	MaxWait types.Duration `json:"max_wait"`
	// StarvationAge is the wait after which a call goes ahead of all calls with a shorter wait.
	StarvationAge types.Duration `json:"starve"`
	// HoldCaches enables keeping a program's cache during its pauses.
	HoldCaches bool `json:"holds"`
}

func admitDefaults() Admit {
	return Admit{
		Strategy: sched.Scored, Order: sched.OldestProgram, MaxWait: types.Duration(2 * time.Second),
		StarvationAge: types.Duration(5 * time.Second), HoldCaches: true,
	}
}

func (a Admit) check(rep *report) {
	validStrategy := false
	for _, s := range sched.Strategies() {
		validStrategy = validStrategy || s == a.Strategy
	}
	rep.require(validStrategy, "admit.strategy", "not one of scored, random, least, sticky")
	validOrder := a.Order == sched.OldestProgram || a.Order == sched.Attained || a.Order == sched.Fifo
	rep.require(validOrder, "admit.order", "not one of age, attained, fifo")
	rep.require(a.MaxWait > 0, "admit.max_wait", "not positive")
	rep.require(a.StarvationAge > 0, "admit.starve", "not positive")
}

// Limits bounds the sizes and durations of requests and of a stop.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"body_bytes"`
	// BodyTimeout is how long a caller may take to send a request body.
	BodyTimeout types.Duration `json:"body_timeout"`
	// MaxTraceEvents is the number of recent scheduling events that are kept for operators.
	MaxTraceEvents int `json:"trail_steps"`
	// StopTimeout bounds a graceful stop, OwnerTimeout the attempts to reach a slot's owner.
	StopTimeout  types.Duration `json:"stop_wait"`
	OwnerTimeout types.Duration `json:"owner_wait"`
}

func limitsDefaults() Limits {
	return Limits{
		MaxBodyBytes: 8 << 20, BodyTimeout: types.Duration(15 * time.Second), MaxTraceEvents: 8192,
		StopTimeout: types.Duration(2 * time.Minute), OwnerTimeout: types.Duration(10 * time.Second),
	}
}

func (l Limits) check(rep *report) {
	rep.require(l.MaxBodyBytes > 0, "limits.body_bytes", "not positive")
	rep.require(l.BodyTimeout > 0, "limits.body_timeout", "not positive")
	rep.require(l.MaxTraceEvents > 0, "limits.trail_steps", "not positive")
	rep.require(l.StopTimeout > 0, "limits.stop_wait", "not positive")
	rep.require(l.OwnerTimeout > 0, "limits.owner_wait", "not positive")
}
