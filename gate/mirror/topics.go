package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// logCallTimeout is the timeout of one call to the log; a large topic is read with several calls.
	logCallTimeout = 3 * time.Second
	// partTimeout is the timeout of a request for a whole part, which may be large and cross a slow link.
	partTimeout = 2 * time.Second
	// minSourceWait is the least time that a box waits for a source before it reads a topic from the log. A
	// random time of up to sourceWaitPerBox per box of its zone is added, so that not all boxes read from the
	// log at once. Meanwhile it asks the sources again every sourceRetryInterval.
	minSourceWait       = 2 * time.Second
	sourceWaitPerBox    = 100 * time.Millisecond
	sourceRetryInterval = 150 * time.Millisecond
	// membersTimeout is how long a starting box waits for the members, which give the size of the zone.
	membersTimeout = time.Second
)

// CopyRequest requests records of a topic from a source.
type CopyRequest struct {
	Topic work.Topic `json:"topic"`
	// Box is the name of the box that asks.
	Box string `json:"box"`
	// Whole requests the newest records of the box's part. Otherwise the request is for the records from the
	// offset From on and waits up to Wait for some. Levels are those at which the box's part was drawn.
	Whole  bool          `json:"whole,omitempty"`
	From   int64         `json:"from"`
	Wait   time.Duration `json:"wait,omitempty"`
	Levels subset.Levels `json:"levels,omitempty"`
}

// CopyResponse is a source's answer to a CopyRequest.
type CopyResponse struct {
	Page   work.Page     `json:"page"`
	Levels subset.Levels `json:"levels,omitempty"`
}

// Snapshot implements feed.Log.
func (m *Mirror) Snapshot(ctx context.Context, topic work.Topic) (work.Snapshot, error) {
	m.awaitMembers(ctx)
	_, zoneSize := m.sources()
	deadline := time.Now().Add(minSourceWait + rand.N(sourceWaitPerBox*time.Duration(zoneSize+1)))
	for ctx.Err() == nil {
		if m.IsSource() {
			return m.ownPart(ctx, topic)
		}
		boxes := m.sourcesToAsk()
		if len(boxes) == 0 || time.Now().After(deadline) {
			break
		}
		if whole, ok := m.askWhole(ctx, boxes, topic); ok {
			return whole, nil
		}
		sleep(ctx, sourceRetryInterval)
	}
	return m.readOwnPart(ctx, topic)
}

