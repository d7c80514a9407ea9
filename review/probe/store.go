package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeLatency is the time that a call of the store takes.
	storeLatency = 4 * time.Millisecond
	// maxPageRecords and maxPageBytes bound a page of newest records, maxReadBytes the records of a read.
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
	maxReadBytes   = 1 << 20
	// sequencesKept is how many of a producer's latest appends get their first answer again.
	sequencesKept = 5
	// memberParts is the number of parts of each topic.
	memberParts = 24
	// linkPiece is the length of the pieces in which the answers to a box take turns.
	linkPiece = 8 << 10
)

// storePart is a partition of a topic.
type storePart struct {
	records [][]byte
	newest  map[string]int64
	values  map[string][]byte

	epoch, sequence int64
	hasWriter       bool
	// answers holds the end offsets of the latest appends by sequence number.
	answers map[int64][2]int64
}

// storeMember is a member of the group.
type storeMember struct {
	until  time.Time
	topics []string
}

// store is a stand-in of the platform's store. It loses nothing that it has acknowledged and is linearizable.
type store struct {
	mu         sync.Mutex
	changed    chan struct{}
	parts      map[string]*storePart
	members    map[string]storeMember
	generation int64
}

// link is the network link of a box, which all answers of the store to it share.
type link struct {
	store          *store
	bytesPerSecond int

	mu sync.Mutex
	// next is when the next piece of an answer may be sent.
	next time.Time
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.store.ServeHTTP(pacedWriter{w, l}, r)
}

// await waits until a piece of the given length may be sent.
func (l *link) await(length int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(length) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.next.Sub(now)
	l.mu.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// pacedWriter sends an answer in pieces over a link.
type pacedWriter struct {
	http.ResponseWriter
	link *link
}

// Write implements io.Writer.
func (p pacedWriter) Write(data []byte) (int, error) {
	sent := 0
	for len(data) > 0 {
		piece := data[:min(len(data), linkPiece)]
		p.link.await(len(piece))
		n, err := p.ResponseWriter.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
		data = data[len(piece):]
	}
	return sent, nil
}

// open returns an address of the store that a box reaches over a link with the given bandwidth in Mbit/s.
func (s *store) open(ip string, mbps float64) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, &link{store: s, bytesPerSecond: int(mbps * 1e6 / 8)}) }()
	return ln.Addr().String(), nil
}

// newStore returns an empty store.
func newStore() *store {
	return &store{changed: make(chan struct{}), parts: map[string]*storePart{}, members: map[string]storeMember{}}
}

// part returns a partition, which it creates at its first use. The caller holds mu.
func (s *store) part(topic, number string) *storePart {
	name := topic + "/" + number
	p, ok := s.parts[name]
	if !ok {
		p = &storePart{newest: map[string]int64{}, values: map[string][]byte{}, answers: map[int64][2]int64{}}
		s.parts[name] = p
	}
	return p
}

// wake wakes the reads that wait. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put adds a record as the operator or a replica does.
func (s *store) put(topic, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(append(append([]byte{byte(len(key))}, key...), raw...))
	s.wake()
}

func (p *storePart) end() int64 { return int64(len(p.records)) }

