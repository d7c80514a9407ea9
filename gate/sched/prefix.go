package sched

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// Prefixes assigns the shared prompt prefixes of a service to preferred replicas. It answers the load
// in which more prefixes are in use than fit into one replica's memory beside the running calls: boxes
// that know only their own calls then fill every replica with every prefix, and the prefixes evict each
// other. The order of replicas for a prefix is a rendezvous ranking, which boxes share without messages;
// only the number of preferred replicas depends on demand. All times that are passed in must not go back.
type Prefixes struct {
	// parts holds the parts in recent use, shared or not, by ID.
	parts map[string]*prefixPart
	// calls is this box's rate of calls.
	calls decayingRate
	// peers holds the newest demand heard from each other box.
	peers map[string]peerDemand
	// speeds holds the smoothed speed of the replicas by ID.
	speeds map[string]*replicaSpeed
	// active is set while the shared parts in use exceed activationShare of a replica's memory.
	active bool
	// mayActivate is set while the shared parts and the first parts that may turn out to be shared exceed
	// that. Demand is exchanged then, since the boxes together learn sooner which parts are shared.
	mayActivate bool
	// assignedAt is the time of the last assignment.
	assignedAt time.Time
	// shared and preferred are the numbers of shared parts and of preferred replicas, summed over the
	// parts.
	shared, preferred int
}

// PrefixReplica is a replica that may be preferred: it accepts calls and is not avoided.
type PrefixReplica struct {
	ID, Zone string
	// Slowdown is the time of a unit of work at the replica relative to the usual time.
	Slowdown float64
}

// PrefixDemand is the demand that one box has seen itself.
type PrefixDemand struct {
	// Service is the service that the calls are for.
	Service string `json:"service"`
	// Calls is the rate of all calls, per second.
	Calls float64      `json:"calls"`
	Parts []PartDemand `json:"parts"`
}

// PartDemand is the demand for one part of prompts.
type PartDemand struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	// Calls is the rate of calls that bring the part, per second.
	Calls float64 `json:"calls"`
	// Programs is the number of programs that brought it, up to the number from which it is shared. The
	// calls of a program are placed by one box, so the numbers of several boxes can be added.
	Programs int `json:"programs"`
}

// PrefixRank is the position of a replica for a part.
type PrefixRank struct {
	Preferred bool
	// Overflow is the position among the replicas of the zone that are not preferred, from 0.
	Overflow int
}

// prefixPart is a part of prompts.
type prefixPart struct {
	tokens int
	// first is set if the part begins prompts.
	first bool
	// programs holds the programs that brought the part, up to the number from which it is shared.
	programs []string
	calls    decayingRate
	seenAt   time.Time
	// heardCalls and heardPrograms are sums over the other boxes as of the last assignment.
	heardCalls    float64
	heardPrograms int
	// counts holds the number of preferred replicas by zone.
	counts map[string]int
	// assigned is set while the part is assigned to replicas. ranks holds the position of each ranked one then,
	// by its ID.
	assigned bool
	ranks    map[string]PrefixRank
}

// peerDemand is the demand heard from another box.
type peerDemand struct {
	at     time.Time
	demand PrefixDemand
}

// replicaSpeed is the smoothed speed of a replica.
type replicaSpeed struct {
	slowdown float64
	at       time.Time
	// class is the number of steps by which the replica's share in rankings is reduced.
	class int
}

// decayingRate is a rate of events that forgets with demandWindow.
type decayingRate struct {
	value float64
	at    time.Time
}

