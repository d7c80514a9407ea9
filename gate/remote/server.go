package remote

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/serve"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// maxBody bounds the body of a large request or response, in bytes, and maxTurn that of a forwarded turn with its header and
// the chain that it continues.
const (
	maxBody = 32 << 20
	maxTurn = maxTurnHeader + 2*maxBody
)

// idleTimeout is longer than clients keep idle connections, so that the clients close them.
const idleTimeout = 30 * time.Second

// Turns runs the turns that other boxes forward.
type Turns interface {
	// RunHere runs the turn if this box owns the slot, or can take it over since the unreached boxes, which
	// should rather own it, are confirmed to have failed.
	RunHere(ctx context.Context, slot int, unreached []work.Box, call *work.Call, route *work.Route, out work.Answer) error
	// Find returns the text of the chain that ends with the turn if a slot of this box stores it, and
	// otherwise the slots that do not. If confirm is set, these are only slots that the log confirms to be
	// owned by this box.
	Find(ctx context.Context, turn string, confirm bool) (text []byte, absent []int)
}

// Slots releases slots and writes records to them.
type Slots interface {
	// Keeps reports whether this box owns the slot and keeps it from the claimant.
	Keeps(slot int, claimant work.Owner) bool
	// Handover releases the slot to the claimant.
	Handover(ctx context.Context, slot int, claimant work.Owner) error
	// Deliver writes records of turns that began at a previous owner.
	Deliver(ctx context.Context, slot int, recs []work.Record) error
	// NotifyTaken handles the announcement of the owner that it has taken the slot over.
	NotifyTaken(slot int, owner work.Owner) error
}

// Quotas grants calls from the quotas that are counted on this box.
type Quotas interface {
	Grant(now time.Time, req quota.GrantRequest) quota.GrantReply
}

// Sources answers requests to this box as a source of the shared topics and the members.
type Sources interface {
	Copy(ctx context.Context, req mirror.CopyRequest) (mirror.CopyResponse, error)
	Roster(ctx context.Context, req mirror.RosterRequest) (mirror.RosterResponse, error)
}

// Boxes is the view of the other boxes.
type Boxes interface {
	// MarkLeaving records that the box announced that it leaves.
	MarkLeaving(box work.Box)
	// Witness tries to connect to the box on behalf of another one.
	Witness(ctx context.Context, box work.Box) view.Contact
}

// Server serves the requests of other boxes.
type Server struct {
	self      work.Box
	turns     Turns
	slots     Slots
	boxes     Boxes
	quotas    Quotas
	sources   Sources
	directLog work.Log
	// bodies bounds the memory of the requests that are read or served.
	bodies *memory.Budget
	counts serve.Counts
	logger *slog.Logger
	http   *http.Server
	// running is nil before Start.
	running *serve.Server
}

// NewServer returns the server of the box self, which does not listen yet. It performs operations on direct, the log, for boxes
// that can't reach the log themselves.
func NewServer(self work.Box, turns Turns, slots Slots, boxes Boxes, quotas Quotas, sources Sources, direct work.Log, bodies *memory.Budget, counts serve.Counts, logger *slog.Logger) *Server {
	s := &Server{self: self, turns: turns, slots: slots, boxes: boxes, quotas: quotas, sources: sources, directLog: direct, bodies: bodies, counts: counts, logger: logger}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+turnPath, s.turn)
	mux.HandleFunc("POST "+chainTurnPath, s.turn)
	mux.HandleFunc("GET "+keepsPath, short(s.keeps))
	mux.HandleFunc("POST "+handoverPath, short(s.handover))
	mux.HandleFunc("POST "+takenPath, short(s.taken))
	mux.HandleFunc("GET "+findPath, short(s.find))
	mux.HandleFunc("POST "+logPath, short(s.log))
	mux.HandleFunc("POST "+deliverPath, short(s.deliver))
	mux.HandleFunc("POST "+leavingPath, short(s.leaving))
	mux.HandleFunc("POST "+quotaPath, short(s.quota))
	mux.HandleFunc("POST "+copyPath, short(s.copy))
	mux.HandleFunc("POST "+rosterPath, short(s.roster))
	mux.HandleFunc("GET "+reachPath, short(s.reach))
	mux.HandleFunc("GET "+pingPath, short(s.ping))
	s.http = &http.Server{Handler: bounded(mux), IdleTimeout: idleTimeout, ReadHeaderTimeout: headTimeout, MaxHeaderBytes: maxRequestHead}
	return s
}

