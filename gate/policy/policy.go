package policy

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
	"mulleingate.dev/base/wire"
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error)
}

// Fetcher fetches a revision from a box.
type Fetcher interface {
	Revision(ctx context.Context, addr netip.AddrPort, have int64) ([]byte, error)
}

// View is the part of membership that configuration needs.
type View interface {
	Live() []types.Member
	Address(name string) (netip.AddrPort, bool)
	Announce(fill func(*wire.BeatRequest))
	Listen(hear func(*wire.BeatRequest))
}

// Timing holds the intervals of configuration.
type Timing struct {
	// Poll is how often the stream is read; the fleet's reads stay below one per box and Poll.
	Poll time.Duration
	// Retention is how long the log keeps entries; 0 is for ever.
	Retention time.Duration
}

const (
	pageSize    = 200
	carryDiv    = 3
	callTimeout = 2 * time.Second
	// pollers bounds how many boxes read the stream every Poll; the others read it that
	// much less often and hear of revisions by heartbeat.
	pollers = 16
)

// Store is the service.
type Store struct {
	self    string
	root    *seal.RootKey
	log     Log
	fetch   Fetcher
	view    View
	timing  Timing
	logger  *slog.Logger
	current atomic.Pointer[State]
	// confirmed is when the log or a peer last said that nothing is newer, in Unix nanoseconds.
	confirmed atomic.Int64

	mu       sync.Mutex
	fold     *revs.StreamState
	appended time.Time
	hooks    []func(*State)
	behind   chan netip.AddrPort
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// New makes the service; keys are the operators' public keys.
func New(self string, root *seal.RootKey, keys []ed25519.PublicKey, log Log, fetch Fetcher, view View, timing Timing, logger *slog.Logger) *Store {
	return &Store{
		self: self, root: root, log: log, fetch: fetch, view: view, timing: timing, logger: logger,
		fold: revs.New(keys), behind: make(chan netip.AddrPort, 1),
	}
}

// OnChange adds a hook that is called with every state that comes into force.
func (s *Store) OnChange(hook func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks = append(s.hooks, hook)
}

// Start begins to follow the stream.
func (s *Store) Start(context.Context) error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.Announce(func(beat *wire.BeatRequest) { beat.Revision = s.Number() })
	s.view.Listen(s.hear)
	s.done.Go(s.run)
	return nil
}

