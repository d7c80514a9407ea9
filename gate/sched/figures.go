package sched

import "time"

// Figures is what is learned of the engines of a service from the turns that they ran while they
// were calm: under load all that they show is how long turns wait.
type Figures struct {
	// first follows the time to a first event by the tokens that had to be read.
	first line
	// gap is the mean time between two events, zero before any was measured.
	gap time.Duration
	// ideal is the mean time that turns would have taken at calm engines, zero before any was known.
	// What they do take grows with the load; costs that grew with it would outweigh prompts that have
	// to be read, and moving programs about reads more.
	ideal time.Duration
}

const (
	// firstRate is prompt tokens read in a millisecond until that was measured, and firstTurn the
	// time of a turn: a large model on one accelerator.
	firstRate = 40
	firstTurn = 400 * time.Millisecond
	// turnGain is the weight of a new turn in a mean: some twenty turns, less than a second of a
	// busy box.
	turnGain = 0.05
)

// reading is the time to read so many tokens.
func (f *Figures) reading(tokens int) time.Duration {
	slope, ok := f.first.slope()
	if !ok {
		slope = 1.0 / firstRate
	}
	return time.Duration(slope * float64(tokens) * float64(time.Millisecond))
}

// turn is the mean time of a turn at a calm engine.
func (f *Figures) turn() time.Duration {
	if f.ideal == 0 {
		return firstTurn
	}
	return f.ideal
}

// Turn notes how long a turn would have taken at a calm engine.
func (f *Figures) Turn(ideal time.Duration) {
	f.ideal = mean(f.ideal, ideal)
}

// First notes the time to a first event of a turn that had so many tokens to be read.
func (f *Figures) First(took time.Duration, missing int) {
	f.first.add(float64(missing), float64(took)/float64(time.Millisecond))
}

// Gap notes the mean time between the events of an answer.
func (f *Figures) Gap(gap time.Duration) {
	f.gap = mean(f.gap, gap)
}

// Ideal is the time that a turn takes at a calm engine; zero while that is not known.
func (f *Figures) Ideal(missing, events int) time.Duration {
	if _, ok := f.first.slope(); !ok || f.gap == 0 {
		return 0
	}
	start := time.Duration(f.first.at(0) * float64(time.Millisecond))
	return max(start, 0) + f.reading(missing) + time.Duration(max(events-1, 0))*f.gap
}

// mean folds a new time into a running mean; the first one is taken as it is.
func mean(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return old + time.Duration(turnGain*float64(seen-old))
}

// line is the straight line that fits the points seen lately best.
type line struct{ n, x, y, xx, xy float64 }

const (
	// lineFade fades old points, so that about the last two hundred count.
	lineFade = 0.995
	// leastPoints is how many must have been seen for a slope.
	leastPoints = 8
)

func (l *line) add(x, y float64) {
	l.n = l.n*lineFade + 1
	l.x = l.x*lineFade + x
	l.y = l.y*lineFade + y
	l.xx = l.xx*lineFade + x*x
	l.xy = l.xy*lineFade + x*y
}

// slope is the rise of y with x; false if there are too few points, or they show none.
func (l *line) slope() (slope float64, ok bool) {
	spread := l.n*l.xx - l.x*l.x
	if l.n < leastPoints || spread <= 0 {
		return 0, false
	}
	slope = (l.n*l.xy - l.x*l.y) / spread
	return slope, slope > 0
}

// at is the line's y at x; the mean of all y where it has no slope.
func (l *line) at(x float64) float64 {
	if l.n == 0 {
		return 0
	}
	slope, _ := l.slope()
	return l.y/l.n + slope*(x-l.x/l.n)
}
