package mirror

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// answerTimeout is the timeout of a request for the members. For a request that a source may hold open,
	// it is added to the time that it may do so.
	answerTimeout = 400 * time.Millisecond
	// announceInterval is the interval at which this box checks whether it must be announced as a source.
	announceInterval = time.Second
	// startupServePeriod is how long a box that announced itself during the start of the fleet stays a source,
	// whatever its rank.
	startupServePeriod = 10 * time.Second
)

// Boxes is the view of the fleet.
type Boxes interface {
	// Live returns the live boxes. A changed list is a new slice.
	Live() []work.Box
	// HasSettled reports whether the view has settled at least once since the start.
	HasSettled() bool
}

// Peers sends requests to sources.
type Peers interface {
	Copy(ctx context.Context, box work.Box, req CopyRequest) (CopyResponse, error)
	Roster(ctx context.Context, box work.Box, req RosterRequest) (RosterResponse, error)
}

// Decoder decodes the records of replicas.
type Decoder interface {
	Replica(rec work.Record) (work.Replica, error)
}

// Mirror is the service that reads the shared topics and the members from sources or from the log.
type Mirror struct {
	self    work.Box
	log     work.Log
	boxes   Boxes
	peers   Peers
	decoder Decoder
	logger  *slog.Logger
	// onLevels is called with the levels of this box's part of the replicas.
	onLevels func(levels subset.Levels)
	// maxSettingsAge bounds the age of what a box knows of the settings; zero if it need not be bounded.
	maxSettingsAge time.Duration
	ranking        *sourceRanking
	backoff        *sourceBackoff
	roster         *roster
	directory      *sourceDirectory
	cancel         context.CancelFunc
	done           sync.WaitGroup
	// membersReady is closed once the members of the fleet have been read for the first time.
	membersReady chan struct{}

	mu sync.Mutex
	// copies holds the topics that this box serves as a source.
	copies map[work.Topic]*topicCopy
	// levels are the levels of this box's own part of the replicas.
	levels subset.Levels
	// memberAttempts counts the attempts to read the members until the first that succeeded; membersRead is
	// set by that one.
	memberAttempts int
	membersRead    bool
	// noMembersSince is when sources began to fail to return the members; zero while one returns them.
	noMembersSince time.Time
	// lastMembers is the newest list of members that a source returned and lastSource is that source's name.
	// The source sends differences from it.
	lastMembers memberList
	lastSource  string
}

// New returns a mirror for the box self. The zones are all availability zones, sorted.
func New(self work.Box, zones []string, log work.Log, boxes Boxes, peers Peers, decoder Decoder, logger *slog.Logger) *Mirror {
	m := &Mirror{
		self: self, log: log, boxes: boxes, peers: peers, decoder: decoder, logger: logger,
		onLevels: func(subset.Levels) {}, ranking: &sourceRanking{zone: self.Zone}, backoff: &sourceBackoff{until: map[string]time.Time{}},
		membersReady: make(chan struct{}), copies: map[work.Topic]*topicCopy{},
	}
	m.directory = newSourceDirectory(self, zones, log, logger)
	m.roster = newRoster(m.readMembers)
	return m
}

// OnLevels sets a callback that gets the levels of this box's part of the replicas whenever the part is read
// anew. It must be called before Start.
func (m *Mirror) OnLevels(callback func(levels subset.Levels)) {
	m.onLevels = callback
}

// Start implements kernel.Service.
func (m *Mirror) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { kernel.Every(ctx, announceInterval, func() { m.updateAnnouncement(ctx) }) })
	return nil
}

// Stop implements kernel.Service.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// updateAnnouncement announces this box while it ranks as a source, so that starting boxes find it, and drops
// the copies once this box is no longer a source.
func (m *Mirror) updateAnnouncement(ctx context.Context) {
	if !m.boxes.HasSettled() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, logCallTimeout)
	defer stop()
	live := m.boxes.Live()
	sources, _ := m.ranking.Sources(live)
	m.directory.UpdateAnnouncement(ctx, contains(sources, m.self.Name), live)
	if m.IsSource() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.copies) > 0 {
		m.logger.Info("mirror: stopped being a source")
		m.copies = map[work.Topic]*topicCopy{}
	}
}

func contains(boxes []work.Box, name string) bool {
	for _, box := range boxes {
		if box.Name == name {
			return true
		}
	}
	return false
}

// IsSource reports whether this box is a source.
func (m *Mirror) IsSource() bool {
	if m.directory.Serving() {
		return true
	}
	sources, _ := m.sources()
	return contains(sources, m.self.Name)
}

// sources returns the sources of this box's zone and the number of live boxes in it. They are ranked once the
// view has settled; before that they are the announced ones.
func (m *Mirror) sources() (sources []work.Box, zoneSize int) {
	sources, zoneSize = m.ranking.Sources(m.boxes.Live())
	if m.boxes.HasSettled() {
		return sources, zoneSize
	}
	return m.directory.Known(), zoneSize
}

// sourcesToAsk returns the sources to ask, in order; none if this box reads from the log itself. The ranked
// ones come before those that are only announced, since boxes whose views are still growing rank them
// differently.
func (m *Mirror) sourcesToAsk() []work.Box {
	sources, _ := m.sources()
	if len(sources) == 0 {
		return nil
	}
	ordered := m.backoff.order(m.self.Name, sources)
	for _, box := range m.backoff.order(m.self.Name, m.directory.Known()) {
		if !contains(ordered, box.Name) {
			ordered = append(ordered, box)
		}
	}
	return ordered
}

// Join implements view.Log.
func (m *Mirror) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	return m.log.Join(ctx, member, generation, ttl)
}

// Leave implements view.Log.
func (m *Mirror) Leave(ctx context.Context, member string) error {
	return m.log.Leave(ctx, member)
}

// errNotSource returns the fault for a request to a box that is not a source.
func errNotSource() error {
	return fault.Refuse(fault.OwnerUnavailable, "this box is not a source")
}
