package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// membersPatience is how long a box whose sources tell no members waits at least before it reads them itself, since
	// sources that have just died are still asked; after it one box in membersDraw does at each of its heartbeats, and
	// after membersMost each that still waits. All at once would be more than the log bears.
	membersPatience = 800 * time.Millisecond
	membersMost     = 2500 * time.Millisecond
	membersDraw     = 3
	// looksAlone is the number of looks for members after which a box that starts reads them itself though others
	// are announced as sources.
	looksAlone = 4
	// mostAnnounced is how many of them it asks in one look: some may be gone, and say nothing.
	mostAnnounced = 2
	// fastPause and slowPause are how long, and with fastDraw and slowDraw at random how much longer, boxes wait for others
	// to be announced at the start of all: fast ones come first, apart by more than a read and an announcement take, and
	// all before a box has listened for long enough to trust what it knows.
	fastPause, fastDraw = 150 * time.Millisecond, 250 * time.Millisecond
	slowPause, slowDraw = 450 * time.Millisecond, 100 * time.Millisecond
)

// Members implements view.Log.
func (m *Mirror) Members(ctx context.Context, generation int64) ([]string, error) {
	if m.Serving() {
		got, err := m.roster.Get(ctx, generation)
		return m.know(got.members, err)
	}
	if !m.known() {
		return m.first(ctx, generation)
	}
	others := m.others()
	members, ok := m.askMembers(ctx, others, generation)
	if ok {
		return members, nil
	}
	if len(others) > 0 && !m.alone() {
		return nil, fault.Refuse(fault.OwnerUnknown, "no source of the zone tells the members")
	}
	return m.log.Members(ctx)
}

// alone decides whether a box that no source tells the members reads them itself.
func (m *Mirror) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.untold.IsZero() {
		m.untold = time.Now()
	}
	waited := time.Since(m.untold)
	return waited >= membersMost || (waited >= membersPatience && rand.IntN(membersDraw) == 0)
}

// know notes that the members were found.
func (m *Mirror) know(members []string, err error) ([]string, error) {
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.found {
		m.found = true
		close(m.sized)
	}
	return members, nil
}

func (m *Mirror) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.found
}

// first finds the members for a box that has just started: by the sources that are announced. Where the whole fleet starts
// there are none yet; then the box waits a little, and if there is none still it reads the members itself, and announces
// itself if it finds many and is fast. The log could not bear that all of a large fleet read them.
func (m *Mirror) first(ctx context.Context, generation int64) ([]string, error) {
	m.mu.Lock()
	m.looks++
	looks := m.looks
	m.mu.Unlock()
	members, announced := m.askAnnounced(ctx, generation)
	if members == nil && looks == 1 && len(announced) == 0 {
		m.stagger(ctx)
		members, announced = m.askAnnounced(ctx, generation)
	}
	if members != nil {
		return m.know(members, nil)
	}
	if len(announced) > 0 && !contains(announced, m.self.Name) && looks < looksAlone {
		return nil, fault.Refuse(fault.OwnerUnknown, "no source of the zone answers yet")
	}
	members, err := m.know(m.log.Members(ctx))
	if err != nil {
		return nil, err
	}
	if m.many(members) && (fast(m.self) || looks >= looksAlone) {
		m.hosts.Announce(ctx, servesFor)
	}
	return members, nil
}

// askAnnounced asks the sources that the log names.
func (m *Mirror) askAnnounced(ctx context.Context, generation int64) (members []string, announced []work.Box) {
	announced = m.hosts.Look(ctx)
	asked := m.shuns.order(m.self.Name, announced)
	members, _ = m.askMembers(ctx, asked[:min(len(asked), mostAnnounced)], generation)
	return members, announced
}

// stagger waits so long that of boxes which start together few look at once.
func (m *Mirror) stagger(ctx context.Context) {
	if fast(m.self) {
		pause(ctx, fastPause+rand.N(fastDraw))
		return
	}
	pause(ctx, slowPause+rand.N(slowDraw))
}

// many reports whether the zone has so many members that it has sources.
func (m *Mirror) many(members []string) bool {
	near := 0
	for _, text := range members {
		if box, err := work.ParseMember(text); err == nil && box.Zone == m.self.Zone {
			near++
		}
	}
	return near >= smallZone
}

// readMembers reads the members for this source and all that ask it: from the zone's first source, if that is another.
func (m *Mirror) readMembers(ctx context.Context, generation int64) ([]string, error) {
	sources, _ := m.sources()
	if m.boxes.Trusted() && len(sources) > 0 && sources[0].Name != m.self.Name {
		if members, ok := m.askMembers(ctx, sources[:1], generation); ok {
			return members, nil
		}
	}
	return m.log.Members(ctx)
}

// askMembers asks the boxes for the members, one after the other.
func (m *Mirror) askMembers(ctx context.Context, boxes []work.Box, generation int64) ([]string, bool) {
	for _, box := range boxes {
		next, err := m.askRoster(ctx, box, generation)
		if err != nil {
			m.shuns.Add(box.Name, shunFor)
			m.logger.Debug("mirror: members not told", "source", box.Name, "cause", err)
			continue
		}
		m.mu.Lock()
		m.last, m.lastFrom, m.untold = next, box.Name, time.Time{}
		m.mu.Unlock()
		return next.members, true
	}
	return nil, false
}

// toldBy is the newest list that the box told; empty if another told the last.
func (m *Mirror) toldBy(box work.Box) list {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastFrom != box.Name {
		return list{}
	}
	return m.last
}

func (m *Mirror) askRoster(ctx context.Context, box work.Box, generation int64) (list, error) {
	ctx, stop := context.WithTimeout(ctx, answerWait)
	defer stop()
	have := m.toldBy(box)
	answer, err := m.peers.Roster(ctx, box, RosterAsk{Generation: generation, Have: have.digest})
	if err != nil {
		return list{}, err
	}
	next, ok := have.apply(answer)
	if !ok {
		m.mu.Lock()
		m.lastFrom = ""
		m.mu.Unlock()
		return list{}, fault.Fail(fault.Protocol, "the members do not add up")
	}
	return next, nil
}

// Roster tells another box the members, as a source.
func (m *Mirror) Roster(ctx context.Context, ask RosterAsk) (RosterAnswer, error) {
	if !m.Serving() {
		return RosterAnswer{}, notSource()
	}
	return m.roster.Answer(ctx, ask)
}
