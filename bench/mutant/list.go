package mutant

import "slices"

// Mutant is one break: in File, Old becomes New.
type Mutant struct {
	Name string
	// Promise is what the break puts at risk.
	Promise  string
	File     string
	Old, New string
	// Fuzz is the package whose tests look for the break; empty for the fuzzes of one owner's
	// memory and of the fleet.
	Fuzz string
	// Tests is the package whose tests without draws look for the break, in place of a fuzz.
	Tests string
}

// All lists the mutants.
func All() []Mutant {
	return slices.Concat(ownership(), money(), configuration(), slots(), callers())
}

// callers are breaks of who may call, and how much.
func callers() []Mutant {
	const whole = "../platform/whole"
	return []Mutant{
		{
			Name: "stale_key_runs", Promise: "keys that were taken away are refused in time", File: "gate/access/access.go", Tests: "./access",
			Old: "if r.bounds.Revocation > 0 && r.older(known, call, r.bounds.Revocation) {", New: "if r.bounds.Revocation > 0 && r.older(known, call, 2*r.bounds.Revocation) {",
		},
		{
			Name: "unsure_no", Promise: "what a newer configuration allows is not refused for good", File: "gate/access/access.go", Tests: "./access",
			Old: "if r.older(known, call, r.bounds.Apply) {", New: "if r.older(known, call, 10*r.bounds.Apply) {",
		},
		{
			Name: "waiting_read_proves", Promise: "keys that were taken away are refused in time", File: "gate/feed/feed.go", Tests: "./feed",
			Old: "f.proven.Store(&asked)", New: "now := time.Now()\n\tf.proven.Store(&now)",
		},
		{
			Name: "told_late_proves", Promise: "keys that were taken away are refused in time", File: "gate/feed/feed.go", Tests: "./feed",
			Old: "t.current(start.Add(-age))", New: "t.current(start)",
		},
		{
			Name: "evacuated_zone_serves", Promise: "an evacuated zone gets nothing", File: "gate/target/bound.go", Tests: "./target",
			Old: "if t.evacuated[s.Zone] || !t.bounds", New: "if !t.bounds",
		},
		{
			Name: "other_region_serves", Promise: "calls stay in their regions", File: "gate/target/bound.go", Tests: "./target",
			Old: "|| !t.bounds.Regions.Allow(ask.Regions, s.Zone) {", New: "{",
		},
		{
			Name: "cold_for_each_box", Promise: "a cold replica gets few calls", File: "gate/sched/cold.go", Tests: "./sched",
			Old: "float64(doubt*max(zones, 1))", New: "float64(max(zones, 1))",
		},
		{
			Name: "stale_source_tells", Promise: "what all must know is known in time", File: "gate/mirror/copy.go", Tests: "./mirror",
			Old: "if age > staleAfter {", New: "if age > time.Hour {",
		},
		{
			Name: "old_page_proves", Promise: "keys that were taken away are refused in time", File: "gate/feed/feed.go", Tests: "./feed",
			Old: "f.newest < f.version()", New: "f.newest < 0",
		},
		{
			Name: "foreign_entry_keeps_replica", Promise: "entries of other writers name no replica", File: "gate/feed/feed.go", Tests: "./feed",
			Old: "l.feed.targets.Drop(id)\n\tl.feed.foreign", New: "l.feed.foreign",
		},
		{
			Name: "reborn_replica_believed", Promise: "nothing believed of a replica outlives its start", File: "gate/target/target.go", Tests: "./target",
			Old: "case load.Born.After(s.Born):", New: "case load.Born.After(s.Born.Add(1 << 62)):",
		},
		{
			Name: "names_shared", Promise: "everything that a workspace has is its own", File: "gate/work/space.go", Tests: whole,
			Old: "return owner + ownerMark + name", New: "return name",
		},
		{
			Name: "whole_quota_in_each_zone", Promise: "no workspace calls more than its quota", File: "gate/quota/part.go", Tests: "./quota",
			Old: "n := float64(parts)\n\tmost", New: "n := min(1, float64(parts))\n\tmost",
		},
		{
			Name: "programs_not_planned", Promise: "programs that have begun end", File: "gate/quota/part.go", Tests: "./quota",
			Old: "p.plan.left -= p.need()", New: "p.plan.left--",
		},
	}
}

