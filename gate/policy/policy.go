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

// Fetcher fetches revisions from other boxes.
type Fetcher interface {
	// Revision returns the box's revision as JSON, or nothing if it is not newer than have.
	Revision(ctx context.Context, addr netip.AddrPort, have int64) ([]byte, error)
}

// View is this box's view of the fleet's members.
type View interface {
	Live() []types.Member
	Address(name string) (netip.AddrPort, bool)
	// AddToHeartbeat adds a function that fills in this box's heartbeats.
	AddToHeartbeat(fill func(*wire.BeatRequest))
	// OnHeartbeat adds a handler of other boxes' heartbeats.
	OnHeartbeat(handler func(*wire.BeatRequest))
}

// Timing holds the intervals of a Store.
type Timing struct {
	// PollInterval is the interval between a box's reads of the stream. It is longer in a large
	// fleet; see targetPollers.
	PollInterval time.Duration
	// Retention is how long the log keeps entries; 0 means forever.
	Retention time.Duration
}

const (
	pageSize = 200
	// A copy of the revision is appended at the age of Retention / copyAgeDivisor.
	copyAgeDivisor = 3
	callTimeout    = 2 * time.Second
	// targetPollers is the approximate number of reads of the stream per PollInterval in a large
	// fleet. Each box then reads less often and learns of new revisions from heartbeats.
	targetPollers = 16
)

// Store holds the current revision of the configuration and follows new ones. It is safe for
// concurrent use.
type Store struct {
	self    string
	root    *seal.RootKey
	log     Log
	fetcher Fetcher
	view    View
	timing  Timing
	logger  *slog.Logger
	current atomic.Pointer[State]
	// confirmed is the time, in Unix nanoseconds, at which the stream was last read to its end or
	// a newer revision from another box was accepted.
	confirmed atomic.Int64

	// mu guards fold, lastAppended and hooks.
	mu     sync.Mutex
	stream *revs.StreamState
	// lastAppended is when the stream's newest entry with the current revision was read.
	lastAppended time.Time
	hooks        []func(*State)
	// newerPeers receives the address of a box that announces a newer revision.
	newerPeers chan netip.AddrPort
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a Store that accepts revisions signed with one of the operators' public keys.
func New(self string, root *seal.RootKey, keys []ed25519.PublicKey, log Log, fetcher Fetcher, view View, timing Timing, logger *slog.Logger) *Store {
	return &Store{
		self: self, root: root, log: log, fetcher: fetcher, view: view, timing: timing, logger: logger,
		stream: revs.New(keys), newerPeers: make(chan netip.AddrPort, 1),
	}
}

// OnChange adds a hook that is called in a goroutine of its own with every new state.
func (s *Store) OnChange(hook func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks = append(s.hooks, hook)
}

// Start starts following the stream and other boxes' heartbeats.
func (s *Store) Start(context.Context) error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.AddToHeartbeat(func(beat *wire.BeatRequest) { beat.Revision = s.RevisionNumber() })
	s.view.OnHeartbeat(s.onHeartbeat)
	s.goroutines.Go(s.run)
	return nil
}

// Stop stops following and waits for the goroutine that reads the stream.
func (s *Store) Stop(context.Context) error {
	s.stop()
	s.goroutines.Wait()
	return nil
}

