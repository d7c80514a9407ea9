package target

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// prefixLoad is a load of programs on the replicas of one zone.
type prefixLoad struct {
	boxes, replicas int
	// memory is the memory of a replica, and prefix the length of each shared prefix, in tokens.
	memory, prefix int
	// prefillRate is in tokens a millisecond, and decode the time of an answer.
	prefillRate int
	decode      time.Duration
	slots       int
	kinds       []prefixKind
	duration    time.Duration
	// assigned enables the assignment of prefixes.
	assigned bool
	// loss is the share of messages between boxes that are lost; 1 for no messages.
	loss float64
	// load returns the load of a kind relative to the usual one.
	load func(at time.Duration, kind int) float64
}

// prefixKind is a kind of program; its prefixes are used with shares of 1, 1/2, 1/3 and so on.
type prefixKind struct {
	prefixes, turns, input int
	perSecond              float64
}

// prefixResult is the outcome of a load.
type prefixResult struct {
	calls, prefilled int
	// again is the number of prefills of a shared prefix that a replica of the zone had prefilled before,
	// not counting those in the first learnTime.
	again int
	// busiest is the ratio of the busiest replica's time to the mean.
	busiest     float64
	firstEvents []time.Duration
}

// learnTime is the time after which boxes should know the shared prefixes and the demand for them.
const learnTime = 5 * time.Second

// againShare returns the tokens of prefixes that were prefilled again, as a share of all prefilled tokens.
func (r prefixResult) againShare(prefix int) float64 {
	return float64(r.again*prefix) / float64(r.prefilled)
}

// firstEvent returns the 95th percentile of the time to the first event.
func (r prefixResult) firstEvent() time.Duration {
	times := slices.Sorted(slices.Values(r.firstEvents))
	return times[len(times)*95/100]
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simReplica is a replica that caches prefixes and sessions, with LRU eviction.
type simReplica struct {
	cache   map[string]*simEntry
	running int
	waiting []func()
	// prefillFree is when the prefills so far end.
	prefillFree time.Time
	busy        time.Duration
}

type simEntry struct {
	tokens, users int
	// parent is the prefix of a session, and children the number of sessions of a prefix. A prefix is evicted
	// only after its sessions.
	parent   *simEntry
	children int
	usedAt   time.Time
}

func (r *simReplica) use(name, parent string, tokens, memory int) {
	entry, ok := r.cache[name]
	if !ok {
		entry = &simEntry{}
		if entry.parent = r.cache[parent]; entry.parent != nil {
			entry.parent.children++
		}
		r.cache[name] = entry
	}
	entry.tokens, entry.usedAt = max(entry.tokens, tokens), time.Now()
	entry.users++
	sum := 0
	for _, e := range r.cache {
		sum += e.tokens
	}
	for sum > memory {
		oldest := ""
		for id, e := range r.cache {
			if e.users == 0 && e.children == 0 && (oldest == "" || e.usedAt.Before(r.cache[oldest].usedAt) || (e.usedAt.Equal(r.cache[oldest].usedAt) && id < oldest)) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		if parent := r.cache[oldest].parent; parent != nil {
			parent.children--
		}
		sum -= r.cache[oldest].tokens
		delete(r.cache, oldest)
	}
}

func (r *simReplica) release(name string) {
	r.cache[name].users--
	r.cache[name].usedAt = time.Now()
}

// prefixSim runs a load.
type prefixSim struct {
	prefixLoad
	rng      *rand.Rand
	events   simEvents
	seq      int
	boxes    []*Targets
	replicas map[string]*simReplica
	seen     map[string]bool
	start    time.Time
	result   prefixResult
}

func (s *prefixSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: time.Now().Add(d), seq: s.seq, do: do})
}