const (
	// demandWindow is the time constant of demand rates. A shift of demand shows to two thirds after it,
	// which leaves a second for messages to meet the bound of 2 s.
	demandWindow = time.Second
	// assignInterval is the minimum time between two assignments, far below the 1 s in which demand
	// shifts.
	assignInterval = 250 * time.Millisecond
	// prefixHeadroom multiplies the replicas that a prefix needs by its share of the calls, so that bursts
	// on one kind of program still find preferred replicas with room.
	prefixHeadroom = 2
	// assignedShare bounds the tokens assigned to a replica, as a share of its memory. The rest is for
	// running calls and for what programs hold between turns.
	assignedShare = 0.25
	// balanceSlack bounds the tokens assigned to a replica by the mean plus this multiple of the largest
	// prefix, so that the load is spread evenly. With less, small changes move many prefixes.
	balanceSlack = 0.75
	// activationShare is the share of a replica's memory that the shared parts in use must exceed. Below
	// it each replica can hold all of them. They stay active down to deactivationShare.
	activationShare   = 0.25
	deactivationShare = 0.2
	// firstPartPrograms is the number of programs from which the first part of prompts is shared; a program
	// with one sub-agent makes two. laterPartPrograms is that for other parts, which more sub-agents share with
	// the program that started them.
	firstPartPrograms = 3
	laterPartPrograms = 8
	// partIdleTimeout is how long an unused first part stays in use, and laterPartIdleTimeout that for
	// another part that is not shared, since most of these belong to one program.
	partIdleTimeout      = 10 * time.Second
	laterPartIdleTimeout = 3 * time.Second
	// maxTrackedParts bounds the tracked parts. Later parts that are not shared may fill three quarters.
	maxTrackedParts = 1024
	// peerDemandTimeout is how long the demand of a box counts after its last message, several times the
	// interval of messages.
	peerDemandTimeout = 5 * time.Second
	// maxPeers and maxPeerParts bound what is kept of messages.
	maxPeers     = 256
	maxPeerParts = 64
	// countMargin is the hysteresis of the number of preferred replicas: by how much the need must leave its
	// range, in replicas, in addition to the standard deviation of its estimate. That is taken as at least
	// minNoiseRate calls a second would give.
	countMargin  = 0.3
	minNoiseRate = 0.5
	// maxRankedReplicas bounds the replicas of a zone that are ranked for a part.
	maxRankedReplicas = 64
	// speedWindow is the time constant of the smoothed speed. speedStep is the number of classes for each
	// doubling of the slowdown, maxSpeedClass the largest, and speedMargin by how much the slowdown must
	// differ from its class, in classes. Load makes engines slower for short times, which must not change
	// the ranking.
	speedWindow   = time.Second
	speedStep     = 2
	maxSpeedClass = 6
	speedMargin   = 0.75
)

// NewPrefixes returns Prefixes without any demand.
func NewPrefixes() *Prefixes {
	return &Prefixes{parts: map[string]*prefixPart{}, peers: map[string]peerDemand{}, speeds: map[string]*replicaSpeed{}}
}

// add records an event.
func (r *decayingRate) add(now time.Time) {
	r.value = r.value*r.decay(now) + 1
	r.at = now
}

func (r *decayingRate) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(r.at).Seconds()) / demandWindow.Seconds())
}

// perSecond returns the rate.
func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.value * r.decay(now) / demandWindow.Seconds()
}

// Observe records a call of the program with the parts of its prompt. The last part belongs to the call or
// its session and is ignored.
func (p *Prefixes) Observe(now time.Time, program string, parts []work.Part) {
	p.calls.add(now)
	for i := 0; i < len(parts)-1; i++ {
		part, ok := p.parts[parts[i].ID]
		if !ok {
			if len(p.parts) >= maxTrackedParts || (i > 0 && len(p.parts) >= maxTrackedParts*3/4) {
				return
			}
			part = &prefixPart{}
			p.parts[parts[i].ID] = part
		}
		part.tokens = max(part.tokens, parts[i].Tokens)
		part.first = part.first || i == 0
		part.seenAt = now
		part.calls.add(now)
		if len(part.programs) < part.programsNeeded() && !slices.Contains(part.programs, program) {
			part.programs = append(part.programs, program)
		}
	}
}

// programsNeeded returns the number of programs from which the part is shared.
func (p *prefixPart) programsNeeded() int {
	if p.first {
		return firstPartPrograms
	}
	return laterPartPrograms
}

func (p *prefixPart) shared() bool {
	return len(p.programs)+p.heardPrograms >= p.programsNeeded()
}

// Merge records the demand that another box has sent, in place of its earlier one.
func (p *Prefixes) Merge(now time.Time, from string, demand PrefixDemand) {
	if _, ok := p.peers[from]; !ok && len(p.peers) >= maxPeers {
		return
	}
	demand.Parts = demand.Parts[:min(len(demand.Parts), maxPeerParts)]
	p.peers[from] = peerDemand{at: now, demand: demand}
}

// Demand returns the demand that this box has seen itself, the largest first. It returns false while the
// parts in use, whether known to be shared or not, are too few for an assignment, and if there are no calls.
func (p *Prefixes) Demand(now time.Time) (PrefixDemand, bool) {
	demand := PrefixDemand{Calls: roundRate(p.calls.perSecond(now))}
	if !p.mayActivate || demand.Calls == 0 {
		return PrefixDemand{}, false
	}
	for id, part := range p.parts {
		if len(part.programs) > 0 && (part.first || part.shared()) {
			demand.Parts = append(demand.Parts, PartDemand{ID: id, Tokens: part.tokens, Calls: roundRate(part.calls.perSecond(now)), Programs: len(part.programs)})
		}
	}
	slices.SortFunc(demand.Parts, func(a, b PartDemand) int {
		switch {
		case a.Calls > b.Calls, a.Calls == b.Calls && a.ID < b.ID:
			return -1
		default:
			return 1
		}
	})
	demand.Parts = demand.Parts[:min(len(demand.Parts), maxPeerParts)]
	return demand, true
}

