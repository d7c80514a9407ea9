package mutant

import "slices"

// Mutant is one deliberate fault: in File, the only occurrence of Old is replaced by New.
type Mutant struct {
	Name string
	// Property is the property that the fault violates.
	Property string
	File     string
	Old, New string
	// FuzzPackage is the package, relative to gate, whose property tests must fail. If both FuzzPackage
	// and TestPackage are empty, those of ./desk or ./proof must.
	FuzzPackage string
	// TestPackage is the package, relative to gate, whose tests must fail. They run without a fixed seed.
	TestPackage string
}

// All returns all mutants.
func All() []Mutant {
	return slices.Concat(ownership(), budgets(), configuration(), slotsAndGrants(), accessAndTargets(), highLoad(), truncation(), crashes(), plannedStops())
}

// highLoad returns the mutants of failover, prefix-aware placement, retries and slow readers.
func highLoad() []Mutant {
	return []Mutant{
		{
			Name: "claim_after_recovery", Property: "an owner that answers again keeps its slot", File: "gate/shard/claim.go", TestPackage: "./shard",
			Old: "if ranked.Name != m.self.Name && !released && !m.mayTakeOver(number) {", New: "if ranked.Name == \"\" && !released && !m.mayTakeOver(number) {",
		},
		{
			Name: "search_without_confirmation", Property: "no turn is reported missing that another box holds", File: "gate/entry/find.go", TestPackage: "./...",
			Old: "if confirm {", New: "if false {",
		},
		{
			Name: "prefixes_fill_memory", Property: "assigned prefixes leave room for running calls", File: "gate/sched/prefix.go", TestPackage: "./sched",
			Old: "if assigned[i]+o.part.tokens > bound {", New: "if assigned[i] > 1<<40 {",
		},
		{
			Name: "retry_time_ignored", Property: "a program that returns on its reserved time goes before new ones", File: "gate/sched/retry.go", TestPackage: "./sched",
			Old: "return !r.due.IsZero() && !now.Before(r.due)", New: "return false",
		},
	}
}

// crashes returns the mutants of requests under which replicas crash.
func crashes() []Mutant {
	const bounded, fair = "a request crashes three replicas at most", "a request that crashes no replica is served"
	return []Mutant{
		{
			Name: "crashes_not_counted", Property: bounded, File: "gate/crash/tracker.go", TestPackage: "./crash",
			Old: "if rec == nil || !now.Before(rec.blockedUntil) {", New: "if true {",
		},
		{
			Name: "trials_side_by_side", Property: bounded, File: "gate/crash/trial.go", TestPackage: "./crash",
			Old: "	if t.trials[req] {\n", New: "	if false {\n",
		},
		{
			Name: "trials_of_all_boxes", Property: bounded, File: "gate/crash/trial.go", TestPackage: "./crash",
			Old: "held.box != box && now.Before(held.until)", New: "false",
		},
		{
			Name: "lingering_replica_lives", Property: bounded, File: "gate/crash/check.go", TestPackage: "./crash",
			Old: "if ended.broken || result == Silent {", New: "if result == Silent {",
		},
		{
			Name: "crashes_at_once_block", Property: fair, File: "gate/crash/block.go", TestPackage: "./crash",
			Old: "rec.failedTrials == 0 || ", New: "",
		},
		{
			Name: "crashes_elsewhere_ignored", Property: fair, File: "gate/crash/block.go", TestPackage: "./crash",
			Old: "if reason := t.otherCause(rec, down); reason != \"\" {", New: "if reason := t.otherCause(rec, down); false {",
		},
		{
			Name: "caller_before_boxes", Property: bounded, File: "gate/entry/entry.go", TestPackage: "../platform/whole",
			Old: "		e.crashes.Await(call.Request)\n", New: "",
		},
		{
			Name: "leaving_boxes_not_told", Property: bounded, File: "gate/view/view.go", TestPackage: "./view",
			Old: "!restarted && time.Since(peer.lastSeen) < leaveTimeout {", New: "!restarted && false {",
		},
		{
			Name: "joining_boxes_not_told", Property: bounded, File: "gate/load/crash.go", TestPackage: "./load",
			Old: "	if len(fresh) > 0 {\n", New: "	if false {\n",
		},
		{
			Name: "planned_stop_is_crash", Property: fair, File: "gate/crash/check.go", TestPackage: "./crash",
			Old: "case c.result == Refused && c.when != afterRemoval:", New: "case c.result == Refused:",
		},
		{
			Name: "broken_connection_is_crash", Property: fair, File: "gate/crash/check.go", TestPackage: "./crash",
			Old: "case c.result == Replaced:", New: "case c.result == Replaced, c.result == Alive:",
		},
		{
			Name: "answered_request_not_cleared", Property: fair, File: "gate/crash/tracker.go", TestPackage: "./crash",
			Old: "		t.clear(now, a.req)\n", New: "",
		},
		{
			Name: "workspaces_share_requests", Property: fair, File: "gate/work/fingerprint.go", TestPackage: "./work",
			Old: "[][]byte{[]byte(call.Workspace), ", New: "[][]byte{",
		},
	}
}