// Stop ends following.
func (s *Store) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// Current is the state in force; a refusal while there is none.
func (s *Store) Current() (*State, error) {
	st := s.current.Load()
	if st == nil {
		return nil, fault.Refuse(fault.StaleConfig, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	return st, nil
}

// Fresh is Current, refused where the policy says that the state is too old for new work.
func (s *Store) Fresh() (*State, error) {
	st, err := s.Current()
	if err != nil {
		return nil, err
	}
	bound := time.Duration(st.Revision.Config.Policy.MaxStale)
	if bound > 0 && s.Age() > bound {
		return nil, fault.Refuse(fault.StaleConfig, "the configuration was not confirmed for too long").WithRetryAfter(time.Second)
	}
	return st, nil
}

// Age is how long ago the configuration was last known to be the newest.
func (s *Store) Age() time.Duration {
	return time.Since(time.Unix(0, s.confirmed.Load()))
}

// Number is the revision in force, 0 while there is none.
func (s *Store) Number() int64 {
	if st := s.current.Load(); st != nil {
		return st.Revision.Number
	}
	return 0
}

// Slots implements the settings of ownership.
func (s *Store) Slots() []ident.Slot {
	if st := s.current.Load(); st != nil {
		return st.Slots()
	}
	return nil
}

// KeyRetention implements the settings of ownership.
func (s *Store) KeyRetention() time.Duration {
	if st := s.current.Load(); st != nil {
		return st.KeyRetention()
	}
	return time.Duration(1<<63 - 1)
}

// Newer returns the JSON of the revision in force if it is newer than have.
func (s *Store) Newer(have int64) []byte {
	st := s.current.Load()
	if st == nil || st.Revision.Number <= have {
		return nil
	}
	rev := st.Revision
	rev.IsCopy = true
	raw, err := json.Marshal(rev)
	if err != nil {
		return nil
	}
	return raw
}

func (s *Store) hear(beat *wire.BeatRequest) {
	if beat.GetRevision() <= s.Number() {
		return
	}
	addr, ok := s.view.Address(beat.GetBox())
	if !ok {
		return
	}
	select {
	case s.behind <- addr:
	default:
	}
}

func (s *Store) run() {
	for {
		s.poll()
		select {
		case <-s.ctx.Done():
			return
		case addr := <-s.behind:
			s.ask(addr)
		case <-time.After(s.pause()):
		}
	}
}

// pause spreads the reads of a large fleet.
func (s *Store) pause() time.Duration {
	fleet := max(1, len(s.view.Live())/pollers)
	pause := s.timing.Poll * time.Duration(fleet)
	return pause*9/10 + rand.N(pause/5+1)
}

func (s *Store) poll() {
	ctx, stop := context.WithTimeout(s.ctx, callTimeout)
	defer stop()
	for {
		s.mu.Lock()
		from := s.fold.Next
		s.mu.Unlock()
		page, err := s.log.Read(ctx, revs.Stream, from, pageSize)
		if err != nil {
			s.logger.Debug("policy: stream is away", "error", err)
			return
		}
		s.take(page)
		if len(page.Entries) == 0 {
			s.confirmed.Store(time.Now().UnixNano())
			s.carry(ctx)
			return
		}
	}
}

func (s *Store) take(page types.LogPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold.Next = max(s.fold.Next, page.First)
	for _, entry := range page.Entries {
		rev, verdict := s.fold.Apply(entry)
		if s.fold.CurrentOffset == entry.Offset {
			s.appended = time.Now()
		}
		s.logger.Debug("policy: entry read", "revision", rev.Number, "verdict", string(verdict))
	}
	s.apply()
}

// apply brings the folded revision into force. Called with mu held.
func (s *Store) apply() {
	rev := s.fold.Current
	if rev == nil || rev.Number <= s.Number() {
		return
	}
	st, err := newState(*rev, s.root)
	if err != nil {
		s.logger.Error("policy: revision cannot be applied", "revision", rev.Number, "error", err)
		return
	}
	s.current.Store(st)
	s.logger.Info("policy: revision in force", "revision", rev.Number, "author", rev.Author)
	for _, hook := range s.hooks {
		go hook(st)
	}
}

// ask fetches from a box that is ahead.
func (s *Store) ask(addr netip.AddrPort) {
	ctx, stop := context.WithTimeout(s.ctx, callTimeout)
	defer stop()
	raw, err := s.fetch.Revision(ctx, addr, s.Number())
	if err != nil || len(raw) == 0 {
		return
	}
	var rev types.Revision
	if json.Unmarshal(raw, &rev) != nil {
		return
	}
	rev.IsCopy = true
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.fold.ApplyRevision(rev)
	if verdict == revs.Accepted {
		s.confirmed.Store(time.Now().UnixNano())
	}
	s.apply()
}

// carry appends a copy of the current revision before the log forgets it. Copies of
// several boxes do no harm; the rendezvous winner is usually the only one to write.
func (s *Store) carry(ctx context.Context) {
	s.mu.Lock()
	rev := s.fold.Current
	age := time.Since(s.appended)
	s.mu.Unlock()
	if rev == nil || s.timing.Retention == 0 || age < s.timing.Retention/carryDiv {
		return
	}
	var names []string
	for _, m := range s.view.Live() {
		names = append(names, m.Name)
	}
	late := age > 2*s.timing.Retention/carryDiv
	if ident.Rendezvous(revs.Stream, names) != s.self && !late {
		return
	}
	copied := *rev
	copied.IsCopy = true
	raw, err := json.Marshal(copied)
	if err != nil {
		return
	}
	if _, err := s.log.Append(ctx, revs.Stream, raw); err != nil {
		s.logger.Debug("policy: copy was not appended", "error", err)
	}
}
