package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxRecordBytes and maxCallBytes are record_bytes and call_bytes of the settings.
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	// answerDelay is how long the store takes to answer a call.
	answerDelay = 4 * time.Millisecond
	// newestItems and newestBytes bound a page of newest records, defaultReadBytes the answer to a read.
	newestItems, newestBytes, defaultReadBytes = 500, 1 << 20, 1 << 20
	// standinPath is not the platform's: the driver writes records of the operator there, and replicas their entries.
	standinPath = "/standin/put"
	// serversTopic holds the entries of replicas, which expire.
	serversTopic = "keyed.servers"
)

// partition is a partition of a topic. The records from first on are kept.
type partition struct {
	records [][]byte
	first   int64
	// newest holds the value of each key and its offset.
	newest map[string]item
	// epoch and sequence are those of the newest append with a producer.
	epoch, sequence int64
	written         bool
	// answers holds the answers to the last five appends of the epoch, by sequence.
	answers map[int64]appendAnswer
}

// item is the newest record of a key.
type item struct {
	value  []byte
	offset int64
}

// appendAnswer is the answer to an append.
type appendAnswer struct {
	Offset    int64 `json:"offset"`
	EndOffset int64 `json:"end_offset"`
}

// member is a member of the group.
type member struct {
	topics  []string
	expires time.Time
}

// store is the stand-in of the platform's store. It loses nothing and answers all calls.
type store struct {
	mu         sync.Mutex
	changed    chan struct{}
	partitions map[string]*partition
	members    map[string]member
	generation int64
	// seen holds the time of the last heartbeat of each replica.
	seen map[string]time.Time
}

// serveStore serves the store until the process is ended.
func serveStore(address string) {
	s := &store{changed: make(chan struct{}), partitions: map[string]*partition{}, members: map[string]member{}, seen: map[string]time.Time{}}
	go s.expireEntries()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("POST /-/log-join", s.join)
	mux.HandleFunc("POST /-/log-leave", s.leave)
	mux.HandleFunc("GET /-/log-owners", s.owners)
	mux.HandleFunc("POST "+standinPath, s.put)
	fmt.Fprintln(os.Stderr, http.ListenAndServe(address, mux))
	os.Exit(exitNotRun)
}

// partition returns a partition, which it makes if needed. s.mu must be held.
func (s *store) partition(topic, number string) *partition {
	name := topic + "/" + number
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{newest: map[string]item{}, answers: map[int64]appendAnswer{}}
		s.partitions[name] = p
	}
	return p
}

// end returns the offset behind the newest record.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends a record, and keeps it as the newest of its key if the topic is keyed.
func (p *partition) add(rec []byte, keyed bool) {
	if keyed {
		key, value := string(rec[1:1+int(rec[0])]), rec[1+int(rec[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = item{value, p.end()}
		}
	}
	p.records = append(p.records, rec)
}

// wake wakes the reads that wait. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(answerDelay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

// split splits a body into records. It returns false if it is malformed or a record is too long.
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

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	recs, ok := split(body)
	if err != nil || !ok || len(body) > maxCallBytes {
		answer(w, http.StatusRequestEntityTooLarge, nil)
		return
	}
	status, out := s.appendRecords(r, recs)
	answer(w, status, out)
}

func (s *store) appendRecords(r *http.Request, recs [][]byte) (int, any) {
	query := r.URL.Query()
	topic := query.Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, query.Get("part"))
	if at := query.Get("at_revision"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end_offset": p.end()}
	}
	sequence := int64(-1)
	if query.Get("producer") != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(query.Get("sequence"), 10, 64)
		switch given, again := p.answers[sequence]; {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"why": "fenced"}
		case epoch > p.epoch || !p.written:
			p.epoch, p.written = epoch, true
			clear(p.answers)
		case again:
			return http.StatusOK, given
		case sequence != p.sequence+1:
			return http.StatusConflict, map[string]any{"why": "seq", "sequence": p.sequence + 1}
		}
		p.sequence = sequence
	}
	out := appendAnswer{Offset: p.end()}
	for _, rec := range recs {
		p.add(rec, strings.HasPrefix(topic, "keyed."))
	}
	out.EndOffset = p.end()
	if sequence >= 0 {
		const kept = 5
		p.answers[sequence] = out
		delete(p.answers, sequence-kept)
	}
	s.wake()
	return http.StatusOK, out
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit := defaultReadBytes
	if kb, err := strconv.Atoi(query.Get("max_kilobytes")); err == nil {
		limit = kb << 10
	}
	late := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	p := s.partition(query.Get("topic"), query.Get("part"))
	for waiting := wait > 0; waiting && p.end() <= from; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-late:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	if from < p.first {
		first := p.first
		s.mu.Unlock()
		answer(w, http.StatusGone, map[string]int64{"first_offset": first})
		return
	}
	raw := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	raw = binary.BigEndian.AppendUint64(raw, uint64(p.first))
	for at := from; at < p.end(); at++ {
		rec := p.records[at-p.first]
		if at > from && len(raw)+len(rec) > limit {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(rec)))
		raw = append(raw, rec...)
	}
	s.mu.Unlock()
	time.Sleep(answerDelay)
	_, _ = w.Write(raw) // the caller may have gone
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	p := s.partition(query.Get("topic"), query.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		next := p.newest[key]
		if len(items) == newestItems || (len(items) > 0 && size+len(next.value) > newestBytes) {
			more = true
			break
		}
		size += len(next.value)
		items = append(items, map[string]any{"private_key": key, "value": base64.StdEncoding.EncodeToString(next.value), "offset": next.offset})
	}
	out := map[string]any{"items": items, "more_pages": more, "end_offset": p.end()}
	s.mu.Unlock()
	answer(w, http.StatusOK, out)
}