// Current returns the current state. It fails with StaleConfig before the first revision.
func (s *Store) Current() (*State, error) {
	st := s.current.Load()
	if st == nil {
		return nil, fault.Refuse(fault.StaleConfig, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	return st, nil
}

// Fresh returns the current state like Current, but also fails if the state has not been
// confirmed for longer than the policy's MaxStale. A MaxStale of 0 means no limit.
func (s *Store) Fresh() (*State, error) {
	st, err := s.Current()
	if err != nil {
		return nil, err
	}
	maxAge := time.Duration(st.Revision.Config.Policy.MaxStale)
	if maxAge > 0 && s.Age() > maxAge {
		return nil, fault.Refuse(fault.StaleConfig, "the configuration was last confirmed too long ago").WithRetryAfter(time.Second)
	}
	return st, nil
}

// Age returns the time since the configuration was last confirmed to be the newest.
func (s *Store) Age() time.Duration {
	return time.Since(time.Unix(0, s.confirmed.Load()))
}

// RevisionNumber returns the number of the current revision, 0 before the first.
func (s *Store) RevisionNumber() int64 {
	if st := s.current.Load(); st != nil {
		return st.Revision.Number
	}
	return 0
}

// Slots returns the configured slots, nil before the first revision.
func (s *Store) Slots() []ident.Slot {
	if st := s.current.Load(); st != nil {
		return st.Slots()
	}
	return nil
}

// KeyRetention returns how long idempotency keys are kept: without limit before the first
// revision.
func (s *Store) KeyRetention() time.Duration {
	if st := s.current.Load(); st != nil {
		return st.KeyRetention()
	}
	return time.Duration(1<<63 - 1)
}

// NewerRevision returns the current revision as JSON, marked as a copy, if its number is higher
// than have, and nil otherwise.
func (s *Store) NewerRevision(have int64) []byte {
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

// onHeartbeat notes the sender's address if it has a newer revision. It does not block.
func (s *Store) onHeartbeat(beat *wire.BeatRequest) {
	if beat.GetRevision() <= s.RevisionNumber() {
		return
	}
	addr, ok := s.view.Address(beat.GetBox())
	if !ok {
		return
	}
	select {
	case s.newerPeers <- addr:
	default:
	}
}

func (s *Store) run() {
	for {
		s.poll()
		select {
		case <-s.ctx.Done():
			return
		case addr := <-s.newerPeers:
			s.fetchFrom(addr)
		case <-time.After(s.pollPause()):
		}
	}
}

// pollPause returns the pause before the next read, which grows with the fleet and is jittered.
func (s *Store) pollPause() time.Duration {
	factor := max(1, len(s.view.Live())/targetPollers)
	pause := s.timing.PollInterval * time.Duration(factor)
	return pause*9/10 + rand.N(pause/5+1)
}

// poll reads the stream to its end.
func (s *Store) poll() {
	ctx, stop := context.WithTimeout(s.ctx, callTimeout)
	defer stop()
	for {
		s.mu.Lock()
		from := s.stream.Next
		s.mu.Unlock()
		page, err := s.log.Read(ctx, revs.Stream, from, pageSize)
		if err != nil {
			s.logger.Debug("policy: cannot read the configuration stream", "error", err)
			return
		}
		s.applyPage(page)
		if len(page.Entries) == 0 {
			s.confirmed.Store(time.Now().UnixNano())
			s.appendCopy(ctx)
			return
		}
	}
}

// applyPage applies the entries of a page of the stream.
func (s *Store) applyPage(page types.LogPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream.Next = max(s.stream.Next, page.First)
	for _, entry := range page.Entries {
		rev, verdict := s.stream.Apply(entry)
		if s.stream.CurrentOffset == entry.Offset {
			s.lastAppended = time.Now()
		}
		s.logger.Debug("policy: entry read", "revision", rev.Number, "verdict", string(verdict))
	}
	s.apply()
}

// apply makes the newest accepted revision the current one and calls the hooks. The caller
// holds mu.
func (s *Store) apply() {
	rev := s.stream.Current
	if rev == nil || rev.Number <= s.RevisionNumber() {
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

// fetchFrom fetches a newer revision from another box and applies it.
func (s *Store) fetchFrom(addr netip.AddrPort) {
	ctx, stop := context.WithTimeout(s.ctx, callTimeout)
	defer stop()
	raw, err := s.fetcher.Revision(ctx, addr, s.RevisionNumber())
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
	verdict := s.stream.ApplyRevision(rev)
	if verdict == revs.Accepted {
		s.confirmed.Store(time.Now().UnixNano())
	}
	s.apply()
}

// appendCopy appends a copy of the current revision to the stream before the log's retention
// drops it. Usually only the box that rendezvous hashing selects writes; any box does if the
// copy is overdue. Several copies do no harm.
func (s *Store) appendCopy(ctx context.Context) {
	s.mu.Lock()
	rev := s.stream.Current
	age := time.Since(s.lastAppended)
	s.mu.Unlock()
	if rev == nil || s.timing.Retention == 0 || age < s.timing.Retention/copyAgeDivisor {
		return
	}
	var names []string
	for _, m := range s.view.Live() {
		names = append(names, m.Name)
	}
	overdue := age > 2*s.timing.Retention/copyAgeDivisor
	if ident.Rendezvous(revs.Stream, names) != s.self && !overdue {
		return
	}
	copied := *rev
	copied.IsCopy = true
	raw, err := json.Marshal(copied)
	if err != nil {
		return
	}
	if _, err := s.log.Append(ctx, revs.Stream, raw); err != nil {
		s.logger.Debug("policy: cannot append a copy of the revision", "error", err)
	}
}
