package target

import (
	"time"

	"mulleingate.dev/gate/sched"
)

// admissionFor returns the admission state of the service, which it creates if needed.
func (t *Targets) admissionFor(service string) *sched.Admission {
	adm, ok := t.admissions[service]
	if !ok {
		adm = sched.NewAdmission()
		t.admissions[service] = adm
	}
	return adm
}

// Admit decides whether the program of a turn may start.
func (t *Targets) Admit(ask CallRequest) sched.AdmissionDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	service := t.pickService(ask.Services)
	adm := t.admissionFor(service)
	adm.Overload.SetUtilization(now, t.slotDemand(now, service))
	return adm.Admit(now, ask.Turn)
}

// slotDemand returns the ratio of a service's running and waiting calls to its slots according to recent
// load reports, or a negative number without reports.
func (t *Targets) slotDemand(now time.Time, service string) float64 {
	totals := t.loadTotals(now, service)
	if totals.slots == 0 {
		return -1
	}
	return float64(totals.calls) / float64(totals.slots)
}

// loadTotals holds sums of the recent load reports of a service's replicas.
type loadTotals struct {
	// slots is the number of calls that the replicas run at once, usedSlots the number of these slots
	// that are in use, and calls the number of running and waiting calls.
	slots, usedSlots, calls int
}

// loadTotals sums the recent load reports of the service's replicas that accept work.
func (t *Targets) loadTotals(now time.Time, service string) loadTotals {
	var sum loadTotals
	for _, s := range t.services[service] {
		if s.Draining || s.missing || now.Sub(s.loadAt) > loadMaxAge {
			continue
		}
		calls := s.load.Running + s.load.Waiting
		sum.slots += s.Slots
		sum.usedSlots += min(calls, s.Slots)
		sum.calls += calls
	}
	return sum
}

// RecordFirstEvent records the time from the lease to the answer's first event.
func (l *Lease) RecordFirstEvent(took time.Duration) {
	t := l.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	l.recordResponse(time.Now())
	if l.ask.Prompt == nil {
		return
	}
	l.firstEventAfter = took
	if l.lightLoad {
		t.admissionFor(l.state.Service).Estimates.ObserveFirstEvent(took, l.uncachedTokens())
	}
}

// uncachedTokens estimates how many tokens of the prompt the replica has to prefill.
func (l *Lease) uncachedTokens() int {
	return max(0, l.ask.Prompt.Tokens-l.CachedTokens)
}

// finishTurn records the end of a turn. gap is the mean time between its events, zero if it is unknown.
func (t *Targets) finishTurn(l *Lease, out Outcome, gap time.Duration) {
	adm := t.admissionFor(l.state.Service)
	now := time.Now()
	adm.TurnEnded(now, l.ask.Turn)
	if out != Answered || gap <= 0 || l.firstEventAfter <= 0 {
		return
	}
	if l.lightLoad {
		adm.Estimates.ObserveEventGap(gap)
	}
	total := now.Sub(l.startedAt)
	events := 1 + int((total-l.firstEventAfter+gap/2)/gap)
	adm.TurnAnswered(now, l.ask.Turn, adm.Estimates.UnloadedTurnTime(l.uncachedTokens(), events))
}
