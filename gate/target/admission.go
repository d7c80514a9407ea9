package target

import (
	"time"

	"mulleingate.dev/gate/sched"
)

func (t *Targets) admission(service string) *sched.Admission {
	in, ok := t.admissions[service]
	if !ok {
		in = sched.NewAdmission()
		t.admissions[service] = in
	}
	return in
}

// Admit decides whether the program of a turn may begin.
func (t *Targets) Admit(ask Ask) sched.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	service := t.draw(ask.Services)
	in := t.admission(service)
	in.Overload.Reported(now, t.taken(now, service))
	return in.Admit(now, ask.Turn)
}

// taken is the part of a service's places that is taken, by the reports that are known; negative
// without any.
func (t *Targets) taken(now time.Time, service string) float64 {
	r := t.reported(now, service)
	if r.places == 0 {
		return -1
	}
	return float64(r.calls) / float64(r.places)
}

// reports sums up what the replicas of a service reported lately.
type reports struct {
	// places is how many calls they run at once, taken how many of those are taken, and calls all that run or
	// wait.
	places, taken, calls int
}

func (t *Targets) reported(now time.Time, service string) reports {
	var sum reports
	for _, s := range t.services[service] {
		if s.Draining || s.missing || now.Sub(s.loadAt) > loadFor {
			continue
		}
		calls := s.load.Running + s.load.Waiting
		sum.places += s.Slots
		sum.taken += min(calls, s.Slots)
		sum.calls += calls
	}
	return sum
}

// First notes the time from the lease to the answer's first event.
func (l *Lease) First(took time.Duration) {
	if l.ask.Prompt == nil {
		return
	}
	t := l.owner
	t.mu.Lock()
	defer t.mu.Unlock()
	l.first = took
	if l.calm {
		t.admission(l.state.Service).Figures.First(took, l.missing())
	}
}

// missing is how much of the prompt is believed to be read, in tokens.
func (l *Lease) missing() int {
	return max(0, l.ask.Prompt.Tokens-l.Cached)
}

// turnDone notes the end of a turn that had a place. Gap is the mean time between its events, zero
// if it is not known.
func (t *Targets) turnDone(l *Lease, out Outcome, gap time.Duration) {
	in := t.admission(l.state.Service)
	now := time.Now()
	in.End(now, l.ask.Turn)
	if out != Answered || gap <= 0 || l.first <= 0 {
		return
	}
	if l.calm {
		in.Figures.Gap(gap)
	}
	held := now.Sub(l.begun)
	events := 1 + int((held-l.first+gap/2)/gap)
	in.Answered(now, l.ask.Turn, in.Figures.Ideal(l.missing(), events))
}