func (p *storePart) add(rec []byte) {
	if len(rec) > 0 && 1+int(rec[0]) <= len(rec) {
		key, value := string(rec[1:1+int(rec[0])]), rec[1+int(rec[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
			delete(p.values, key)
		} else {
			p.newest[key], p.values[key] = p.end(), value
		}
	}
	p.records = append(p.records, rec)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	query := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		status, out := s.append(query, body)
		reply(w, status, out)
	case "/-/log-read":
		s.read(w, r, query)
	case "/-/log-newest":
		reply(w, http.StatusOK, s.newestPage(query))
	case "/-/log-join", "/-/log-leave", "/-/log-owners":
		s.group(w, r.URL.Path, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func number(query url.Values, name string) int64 {
	n, _ := strconv.ParseInt(query.Get(name), 10, 64)
	return n
}

func (s *store) append(query url.Values, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body) > callBytes {
		return http.StatusRequestEntityTooLarge, map[string]any{}
	}
	var recs [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			return http.StatusBadRequest, map[string]any{}
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > recordBytes {
			return http.StatusRequestEntityTooLarge, map[string]any{}
		}
		recs = append(recs, rest[4:4+size])
		rest = rest[4+size:]
	}
	p := s.part(query.Get("topic"), query.Get("part"))
	if query.Get("producer") != "" {
		epoch, sequence := number(query, "epoch"), number(query, "sequence")
		switch {
		case p.hasWriter && epoch < p.epoch:
			return http.StatusConflict, map[string]any{"why": "fenced"}
		case !p.hasWriter || epoch > p.epoch:
			p.answers = map[int64][2]int64{}
		case sequence <= p.sequence && sequence > p.sequence-sequencesKept:
			first := p.answers[sequence]
			return http.StatusOK, map[string]any{"offset": first[0], "end_offset": first[1]}
		case sequence != p.sequence+1:
			return http.StatusConflict, map[string]any{"why": "seq", "sequence": p.sequence + 1}
		}
		p.epoch, p.sequence, p.hasWriter = epoch, sequence, true
	}
	offset := p.end()
	for _, rec := range recs {
		p.add(rec)
	}
	if query.Get("producer") != "" {
		p.answers[p.sequence] = [2]int64{offset, p.end()}
	}
	s.wake()
	return http.StatusOK, map[string]any{"offset": offset, "end_offset": p.end()}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, query url.Values) {
	from := number(query, "from_revision")
	deadline := time.After(time.Duration(number(query, "wait_ms")) * time.Millisecond)
	s.mu.Lock()
	p := s.part(query.Get("topic"), query.Get("part"))
	for waiting := true; waiting && p.end() <= from; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	raw := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for at := from; at >= 0 && at < p.end() && (at == from || len(raw)+len(p.records[at]) < maxReadBytes); at++ {
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(p.records[at])))
		raw = append(raw, p.records[at]...)
	}
	s.mu.Unlock()
	_, _ = w.Write(raw)
}

func (s *store) newestPage(query url.Values) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(query.Get("topic"), query.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []map[string]any{}, 0
	more := false
	for _, key := range keys {
		if len(items) == maxPageRecords || (len(items) > 0 && size+len(p.values[key]) > maxPageBytes) {
			more = true
			break
		}
		size += len(p.values[key])
		items = append(items, map[string]any{"private_key": key, "value": base64.StdEncoding.EncodeToString(p.values[key]), "offset": p.newest[key]})
	}
	return map[string]any{"items": items, "more_pages": more, "end_offset": p.end()}
}

// group serves the calls of the only group.
func (s *store) group(w http.ResponseWriter, path string, body []byte) {
	var req struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`
	}
	if len(body) > 0 && json.Unmarshal(body, &req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, m := range s.members {
		if now.After(m.until) || (path == "/-/log-leave" && name == req.Member) {
			delete(s.members, name)
			s.generation++
		}
	}
	switch path {
	case "/-/log-join":
		before, ok := s.members[req.Member]
		if !ok || !slices.Equal(before.topics, req.Topics) {
			s.generation++
		}
		s.members[req.Member] = storeMember{until: now.Add(time.Duration(req.TTL) * time.Millisecond), topics: req.Topics}
		parts := []any{}
		for _, row := range s.owners() {
			if row[2] == req.Member {
				parts = append(parts, []any{row[0], row[1], 0})
			}
		}
		reply(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": req.TTL, "parts": parts})
	case "/-/log-owners":
		reply(w, http.StatusOK, map[string]any{"owners": s.owners()})
	default:
		reply(w, http.StatusOK, map[string]any{})
	}
}

// owners deals the parts of each topic evenly to the members that ask for it. The caller holds mu.
func (s *store) owners() [][]any {
	byTopic := map[string][]string{}
	for name, m := range s.members {
		for _, topic := range m.topics {
			byTopic[topic] = append(byTopic[topic], name)
		}
	}
	topics := make([]string, 0, len(byTopic))
	for topic := range byTopic {
		topics = append(topics, topic)
	}
	sort.Strings(topics)
	rows, dealt := [][]any{}, 0
	for _, topic := range topics {
		names := byTopic[topic]
		sort.Strings(names)
		for part := range memberParts {
			rows = append(rows, []any{topic, part, names[dealt%len(names)], 0})
			dealt++
		}
	}
	return rows
}
