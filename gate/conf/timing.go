package conf

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/sched"
)

// Member holds the intervals of membership.
type Member struct {
	Beat    types.Duration `json:"beat"`
	Suspect types.Duration `json:"suspect"`
	List    types.Duration `json:"list"`
	// Fanout bounds the boxes of the own zone, and of others, that get heartbeats.
	Fanout int `json:"fanout"`
}

func memberDefaults() Member {
	return Member{
		Beat: types.Duration(300 * time.Millisecond), Suspect: types.Duration(1200 * time.Millisecond),
		List: types.Duration(500 * time.Millisecond), Fanout: 16,
	}
}

func (m Member) check(rep *report) {
	rep.need(m.Beat > 0, "member.beat", "not positive")
	rep.need(m.Suspect >= 3*m.Beat, "member.suspect", "less than three beats")
	rep.need(m.List > 0, "member.list", "not positive")
	rep.need(m.Fanout > 0, "member.fanout", "not positive")
}

// Slots holds the intervals of ownership.
type Slots struct {
	Tick       types.Duration `json:"tick"`
	FlushAfter types.Duration `json:"flush_after"`
	AdoptAfter types.Duration `json:"adopt_after"`
	MaxQueued  int            `json:"max_queued"`
}

func slotsDefaults() Slots {
	return Slots{
		Tick: types.Duration(200 * time.Millisecond), FlushAfter: types.Duration(10 * time.Millisecond),
		AdoptAfter: types.Duration(10 * time.Second), MaxQueued: 10_000,
	}
}

func (s Slots) check(rep *report) {
	rep.need(s.Tick > 0, "slots.tick", "not positive")
	rep.need(s.FlushAfter > 0, "slots.flush_after", "not positive")
	rep.need(s.AdoptAfter > 0, "slots.adopt_after", "not positive")
	rep.need(s.MaxQueued > 0, "slots.max_queued", "not positive")
}

// Engines holds the intervals of polling engines.
type Engines struct {
	// Poll is the interval for engines that the box has calls at, IdlePoll for others.
	Poll     types.Duration `json:"poll"`
	IdlePoll types.Duration `json:"idle_poll"`
	Sync     types.Duration `json:"sync"`
	// Subset bounds the engines of the own zone, and of others, that the box looks at.
	Subset int `json:"subset"`
}

func enginesDefaults() Engines {
	return Engines{Poll: types.Duration(100 * time.Millisecond), IdlePoll: types.Duration(400 * time.Millisecond), Sync: types.Duration(5 * time.Second), Subset: 32}
}

func (e Engines) check(rep *report) {
	rep.need(e.Poll > 0, "engines.poll", "not positive")
	rep.need(e.IdlePoll >= e.Poll, "engines.idle_poll", "shorter than engines.poll")
	rep.need(e.Sync > 0, "engines.sync", "not positive")
	rep.need(e.Subset > 0, "engines.subset", "not positive")
}

// Admit holds the choices of the queue.
type Admit struct {
	Strategy sched.Strategy `json:"strategy"`
	Order    sched.Order    `json:"order"`
	MaxWait  types.Duration `json:"max_wait"`
	Starve   types.Duration `json:"starve"`
	Holds    bool           `json:"holds"`
}

func admitDefaults() Admit {
	return Admit{
		Strategy: sched.Scored, Order: sched.Age, MaxWait: types.Duration(2 * time.Second),
		Starve: types.Duration(5 * time.Second), Holds: true,
	}
}

func (a Admit) check(rep *report) {
	known := false
	for _, s := range sched.Strategies() {
		known = known || s == a.Strategy
	}
	rep.need(known, "admit.strategy", "not one of scored, random, least, sticky")
	order := a.Order == sched.Age || a.Order == sched.Attained || a.Order == sched.Fifo
	rep.need(order, "admit.order", "not one of age, attained, fifo")
	rep.need(a.MaxWait > 0, "admit.max_wait", "not positive")
	rep.need(a.Starve > 0, "admit.starve", "not positive")
}

// Limits bound what the box takes.
type Limits struct {
	BodyBytes int64 `json:"body_bytes"`
	// BodyTimeout bounds how long a caller may take to send its body.
	BodyTimeout types.Duration `json:"body_timeout"`
	TrailSteps  int            `json:"trail_steps"`
	// StopWait bounds a planned stop; OwnerWait bounds the search for a slot's owner.
	StopWait  types.Duration `json:"stop_wait"`
	OwnerWait types.Duration `json:"owner_wait"`
}

func limitsDefaults() Limits {
	return Limits{
		BodyBytes: 8 << 20, BodyTimeout: types.Duration(15 * time.Second), TrailSteps: 8192,
		StopWait: types.Duration(2 * time.Minute), OwnerWait: types.Duration(10 * time.Second),
	}
}

func (l Limits) check(rep *report) {
	rep.need(l.BodyBytes > 0, "limits.body_bytes", "not positive")
	rep.need(l.BodyTimeout > 0, "limits.body_timeout", "not positive")
	rep.need(l.TrailSteps > 0, "limits.trail_steps", "not positive")
	rep.need(l.StopWait > 0, "limits.stop_wait", "not positive")
	rep.need(l.OwnerWait > 0, "limits.owner_wait", "not positive")
}
