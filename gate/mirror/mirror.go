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
	// answerWait is how much longer than it may hold a question a source may take for its answer, or a list of members.
	answerWait = 400 * time.Millisecond
	// tendEvery is the time between two looks at whether this box should be announced as a source.
	tendEvery = time.Second
	// servesFor is how long a box that has announced itself while the fleet started serves, however it ranks.
	servesFor = 10 * time.Second
)

// Boxes tells who lives.
type Boxes interface {
	Live() []work.Box
	// Trusted reports whether this box has known once who lives.
	Trusted() bool
}

// Peers asks sources.
type Peers interface {
	Copy(ctx context.Context, box work.Box, ask CopyAsk) (CopyAnswer, error)
	Roster(ctx context.Context, box work.Box, ask RosterAsk) (RosterAnswer, error)
}

// Decoder reads what replicas have written.
type Decoder interface {
	Replica(rec work.Record) (work.Replica, error)
}

// Mirror is the service. It stands between the log and those who follow what all boxes must know.
type Mirror struct {
	self    work.Box
	log     work.Log
	boxes   Boxes
	peers   Peers
	decoder Decoder
	logger  *slog.Logger
	// drawn is told of the levels at which this box's part of the replicas was drawn.
	drawn  func(levels subset.Levels)
	ranks  *ranks
	shuns  *shunned
	roster *roster
	hosts  *hosts
	cancel context.CancelFunc
	done   sync.WaitGroup
	// sized is closed once the members of the fleet were first known.
	sized chan struct{}

	mu sync.Mutex
	// copies are what this box tells others as a source.
	copies map[work.Topic]*topicCopy
	// levels are those of this box's own part.
	levels subset.Levels
	// looks counts the looks for members before the first that found them.
	looks int
	found bool
	// untold is since when no source has told the members; zero while one does.
	untold time.Time
	// last is the newest list of members that a source told, and lastFrom that source's name: differences are to it.
	last     list
	lastFrom string
}

// New makes a mirror of a box. The zones are all availability zones, sorted.
func New(self work.Box, zones []string, log work.Log, boxes Boxes, peers Peers, decoder Decoder, logger *slog.Logger) *Mirror {
	m := &Mirror{
		self: self, log: log, boxes: boxes, peers: peers, decoder: decoder, logger: logger,
		drawn: func(subset.Levels) {}, ranks: &ranks{zone: self.Zone}, shuns: &shunned{until: map[string]time.Time{}},
		sized: make(chan struct{}), copies: map[work.Topic]*topicCopy{},
	}
	m.hosts = newHosts(self, zones, log, logger)
	m.roster = newRoster(m.readMembers)
	return m
}

// OnDrawn calls do with the levels at which the box's part of the replicas is drawn. It must be called before Start.
func (m *Mirror) OnDrawn(do func(levels subset.Levels)) {
	m.drawn = do
}

// Start implements a service.
func (m *Mirror) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { kernel.Every(ctx, tendEvery, func() { m.tend(ctx) }) })
	return nil
}

// Stop implements a service.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// tend announces this box while it ranks as a source, so that boxes that start find it.
func (m *Mirror) tend(ctx context.Context) {
	if !m.boxes.Trusted() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, callWait)
	defer stop()
	live := m.boxes.Live()
	sources, _ := m.ranks.Of(live)
	m.hosts.Tend(ctx, contains(sources, m.self.Name), live)
	if m.Serving() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.copies) > 0 {
		m.logger.Info("mirror: source no longer")
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

// Serving reports whether this box is a source.
func (m *Mirror) Serving() bool {
	if m.hosts.Serving() {
		return true
	}
	sources, _ := m.sources()
	return contains(sources, m.self.Name)
}

// sources are those of this box's zone: by rank once it knows who lives, before that those which are announced.
func (m *Mirror) sources() (sources []work.Box, near int) {
	sources, near = m.ranks.Of(m.boxes.Live())
	if m.boxes.Trusted() {
		return sources, near
	}
	return m.hosts.Known(), near
}

// others are the sources to ask, in order; none if this box reads for itself. Those that announced themselves at a start
// come behind those by rank: views that still grow differ on the ranks.
func (m *Mirror) others() []work.Box {
	sources, _ := m.sources()
	if len(sources) == 0 {
		return nil
	}
	asked := m.shuns.order(m.self.Name, sources)
	for _, box := range m.shuns.order(m.self.Name, m.hosts.Known()) {
		if !contains(asked, box.Name) {
			asked = append(asked, box)
		}
	}
	return asked
}

// Join implements view.Log.
func (m *Mirror) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	return m.log.Join(ctx, member, generation, ttl)
}

// Leave implements view.Log.
func (m *Mirror) Leave(ctx context.Context, member string) error {
	return m.log.Leave(ctx, member)
}

func notSource() error {
	return fault.Refuse(fault.OwnerUnknown, "this box is no source")
}
