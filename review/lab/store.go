package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store, as the settings of the boxes state them.
const (
	partsPerTopic  = 24
	maxRecordBytes = 256 << 10
	maxCallBytes   = 2 << 20
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
	repeatableLast = 5
	// maxKept is the number of bytes that the store keeps in all, historyFor the time for which it keeps its history, and
	// partitionBytes the size of a partition beyond which its oldest records go.
	maxKept, historyFor, partitionBytes = 400 << 20, 20 * time.Second, 200 << 20
)

// store is a stand-in of the platform's log.
type store struct {
	addr string

	mu    sync.Mutex
	parts map[string]*part
	// kept is the size of the records that are kept, in bytes, and refused the number of appends that found no room.
	kept, refused int
	members       map[string]member
	// generation counts the changes of the only group.
	generation int64
}

// part is a partition of a topic.
type part struct {
	// records holds the records by their offset; those that are not kept have no data. The history begins at first.
	records []stored
	first   int
	size    int
	// newest holds the offset of the newest record of each key that has a value.
	newest       map[string]int
	epoch        int64
	lastSequence int64
	// answers holds the answers to the latest appends of the epoch by their sequence.
	answers map[int64]map[string]any
	// changed is closed at the next record.
	changed chan struct{}
}

// stored is a record and when it was added.
type stored struct {
	data []byte
	at   time.Time
}

type member struct {
	until  time.Time
	topics []string
}

// newStore starts a store on a free port of the address.
func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), parts: map[string]*part{}, members: map[string]member{}}
	go func() { _ = http.Serve(ln, s) }() //nolint:gosec // a stand-in on loopback
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			s.age()
		}
	}()
	return s, nil
}

func (s *store) part(topic, number string) *part {
	name := topic + "/" + number
	p, ok := s.parts[name]
	if !ok {
		p = &part{newest: map[string]int{}, epoch: -1, answers: map[int64]map[string]any{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// add appends a record.
func (s *store) add(p *part, keyed bool, rec []byte) {
	if keyed && len(rec) > 0 && len(rec) > int(rec[0]) {
		key := string(rec[1 : 1+rec[0]])
		before, had := p.newest[key]
		delete(p.newest, key)
		if had && before < p.first {
			s.drop(p, before)
		}
		if len(rec) > 1+int(rec[0]) {
			p.newest[key] = len(p.records)
		}
	}
	p.records = append(p.records, stored{data: rec, at: time.Now()})
	p.size += len(rec)
	s.kept += len(rec)
	close(p.changed)
	p.changed = make(chan struct{})
}

// drop drops the data of a record.
func (s *store) drop(p *part, at int) {
	s.kept -= len(p.records[at].data)
	p.size -= len(p.records[at].data)
	p.records[at].data = nil
}

// age drops the history that is too old or too long. The newest record of each key of a keyed topic stays.
func (s *store) age() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts {
		newest := map[int]bool{}
		for _, at := range p.newest {
			newest[at] = true
		}
		for p.first < len(p.records) && (time.Since(p.records[p.first].at) > historyFor || p.size > partitionBytes) {
			if !newest[p.first] {
				s.drop(p, p.first)
			}
			p.first++
		}
	}
}

// put writes a record as the operator or a replica does. Without a value, the key is dropped.
func (s *store) put(topic, key string, value any) {
	rec := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		rec = append(rec, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, "0"), true, rec)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		status, answer := s.append(query, body)
		writeJSON(w, status, answer)
	case "/-/log-read":
		s.read(w, r, query)
	case "/-/log-newest":
		writeJSON(w, http.StatusOK, s.newest(query))
	case "/-/log-trim":
		s.trim(query)
		writeJSON(w, http.StatusOK, map[string]any{})
	case "/-/log-join", "/-/log-leave", "/-/log-owners":
		writeJSON(w, http.StatusOK, s.group(r.URL.Path, body))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	raw, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// split returns the records of a call; false if one is malformed or too long.
func split(body []byte) ([][]byte, bool) {
	var recs [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > maxRecordBytes || size > len(body)-4 {
			return nil, false
		}
		recs = append(recs, body[4:4+size])
		body = body[4+size:]
	}
	return recs, true
}

func (s *store) append(query url.Values, body []byte) (int, map[string]any) {
	recs, ok := split(body)
	if !ok || len(body) > maxCallBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		return http.StatusForbidden, nil
	}
	p := s.part(topic, query.Get("part"))
	if s.kept >= maxKept {
		s.refused++
		return http.StatusInsufficientStorage, nil
	}
	sequence := int64(-1)
	if query.Get("producer") != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(query.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"why": "fenced"}
		case epoch > p.epoch:
			p.epoch, p.answers = epoch, map[int64]map[string]any{}
		case p.answers[sequence] != nil:
			return http.StatusOK, p.answers[sequence]
		case sequence != p.lastSequence+1:
			return http.StatusConflict, map[string]any{"why": "seq", "sequence": p.lastSequence + 1}
		}
		p.lastSequence = sequence
	}
	answer := map[string]any{"offset": len(p.records), "end_offset": len(p.records) + len(recs)}
	for _, rec := range recs {
		s.add(p, strings.HasPrefix(topic, "keyed."), rec)
	}
	if sequence >= 0 {
		p.answers[sequence] = answer
		delete(p.answers, sequence-repeatableLast)
	}
	return http.StatusOK, answer
}

