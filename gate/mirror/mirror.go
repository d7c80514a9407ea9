package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// callWait bounds one call to the log that reads a part of a long topic.
	callWait = 3 * time.Second
	// answerWait is how much longer than it may hold a question a source may take for its answer, or a list of members.
	answerWait = 400 * time.Millisecond
	// wholeWait bounds the answer with a whole part: some hundred kilobytes over a slow link.
	wholeWait = 2 * time.Second
	// tendEvery is the time between two looks at whether this box should be announced as a source.
	tendEvery = time.Second
	// servesFor is how long a box that has announced itself while the fleet started serves, however it ranks.
	servesFor = 10 * time.Second
	// patience is how long at least a box waits for a source before it reads a topic itself, and spread, at random, how
	// much longer for each box of its zone: so many that read all at once, or within a few seconds, would be more than
	// the log bears.
	patience   = 2 * time.Second
	spread     = 100 * time.Millisecond
	sourceWait = 150 * time.Millisecond
	// membersPatience is the same for the members, where sources that have just died are still asked; after it one box in
	// membersDraw reads them at each of its heartbeats, and after membersMost each that still waits.
	membersPatience = 800 * time.Millisecond
	membersMost     = 2500 * time.Millisecond
	membersDraw     = 3
	// sizeWait is how long a box that starts waits to hear how large the fleet is.
	sizeWait = time.Second
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

// Log is the log as this box reaches it.
type Log interface {
	Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error
	Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error)
	Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error)
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	Leave(ctx context.Context, member string) error
	Members(ctx context.Context) ([]string, error)
}

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

// CopyAsk asks a source for a topic.
type CopyAsk struct {
	Topic work.Topic `json:"topic"`
	// Box is the asker's name.
	Box string `json:"box"`
	// Whole asks for all newest records that the box knows; otherwise for those from the offset From on, or as soon as
	// there are some, within Wait. Levels are those at which the asker's part was drawn.
	Whole  bool          `json:"whole,omitempty"`
	From   int64         `json:"from"`
	Wait   time.Duration `json:"wait,omitempty"`
	Levels subset.Levels `json:"levels,omitempty"`
}

// CopyAnswer is a source's answer.
type CopyAnswer struct {
	Page   work.Page     `json:"page"`
	Levels subset.Levels `json:"levels,omitempty"`
}

// Mirror is the service. It stands between the log and those who follow what all boxes must know.
type Mirror struct {
	self    work.Box
	shard   work.Shard
	log     Log
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
	// last is the newest list of members from each source, by its name.
	last map[string]list
}

// New makes a mirror of a box. The zones are all availability zones, sorted.
func New(self work.Box, zones []string, log Log, boxes Boxes, peers Peers, decoder Decoder, logger *slog.Logger) *Mirror {
	m := &Mirror{
		self: self, log: log, boxes: boxes, peers: peers, decoder: decoder, logger: logger,
		drawn: func(subset.Levels) {}, ranks: &ranks{zone: self.Zone}, shuns: &shunned{until: map[string]time.Time{}},
		sized: make(chan struct{}), copies: map[work.Topic]*topicCopy{}, last: map[string]list{},
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
		m.mu.Lock()
		have := m.last[box.Name]
		m.mu.Unlock()
		next, err := m.askRoster(ctx, box, RosterAsk{Generation: generation, Have: have.digest}, have)
		if err != nil {
			m.shuns.Add(box.Name, shunFor)
			m.logger.Debug("mirror: members not told", "source", box.Name, "cause", err)
			continue
		}
		m.mu.Lock()
		m.last, m.untold = map[string]list{box.Name: next}, time.Time{}
		m.mu.Unlock()
		return next.members, true
	}
	return nil, false
}