// roundRate rounds a rate to hundredths, to keep messages short.
func roundRate(rate float64) float64 {
	return math.Round(rate*100) / 100
}

// Due reports whether the assignment is old enough to be computed again.
func (p *Prefixes) Due(now time.Time) bool {
	return now.Sub(p.assignedAt) >= assignInterval
}

// Active reports whether prefixes are assigned to replicas.
func (p *Prefixes) Active() bool {
	return p.active
}

// Totals returns the number of shared prefixes in use and the number of preferred replicas, summed over
// the prefixes. Both are 0 while the assignment is not active, and once there have been no calls for long.
func (p *Prefixes) Totals(now time.Time) (shared, preferred int) {
	if !p.active || now.Sub(p.assignedAt) > partIdleTimeout {
		return 0, 0
	}
	return p.shared, p.preferred
}

// Rank returns the position of a replica for a part. It returns false if the part is not assigned.
func (p *Prefixes) Rank(part, replica string) (PrefixRank, bool) {
	if !p.active {
		return PrefixRank{}, false
	}
	known, ok := p.parts[part]
	if !ok || !known.assigned {
		return PrefixRank{}, false
	}
	rank, ok := known.ranks[replica]
	if !ok {
		rank.Overflow = maxRankedReplicas
	}
	return rank, true
}

// Assign computes which replicas are preferred. memory is the memory of one replica, in tokens. Each zone
// gets an assignment of its own, since calls use replicas of other zones only when those of their own are
// full.
func (p *Prefixes) Assign(now time.Time, memory int, replicas []PrefixReplica) {
	p.assignedAt = now
	p.hear(now)
	ids := p.sharedParts(now)
	p.activate(memory, ids)
	p.shared, p.preferred = len(ids), 0
	for _, part := range p.parts {
		part.assigned = false
	}
	if !p.active {
		return
	}
	calls := p.calls.perSecond(now)
	for _, peer := range p.peers {
		calls += max(0, peer.demand.Calls)
	}
	byZone := map[string][]PrefixReplica{}
	for _, rep := range replicas {
		byZone[rep.Zone] = append(byZone[rep.Zone], rep)
	}
	p.updateSpeeds(now, replicas)
	for _, id := range ids {
		part := p.parts[id]
		part.assigned = true
		if part.ranks == nil {
			part.ranks = make(map[string]PrefixRank, len(replicas))
		}
		clear(part.ranks)
	}
	for zone, reps := range byZone {
		p.assignZone(now, zone, reps, ids, calls, int(assignedShare*float64(memory)))
	}
}

// activate decides whether prefixes are assigned, by the tokens of the shared parts in use.
func (p *Prefixes) activate(memory int, shared []string) {
	tokens, candidates := 0, 0
	for _, id := range shared {
		tokens += p.parts[id].tokens
	}
	for _, part := range p.parts {
		if part.first || part.shared() {
			candidates += part.tokens
		}
	}
	threshold := activationShare
	if p.active {
		threshold = deactivationShare
	}
	p.active = float64(tokens) > threshold*float64(memory)
	p.mayActivate = p.active || float64(candidates) > activationShare*float64(memory)
}

// hear sums the demand of the other boxes, and forgets boxes without recent messages.
func (p *Prefixes) hear(now time.Time) {
	for _, part := range p.parts {
		part.heardCalls, part.heardPrograms = 0, 0
	}
	for name, peer := range p.peers {
		if now.Sub(peer.at) > peerDemandTimeout {
			delete(p.peers, name)
			continue
		}
		for _, heard := range peer.demand.Parts {
			part, ok := p.parts[heard.ID]
			if !ok {
				if len(p.parts) >= maxTrackedParts {
					continue
				}
				part = &prefixPart{first: true}
				p.parts[heard.ID] = part
			}
			part.tokens = max(part.tokens, heard.Tokens)
			part.heardCalls += max(0, heard.Calls)
			part.heardPrograms += max(0, heard.Programs)
			if peer.at.After(part.seenAt) {
				part.seenAt = peer.at
			}
		}
	}
}

