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
	// callWait bounds one call to the log that reads a part of a long topic.
	callWait = 3 * time.Second
	// wholeWait bounds the answer with a whole part: some hundred kilobytes over a slow link.
	wholeWait = 2 * time.Second
	// patience is how long at least a box waits for a source before it reads a topic itself, and spread, at random, how
	// much longer for each box of its zone: so many that read all at once, or within a few seconds, would be more than
	// the log bears. It asks again every sourceWait.
	patience   = 2 * time.Second
	spread     = 100 * time.Millisecond
	sourceWait = 150 * time.Millisecond
	// sizeWait is how long a box that starts waits to hear how large the fleet is.
	sizeWait = time.Second
)

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
