package load

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

const (
	// tickInterval is the interval at which replicas are checked for a due poll.
	tickInterval = 300 * time.Millisecond
	// idlePollInterval is the poll interval of a replica that is not busy; a busy one is polled at
	// every tick.
	idlePollInterval = 1500 * time.Millisecond
	// busyShare is the ratio of running and waiting calls to slots from which a replica is busy.
	busyShare = 0.2
	// pollTimeout bounds one poll.
	pollTimeout = 250 * time.Millisecond
	// demandInterval is the minimum time between two messages about demand. The demand is sent at a tick, so
	// this gives about one message a second.
	demandInterval = 800 * time.Millisecond
	// maxDatagram is the maximum size of a message, in bytes. With the headers of IP and UDP it fits into one
	// packet.
	maxDatagram = 1400
)

// Reporter gets a replica's load from the replica.
type Reporter interface {
	Report(ctx context.Context, rep work.Replica) (work.Load, error)
}

// Targets holds the state of replicas as this box knows it.
type Targets interface {
	// ModelsToPoll returns the model replicas in this box's availability zone that accept work and whose
	// load this box needs.
	ModelsToPoll() []work.Replica
	// UpdateLoad updates the load of a replica.
	UpdateLoad(id string, load work.Load)
	// UpdateFailureRate updates the share of calls that fail at a replica, as reported by another box.
	UpdateFailureRate(id string, share float64)
	// PrefixDemand returns this box's demand for shared prompt prefixes, the largest first, for each service
	// that needs it at the other boxes.
	PrefixDemand() []sched.PrefixDemand
	// UpdatePrefixDemand updates the demand for shared prompt prefixes at another box.
	UpdatePrefixDemand(from string, demand sched.PrefixDemand)
}

// Crashes holds the crashes of replicas as this box knows them.
type Crashes interface {
	// Merge adds a crash that another box reports.
	Merge(report crash.Report)
	// Recent returns the crashes that other boxes may not know.
	Recent() []crash.Report
	// Grant reports whether the box may begin a trial of the request, and Ungrant ends that.
	Grant(box string, req work.Fingerprint, trial uint64) bool
	Ungrant(req work.Fingerprint, trial uint64)
}

// Boxes tells which boxes need reports on a replica.
type Boxes interface {
	// Live returns all live boxes.
	Live() []work.Box
	// Serving returns all boxes that may serve callers, those that leave included.
	Serving() []work.Box
	// PlacingBoxes returns the boxes of this box's availability zone that place turns.
	PlacingBoxes() []work.Box
	// Knows reports whether the box has the replica in its subset.
	Knows(box work.Box, rep work.Replica) bool
	// KnownToAll reports whether all boxes know the replica.
	KnownToAll(rep work.Replica) bool
}

// message is a report from one box to another, on a replica or on demand.
type message struct {
	// Replica is empty in a report on demand.
	Replica string `json:"replica,omitempty"`
	// Load is nil in a report on failures.
	Load *work.Load `json:"load,omitempty"`
	// Failing is the share of the sending box's recent calls that failed at the replica.
	Failing float64 `json:"failing,omitempty"`
	// From is the name of the sending box in a report on its demand for shared prompt prefixes.
	From   string              `json:"from,omitempty"`
	Demand *sched.PrefixDemand `json:"demand,omitempty"`
	// Crash is the crash of a replica. If ID is not zero, the sending box waits for an acknowledgement.
	Crash *crash.Report `json:"crash,omitempty"`
	ID    uint64        `json:"id,omitempty"`
	// Acknowledged is the ID of the message that the box From acknowledges.
	Acknowledged uint64 `json:"acknowledged,omitempty"`
	// Claim asks for the trial of a request, with that ID, or answers such a message.
	Claim *claim `json:"claim,omitempty"`
}

