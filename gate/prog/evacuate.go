package prog

import (
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/lease"
)

// evacuate moves the caches of live programs off engines that leave, to engines where
// the policy allows them.
func (p *Prog) evacuate() {
	leaving := p.queue.Leaving()
	if len(leaving) == 0 {
		return
	}
	holders := p.queue.Holders()
	for _, name := range leaving {
		from, ok := p.engines.Target(name)
		if !ok {
			continue
		}
		for _, id := range holders[name] {
			p.move(id, from)
		}
	}
}

func (p *Prog) move(id string, from types.Target) {
	begin, ok := p.live(id)
	if !ok {
		return
	}
	to, ok := p.queue.EvacuationTarget(lease.Request{Input: input(begin), Program: id})
	if !ok {
		return
	}
	p.engines.Move(id, from, to)
}

// live finds a program that this box owns and that goes on.
func (p *Prog) live(id string) (types.Begin, bool) {
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return types.Begin{}, false
	}
	if _, mine := p.owner.Owned()[slot]; !mine {
		return types.Begin{}, false
	}
	var begin types.Begin
	found := false
	_, err = p.owner.Do(p.ctx, slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		if prog, ok := d.State.Programs[id]; ok && prog.Ended == "" {
			begin, found = prog.Begin, true
		}
		return nil, nil
	})
	return begin, found && err == nil
}

// ReleaseDisallowedCaches releases caches on engines where the policy in force no longer allows them.
// A turn that runs there is let finish; the next one goes elsewhere.
func (p *Prog) ReleaseDisallowedCaches() {
	for name, ids := range p.queue.Holders() {
		target, ok := p.engines.Target(name)
		if !ok {
			continue
		}
		for _, id := range ids {
			begin, ok := p.live(id)
			if !ok || p.mayCache(begin, target) {
				continue
			}
			p.engines.Drop(id, name)
		}
	}
}

func (p *Prog) mayCache(begin types.Begin, target types.Target) bool {
	in := input(begin)
	in.Zone, in.Target, in.Use = target.Zone, target.Name, "cache"
	return p.policies.Allowed(in)
}