// slots are breaks of the services that run on the users' platform.
func slots() []Mutant {
	const fuzz = "./shard"
	return []Mutant{
		{
			Name: "claim_bounded_in_all", Promise: "each program has an owner", File: "gate/shard/claim.go", Tests: fuzz,
			Old: "next, err := work.AllNewest(s.ctx, s.log, shard, callTimeout, load.take)",
			New: "whole, end := context.WithTimeout(s.ctx, callTimeout+handoverWait)\n\tdefer end()\n\tnext, err := work.AllNewest(whole, s.log, shard, callTimeout, load.take)",
		},
		{
			Name: "claim_without_tail", Promise: "history is never lost", File: "gate/shard/claim.go", Tests: fuzz,
			Old: "if err := s.catchUp(ctx, shard, next, load); err != nil {", New: "if err := ctx.Err(); err != nil || next < 0 {",
		},
		{
			Name: "records_not_forwarded", Promise: "a planned stop cuts nothing", File: "gate/shard/slot.go", Tests: fuzz,
			Old: "if !fault.Is(err, fault.NotOwner) {\n\t\treturn err\n\t}\n\treturn s.shards.forward", New: "if err != nil {\n\t\treturn err\n\t}\n\treturn s.shards.forward",
		},
		{
			Name: "lost_taken_for_written", Promise: "history is never lost", File: "gate/shard/slot.go", Tests: fuzz,
			Old: "return s.shards.forward(ctx, s.number, p.batch.recs)", New: "return nil",
		},
		{
			Name: "shared_epochs", Promise: "one writer per slot", File: "gate/shard/claim.go", Tests: fuzz,
			Old: "return count<<markBits | mark", New: "return count<<markBits | mark&1",
		},
		{
			Name: "open_turns_free", Promise: "never beyond the budget", File: "gate/chain/chain.go", Tests: fuzz,
			Old: "sum += res.most", New: "sum += res.most - res.most",
		},
		{
			Name: "reservation_freed_early", Promise: "never beyond the budget", File: "gate/chain/chain.go", Tests: fuzz,
			Old: "res.phase = ended", New: "res.phase = free",
		},
		{
			Name: "grant_budget_not_asked", Promise: "never beyond the budget", File: "gate/chain/grant.go", Tests: fuzz,
			Old: "budget >= 0 && used+o.Most > budget", New: "budget >= 0 && used > budget",
		},
		{
			Name: "grant_spent_unconfirmed", Promise: "never beyond the budget", File: "gate/chain/grant.go", Tests: "./chain",
			Old: "need <= g.confirmed", New: "need <= g.logged",
		},
		{
			Name: "grant_lost_with_owner", Promise: "never beyond the budget", File: "gate/chain/grant.go", Tests: fuzz,
			Old: "confirmed: tokens, spent: tokens", New: "confirmed: tokens, spent: 0",
		},
		{
			Name: "broken_turn_not_counted", Promise: "never beyond the budget", File: "gate/chain/grant.go", Tests: fuzz,
			Old: "prog.grant.spent += tokens", New: "prog.grant.spent += tokens / o.Most * o.Most",
		},
		{
			Name: "grant_settled_under_turns", Promise: "never beyond the budget", File: "gate/chain/grant.go", Tests: fuzz,
			Old: "for id, most := range g.drawn {\n\t\trecs", New: "for id, most := range map[string]int{} {\n\t\trecs",
		},
		{
			Name: "sequence_skips", Promise: "one writer per slot", File: "gate/shard/slot.go", Tests: fuzz,
			Old: "writer := work.Writer{Epoch: s.epoch, Number: s.sent}", New: "writer := work.Writer{Epoch: s.epoch, Number: 2 * s.sent}",
		},
	}
}