// truncation returns the mutants of answers that are cut off.
func truncation() []Mutant {
	const whole = "an answer that broke off does not look complete"
	return []Mutant{
		{
			Name: "cut_event_is_whole", Property: whole, File: "gate/work/events.go", TestPackage: "../platform/whole",
			Old: "if b.inEvent {", New: "if false {",
		},
		{
			Name: "stream_without_events_is_whole", Property: whole, File: "gate/work/events.go", TestPackage: "./work",
			Old: "if b.needsEvent {", New: "if false {",
		},
		{
			Name: "unframed_response_of_box_is_whole", Property: whole, File: "gate/dial/send.go", TestPackage: "./remote",
			Old: "if !r.Framed && !r.acceptUnframed {", New: "if false {",
		},
		{
			Name: "broken_answer_is_not_reset", Property: whole, File: "gate/spool/conn.go", TestPackage: "./spool",
			Old: "c.zeroLinger = c.inner.SetLinger(0) == nil", New: "c.zeroLinger = false",
		},
		{
			Name: "unframed_answer_is_framed", Property: whole, File: "platform/front/front.go", TestPackage: "../platform/whole",
			Old: "case head.Unframed || (head.Length < 0 && !a.chunks):", New: "case head.Length < 0 && !a.chunks:",
		},
		{
			Name: "short_page_ends_claim", Property: "a slot is claimed with all of its records", File: "gate/shard/claim.go", TestPackage: "./shard",
			Old: "if len(page.Records) == 0 && !page.Behind() {", New: "if len(page.Records) == 0 {",
		},
		{
			Name: "short_page_is_current", Property: "a revoked key is refused within the bound", File: "gate/feed/feed.go", TestPackage: "./feed",
			Old: "if !page.Behind() {", New: "if true {",
		},
	}
}