// Start implements kernel.Service.
func (s *Server) Start(context.Context) error {
	ln, err := serve.Listen(s.self.Peer)
	if err != nil {
		return err
	}
	s.running = serve.RunCounting(s.http, ln, s.logger, s.counts, func(cause error) { s.logger.Error("remote: listener failed", "cause", cause) })
	return nil
}

// Stop implements kernel.Service.
func (s *Server) Stop(ctx context.Context) error {
	return s.running.Stop(ctx)
}

func (s *Server) keeps(w http.ResponseWriter, r *http.Request) {
	slot, claimant, err := parseClaim(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := json.NewEncoder(w).Encode(keepsResponse{Keeps: s.slots.Keeps(slot, claimant)}); err != nil {
		s.logger.Debug("remote: cannot answer a claim", "slot", slot, "cause", err)
	}
}

func (s *Server) handover(w http.ResponseWriter, r *http.Request) {
	slot, claimant, err := parseClaim(r.URL.Query())
	if err == nil {
		err = s.slots.Handover(r.Context(), slot, claimant)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Server) taken(w http.ResponseWriter, r *http.Request) {
	slot, owner, err := parseClaim(r.URL.Query())
	if err == nil {
		err = s.slots.NotifyTaken(slot, owner)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Server) deliver(w http.ResponseWriter, r *http.Request) {
	slot, err := strconv.Atoi(r.URL.Query().Get(slotParam))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var recs []work.Record
	release, ok := s.decode(w, r, maxBody, &recs)
	if !ok {
		return
	}
	defer release()
	if err := s.slots.Deliver(r.Context(), slot, recs); err != nil {
		s.logger.Info("remote: cannot write records delivered by another box", "slot", slot, "cause", err)
		w.WriteHeader(http.StatusServiceUnavailable)
		if err := json.NewEncoder(w).Encode(deliverResponse{Owner: namedOwner(err)}); err != nil {
			s.logger.Debug("remote: cannot refuse records", "cause", err)
		}
	}
}

func (s *Server) leaving(w http.ResponseWriter, r *http.Request) {
	box, err := work.ParseMember(r.URL.Query().Get(memberParam))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.boxes.MarkLeaving(box)
}

func (s *Server) quota(w http.ResponseWriter, r *http.Request) {
	var msg quota.GrantRequest
	release, ok := s.decode(w, r, maxHeader, &msg)
	if !ok {
		return
	}
	defer release()
	if err := json.NewEncoder(w).Encode(s.quotas.Grant(time.Now(), msg)); err != nil {
		s.logger.Debug("remote: cannot send quota grant", "cause", err)
	}
}

func (s *Server) find(w http.ResponseWriter, r *http.Request) {
	var out findResponse
	confirm, err := strconv.ParseBool(cmp.Or(r.URL.Query().Get(confirmParam), "true"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out.Text, out.Slots = s.turns.Find(r.Context(), r.URL.Query().Get(turnParam), confirm)
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.logger.Debug("remote: cannot send result of a search", "cause", err)
	}
}

func (s *Server) turn(w http.ResponseWriter, r *http.Request) {
	out := &turnWriter{w: w, flush: http.NewResponseController(w)}
	defer s.answerPanic(out)
	body := &reservingReader{in: http.MaxBytesReader(w, r.Body, maxTurn), budget: s.bodies}
	defer body.release()
	msg, err := out.readTurn(body)
	if err == nil {
		out.deadline = msg.Call.Deadline
		err = s.turns.RunHere(r.Context(), msg.Slot, msg.Unreached, msg.Call, msg.Route, out)
	}
	if err == nil {
		err = out.end()
	}
	if err == nil {
		out.setWriteDeadline(time.Time{}) // the connection carries further requests
		return
	}
	if out.begun {
		panic(http.ErrAbortHandler) // the response must not look complete
	}
	s.sendFault(out, err)
}

func (s *Server) sendFault(out *turnWriter, cause error) {
	problem := fault.From(cause).Problem("")
	if err := out.send(turnResponse{Problem: &problem, Owner: namedOwner(cause)}); err != nil {
		s.logger.Debug("remote: cannot send fault of a forwarded turn", "cause", err)
	}
}

// answerPanic responds to a turn whose handler has panicked: the turn may have run. Without a response, the
// other box would mark this one unreachable. A partial response is ended by panicking again, which the server
// reports.
func (s *Server) answerPanic(out *turnWriter) {
	value := recover()
	if value == nil {
		return
	}
	if out.begun || serve.IsAbort(value) {
		panic(value)
	}
	serve.ReportPanic(s.logger, s.counts, value)
	s.sendFault(out, fault.Fail(fault.Internal, "the owner of the slot failed the turn"))
}

// readTurn reads a forwarded turn, which must arrive by its deadline. Its faults have NotRun set, since nothing has been done
// with the turn.
func (t *turnWriter) readTurn(body io.Reader) (turnRequest, error) {
	var msg turnRequest
	if err := unframe(body, &msg); err != nil {
		return msg, unreadable(err)
	}
	call := msg.Call
	if call == nil || call.ID == "" || call.Turn == nil || msg.Route == nil || msg.BaseBytes < 0 {
		return msg, unreadable(nil)
	}
	if msg.Latin1 {
		call = mapCall(call, fromLatin1)
		msg.Call = call
	}
	now := time.Now()
	call.Deadline = now.Add(work.Millis(msg.LeftMillis))
	call.Arrived = now.Add(-work.Millis(msg.WaitedMillis))
	_ = t.flush.SetReadDeadline(call.Deadline.Add(writeGrace)) // on a closed connection, the next read fails
	var err error
	if msg.BaseBytes > 0 {
		if call.Turn.Base, err = readFull(body, msg.BaseBytes); err != nil {
			return msg, unreadable(err)
		}
	}
	if call.Body, err = memory.ReadAll(body); err != nil {
		return msg, unreadable(err)
	}
	_ = t.flush.SetReadDeadline(time.Time{}) // its end would end the request's context
	return msg, nil
}

// unreadable returns the fault of a forwarded turn that this box can't read. Its owner can't be reached by way of the box
// that sent it, so that the caller may come again.
func unreadable(cause error) error {
	if fault.Is(cause, fault.Overloaded) {
		return cause
	}
	return fault.Refuse(fault.OwnerUnavailable, "the forwarded turn can't be read").WithCause(cause)
}

// writeGrace is how long after a turn's deadline its response may still be written: a response that is ready then is
// delivered, but a box that does not read it must not block the turn.
const writeGrace = time.Second

// callerGone is the detail of the fault if a response can't be written.
const callerGone = "the box that forwarded the turn has disconnected"

// turnWriter is a work.Answer that sends the response to the box that forwarded the turn.
type turnWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	// deadline is that of the turn.
	deadline time.Time
	// header is the framed head of the answer from Begin until its first byte is written; otherwise nil.
	header []byte
	// begun is set once a part of the answer has been sent.
	begun bool
}

// send sends the response to a turn without an answer.
func (t *turnWriter) send(header turnResponse) error {
	raw, err := frame(header)
	if err != nil {
		return err
	}
	return work.WriteToCaller(t.w, raw, callerGone)
}

// Begin implements work.Answer. The head is sent with the first bytes of the body, so that a turn that fails before gets a
// fault as its response.
func (t *turnWriter) Begin(head work.Head) error {
	encoded, latin1 := encodeHead(head)
	var err error
	t.header, err = frame(turnResponse{Head: &encoded, Latin1: latin1})
	return err
}

// end is called after a complete answer. It sends the head of one without a body.
func (t *turnWriter) end() error {
	if t.begun {
		return nil
	}
	return t.Write(nil)
}

// setWriteDeadline bounds the writes to the connection, until it is set again.
func (t *turnWriter) setWriteDeadline(deadline time.Time) {
	_ = t.flush.SetWriteDeadline(deadline) // on a closed connection, the next write fails
}

// Write implements work.Answer.
func (t *turnWriter) Write(data []byte) error {
	if !t.begun {
		t.setWriteDeadline(t.deadline.Add(writeGrace))
		data = append(t.header, data...)
		t.header, t.begun = nil, true
	}
	return work.WriteToCaller(t.w, data, callerGone)
}