func ownership() []Mutant {
	return []Mutant{
		{
			Name: "no_gap_check", Promise: "one writer per slot", File: "gate/slots/write.go",
			Old: "if foreign(m.sent.gap) {", New: "if false && foreign(m.sent.gap) {",
		},
		{
			Name: "no_epoch_check", Promise: "one writer per slot", File: "gate/fold/fold.go",
			Old: "if e.Epoch < s.Epoch {", New: "if false {",
		},
		{
			Name: "dispatch_before_intent", Promise: "at most once", File: "gate/plain/plain.go",
			Old: "<-ticket.Done()\n\tif err := ticket.Wait(context.Background()); err != nil {",
			New: "if err := ticket.Wait(context.Background()); false && err != nil {",
		},
		{
			Name: "dispatch_for_nobody", Promise: "not run is true", File: "gate/plain/flight.go",
			Old: "f.dispatched = f.callers > 0", New: "f.dispatched = true",
		},
		{
			Name: "run_unknown_again", Promise: "at most once", File: "gate/desk/call.go",
			Old: "return CallStart{Unknown: &key.Intent}, true, nil", New: "return CallStart{}, false, nil",
		},
		{
			Name: "any_turn", Promise: "calls run in order", File: "gate/desk/turn.go",
			Old: "if ask.Turn != head+1 {", New: "if ask.Turn <= head {",
		},
		{
			Name: "no_tail", Promise: "history is never lost", File: "gate/desk/adopt.go",
			Old: "cont.Tail = append(cont.Tail, prog.Turns[logged:turn]...)", New: "_ = logged",
		},
		{
			Name: "trust_foreign_token", Promise: "history is never mixed", File: "gate/prog/token.go",
			Old: "if cont.Workspace != workspace || cont.Program != program {", New: "if false {",
		},
		{
			Name: "no_newer_owner", Promise: "history is never lost", File: "gate/desk/adopt.go",
			Old: "if cont.Epoch > d.State.Epoch {", New: "if false {",
		},
		{
			Name: "no_snapshots", Promise: "history outlives retention", File: "gate/slots/owner.go",
			Old: "if keep := o.svc.timing.Retention; keep > 0 && o.desk.LogUp {", New: "if keep := o.svc.timing.Retention; false && keep > 0 {",
		},
		{
			Name: "no_sweep", Promise: "no memory is held", File: "gate/prog/prog.go",
			Old: "return mine && !live[id]", New: "return false && mine && !live[id]",
		},
		{
			Name: "release_over_running_calls", Promise: "a planned stop cuts nothing", File: "gate/slots/owner.go",
			Old: "if o.releasing != nil && m.mode < desk.Finish {", New: "if o.releasing != nil {",
		},
		{
			Name: "answer_end_before_log", Promise: "no memory is held", File: "gate/prog/begin.go",
			Old: "if err := ticket.Wait(ctx); err != nil {", New: "if err := ctx.Err(); err != nil && ticket != nil {",
		},
	}
}

func money() []Mutant {
	return []Mutant{
		{
			Name: "no_escrow_at_claim", Promise: "never beyond budget", File: "gate/fold/fold.go",
			Old: "purse.Spent = purse.Granted\n\t}\n}", New: "_ = purse\n\t}\n}",
		},
		{
			Name: "spend_unconfirmed_grants", Promise: "never beyond budget", File: "gate/desk/purse.go",
			Old: "return ok && purse.Spent+d.reserved[root] <= d.confirmed[root]", New: "return ok && purse != nil",
		},
		{
			Name: "no_reservation", Promise: "never beyond budget", File: "gate/desk/purse.go",
			Old: "d.reserved[purse.Root] += need", New: "d.reserved[purse.Root] += 0",
		},
		{
			Name: "free_broken_attempts", Promise: "never beyond budget", File: "gate/desk/turn.go",
			Old: "d.settle(prog.Begin.Root, need, min(spent, need))", New: "d.settle(prog.Begin.Root, need, 0)",
		},
		{
			Name: "adopted_grant_unspent", Promise: "never beyond budget", File: "gate/desk/adopt.go",
			Old: "Granted: b.Grant, Spent: b.Grant}", New: "Granted: b.Grant}",
		},
	}
}

func configuration() []Mutant {
	return []Mutant{
		{
			Name: "take_older_carry", Promise: "configuration never reverts", File: "base/revs/fold.go",
			Old: "if rev.Number <= have {\n\t\treturn Known", New: "if rev.Number == have {\n\t\treturn Known",
		},
		{
			Name: "no_compare_and_set", Promise: "one publisher wins", File: "base/revs/fold.go",
			Old: "if rev.Base != have || rev.Number != have+1 {", New: "if rev.Base > have {",
		},
		{
			Name: "no_carry", Promise: "configuration outlives retention", File: "gate/policy/policy.go",
			Old: "if rev == nil || s.timing.Retention == 0 || age < s.timing.Retention/carryDiv {", New: "if s.timing.Retention > 0 {",
		},
	}
}