// awaitMembers waits until the members have been read, for membersTimeout at most.
func (m *Mirror) awaitMembers(ctx context.Context) {
	if m.hasMembers() {
		return
	}
	select {
	case <-m.membersReady:
	case <-time.After(membersTimeout):
	case <-ctx.Done():
	}
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// askWhole asks the sources for this box's part of a topic, one after the other, until one returns it.
func (m *Mirror) askWhole(ctx context.Context, boxes []work.Box, topic work.Topic) (work.Snapshot, bool) {
	for _, box := range boxes {
		answer, err := m.askCopy(ctx, box, CopyRequest{Topic: topic, Box: m.self.Name, Whole: true}, partTimeout)
		if err != nil {
			m.logger.Debug("mirror: topic not received", "source", box.Name, "topic", topic, "cause", err)
			continue
		}
		if topic == work.Replicas {
			m.setLevels(answer.Levels)
		}
		return work.Snapshot{Records: answer.Page.Records, Next: answer.Page.Next, Age: answer.Page.Age}, true
	}
	return work.Snapshot{}, false
}

// askCopy sends the request to one source.
func (m *Mirror) askCopy(ctx context.Context, box work.Box, req CopyRequest, wait time.Duration) (CopyResponse, error) {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	answer, err := m.peers.Copy(ctx, box, req)
	if err == nil && !answer.answers(req) {
		return CopyResponse{}, fault.Fail(fault.Protocol, "a source's response is out of range")
	}
	return answer, err
}

// answers reports whether the numbers in the response can answer the request. Other offsets would lead this box to records
// that it has applied already, or to such that the log never has.
func (r CopyResponse) answers(req CopyRequest) bool {
	return r.Page.Next >= max(req.From, 0) && r.Page.Age >= 0 && r.Page.Age <= maxCopyAge && r.Levels.Valid()
}

// setLevels records the levels of this box's own part and passes them to the callback of OnLevels.
func (m *Mirror) setLevels(levels subset.Levels) {
	m.mu.Lock()
	m.levels = levels
	m.mu.Unlock()
	m.onLevels(levels)
}

// readTopic reads a whole topic from the log.
func (m *Mirror) readTopic(ctx context.Context, topic work.Topic) (*topicCopy, error) {
	sentAt := time.Now()
	var whole work.Snapshot
	next, err := work.AllNewest(ctx, m.log, work.Shard{Topic: topic}, logCallTimeout, func(rec work.Record) { whole.Records = append(whole.Records, rec) })
	if err != nil {
		return nil, err
	}
	whole.Next = next
	return newCopy(m.groupFunc(topic), whole, sentAt), nil
}

// groupFunc returns a function that returns the group of a record of the topic.
func (m *Mirror) groupFunc(topic work.Topic) func(work.Record) string {
	if topic != work.Replicas {
		return func(work.Record) string { return "" }
	}
	return func(rec work.Record) string {
		rep, err := m.decoder.Replica(rec)
		if err != nil {
			return "" // sent to all boxes, which report the malformed record
		}
		return subset.Group(rep.Service, rep.Zone)
	}
}

// ownPart returns this box's own part as a source, from its copy, which it reads from the log if it has none.
func (m *Mirror) ownPart(ctx context.Context, topic work.Topic) (work.Snapshot, error) {
	m.mu.Lock()
	cached := m.copies[topic]
	m.mu.Unlock()
	if cached == nil {
		return m.loadCopy(ctx, topic)
	}
	return m.partOf(topic, cached)
}

// loadCopy reads a topic from the log as a source, keeps the copy to serve others and returns this box's part.
func (m *Mirror) loadCopy(ctx context.Context, topic work.Topic) (work.Snapshot, error) {
	loaded, err := m.readTopic(ctx, topic)
	if err != nil {
		return work.Snapshot{}, err
	}
	m.mu.Lock()
	m.copies[topic] = loaded
	m.mu.Unlock()
	m.logger.Info("mirror: became a source of a topic", "topic", topic, "records", len(loaded.newest))
	return m.freshPartOf(topic, loaded)
}

// readOwnPart reads this box's part of a topic from the log without keeping a copy for others.
func (m *Mirror) readOwnPart(ctx context.Context, topic work.Topic) (work.Snapshot, error) {
	loaded, err := m.readTopic(ctx, topic)
	if err != nil {
		return work.Snapshot{}, err
	}
	return m.freshPartOf(topic, loaded)
}

// freshPartOf returns this box's part of a copy that was read during the call; its age is therefore zero.
func (m *Mirror) freshPartOf(topic work.Topic, cached *topicCopy) (work.Snapshot, error) {
	part, err := m.partOf(topic, cached)
	part.Age = 0
	return part, err
}

// partOf returns this box's part of a copy.
func (m *Mirror) partOf(topic work.Topic, cached *topicCopy) (work.Snapshot, error) {
	sources, zoneSize := m.sources()
	if len(sources) == 0 {
		zoneSize = 0 // in a small zone every box gets the whole topic
	}
	part, levels, err := cached.All(m.self.Name, zoneSize)
	if err != nil {
		return work.Snapshot{}, err
	}
	if topic == work.Replicas {
		m.setLevels(levels)
	}
	return part, nil
}

// SetMaxSettingsAge makes reads of the settings wait so little for new records that what a box knows of them is proven to be
// no older than the given age, as long as the log answers. Zero sets no limit. It must be called before Start.
func (m *Mirror) SetMaxSettingsAge(age time.Duration) {
	m.maxSettingsAge = age
}

const (
	// readOverhead is the part of the age of what a box knows that does not come from waiting: the pause between two
	// reads, and their answers on the way.
	readOverhead = 400 * time.Millisecond
	// minSettingsWait is the least time that a read of the settings may wait.
	minSettingsWait = 100 * time.Millisecond
)

// settingsWait returns the longest time that a read of the settings may wait. What a read proves is known to be
// current when it was sent, and lasts until the next one is answered, which is two waits later. By way of a source, it
// comes on top of the age of the source's copy.
func settingsWait(maxAge time.Duration, shared bool) time.Duration {
	reads := time.Duration(1)
	if shared {
		reads = 2
	}
	return max((maxAge-reads*readOverhead)/(2*reads), minSettingsWait)
}

// Read implements feed.Log.
func (m *Mirror) Read(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	if topic == work.Settings && m.maxSettingsAge > 0 {
		wait = min(wait, settingsWait(m.maxSettingsAge, m.IsSource() || len(m.sourcesToAsk()) > 0))
	}
	if m.IsSource() {
		return m.readAsSource(ctx, topic, from, wait)
	}
	m.mu.Lock()
	levels := m.levels
	m.mu.Unlock()
	for _, box := range m.sourcesToAsk() {
		req := CopyRequest{Topic: topic, Box: m.self.Name, From: from, Wait: wait, Levels: levels}
		answer, err := m.askCopy(ctx, box, req, wait+answerTimeout)
		if err == nil || fault.Is(err, fault.HistoryGone) {
			return answer.Page, err
		}
		m.backoff.Add(box.Name, readBackoff)
		m.logger.Debug("mirror: new records not received", "source", box.Name, "topic", topic, "cause", err)
		wait = 0 // records may have arrived while the source failed to answer
	}
	page, err := m.log.Read(ctx, work.Shard{Topic: topic}, from, wait)
	if err != nil {
		return page, err
	}
	return m.filterPage(topic, levels, page), nil
}

// filterPage removes the replicas that are not in this box's part. Records that delete a key are kept for
// every box.
func (m *Mirror) filterPage(topic work.Topic, levels subset.Levels, page work.Page) work.Page {
	if topic != work.Replicas || len(levels) == 0 {
		return page
	}
	group := m.groupFunc(topic)
	var recs []work.Record
	for _, rec := range page.Records {
		if len(rec.Value) == 0 || levels.Knows(m.self.Name, rec.Key, group(rec)) {
			recs = append(recs, rec)
		}
	}
	page.Records = recs
	return page
}

// dropCopy discards the copy of a topic, so that it is read again.
func (m *Mirror) dropCopy(topic work.Topic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.copies, topic)
}