// accessAndTargets returns the mutants of access, quotas, replicas and what boxes learn about them.
func accessAndTargets() []Mutant {
	const platformTests = "../platform/whole"
	return []Mutant{
		{
			Name: "stale_key_runs", Property: "a revoked key is refused within the bound", File: "gate/access/access.go", TestPackage: "./access",
			Old: "if r.bounds.Revocation > 0 && r.older(known, call, r.bounds.Revocation) {", New: "if r.bounds.Revocation > 0 && r.older(known, call, 2*r.bounds.Revocation) {",
		},
		{
			Name: "unsure_no", Property: "a call that a newer configuration allows is not refused for good", File: "gate/access/access.go", TestPackage: "./access",
			Old: "if r.older(known, call, r.bounds.Apply) {", New: "if r.older(known, call, 10*r.bounds.Apply) {",
		},
		{
			Name: "waiting_read_proves", Property: "a revoked key is refused within the bound", File: "gate/feed/feed.go", TestPackage: "./feed",
			Old: "f.confirmedAt.Store(&requestedAt)", New: "now := time.Now()\n\tf.confirmedAt.Store(&now)",
		},
		{
			Name: "told_late_proves", Property: "a revoked key is refused within the bound", File: "gate/feed/feed.go", TestPackage: "./feed",
			Old: "f.onConfirmed(start.Add(-age))", New: "f.onConfirmed(start)",
		},
		{
			Name: "evacuated_zone_serves", Property: "an evacuated zone gets no calls", File: "gate/target/bound.go", TestPackage: "./target",
			Old: "if t.evacuated[s.Zone] || !t.bounds", New: "if !t.bounds",
		},
		{
			Name: "other_region_serves", Property: "calls stay in their allowed regions", File: "gate/target/bound.go", TestPackage: "./target",
			Old: "|| !t.bounds.Regions.Allow(ask.Regions, s.Zone) {", New: "{",
		},
		{
			Name: "cold_for_each_box", Property: "a cold replica gets few calls", File: "gate/sched/cold.go", TestPackage: "./sched",
			Old: "float64(sendersPerZone*max(zones, 1))", New: "float64(max(zones, 1))",
		},
		{
			Name: "stale_source_tells", Property: "shared state reaches every box in time", File: "gate/mirror/copy.go", TestPackage: "./mirror",
			Old: "if age > maxCopyAge {", New: "if age > time.Hour {",
		},
		{
			Name: "old_page_proves", Property: "a revoked key is refused within the bound", File: "gate/feed/feed.go", TestPackage: "./feed",
			Old: "f.newestVersion < f.version()", New: "f.newestVersion < 0",
		},
		{
			Name: "foreign_entry_keeps_replica", Property: "a replica whose entry is invalid gets no calls", File: "gate/feed/feed.go", TestPackage: "./feed",
			Old: "l.feed.targets.Remove(id)\n\tl.feed.rejectedEntries", New: "l.feed.rejectedEntries",
		},
		{
			Name: "reborn_replica_believed", Property: "a restarted replica starts without earlier state", File: "gate/target/target.go", TestPackage: "./target",
			Old: "case load.StartedAt.After(s.StartedAt):", New: "case load.StartedAt.After(s.StartedAt.Add(1 << 62)):",
		},
		{
			Name: "names_shared", Property: "workspaces are isolated from each other", File: "gate/work/space.go", TestPackage: platformTests,
			Old: "return prefix + workspaceSeparator + name", New: "return name",
		},
		{
			Name: "whole_quota_in_each_zone", Property: "no workspace exceeds its quota", File: "gate/quota/part.go", TestPackage: "./quota",
			Old: "n := float64(parts)\n\tmost", New: "n := min(1, float64(parts))\n\tmost",
		},
		{
			Name: "programs_not_planned", Property: "started programs can finish within the quota", File: "gate/quota/part.go", TestPackage: "./quota",
			Old: "p.plan.tokens -= p.callsPerProgram()", New: "p.plan.tokens--",
		},
	}
}