// sharedParts forgets the parts that are no longer used, and returns the sorted IDs of the shared ones.
func (p *Prefixes) sharedParts(now time.Time) []string {
	var ids []string
	for id, part := range p.parts {
		idle := now.Sub(part.seenAt)
		shared := part.shared()
		if idle > partIdleTimeout || (!part.first && !shared && idle > laterPartIdleTimeout) {
			delete(p.parts, id)
			continue
		}
		if shared {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// assignZone assigns the parts to the replicas of one zone. Every part gets its first replica before any
// gets a second one, and so on. So a box whose counts differ slightly assigns another number of last
// replicas and little else. A replica at the bound is passed over. If the bound leaves too little for all
// parts, those with at least twice the demand come first.
func (p *Prefixes) assignZone(now time.Time, zone string, replicas []PrefixReplica, ids []string, calls float64, bound int) {
	type open struct {
		part   *prefixPart
		ranked []int
		// next is the position in the ranking from which replicas are not considered yet, and wanted the
		// number of preferred replicas that are missing.
		next, wanted int
	}
	todo := make([]*open, 0, len(ids))
	for _, id := range ids {
		part := p.parts[id]
		rate := part.calls.perSecond(now) + part.heardCalls
		share := rate / max(calls, 1e-9)
		if part.counts == nil {
			part.counts = map[string]int{}
		}
		part.counts[zone] = preferredCount(part.counts[zone], share*prefixHeadroom*float64(len(replicas)), rate, len(replicas))
		ranked := ident.WeightedRendezvousTop(id, len(replicas), func(i int) (string, float64) {
			return replicas[i].ID, p.speeds[replicas[i].ID].share()
		}, min(len(replicas), maxRankedReplicas))
		todo = append(todo, &open{part: part, ranked: ranked, wanted: part.counts[zone]})
	}
	slices.SortStableFunc(todo, func(a, b *open) int { return bits.Len(uint(b.wanted)) - bits.Len(uint(a.wanted)) })
	sum, largest := 0, 0
	for _, o := range todo {
		sum += o.wanted * o.part.tokens
		largest = max(largest, o.part.tokens)
	}
	bound = min(bound, sum/len(replicas)+int(balanceSlack*float64(largest)))
	assigned := make([]int, len(replicas))
	for left := true; left; {
		left = false
		for _, o := range todo {
			for o.wanted > 0 && o.next < len(o.ranked) {
				i := o.ranked[o.next]
				o.next++
				if assigned[i]+o.part.tokens > bound {
					continue
				}
				assigned[i] += o.part.tokens
				o.part.ranks[replicas[i].ID] = PrefixRank{Preferred: true}
				p.preferred++
				o.wanted--
				left = true
				break
			}
		}
	}
	for _, o := range todo {
		overflow := 0
		for _, i := range o.ranked {
			if !o.part.ranks[replicas[i].ID].Preferred {
				o.part.ranks[replicas[i].ID] = PrefixRank{Overflow: overflow}
				overflow++
			}
		}
	}
}

// preferredCount returns the number of preferred replicas for a part that needs the given number of
// average ones, as estimated from calls at the rate. It stays at old while the need is in its range or close to
// it.
func preferredCount(old int, need, rate float64, replicas int) int {
	margin := countMargin + need/math.Sqrt(2*demandWindow.Seconds()*max(rate, minNoiseRate))
	if old < 1 || need > float64(old)+margin || need < float64(old-1)-margin {
		old = int(math.Ceil(need))
	}
	return max(1, min(old, replicas))
}

// updateSpeeds smooths the speed of the replicas, and forgets other replicas.
func (p *Prefixes) updateSpeeds(now time.Time, replicas []PrefixReplica) {
	for _, rep := range replicas {
		speed, ok := p.speeds[rep.ID]
		if !ok {
			speed = &replicaSpeed{slowdown: rep.Slowdown, at: now}
			p.speeds[rep.ID] = speed
		}
		weight := 1 - math.Exp(-now.Sub(speed.at).Seconds()/speedWindow.Seconds())
		speed.slowdown += weight * (rep.Slowdown - speed.slowdown)
		speed.at = now
		steps := speedStep * math.Log2(max(speed.slowdown, 1))
		if math.Abs(steps-float64(speed.class)) > speedMargin {
			speed.class = min(int(math.Round(steps)), maxSpeedClass)
		}
	}
	for id, speed := range p.speeds {
		if now.Sub(speed.at) > partIdleTimeout {
			delete(p.speeds, id)
		}
	}
}

// share returns the share of the replica in rankings, 1 for an ordinary one.
func (s *replicaSpeed) share() float64 {
	return math.Exp2(-float64(s.class) / speedStep)
}