// readAsSource reads new records from the log as a source. It returns HistoryGone if the caller must read the
// topic again with Snapshot: the copy does not end at the offset, or this box's part is too large or too small.
func (m *Mirror) readAsSource(ctx context.Context, topic work.Topic, from int64, wait time.Duration) (work.Page, error) {
	m.mu.Lock()
	cached, levels := m.copies[topic], m.levels
	m.mu.Unlock()
	if cached == nil || !cached.EndsAt(from) {
		m.dropCopy(topic)
		return work.Page{}, fault.Refuse(fault.HistoryGone, "the source must read the topic whole")
	}
	sentAt := time.Now()
	page, err := m.log.Read(ctx, work.Shard{Topic: topic}, from, wait)
	if fault.Is(err, fault.HistoryGone) {
		m.dropCopy(topic)
	}
	if err != nil {
		return page, err
	}
	cached.Add(page, sentAt)
	if sources, zoneSize := m.sources(); topic == work.Replicas && len(sources) > 0 && !cached.Fits(levels, zoneSize) {
		return work.Page{}, fault.Refuse(fault.HistoryGone, "the part must be drawn anew")
	}
	return m.filterPage(topic, levels, page), nil
}

// Copy answers another box's request for a topic, as a source.
func (m *Mirror) Copy(ctx context.Context, req CopyRequest) (CopyResponse, error) {
	if !req.Levels.Valid() {
		return CopyResponse{}, fault.Refuse(fault.BadRequest, "the levels of the part are out of range")
	}
	m.mu.Lock()
	cached := m.copies[req.Topic]
	m.mu.Unlock()
	// Before the view has settled, it holds too few boxes, and the parts would be far too large.
	if cached == nil || !m.boxes.HasSettled() {
		return CopyResponse{}, errNotSource()
	}
	_, zoneSize := m.sources()
	if req.Whole {
		part, levels, err := cached.All(req.Box, zoneSize)
		return CopyResponse{Page: work.Page{Records: part.Records, Next: part.Next, Age: part.Age}, Levels: levels}, err
	}
	return m.waitForRecords(ctx, cached, req, zoneSize)
}

// waitForRecords waits for records of the box's part, for req.Wait and maxCopyAge at most.
func (m *Mirror) waitForRecords(ctx context.Context, cached *topicCopy, req CopyRequest, zoneSize int) (CopyResponse, error) {
	ctx, stop := context.WithTimeout(ctx, min(req.Wait, maxCopyAge))
	defer stop()
	for {
		page, changed, err := cached.Since(req.From, req.Box, zoneSize, req.Levels)
		if err != nil || len(page.Records) > 0 || ctx.Err() != nil {
			return CopyResponse{Page: page}, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