// slotsAndGrants returns the mutants of slots, and of the reservations and grants of the programs in them.
func slotsAndGrants() []Mutant {
	const shardTests = "./shard"
	return []Mutant{
		{
			Name: "read_begun_anew", Property: "every program has an owner", File: "gate/shard/read.go", TestPackage: shardTests,
			Old: "if fault.Is(err, fault.Protocol) {", New: "if err != nil {",
		},
		{
			Name: "reads_unbounded", Property: "every program has an owner", File: "gate/shard/read.go", TestPackage: shardTests,
			Old: "for q.running < q.limit && len(q.waiting) > 0 {", New: "for len(q.waiting) > 0 {",
		},
		{
			Name: "released_for_good", Property: "every program has an owner", File: "gate/shard/handover.go", TestPackage: shardTests,
			Old: "s.manager.startTakeBack(s, claimant)", New: "_ = claimant",
		},
		{
			Name: "claim_without_tail", Property: "history is never lost", File: "gate/shard/claim.go", TestPackage: shardTests,
			Old: "if err := c.readRest(); err != nil {", New: "if err := m.ctx.Err(); err != nil {",
		},
		{
			Name: "records_not_forwarded", Property: "a planned stop interrupts no call", File: "gate/shard/slot.go", TestPackage: shardTests,
			Old: "if !fault.Is(err, fault.NotOwner) {\n\t\treturn err\n\t}\n\treturn s.manager.forward", New: "if err != nil {\n\t\treturn err\n\t}\n\treturn s.manager.forward",
		},
		{
			Name: "lost_taken_for_written", Property: "history is never lost", File: "gate/shard/slot.go", TestPackage: shardTests,
			Old: "return s.manager.forward(ctx, s.number, p.records())", New: "return nil",
		},
		{
			Name: "shared_epochs", Property: "one writer per slot", File: "gate/shard/claim.go", TestPackage: shardTests,
			Old: "return count<<claimantBits | claimant", New: "return count<<claimantBits | claimant&1",
		},
		{
			Name: "open_turns_free", Property: "no program exceeds its budget", File: "gate/chain/chain.go", TestPackage: shardTests,
			Old: "sum += res.maxTokens", New: "sum += res.maxTokens - res.maxTokens",
		},
		{
			Name: "reservation_freed_early", Property: "no program exceeds its budget", File: "gate/chain/chain.go", TestPackage: shardTests,
			Old: "res.phase = phaseFinished", New: "res.phase = phaseFree",
		},
		{
			Name: "grant_budget_not_asked", Property: "no program exceeds its budget", File: "gate/chain/grant.go", TestPackage: shardTests,
			Old: "budget >= 0 && used+o.MaxTokens > budget", New: "budget >= 0 && used > budget",
		},
		{
			Name: "grant_spent_unconfirmed", Property: "no program exceeds its budget", File: "gate/chain/grant.go", TestPackage: "./chain",
			Old: "need <= g.confirmed", New: "need <= g.logged",
		},
		{
			Name: "grant_lost_with_owner", Property: "no program exceeds its budget", File: "gate/chain/grant.go", TestPackage: shardTests,
			Old: "confirmed: tokens, spent: tokens", New: "confirmed: tokens, spent: 0",
		},
		{
			Name: "broken_turn_not_counted", Property: "no program exceeds its budget", File: "gate/chain/grant.go", TestPackage: shardTests,
			Old: "prog.grant.spent += tokens", New: "prog.grant.spent += tokens / o.MaxTokens * o.MaxTokens",
		},
		{
			Name: "grant_settled_under_turns", Property: "no program exceeds its budget", File: "gate/chain/grant.go", TestPackage: shardTests,
			Old: "for id, maxTokens := range g.active {\n\t\trecs", New: "for id, maxTokens := range map[string]int{} {\n\t\trecs",
		},
		{
			Name: "sequence_skips", Property: "one writer per slot", File: "gate/shard/slot.go", TestPackage: shardTests,
			Old: "writer := work.Writer{Epoch: s.epoch, Number: s.appendNumber}", New: "writer := work.Writer{Epoch: s.epoch, Number: 2 * s.appendNumber}",
		},
	}
}

// ownership returns the mutants of owners, program histories and calls that run at most once.
func ownership() []Mutant {
	return []Mutant{
		{
			Name: "no_gap_check", Property: "one writer per slot", File: "gate/slots/write.go",
			Old: "if containsClaim(m.result.gap) {", New: "if false && containsClaim(m.result.gap) {",
		},
		{
			Name: "no_epoch_check", Property: "one writer per slot", File: "gate/fold/fold.go",
			Old: "if e.Epoch < s.Epoch {", New: "if false {",
		},
		{
			Name: "dispatch_before_intent", Property: "keyed calls run at most once", File: "gate/plain/plain.go",
			Old: "<-ticket.Done()\n\tif err := ticket.Wait(context.Background()); err != nil {",
			New: "if err := ticket.Wait(context.Background()); false && err != nil {",
		},
		{
			Name: "dispatch_for_nobody", Property: "a call reported as not run has not run", File: "gate/plain/flight.go",
			Old: "r.dispatched = r.callers > 0", New: "r.dispatched = true",
		},
		{
			Name: "run_unknown_again", Property: "keyed calls run at most once", File: "gate/desk/call.go",
			Old: "return CallStart{Unknown: &key.Intent}, true, nil", New: "return CallStart{}, false, nil",
		},
		{
			Name: "any_turn", Property: "turns of a program run in order", File: "gate/desk/turn.go",
			Old: "if req.Turn != lastTurn+1 {", New: "if req.Turn <= lastTurn {",
		},
		{
			Name: "no_tail", Property: "history is never lost", File: "gate/desk/adopt.go",
			Old: "cont.Tail = append(cont.Tail, prog.Turns[logged:turn]...)", New: "_ = logged",
		},
		{
			Name: "trust_foreign_token", Property: "histories of programs are never mixed", File: "gate/prog/token.go",
			Old: "if cont.Workspace != workspace || cont.Program != program {", New: "if false {",
		},
		{
			Name: "no_newer_owner", Property: "history is never lost", File: "gate/desk/adopt.go",
			Old: "if cont.Epoch > s.State.Epoch {", New: "if false {",
		},
		{
			Name: "no_snapshots", Property: "history survives the retention of the log", File: "gate/slots/owner.go",
			Old: "if retention := o.svc.timing.Retention; retention > 0 && o.state.LogAvailable {", New: "if retention := o.svc.timing.Retention; false && retention > 0 {",
		},
		{
			Name: "no_sweep", Property: "memory of ended programs is released", File: "gate/prog/prog.go",
			Old: "return owned && !live[id]", New: "return false && owned && !live[id]",
		},
		{
			Name: "release_over_running_calls", Property: "a planned stop interrupts no call", File: "gate/slots/owner.go",
			Old: "if o.releasing != nil && m.mode < desk.Finish {", New: "if o.releasing != nil {",
		},
		{
			Name: "answer_end_before_log", Property: "memory of ended programs is released", File: "gate/prog/begin.go",
			Old: "if err := ticket.Wait(ctx); err != nil {", New: "if err := ctx.Err(); err != nil && ticket != nil {",
		},
	}
}