// Watch polls replicas for their load and exchanges reports with other boxes.
type Watch struct {
	self     work.Box
	reporter Reporter
	targets  Targets
	crashes  Crashes
	boxes    Boxes
	log      *slog.Logger
	conn     *net.UDPConn
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu sync.Mutex
	// polls holds the last poll of each replica in the availability zone, by replica ID.
	polls map[string]poll
	// unacknowledged holds the messages that boxes have yet to acknowledge, by ID; lastID is the latest ID.
	unacknowledged map[uint64]*delivery
	lastID         uint64
	// informed holds the boxes that know of crashes from before they joined.
	informed map[work.Box]bool
	// claims holds the claims that wait for an answer, by trial.
	claims map[uint64]chan claimState

	// demandSentAt is when the demand was last sent; only pollDue uses it.
	demandSentAt time.Time
}

// poll describes the last poll of a replica.
type poll struct {
	at time.Time
	// idle is set if the replica was not busy.
	idle bool
}

// New returns a Watch that is not started.
func New(self work.Box, reporter Reporter, targets Targets, crashes Crashes, boxes Boxes, log *slog.Logger) *Watch {
	return &Watch{
		self: self, reporter: reporter, targets: targets, crashes: crashes, boxes: boxes, log: log,
		polls: map[string]poll{}, unacknowledged: map[uint64]*delivery{}, informed: map[work.Box]bool{},
		claims: map[uint64]chan claimState{},
	}
}

// Start implements kernel.Service.
func (w *Watch) Start(context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(w.self.Peer))
	if err != nil {
		return fault.Refuse(fault.BadSettings, "cannot listen for datagrams on "+w.self.Peer.String()).WithCause(err)
	}
	w.conn = conn
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Go(func() {
		kernel.Every(ctx, tickInterval, func() {
			w.repeatCrashes()
			w.pollDue(ctx)
		})
	})
	w.done.Go(w.listen)
	return nil
}

// Stop implements kernel.Service.
func (w *Watch) Stop(context.Context) error {
	w.cancel()
	err := w.conn.Close()
	w.done.Wait()
	return err
}

// pollDue polls the replicas that are due and that this box is to poll. Of the boxes that may place
// turns at a replica, one polls it and sends the load to the others. Boxes that place no turns need no
// load reports.
func (w *Watch) pollDue(ctx context.Context) {
	placing := w.boxes.PlacingBoxes()
	if !slices.ContainsFunc(placing, func(box work.Box) bool { return box.Name == w.self.Name }) {
		return
	}
	w.sendDemand(placing)
	models := w.targets.ModelsToPoll()
	w.forgetRemoved(models)
	for _, rep := range models {
		recipients := w.boxesKnowing(placing, rep)
		if w.isPoller(rep, recipients) && w.due(rep.ID) {
			w.done.Go(func() { w.poll(ctx, rep, recipients) })
		}
	}
}

// isPoller reports whether this box polls the replica. If all boxes know the replica, rendezvous
// hashing selects one of the recipients. Otherwise each box that needs the load polls the replica
// itself.
func (w *Watch) isPoller(rep work.Replica, recipients []work.Box) bool {
	if !w.boxes.KnownToAll(rep) {
		return true
	}
	names := make([]string, 0, len(recipients))
	for _, box := range recipients {
		names = append(names, box.Name)
	}
	return ident.Rendezvous(rep.ID, names) == w.self.Name
}

// boxesKnowing returns those of the boxes that know the replica.
func (w *Watch) boxesKnowing(boxes []work.Box, rep work.Replica) []work.Box {
	var knowing []work.Box
	for _, box := range boxes {
		if w.boxes.Knows(box, rep) {
			knowing = append(knowing, box)
		}
	}
	return knowing
}

// due reports whether the replica is due for a poll and, if so, records that the poll starts now.
func (w *Watch) due(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.polls[id]
	if last.idle && time.Since(last.at) < idlePollInterval {
		return false
	}
	last.at = time.Now()
	w.polls[id] = last
	return true
}

