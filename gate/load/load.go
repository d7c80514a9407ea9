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
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/work"
)

const (
	// tickEvery is the time between two looks at which replicas are due.
	tickEvery = 300 * time.Millisecond
	// calmEvery is the time between two questions to a replica that is not busy. A question
	// has its price, and an idle replica needs none.
	calmEvery = 1500 * time.Millisecond
	// busyShare of a replica's places makes it busy.
	busyShare = 0.2
	// askWait bounds one question.
	askWait = 250 * time.Millisecond
	// maxDatagram bounds a message, in bytes.
	maxDatagram = 512
)

// Reporter asks a replica how busy it is.
type Reporter interface {
	Report(ctx context.Context, rep work.Replica) (work.Load, error)
}

// Targets holds what is believed of replicas.
type Targets interface {
	// Models returns the model replicas of this box's zone that take work and of which it needs reports.
	Models() []work.Replica
	// Loaded takes the load of a replica.
	Loaded(id string, load work.Load)
	// Failing takes another box's word that a replica fails a share of its calls.
	Failing(id string, share float64)
}

// Boxes tells who needs to hear of replicas.
type Boxes interface {
	Live() []work.Box
	// Placing returns the boxes of this box's availability zone that place turns.
	Placing() []work.Box
	// Knows reports whether the box knows the replica.
	Knows(box work.Box, rep work.Replica) bool
	// All reports whether all boxes know the replica.
	All(rep work.Replica) bool
}

// message is what boxes tell each other of a replica.
type message struct {
	Replica string `json:"replica"`
	// Load is nil in a word on failures.
	Load *work.Load `json:"load,omitempty"`
	// Failing is the share of calls that the replica failed lately at the box that tells.
	Failing float64 `json:"failing,omitempty"`
}

// Watch is the service.
type Watch struct {
	self     work.Box
	reporter Reporter
	targets  Targets
	boxes    Boxes
	log      *slog.Logger
	conn     *net.UDPConn
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu sync.Mutex
	// asked tells of the last question to each replica of the zone.
	asked map[string]question
}

// question is one to a replica.
type question struct {
	at time.Time
	// calm says that the replica was not busy.
	calm bool
}

// New makes a watch that does not run yet.
func New(self work.Box, reporter Reporter, targets Targets, boxes Boxes, log *slog.Logger) *Watch {
	return &Watch{
		self: self, reporter: reporter, targets: targets, boxes: boxes, log: log,
		asked: map[string]question{},
	}
}

// Start implements a service.
func (w *Watch) Start(context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(w.self.Peer))
	if err != nil {
		return fault.Refuse(fault.BadSettings, "cannot take datagrams on "+w.self.Peer.String()).Because(err)
	}
	w.conn = conn
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Go(func() { kernel.Every(ctx, tickEvery, func() { w.look(ctx) }) })
	w.done.Go(w.listen)
	return nil
}

// Stop implements a service.
func (w *Watch) Stop(context.Context) error {
	w.cancel()
	err := w.conn.Close()
	w.done.Wait()
	return err
}

// look asks the replicas that are this box's to ask and are due: of the boxes that place turns there, one asks and tells
// the others. In a large fleet most boxes place none, and need not hear how busy a replica is.
func (w *Watch) look(ctx context.Context) {
	placing := w.boxes.Placing()
	if !slices.ContainsFunc(placing, func(box work.Box) bool { return box.Name == w.self.Name }) {
		return
	}
	models := w.targets.Models()
	w.keep(models)
	for _, rep := range models {
		knowing := w.knowing(placing, rep)
		if w.asks(rep, knowing) && w.due(rep.ID) {
			w.done.Go(func() { w.ask(ctx, rep, knowing) })
		}
	}
}

// asks reports whether this box asks the replica: one of the boxes that know it does, or, where few know it, each that
// needs to hear of it.
func (w *Watch) asks(rep work.Replica, knowing []work.Box) bool {
	if !w.boxes.All(rep) {
		return true
	}
	names := make([]string, 0, len(knowing))
	for _, box := range knowing {
		names = append(names, box.Name)
	}
	return ident.Winner(rep.ID, names) == w.self.Name
}

// knowing are those of the boxes that know the replica.
func (w *Watch) knowing(boxes []work.Box, rep work.Replica) []work.Box {
	var knowing []work.Box
	for _, box := range boxes {
		if w.boxes.Knows(box, rep) {
			knowing = append(knowing, box)
		}
	}
	return knowing
}

func (w *Watch) due(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.asked[id]
	if last.calm && time.Since(last.at) < calmEvery {
		return false
	}
	last.at = time.Now()
	w.asked[id] = last
	return true
}

// keep forgets replicas that are gone.
func (w *Watch) keep(models []work.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.asked) <= 2*len(models) {
		return
	}
	listed := map[string]bool{}
	for _, rep := range models {
		listed[rep.ID] = true
	}
	for id := range w.asked {
		if !listed[id] {
			delete(w.asked, id)
		}
	}
}

func (w *Watch) ask(ctx context.Context, rep work.Replica, knowing []work.Box) {
	ctx, stop := context.WithTimeout(ctx, askWait)
	defer stop()
	got, err := w.reporter.Report(ctx, rep)
	if err != nil {
		w.log.Debug("load: replica does not report", "replica", rep.ID, "cause", err)
		return
	}
	w.mu.Lock()
	w.asked[rep.ID] = question{at: w.asked[rep.ID].at, calm: float64(got.Running+got.Waiting) < busyShare*float64(rep.Slots)}
	w.mu.Unlock()
	w.targets.Loaded(rep.ID, got)
	w.tellAll(knowing, message{Replica: rep.ID, Load: &got})
}

// Tell has all boxes that know a replica hear that it fails a share of its calls. It does not wait.
func (w *Watch) Tell(rep work.Replica, share float64) {
	go w.tellAll(w.knowing(w.boxes.Live(), rep), message{Replica: rep.ID, Failing: share})
}

func (w *Watch) tellAll(boxes []work.Box, msg message) {
	raw, err := json.Marshal(msg)
	if err != nil {
		w.log.Error("load: report does not encode", "cause", err)
		return
	}
	for _, box := range boxes {
		if box.Name != w.self.Name {
			w.tell(box.Peer, raw)
		}
	}
}

func (w *Watch) tell(to netip.AddrPort, raw []byte) {
	if _, err := w.conn.WriteToUDPAddrPort(raw, to); err != nil {
		w.log.Debug("load: report not told", "to", to.String(), "cause", err)
	}
}

func (w *Watch) listen() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := w.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket was closed at the stop
		}
		var msg message
		if err := json.Unmarshal(buf[:n], &msg); err != nil {
			w.log.Warn("load: malformed report", "from", from.String())
			continue
		}
		if msg.Load != nil {
			w.targets.Loaded(msg.Replica, *msg.Load)
			continue
		}
		w.targets.Failing(msg.Replica, msg.Failing)
	}
}