// runPrefixLoad plays a load on a fake clock.
func runPrefixLoad(t *testing.T, load prefixLoad, seed uint64) prefixResult {
	t.Helper()
	s := &prefixSim{prefixLoad: load, rng: rand.New(rand.NewPCG(seed, 7)), replicas: map[string]*simReplica{}, seen: map[string]bool{}}
	synctest.Test(t, func(*testing.T) {
		engine := &work.Engine{Slots: load.slots, Stride: 3}
		if load.assigned {
			engine.CacheTokens = load.memory
		}
		conf := work.NewConfig(1, nil, []work.Service{{Name: "s", Connections: 10_000, Engine: engine}}, work.Limits{})
		for i := range load.boxes {
			box, _ := newTargets(0, true)
			box.rng = rand.New(rand.NewPCG(seed, uint64(i)))
			box.Configure(conf)
			box.SetPlacerCount(load.boxes)
			s.boxes = append(s.boxes, box)
		}
		for i := range load.replicas {
			rep := replica(i, "a")
			rep.Slots = load.slots
			s.replicas[rep.ID] = &simReplica{cache: map[string]*simEntry{}}
			for _, box := range s.boxes {
				box.Put(rep)
			}
		}
		s.start = time.Now()
		for kind := range load.kinds {
			s.after(0, func() { s.arrivals(kind) })
		}
		s.after(0, s.report)
		for i := range s.boxes {
			s.after(time.Duration(s.rng.IntN(300))*time.Millisecond, func() { s.exchange(i, time.Time{}) })
		}
		for s.events.Len() > 0 && time.Since(s.start) < load.duration {
			next := heap.Pop(&s.events).(simEvent)
			time.Sleep(time.Until(next.at))
			next.do()
		}
	})
	busiest, sum := time.Duration(0), time.Duration(0)
	for _, r := range s.replicas {
		busiest, sum = max(busiest, r.busy), sum+r.busy
	}
	s.result.busiest = float64(busiest) * float64(len(s.replicas)) / float64(sum)
	return s.result
}

// report sends the load of the replicas to the boxes.
func (s *prefixSim) report() {
	for id, r := range s.replicas {
		used := 0
		for _, e := range r.cache {
			if e.users > 0 {
				used += e.tokens
			}
		}
		for _, box := range s.boxes {
			box.UpdateLoad(id, work.Load{Running: r.running, Waiting: len(r.waiting), UsedTokens: used, TotalTokens: s.memory})
		}
	}
	s.after(300*time.Millisecond, s.report)
}

// exchange sends the demand that a box has seen to the others, if it was last sent 800 ms ago, and repeats that
// every 300 ms.
func (s *prefixSim) exchange(from int, sentAt time.Time) {
	var demands []sched.PrefixDemand
	if time.Since(sentAt) >= 800*time.Millisecond {
		demands = s.boxes[from].PrefixDemand()
	}
	for _, demand := range demands {
		sentAt = time.Now()
		for to, box := range s.boxes {
			if to != from && s.rng.Float64() >= s.loss {
				box.UpdatePrefixDemand(fmt.Sprintf("box%d", from), demand)
			}
		}
	}
	s.after(300*time.Millisecond, func() { s.exchange(from, sentAt) })
}

// arrivals starts the programs of a kind.
func (s *prefixSim) arrivals(kind int) {
	k := s.kinds[kind]
	pick, total := 0, 0.0
	for i := range k.prefixes {
		total += 1 / float64(i+1)
	}
	for draw := s.rng.Float64() * total; pick < k.prefixes-1; pick++ {
		if draw -= 1 / float64(pick+1); draw < 0 {
			break
		}
	}
	s.seq++
	name := fmt.Sprintf("program%d", s.seq)
	s.turn(s.boxes[s.rng.IntN(len(s.boxes))], name, fmt.Sprintf("prefix-%d-%d", kind, pick), k, 0, map[string]int{})
	rate := k.perSecond * s.load(time.Since(s.start), kind)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrivals(kind) })
}