// forgetRemoved deletes the polls of removed replicas, once there are more than twice as many polls
// as replicas.
func (w *Watch) forgetRemoved(models []work.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.polls) <= 2*len(models) {
		return
	}
	listed := map[string]bool{}
	for _, rep := range models {
		listed[rep.ID] = true
	}
	for id := range w.polls {
		if !listed[id] {
			delete(w.polls, id)
		}
	}
}

// poll gets the load of a replica, updates it here and sends it to the recipients.
func (w *Watch) poll(ctx context.Context, rep work.Replica, recipients []work.Box) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	load, err := w.reporter.Report(ctx, rep)
	if err != nil {
		w.log.Debug("load: cannot get load of replica", "replica", rep.ID, "cause", err)
		return
	}
	w.mu.Lock()
	w.polls[rep.ID] = poll{at: w.polls[rep.ID].at, idle: float64(load.Running+load.Waiting) < busyShare*float64(rep.Slots)}
	w.mu.Unlock()
	w.targets.UpdateLoad(rep.ID, load)
	w.sendAll(recipients, message{Replica: rep.ID, Load: &load})
}

// SendFailureRate sends the share of calls that fail at a replica to all live boxes that know the
// replica. It does not wait.
func (w *Watch) SendFailureRate(rep work.Replica, share float64) {
	go w.sendAll(w.boxesKnowing(w.boxes.Live(), rep), message{Replica: rep.ID, Failing: share})
}

// sendDemand sends the demand for shared prompt prefixes to the other boxes, if it is due.
func (w *Watch) sendDemand(boxes []work.Box) {
	if len(boxes) < 2 || time.Since(w.demandSentAt) < demandInterval {
		return
	}
	for _, demand := range w.targets.PrefixDemand() {
		w.demandSentAt = time.Now()
		w.sendAll(boxes, message{From: w.self.Name, Demand: &demand})
	}
}

// encode returns the message in at most maxDatagram bytes. It leaves out the parts with the least demand if
// not all fit.
func encode(msg message) ([]byte, error) {
	raw, err := json.Marshal(msg)
	for err == nil && len(raw) > maxDatagram && msg.Demand != nil && len(msg.Demand.Parts) > 0 {
		cut := *msg.Demand
		cut.Parts = cut.Parts[:min(len(cut.Parts)-1, len(cut.Parts)*maxDatagram/len(raw))]
		msg.Demand = &cut
		raw, err = json.Marshal(msg)
	}
	return raw, err
}

func (w *Watch) sendAll(boxes []work.Box, msg message) {
	raw, err := encode(msg)
	if err != nil {
		w.log.Error("load: cannot encode report", "cause", err)
		return
	}
	for _, box := range boxes {
		if box.Name != w.self.Name {
			w.send(box.Peer, raw)
		}
	}
}

func (w *Watch) send(to netip.AddrPort, raw []byte) {
	if _, err := w.conn.WriteToUDPAddrPort(raw, to); err != nil {
		w.log.Debug("load: cannot send report", "to", to.String(), "cause", err)
	}
}

func (w *Watch) listen() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := w.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // Stop has closed the socket, or it has failed
		}
		var msg message
		if err := json.Unmarshal(buf[:n], &msg); err != nil {
			w.log.Warn("load: malformed report", "from", from.String())
			continue
		}
		switch {
		case msg.Acknowledged != 0:
			w.acknowledged(msg)
		case msg.Crash != nil:
			w.mergeCrash(from, msg)
		case msg.Claim != nil:
			w.handleClaim(from, msg)
		case msg.Demand != nil:
			w.targets.UpdatePrefixDemand(msg.From, *msg.Demand)
		case msg.Load != nil:
			w.targets.UpdateLoad(msg.Replica, *msg.Load)
		default:
			w.targets.UpdateFailureRate(msg.Replica, msg.Failing)
		}
	}
}
