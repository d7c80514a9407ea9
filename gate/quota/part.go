package quota

import (
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// Bounds is how precisely quotas are enforced, as set by operators.
type Bounds struct {
	// Window is the length of the sliding window in which calls are counted.
	Window time.Duration
	// Overshoot is the fraction of a quota, and Slack the number of calls, by which a window may exceed the
	// quota.
	Overshoot, Slack float64
}

const (
	// usedOvershoot is the part of the allowed excess that counters use. The rest covers moments in which two
	// boxes act as the counter of one part.
	usedOvershoot = 0.9
	// minPartCalls is the least number of calls in a window for a part of a quota. With smaller parts, most
	// calls would have to ask several zones.
	minPartCalls = 20
	// planBurst is the part of a window's calls that may be planned at once for programs that begin together.
	planBurst = 0.07
	// planShare is the part of a quota that may be planned for the expected calls of programs. The rest is
	// for programs that make more calls than expected.
	planShare = 0.9
	// planOverdraft is the part of a program's expected calls by which the plan may be overdrawn, since the
	// plan of a small quota may never cover a whole program.
	planOverdraft = 0.5
	// initialProgramCalls is the assumed number of calls of a program before any program was observed, and
	// initialWeight the number of observed programs that this assumption counts for.
	initialProgramCalls = 12
	initialWeight       = 4
	// programDecay is the factor by which each new program reduces the weight of earlier ones: about the last
	// hundred programs count.
	programDecay = 0.99
	// steadyBurst is the part of a quota's burst that is granted evenly over the window, on top of its rate,
	// so that a workspace that is always at its limit gets it too. The rest may be used at once.
	steadyBurst = 0.5
)

// windowLimit returns how many calls of a workspace counters may grant in any window.
func (b Bounds) windowLimit(space work.Workspace) float64 {
	limit := space.Rate*b.Window.Seconds() + space.Burst
	excess := b.Overshoot*limit + b.Slack
	prefetched := prefetchShare * space.Rate * prefetchLifetime.Seconds() // granted before the window and used within it
	return limit + max(0, usedOvershoot*excess-prefetched)
}

// countingZones returns the availability zones that count parts of the workspace's quota: all zones, or fewer
// if the parts would be too small.
func (b Bounds) countingZones(space work.Workspace, zones []string) []string {
	n := min(len(zones), max(1, int(work.Count(b.windowLimit(space)/minPartCalls))))
	var counting []string
	for _, i := range ident.RendezvousTop(space.Name, len(zones), func(i int) string { return zones[i] }, n) {
		counting = append(counting, zones[i])
	}
	return counting
}

// tokenBucket is a count that grows with time up to a limit. It may be negative.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens for the time since the last refill, up to most.
func (b *tokenBucket) refill(now time.Time, perSecond, most float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += elapsed.Seconds() * perSecond
		b.at = now
	}
	b.tokens = min(b.tokens, most)
}

// timeUntil returns how long it takes until the bucket holds the given number of tokens.
func (b *tokenBucket) timeUntil(tokens, perSecond float64) time.Duration {
	return max(0, work.FloatMillis((tokens-b.tokens)/perSecond*1000))
}

// partLimits limits one part of a quota: rate calls per second and burst calls at once, which together allow
// windowLimit calls in any window.
type partLimits struct {
	rate, burst, windowLimit float64
}

// partLimits returns the limits of each part of a quota that is divided into equal parts.
func (b Bounds) partLimits(space work.Workspace, parts int) partLimits {
	n := float64(parts)
	most := b.windowLimit(space)
	steady := space.Rate*b.Window.Seconds() + steadyBurst*space.Burst
	return partLimits{rate: steady / b.Window.Seconds() / n, burst: (most - steady) / n, windowLimit: most / n}
}

// part is the counter's state of a part of a workspace's quota.
type part struct {
	// calls holds the calls that may still be granted. plan holds the calls that are not yet set aside for
	// the expected needs of programs that have begun.
	calls, plan tokenBucket
	// recentCalls and recentPrograms are decaying counts of granted calls and of programs that began.
	recentCalls, recentPrograms float64
}

// newPart returns a part that is counted from the given time. It is empty at that time, so that no window
// exceeds its limit whatever another counter granted before.
func newPart(since time.Time) *part {
	return &part{calls: tokenBucket{at: since}, plan: tokenBucket{at: since}}
}

// callsPerProgram estimates how many calls a program makes.
func (p *part) callsPerProgram() float64 {
	return (p.recentCalls + initialWeight*initialProgramCalls) / (p.recentPrograms + initialWeight)
}

// grant grants up to want calls, or none and the delay after which to ask again. A program may begin only if
// the plan covers it besides the running programs, so that a new program does not cause the refusal of their
// calls.
func (p *part) grant(now time.Time, limits partLimits, want int, begins bool) (granted int, after time.Duration) {
	p.calls.refill(now, limits.rate, limits.burst)
	p.plan.refill(now, planShare*limits.rate, planBurst*limits.windowLimit)
	if debt := -planOverdraft * p.callsPerProgram(); begins && p.plan.tokens <= debt {
		return 0, p.plan.timeUntil(debt, planShare*limits.rate)
	}
	granted = min(want, int(work.Count(p.calls.tokens)))
	if granted < 1 {
		return 0, p.calls.timeUntil(1, limits.rate)
	}
	p.calls.tokens -= float64(granted)
	p.recentCalls = p.recentCalls*callDecay(granted) + float64(granted)
	if begins {
		p.plan.tokens -= p.callsPerProgram()
		p.recentPrograms = p.recentPrograms*programDecay + 1
	}
	return granted, 0
}

// callDecay returns the factor by which granting calls reduces recentCalls, so that it decays as fast as
// recentPrograms.
func callDecay(calls int) float64 {
	return max(0, 1-(1-programDecay)*float64(calls)/initialProgramCalls)
}

// cancelProgram frees the calls that were planned for a program that did not begin.
func (p *part) cancelProgram() {
	p.plan.tokens += p.callsPerProgram()
}
