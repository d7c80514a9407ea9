package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// membersMinWait is the least time that a box waits for its sources to return the members before it reads
	// them from the log. From then on it does so with a chance of one in membersLogOdds at each attempt, and
	// after membersMaxWait at every attempt, so that not all boxes read from the log at once.
	membersMinWait = 800 * time.Millisecond
	membersMaxWait = 2500 * time.Millisecond
	membersLogOdds = 3
	// attemptsBeforeLog is the first attempt at which a starting box reads the members from the log although
	// other boxes are announced as sources.
	attemptsBeforeLog = 4
	// maxAnnouncedAsked limits how many announced sources are asked per attempt; some may be dead and not
	// answer.
	maxAnnouncedAsked = 2
	// A starting box that finds no source waits for others to announce themselves: a fast box for fastDelay
	// plus up to fastJitter at random, a slow one for slowDelay plus up to slowJitter. Fast boxes thus
	// announce themselves first, and all are done before a view may settle.
	fastDelay, fastJitter = 150 * time.Millisecond, 250 * time.Millisecond
	slowDelay, slowJitter = 450 * time.Millisecond, 100 * time.Millisecond
)

// Members implements view.Log.
func (m *Mirror) Members(ctx context.Context, generation int64) ([]string, error) {
	if m.IsSource() {
		got, err := m.roster.Get(ctx, generation)
		return m.recordMembers(got.members, err)
	}
	if !m.hasMembers() {
		return m.firstMembers(ctx, generation)
	}
	sources := m.sourcesToAsk()
	members, ok := m.askMembers(ctx, sources, generation)
	if ok {
		return members, nil
	}
	if len(sources) > 0 && !m.mayReadMembers() {
		return nil, fault.Refuse(fault.OwnerUnavailable, "no source of the zone returned the members")
	}
	return m.log.Members(ctx)
}

// mayReadMembers reports whether this box, whose sources do not return the members, may read them from the log.
func (m *Mirror) mayReadMembers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.noMembersSince.IsZero() {
		m.noMembersSince = time.Now()
	}
	waited := time.Since(m.noMembersSince)
	return waited >= membersMaxWait || (waited >= membersMinWait && rand.IntN(membersLogOdds) == 0)
}

// recordMembers records that the members were read and returns them, or returns only the error if there is one.
func (m *Mirror) recordMembers(members []string, err error) ([]string, error) {
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.membersRead {
		m.membersRead = true
		close(m.membersReady)
	}
	return members, nil
}

// hasMembers reports whether the members have been read at least once.
func (m *Mirror) hasMembers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membersRead
}

// firstMembers returns the members after this box has started, from the announced sources. If there are none
// yet, it waits a little and asks again, then reads the members from the log. If the zone is large enough for
// sources, the box then announces itself, but a slow box only after several attempts. Other boxes then need
// not read the log.
func (m *Mirror) firstMembers(ctx context.Context, generation int64) ([]string, error) {
	m.mu.Lock()
	m.memberAttempts++
	attempts := m.memberAttempts
	m.mu.Unlock()
	members, announced := m.askAnnounced(ctx, generation)
	if members == nil && attempts == 1 && len(announced) == 0 {
		m.staggerStart(ctx)
		members, announced = m.askAnnounced(ctx, generation)
	}
	if members != nil {
		return m.recordMembers(members, nil)
	}
	if len(announced) > 0 && !contains(announced, m.self.Name) && attempts < attemptsBeforeLog {
		return nil, fault.Refuse(fault.OwnerUnavailable, "no source of the zone has answered yet")
	}
	members, err := m.recordMembers(m.log.Members(ctx))
	if err != nil {
		return nil, err
	}
	if m.zoneHasSources(members) && (isFast(m.self) || attempts >= attemptsBeforeLog) {
		m.directory.Announce(ctx, startupServePeriod)
	}
	return members, nil
}

// askAnnounced asks the sources that are announced in the log.
func (m *Mirror) askAnnounced(ctx context.Context, generation int64) (members []string, announced []work.Box) {
	announced = m.directory.ReadAnnounced(ctx)
	ordered := m.backoff.order(m.self.Name, announced)
	members, _ = m.askMembers(ctx, ordered[:min(len(ordered), maxAnnouncedAsked)], generation)
	return members, announced
}

// staggerStart waits for a random time, longer on slow boxes, so that boxes that start together do not all look
// for sources at once.
func (m *Mirror) staggerStart(ctx context.Context) {
	if isFast(m.self) {
		sleep(ctx, fastDelay+rand.N(fastJitter))
		return
	}
	sleep(ctx, slowDelay+rand.N(slowJitter))
}

// zoneHasSources reports whether this box's zone has enough members to have sources.
func (m *Mirror) zoneHasSources(members []string) bool {
	zoneSize := 0
	for _, text := range members {
		if box, err := work.ParseMember(text); err == nil && box.Zone == m.self.Zone {
			zoneSize++
		}
	}
	return zoneSize >= minZoneSize
}

// readMembers reads the members as a source: from the zone's first-ranked source, or from the log if that is
// this box, if it fails or if the view has not settled yet.
func (m *Mirror) readMembers(ctx context.Context, generation int64) ([]string, error) {
	sources, _ := m.sources()
	if m.boxes.HasSettled() && len(sources) > 0 && sources[0].Name != m.self.Name {
		if members, ok := m.askMembers(ctx, sources[:1], generation); ok {
			return members, nil
		}
	}
	return m.log.Members(ctx)
}

// askMembers asks the boxes for the members, one after the other, until one returns them.
func (m *Mirror) askMembers(ctx context.Context, boxes []work.Box, generation int64) ([]string, bool) {
	for _, box := range boxes {
		next, err := m.askRoster(ctx, box, generation)
		if err != nil {
			m.backoff.Add(box.Name, membersBackoff)
			m.logger.Debug("mirror: members not received", "source", box.Name, "cause", err)
			continue
		}
		m.mu.Lock()
		m.lastMembers, m.lastSource, m.noMembersSince = next, box.Name, time.Time{}
		m.mu.Unlock()
		return next.members, true
	}
	return nil, false
}

// lastMembersFrom returns the newest list that the box returned; empty if another box returned the last one.
func (m *Mirror) lastMembersFrom(box work.Box) memberList {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastSource != box.Name {
		return memberList{}
	}
	return m.lastMembers
}

// askRoster asks one source for the members.
func (m *Mirror) askRoster(ctx context.Context, box work.Box, generation int64) (memberList, error) {
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	have := m.lastMembersFrom(box)
	answer, err := m.peers.Roster(ctx, box, RosterRequest{Generation: generation, KnownDigest: have.digest})
	if err != nil {
		return memberList{}, err
	}
	next, ok := have.apply(answer)
	if !ok {
		m.mu.Lock()
		m.lastSource = ""
		m.mu.Unlock()
		return memberList{}, fault.Fail(fault.Protocol, "the list of members does not match its digest")
	}
	return next, nil
}

// Roster answers another box's request for the members, as a source.
func (m *Mirror) Roster(ctx context.Context, req RosterRequest) (RosterResponse, error) {
	if !m.IsSource() {
		return RosterResponse{}, errNotSource()
	}
	return m.roster.Answer(ctx, req)
}