// membership is the body of a join or leave.
type membership struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    int64    `json:"ttl_ms"`
}

// dropExpired removes the members that have been silent for too long. s.mu must be held.
func (s *store) dropExpired() {
	for name, m := range s.members {
		if time.Now().After(m.expires) {
			delete(s.members, name)
			s.generation++
		}
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var req membership
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.dropExpired()
	if known, ok := s.members[req.Member]; !ok || len(known.topics) != len(req.Topics) {
		s.generation++
	}
	s.members[req.Member] = member{topics: req.Topics, expires: time.Now().Add(time.Duration(req.TTL) * time.Millisecond)}
	out := map[string]any{"generation": s.generation, "ttl_ms": req.TTL, "parts": s.rows(req.Member)}
	s.mu.Unlock()
	answer(w, http.StatusOK, out)
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var req membership
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	if _, ok := s.members[req.Member]; ok {
		delete(s.members, req.Member)
		s.generation++
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

// rows returns the partitions as they are dealt to the members; only those of one member if it is named. s.mu must be
// held.
func (s *store) rows(only string) [][]any {
	byTopic := map[string][]string{}
	for name, m := range s.members {
		for _, topic := range m.topics {
			byTopic[topic] = append(byTopic[topic], name)
		}
	}
	var topics []string
	for topic, names := range byTopic {
		topics = append(topics, topic)
		sort.Strings(names)
	}
	sort.Strings(topics)
	rows, dealt := [][]any{}, 0
	for _, topic := range topics {
		for part := range parts {
			name := byTopic[topic][dealt%len(byTopic[topic])]
			dealt++
			switch only {
			case "":
				rows = append(rows, []any{topic, part, name, 0})
			case name:
				rows = append(rows, []any{topic, part, 0})
			}
		}
	}
	return rows
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.dropExpired()
	out := map[string]any{"owners": s.rows("")}
	s.mu.Unlock()
	answer(w, http.StatusOK, out)
}

// put appends a record of the operator or of a replica to partition 0 of a topic. A replica's unchanged entry only counts
// as a heartbeat.
func (s *store) put(w http.ResponseWriter, r *http.Request) {
	topic, key := r.URL.Query().Get("topic"), r.URL.Query().Get("key")
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic == serversTopic {
		s.seen[key] = time.Now()
	}
	s.putLocked(topic, key, value)
}

func (s *store) putLocked(topic, key string, value []byte) {
	p := s.partition(topic, "0")
	if bytes.Equal(p.newest[key].value, value) {
		return
	}
	p.add(append(append([]byte{byte(len(key))}, key...), value...), true)
	s.wake()
}

// expireEntries drops the entries of replicas after three heartbeats of silence.
func (s *store) expireEntries() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.seen {
			if time.Since(at) > entryTTL {
				delete(s.seen, id)
				s.putLocked(serversTopic, id, nil)
			}
		}
		s.mu.Unlock()
	}
}

// putRecord writes a record through the store's own path for the operator and replicas.
func putRecord(address, topic, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	resp, err := http.Post(fmt.Sprintf("http://%s%s?topic=%s&key=%s", address, standinPath, topic, key), "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
