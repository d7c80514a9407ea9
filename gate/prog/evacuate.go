package prog

import (
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/lease"
)

// evacuate moves the caches of live programs from leaving engines to engines where the
// policy allows them.
func (p *Prog) evacuate() {
	leaving := p.queue.LeavingEngines()
	if len(leaving) == 0 {
		return
	}
	holders := p.queue.CachedPrograms()
	for _, name := range leaving {
		source, ok := p.engines.Target(name)
		if !ok {
			continue
		}
		for _, id := range holders[name] {
			p.moveCache(id, source)
		}
	}
}

func (p *Prog) moveCache(id string, source types.Target) {
	begin, ok := p.liveProgram(id)
	if !ok {
		return
	}
	destination, ok := p.queue.EvacuationTarget(lease.Request{Input: ruleInput(begin), Program: id})
	if !ok {
		return
	}
	p.engines.Move(id, source, destination)
}

// liveProgram returns a program if this box owns it and it has not ended.
func (p *Prog) liveProgram(id string) (types.Begin, bool) {
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return types.Begin{}, false
	}
	if _, owned := p.owner.Owned()[slot]; !owned {
		return types.Begin{}, false
	}
	var begin types.Begin
	found := false
	_, err = p.owner.Do(p.ctx, slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		if prog, ok := s.State.Programs[id]; ok && prog.Ended == "" {
			begin, found = prog.Begin, true
		}
		return nil, nil
	})
	return begin, found && err == nil
}

// ReleaseDisallowedCaches releases caches on engines where the current policy no longer
// allows them. It does not interrupt running turns.
func (p *Prog) ReleaseDisallowedCaches() {
	for name, ids := range p.queue.CachedPrograms() {
		target, ok := p.engines.Target(name)
		if !ok {
			continue
		}
		for _, id := range ids {
			begin, ok := p.liveProgram(id)
			if !ok || p.mayCache(begin, target) {
				continue
			}
			p.engines.Drop(id, name)
		}
	}
}

func (p *Prog) mayCache(begin types.Begin, target types.Target) bool {
	in := ruleInput(begin)
	in.Zone, in.Target, in.Use = target.Zone, target.Name, "cache"
	return p.policies.Allowed(in)
}