// budgets returns the mutants of token budgets and grants.
func budgets() []Mutant {
	return []Mutant{
		{
			Name: "no_escrow_at_claim", Property: "no program exceeds its budget", File: "gate/fold/fold.go",
			Old: "tree.Spent = tree.Granted\n\t}\n}", New: "_ = tree\n\t}\n}",
		},
		{
			Name: "spend_unconfirmed_grants", Property: "no program exceeds its budget", File: "gate/desk/purse.go",
			Old: "return ok && tree.Spent+s.reserved[root] <= s.confirmed[root]", New: "return ok && tree != nil",
		},
		{
			Name: "no_reservation", Property: "no program exceeds its budget", File: "gate/desk/purse.go",
			Old: "s.reserved[tree.Root] += need", New: "s.reserved[tree.Root] += 0",
		},
		{
			Name: "free_broken_attempts", Property: "no program exceeds its budget", File: "gate/desk/turn.go",
			Old: "s.settle(prog.Begin.Root, need, min(spent, need))", New: "s.settle(prog.Begin.Root, need, 0)",
		},
		{
			Name: "adopted_grant_unspent", Property: "no program exceeds its budget", File: "gate/desk/adopt.go",
			Old: "Granted: b.Grant, Spent: b.Grant}", New: "Granted: b.Grant}",
		},
	}
}

// configuration returns the mutants of configuration revisions.
func configuration() []Mutant {
	return []Mutant{
		{
			Name: "take_older_carry", Property: "configuration never reverts to an older revision", File: "base/revs/fold.go",
			Old: "if rev.Number <= currentNumber {\n\t\treturn AlreadyKnown", New: "if rev.Number == currentNumber {\n\t\treturn AlreadyKnown",
		},
		{
			Name: "no_compare_and_set", Property: "exactly one of concurrent publishers succeeds", File: "base/revs/fold.go",
			Old: "if rev.Base != currentNumber || rev.Number != currentNumber+1 {", New: "if rev.Base > currentNumber {",
		},
		{
			Name: "no_carry", Property: "configuration survives the retention of the log", File: "gate/policy/policy.go",
			Old: "if rev == nil || s.timing.Retention == 0 || age < s.timing.Retention/copyAgeDivisor {", New: "if s.timing.Retention > 0 {",
		},
	}
}

// plannedStops returns the mutants of the planned stop of a box.
func plannedStops() []Mutant {
	const property = "what a stop takes in, it can finish, or it refuses at once"
	return []Mutant{
		{
			Name: "late_calls_taken", Property: property, File: "gate/drain/sched.go", TestPackage: "./drain",
			Old: "if until <= s.Cut {", New: "if true {",
		},
		{
			Name: "waiting_calls_sent_late", Property: property, File: "gate/node/stop.go", TestPackage: "./node",
			Old: "s.drain.Check(call.Deadline); err != nil {", New: "s.drain.Check(call.Deadline); false {",
		},
		{
			Name: "cut_calls_unanswered", Property: property, File: "gate/drain/state.go", TestPackage: "./drain",
			Old: "limited.Err() == nil || !fault.Is(err, fault.CallerGone) {", New: "limited.Err() == nil || err != nil {",
		},
	}
}