// turn runs the n-th turn of a program, and those after it.
func (s *prefixSim) turn(box *Targets, name, prefix string, k prefixKind, n int, cached map[string]int) {
	if n == k.turns {
		return
	}
	own := (n + 1) * k.input
	lease, err := box.Take(CallRequest{
		WorkKind: prefix[:8], Services: splitToS, CachedTokens: cached, Turn: sched.Turn{Program: name, Kind: prefix[:8]},
		Prompt: &work.Prompt{Tokens: s.prefix + own, Parts: []work.Part{{ID: prefix, Tokens: s.prefix}, {ID: name, Tokens: own}}},
	})
	if err != nil {
		panic(err)
	}
	s.result.calls++
	r, id, sent := s.replicas[lease.Replica.ID], lease.Replica.ID, time.Now()
	begin := func() {
		r.running++
		missing := own
		if entry, ok := r.cache[name]; ok {
			missing = own - entry.tokens
		}
		if _, ok := r.cache[prefix]; !ok {
			missing = own + s.prefix
			if s.seen[prefix] && time.Since(s.start) > learnTime {
				s.result.again++
			}
			s.seen[prefix] = true
		}
		if time.Since(s.start) > learnTime {
			s.result.prefilled += missing
		}
		r.use(prefix, "", s.prefix, s.memory)
		r.use(name, prefix, own, s.memory)
		begun := time.Now()
		if r.prefillFree.Before(begun) {
			r.prefillFree = begun
		}
		r.prefillFree = r.prefillFree.Add(time.Duration(missing) * time.Millisecond / time.Duration(s.prefillRate))
		first := r.prefillFree.Sub(begun) + s.decode/9
		s.after(first, func() {
			s.result.firstEvents = append(s.result.firstEvents, time.Since(sent))
			lease.RecordFirstEvent(time.Since(sent))
		})
		s.after(first+s.decode*8/9, func() {
			lease.Done(Answered, s.decode/9)
			r.running--
			r.busy += time.Since(begun)
			r.release(prefix)
			r.release(name)
			if len(r.waiting) > 0 {
				next := r.waiting[0]
				r.waiting = r.waiting[1:]
				next()
			}
			s.after(40*time.Millisecond, func() { s.turn(box, name, prefix, k, n+1, map[string]int{id: s.prefix + own}) })
		})
	}
	if r.running >= s.slots {
		r.waiting = append(r.waiting, begin)
		return
	}
	begin()
}

// zoneA is the load of one zone of a large deployment with little memory for its shared prefixes.
func zoneA() prefixLoad {
	return prefixLoad{
		boxes: 8, replicas: 15, memory: 290_828, prefix: 12_600, prefillRate: 205, decode: 300 * time.Millisecond, slots: 12, duration: 40 * time.Second,
		kinds: []prefixKind{{prefixes: 8, turns: 4, input: 1680, perSecond: 38}, {prefixes: 8, turns: 11, input: 840, perSecond: 19}},
		load:  func(time.Duration, int) float64 { return 1 },
	}
}

// TestPrefixesStayCached guards against boxes that make replicas evict each other's shared prefixes. It
// compares the placement with and without the assignment of prefixes, in a usual load, in one with bursts of one
// kind of program, and in the usual load with a third of the messages between boxes lost.
func TestPrefixesStayCached(t *testing.T) {
	for _, c := range []struct {
		name        string
		burst, loss float64
		// most is the largest share of prefixes that are prefilled again in all prefilled tokens.
		most float64
	}{{"usual", 1, 0, 0.03}, {"bursts", 1.8, 0, 0.05}, {"lost messages", 1, 0.3, 0.04}} {
		for seed := range uint64(2) {
			load := zoneA()
			load.load = func(at time.Duration, kind int) float64 {
				if kind == 0 && at%(12*time.Second) > 7*time.Second {
					return c.burst
				}
				return 1
			}
			before := runPrefixLoad(t, load, seed)
			load.assigned, load.loss = true, c.loss
			after := runPrefixLoad(t, load, seed)
			t.Logf("%s, seed %d, before: %d prefixes prefilled again (%.3f of %d tokens), busiest %.2f, first event %v", c.name, seed, before.again,
				before.againShare(load.prefix), before.prefilled, before.busiest, before.firstEvent())
			t.Logf("%s, seed %d, after: %d prefixes prefilled again (%.3f of %d tokens), busiest %.2f, first event %v", c.name, seed, after.again,
				after.againShare(load.prefix), after.prefilled, after.busiest, after.firstEvent())
			if share := after.againShare(load.prefix); share > c.most || after.again*2 > before.again {
				t.Errorf("%s, seed %d: %d prefixes prefilled again, %d without the assignment", c.name, seed, after.again, before.again)
			}
			if after.busiest > 1.25 || after.firstEvent() > before.firstEvent()*11/10 {
				t.Errorf("%s, seed %d: busiest replica %.2f, first event %v, without the assignment %v", c.name, seed, after.busiest, after.firstEvent(), before.firstEvent())
			}
		}
	}
}
