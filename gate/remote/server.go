package remote

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/serve"
	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/work"
)

// maxBody bounds a forwarded turn, in bytes.
const maxBody = 32 << 20

// idleTimeout is longer than clients keep connections, so that they end them.
const idleTimeout = 30 * time.Second

// Turns runs the turns that other boxes forward.
type Turns interface {
	// RunHere runs the turn if this box owns the slot.
	RunHere(ctx context.Context, slot int, call *work.Call, route *work.Route, out work.Answer) error
	// Find returns the text of the chain that ends with the turn if a slot of this box keeps
	// it, and otherwise the slots that are sure not to.
	Find(ctx context.Context, turn string, home int) (text []byte, sure []int)
}

// Slots gives slots up.
type Slots interface {
	Handover(ctx context.Context, slot int) error
	// Deliver writes records of a turn that began at an owner before.
	Deliver(ctx context.Context, slot int, recs []work.Record) error
}

// Quotas counts the quotas that this box was chosen for.
type Quotas interface {
	Grant(now time.Time, ask quota.GrantRequest) quota.GrantReply
}

// Sources tells what this box has read, as a source.
type Sources interface {
	Copy(ctx context.Context, ask mirror.CopyRequest) (mirror.CopyResponse, error)
	Roster(ctx context.Context, ask mirror.RosterRequest) (mirror.RosterResponse, error)
}

// Boxes hears of boxes that leave.
type Boxes interface {
	MarkLeaving(box work.Box)
}

// Server takes the calls of other boxes.
type Server struct {
	addr   netip.AddrPort
	turns  Turns
	slots  Slots
	boxes  Boxes
	quotas Quotas
	mirror Sources
	direct work.Log
	logger *slog.Logger
	http   *http.Server
	// running is nil until the start.
	running *serve.Server
}

// NewServer makes a server that does not listen yet.
// It calls the log directly for boxes that can't.
func NewServer(addr netip.AddrPort, turns Turns, slots Slots, boxes Boxes, quotas Quotas, sources Sources, direct work.Log, logger *slog.Logger) *Server {
	s := &Server{addr: addr, turns: turns, slots: slots, boxes: boxes, quotas: quotas, mirror: sources, direct: direct, logger: logger}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+turnPath, s.turn)
	mux.HandleFunc("POST "+yieldPath, s.yield)
	mux.HandleFunc("GET "+findPath, s.find)
	mux.HandleFunc("POST "+logPath, s.log)
	mux.HandleFunc("POST "+deliverPath, s.deliver)
	mux.HandleFunc("POST "+leftPath, s.left)
	mux.HandleFunc("POST "+quotaPath, s.quota)
	mux.HandleFunc("POST "+copyPath, s.copy)
	mux.HandleFunc("POST "+rosterPath, s.roster)
	mux.HandleFunc("GET "+pingPath, func(http.ResponseWriter, *http.Request) {})
	s.http = &http.Server{Handler: mux, IdleTimeout: idleTimeout}
	return s
}

// Start implements a service.
func (s *Server) Start(context.Context) error {
	ln, err := serve.Listen(s.addr)
	if err != nil {
		return err
	}
	s.running = serve.Run(s.http, ln, s.logger, func(cause error) { s.logger.Error("remote: listener ended", "cause", cause) })
	return nil
}

// Stop implements a service.
func (s *Server) Stop(ctx context.Context) error {
	return s.running.Stop(ctx)
}

func (s *Server) yield(w http.ResponseWriter, r *http.Request) {
	slot, err := strconv.Atoi(r.URL.Query().Get(slotParam))
	if err == nil {
		err = s.slots.Handover(r.Context(), slot)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Server) deliver(w http.ResponseWriter, r *http.Request) {
	slot, err := strconv.Atoi(r.URL.Query().Get(slotParam))
	var recs []work.Record
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&recs)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.slots.Deliver(r.Context(), slot, recs); err != nil {
		s.logger.Info("remote: records of another box not written", "slot", slot, "cause", err)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) left(w http.ResponseWriter, r *http.Request) {
	box, err := work.ParseMember(r.URL.Query().Get(memberParam))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.boxes.MarkLeaving(box)
}

func (s *Server) quota(w http.ResponseWriter, r *http.Request) {
	var msg quota.GrantRequest
	if !decode(w, r, &msg) {
		return
	}
	if err := json.NewEncoder(w).Encode(s.quotas.Grant(time.Now(), msg)); err != nil {
		s.logger.Debug("remote: answer on a quota not sent", "cause", err)
	}
}

// decode reads a short question, and refuses one that is none.
func decode(w http.ResponseWriter, r *http.Request, ask any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeader)).Decode(ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) find(w http.ResponseWriter, r *http.Request) {
	var out findAnswer
	home, err := strconv.Atoi(r.URL.Query().Get(slotParam))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out.Text, out.Slots = s.turns.Find(r.Context(), r.URL.Query().Get(turnParam), home)
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.logger.Debug("remote: answer to a search not sent", "cause", err)
	}
}

func (s *Server) turn(w http.ResponseWriter, r *http.Request) {
	out := &reply{w: w, flush: http.NewResponseController(w)}
	msg, err := readTurn(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = s.turns.RunHere(r.Context(), msg.Slot, msg.Call, msg.Route, out)
	}
	if err == nil {
		return
	}
	if out.begun {
		panic(http.ErrAbortHandler) // the answer must not look whole
	}
	problem := fault.From(err).Problem("")
	if err := out.send(answer{Problem: &problem}); err != nil {
		s.logger.Debug("remote: refusal not sent", "cause", err)
	}
}

func readTurn(body io.Reader) (ask, error) {
	var msg ask
	if err := unframe(body, &msg); err != nil {
		return msg, err
	}
	call := msg.Call
	if call == nil || call.ID == "" || call.Turn == nil || msg.Route == nil {
		return msg, fault.Refuse(fault.BadRequest, "forwarded turn is incomplete")
	}
	now := time.Now()
	call.Deadline = now.Add(time.Duration(msg.LeftMillis) * time.Millisecond)
	call.Arrived = now.Add(-time.Duration(msg.WaitedMillis) * time.Millisecond)
	var err error
	if call.Body, err = io.ReadAll(body); err != nil {
		return msg, fault.Refuse(fault.BadRequest, "forwarded turn broke off").WithCause(err)
	}
	return msg, nil
}

// callerGone tells whom an answer can't be passed to.
const callerGone = "the box that forwarded the turn is gone"

// reply passes an answer to the box that forwarded the turn.
type reply struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	begun bool
}

func (r *reply) send(header answer) error {
	raw, err := frame(header)
	if err != nil {
		return err
	}
	return work.WriteToCaller(r.w, nil, raw, callerGone)
}

// Begin implements work.Answer. The head goes out with the first bytes of the body.
func (r *reply) Begin(head work.Head) error {
	r.begun = true
	return r.send(answer{Head: &head})
}

// Write implements work.Answer.
func (r *reply) Write(data []byte) error {
	return work.WriteToCaller(r.w, r.flush, data, callerGone)
}
