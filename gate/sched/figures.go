package sched

import "time"

// EngineEstimates estimates the speed of a service's engines. ObserveFirstEvent and ObserveEventGap must
// only be called for turns on lightly loaded engines, since under load their times show mostly queueing.
type EngineEstimates struct {
	// firstEvent fits the time to the first event, in milliseconds, to the number of prefilled
	// tokens.
	firstEvent linearFit
	// gap is the mean time between two events, zero before the first observation.
	gap time.Duration
	// unloadedTurn is the mean time that turns would have taken on lightly loaded engines, zero
	// before the first estimate. Observed times are not used, since they grow with the load: costs
	// based on them would outweigh the cost of prefill and make programs change replicas.
	unloadedTurn time.Duration
}

const (
	// defaultPrefillRate, in prompt tokens a millisecond, and defaultTurnTime are used until there
	// are estimates. They suit a large model on one accelerator.
	defaultPrefillRate = 40
	defaultTurnTime    = 400 * time.Millisecond
	// meanWeight is the weight of a new value in a running mean, which covers about the last twenty
	// values.
	meanWeight = 0.05
)

// prefillTime estimates the time to prefill the tokens.
func (e *EngineEstimates) prefillTime(tokens int) time.Duration {
	slope, ok := e.firstEvent.slope()
	if !ok {
		slope = 1.0 / defaultPrefillRate
	}
	return time.Duration(slope * float64(tokens) * float64(time.Millisecond))
}

// turnTime returns the mean time of a turn on a lightly loaded engine.
func (e *EngineEstimates) turnTime() time.Duration {
	if e.unloadedTurn == 0 {
		return defaultTurnTime
	}
	return e.unloadedTurn
}

// ObserveTurn records how long a turn would have taken on a lightly loaded engine.
func (e *EngineEstimates) ObserveTurn(ideal time.Duration) {
	e.unloadedTurn = updateMean(e.unloadedTurn, ideal)
}

// ObserveFirstEvent records the time to the first event of a turn for which the engine had to prefill
// the missing tokens.
func (e *EngineEstimates) ObserveFirstEvent(took time.Duration, missing int) {
	e.firstEvent.add(float64(missing), float64(took)/float64(time.Millisecond))
}

// ObserveEventGap records the mean time between the events of an answer.
func (e *EngineEstimates) ObserveEventGap(gap time.Duration) {
	e.gap = updateMean(e.gap, gap)
}

// UnloadedTurnTime estimates the time on a lightly loaded engine of a turn with missing tokens to prefill
// and the given number of events in its answer. It returns zero if it has no estimate yet.
func (e *EngineEstimates) UnloadedTurnTime(missing, events int) time.Duration {
	if _, ok := e.firstEvent.slope(); !ok || e.gap == 0 {
		return 0
	}
	start := time.Duration(e.firstEvent.predict(0) * float64(time.Millisecond))
	return max(start, 0) + e.prefillTime(missing) + time.Duration(max(events-1, 0))*e.gap
}

// ResponseDelay returns how much later than usual the first event of a turn may come that was placed at the replica: by
// twice the estimated time to prefill the prompt and to wait for a place.
func (e *EngineEstimates) ResponseDelay(promptTokens int, r ReplicaState) time.Duration {
	delay := e.prefillTime(max(0, promptTokens-r.CachedTokens))
	if r.Slots > 0 {
		calls, _ := r.estimateCalls()
		excess := max(0, calls+1-float64(r.Slots))
		delay += time.Duration(excess / float64(r.Slots) * float64(e.turnTime()))
	}
	return 2 * delay
}

// updateMean returns the running mean after the value seen; the first value becomes the mean.
func updateMean(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return old + time.Duration(meanWeight*float64(seen-old))
}

// linearFit is a least-squares line through recent points; older points decay exponentially.
type linearFit struct{ n, x, y, xx, xy float64 }

const (
	// fitDecay multiplies the weight of old points, so that about the last two hundred count.
	fitDecay = 0.995
	// minFitPoints is the decayed number of points from which there is a slope.
	minFitPoints = 8
)

func (l *linearFit) add(x, y float64) {
	l.n = l.n*fitDecay + 1
	l.x = l.x*fitDecay + x
	l.y = l.y*fitDecay + y
	l.xx = l.xx*fitDecay + x*x
	l.xy = l.xy*fitDecay + x*y
}

// slope returns the slope of the line. ok is false if there are too few points, or if the slope is
// undefined or not positive.
func (l *linearFit) slope() (slope float64, ok bool) {
	spread := l.n*l.xx - l.x*l.x
	if l.n < minFitPoints || spread <= 0 {
		return 0, false
	}
	slope = (l.n*l.xy - l.x*l.y) / spread
	return slope, slope > 0
}

// predict returns the line's y at x, or the mean y if there are too few points or the slope is undefined.
func (l *linearFit) predict(x float64) float64 {
	if l.n == 0 {
		return 0
	}
	slope, _ := l.slope()
	return l.y/l.n + slope*(x-l.x/l.n)
}