// trim drops the records of a partition before an offset.
func (s *store) trim(query url.Values) {
	before, _ := strconv.Atoi(query.Get("before_revision"))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(query.Get("topic"), query.Get("part"))
	before = min(before, len(p.records))
	for at := range before {
		s.drop(p, at)
	}
	p.first = max(p.first, before)
	maps.DeleteFunc(p.newest, func(_ string, at int) bool { return at < before })
}

func (s *store) read(w http.ResponseWriter, r *http.Request, query url.Values) {
	from, _ := strconv.Atoi(query.Get("from_revision"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit, err := strconv.Atoi(query.Get("max_kilobytes"))
	if err != nil {
		limit = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	p := s.part(query.Get("topic"), query.Get("part"))
	for len(p.records) <= from {
		changed := p.changed
		s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			break
		}
	}
	if from < p.first {
		first := p.first
		s.mu.Unlock()
		writeJSON(w, http.StatusGone, map[string]any{"first_offset": first})
		return
	}
	raw := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	raw = binary.BigEndian.AppendUint64(raw, uint64(p.first))
	for at := from; at < len(p.records); at++ {
		if at > from && len(raw)+len(p.records[at].data) > limit<<10 {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(p.records[at].data)))
		raw = append(raw, p.records[at].data...)
	}
	s.mu.Unlock()
	_, _ = w.Write(raw)
}

func (s *store) newest(query url.Values) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(query.Get("topic"), query.Get("part"))
	items, more, size := []map[string]any{}, false, 0
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= query.Get("after") {
			continue
		}
		at := p.newest[key]
		value := p.records[at].data[1+len(key):]
		size += len(value)
		if len(items) >= maxPageRecords || (len(items) > 0 && size > maxPageBytes) {
			more = true
			break
		}
		items = append(items, map[string]any{"private_key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": at})
	}
	return map[string]any{"items": items, "more_pages": more, "end_offset": len(p.records)}
}

// group serves the calls about the only group.
func (s *store) group(path string, body []byte) map[string]any {
	var req struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`
	}
	_ = json.Unmarshal(body, &req) // a query for the owners has no body
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
		if before, ok := s.members[req.Member]; !ok || !slices.Equal(before.topics, req.Topics) {
			s.generation++
		}
		s.members[req.Member] = member{until: now.Add(time.Duration(req.TTL) * time.Millisecond), topics: req.Topics}
		parts := []any{}
		for _, row := range s.owners() {
			if row[2] == req.Member {
				parts = append(parts, []any{row[0], row[1], row[3]})
			}
		}
		return map[string]any{"generation": s.generation, "parts": parts}
	case "/-/log-owners":
		return map[string]any{"owners": s.owners()}
	default:
		return map[string]any{}
	}
}

// owners deals the partitions evenly to the members that list their topics.
func (s *store) owners() [][]any {
	byTopic := map[string][]string{}
	for name, m := range s.members {
		for _, topic := range m.topics {
			byTopic[topic] = append(byTopic[topic], name)
		}
	}
	rows, dealt := [][]any{}, 0
	for _, topic := range slices.Sorted(maps.Keys(byTopic)) {
		names := byTopic[topic]
		slices.Sort(names)
		for number := range partsPerTopic {
			rows = append(rows, []any{topic, number, names[dealt%len(names)], 0})
			dealt++
		}
	}
	return rows
}