func (m *Mirror) askRoster(ctx context.Context, box work.Box, ask RosterAsk, have list) (list, error) {
	ctx, stop := context.WithTimeout(ctx, answerWait)
	defer stop()
	answer, err := m.peers.Roster(ctx, box, ask)
	if err != nil {
		return list{}, err
	}
	next, ok := have.apply(answer)
	if !ok {
		m.mu.Lock()
		delete(m.last, box.Name)
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

func notSource() error {
	return fault.Refuse(fault.OwnerUnknown, "this box is no source")
}

// All implements feed.Log.
func (m *Mirror) All(ctx context.Context, topic work.Topic) (work.Whole, error) {
	m.awaitSize(ctx)
	_, near := m.sources()
	until := time.Now().Add(patience + rand.N(spread*time.Duration(near+1)))
	for ctx.Err() == nil {
		if m.Serving() {
			return m.serve(ctx, topic)
		}
		boxes := m.others()
		if len(boxes) == 0 || time.Now().After(until) {
			break
		}
		if whole, ok := m.askWhole(ctx, boxes, topic); ok {
			return whole, nil
		}
		pause(ctx, sourceWait)
	}
	return m.readWhole(ctx, topic)
}

// awaitSize waits until the box knows how large the fleet is.
func (m *Mirror) awaitSize(ctx context.Context) {
	if m.known() {
		return
	}
	select {
	case <-m.sized:
	case <-time.After(sizeWait):
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// askWhole asks the sources for the box's part of a topic, one after the other.
func (m *Mirror) askWhole(ctx context.Context, boxes []work.Box, topic work.Topic) (work.Whole, bool) {
	for _, box := range boxes {
		answer, err := m.askCopy(ctx, box, CopyAsk{Topic: topic, Box: m.self.Name, Whole: true}, wholeWait)
		if err != nil {
			m.logger.Debug("mirror: topic not told", "source", box.Name, "topic", topic, "cause", err)
			continue
		}
		if topic == work.Replicas {
			m.draw(answer.Levels)
		}
		return work.Whole{Records: answer.Page.Records, Next: answer.Page.Next, Age: answer.Page.Age}, true
	}
	return work.Whole{}, false
}

func (m *Mirror) askCopy(ctx context.Context, box work.Box, ask CopyAsk, wait time.Duration) (CopyAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	return m.peers.Copy(ctx, box, ask)
}

// draw notes the levels of the box's own part.
func (m *Mirror) draw(levels subset.Levels) {
	m.mu.Lock()
	m.levels = levels
	m.mu.Unlock()
	m.drawn(levels)
}

// readAll reads a topic whole from the log.
func (m *Mirror) readAll(ctx context.Context, topic work.Topic) (*topicCopy, error) {
	asked := time.Now()
	var whole work.Whole
	next, err := work.AllNewest(ctx, m.log, work.Shard{Topic: topic}, callWait, func(rec work.Record) { whole.Records = append(whole.Records, rec) })
	if err != nil {
		return nil, err
	}
	whole.Next = next
	return newCopy(m.group(topic), whole, asked), nil
}

// group tells the group of a topic's records.
func (m *Mirror) group(topic work.Topic) func(work.Record) string {
	if topic != work.Replicas {
		return func(work.Record) string { return "" }
	}
	return func(rec work.Record) string {
		rep, err := m.decoder.Replica(rec)
		if err != nil {
			return "" // all boxes know it, and say that it names no replica
		}
		return subset.Group(rep.Service, rep.Zone)
	}
}

// serve returns this box's own part as a source: of the copy that it keeps, or of one that it reads now.
func (m *Mirror) serve(ctx context.Context, topic work.Topic) (work.Whole, error) {
	m.mu.Lock()
	whole := m.copies[topic]
	m.mu.Unlock()
	if whole == nil {
		return m.load(ctx, topic)
	}
	return m.own(topic, whole)
}

// load reads a topic as a source, keeps it for others and returns this box's own part.
func (m *Mirror) load(ctx context.Context, topic work.Topic) (work.Whole, error) {
	whole, err := m.readAll(ctx, topic)
	if err != nil {
		return work.Whole{}, err
	}
	m.mu.Lock()
	m.copies[topic] = whole
	m.mu.Unlock()
	m.logger.Info("mirror: source of a topic", "topic", topic, "records", len(whole.newest))
	return m.justRead(topic, whole)
}

// readWhole reads a topic for this box alone.
func (m *Mirror) readWhole(ctx context.Context, topic work.Topic) (work.Whole, error) {
	whole, err := m.readAll(ctx, topic)
	if err != nil {
		return work.Whole{}, err
	}
	return m.justRead(topic, whole)
}

// justRead returns this box's part of a copy whose question was sent after the caller asked.
func (m *Mirror) justRead(topic work.Topic, whole *topicCopy) (work.Whole, error) {
	part, err := m.own(topic, whole)
	part.Age = 0
	return part, err
}

// own returns this box's part of a copy.
func (m *Mirror) own(topic work.Topic, whole *topicCopy) (work.Whole, error) {
	sources, near := m.sources()
	if len(sources) == 0 {
		near = 0 // of a small zone each box knows all
	}
	part, levels, err := whole.All(m.self.Name, near)
	if err != nil {
		return work.Whole{}, err
	}
	if topic == work.Replicas {
		m.draw(levels)
	}
	return part, nil
}

// Read implements feed.Log.
func (m *Mirror) Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	if m.Serving() {
		return m.readOn(ctx, topic, from, wait)
	}
	m.mu.Lock()
	levels := m.levels
	m.mu.Unlock()
	for _, box := range m.others() {
		ask := CopyAsk{Topic: topic, Box: m.self.Name, From: from, Wait: wait, Levels: levels}
		answer, err := m.askCopy(ctx, box, ask, wait+answerWait)
		if err == nil || fault.Is(err, fault.HistoryGone) {
			return answer.Page, err
		}
		m.shuns.Add(box.Name, shunForSlow)
		m.logger.Debug("mirror: news not told", "source", box.Name, "topic", topic, "cause", err)
		wait = 0 // it may have been there for as long as the source took
	}
	page, err := m.log.Read(ctx, work.Shard{Topic: topic}, from, wait)
	if err != nil {
		return page, err
	}
	return m.ownPage(topic, levels, page), nil
}

// ownPage leaves out the replicas that this box does not know. One that went is told to all.
func (m *Mirror) ownPage(topic work.Topic, levels subset.Levels, page work.Page) work.Page {
	if topic != work.Replicas || len(levels) == 0 {
		return page
	}
	group := m.group(topic)
	var recs []work.Record
	for _, rec := range page.Records {
		if len(rec.Value) == 0 || levels.Holds(m.self.Name, rec.Key, group(rec)) {
			recs = append(recs, rec)
		}
	}
	page.Records = recs
	return page
}

// forget drops the copy of a topic, so that all is read anew.
func (m *Mirror) forget(topic work.Topic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.copies, topic)
}

// readOn reads on as a source. Where its copy does not end at the offset, all is to be read anew; where this box's own part
// has no fair size any more, that is to be drawn anew from the copy.
func (m *Mirror) readOn(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	m.mu.Lock()
	whole, levels := m.copies[topic], m.levels
	m.mu.Unlock()
	if whole == nil || !whole.At(from) {
		m.forget(topic)
		return work.Page{}, fault.Refuse(fault.HistoryGone, "a source reads all anew")
	}
	asked := time.Now()
	page, err := m.log.Read(ctx, work.Shard{Topic: topic}, from, wait)
	if fault.Is(err, fault.HistoryGone) {
		m.forget(topic)
	}
	if err != nil {
		return page, err
	}
	whole.Add(page, asked)
	if sources, near := m.sources(); topic == work.Replicas && len(sources) > 0 && !whole.Fits(levels, near) {
		return work.Page{}, fault.Refuse(fault.HistoryGone, "the part is to be drawn anew")
	}
	return m.ownPage(topic, levels, page), nil
}

// Copy tells another box of a topic, as a source.
func (m *Mirror) Copy(ctx context.Context, ask CopyAsk) (CopyAnswer, error) {
	m.mu.Lock()
	whole := m.copies[ask.Topic]
	m.mu.Unlock()
	// Before it knows who lives, a source would draw parts for far too few boxes: a thousand whole lists.
	if whole == nil || !m.boxes.Trusted() {
		return CopyAnswer{}, notSource()
	}
	_, near := m.sources()
	if ask.Whole {
		part, levels, err := whole.All(ask.Box, near)
		return CopyAnswer{Page: work.Page{Records: part.Records, Next: part.Next, Age: part.Age}, Levels: levels}, err
	}
	return m.news(ctx, whole, ask, near)
}

// news waits for records that the box knows.
func (m *Mirror) news(ctx context.Context, whole *topicCopy, ask CopyAsk, near int) (CopyAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, ask.Wait)
	defer stop()
	for {
		page, changed, err := whole.Since(ask.From, ask.Box, near, ask.Levels)
		if err != nil || len(page.Records) > 0 || ctx.Err() != nil {
			return CopyAnswer{Page: page}, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
