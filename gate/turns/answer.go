package turns

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

const (
	// maxErrorBody bounds the body of an error answer, in bytes.
	maxErrorBody = 1 << 20
	// freeAnswer is the size in bytes up to which an answer is kept in any case. It is several times the usual size, so
	// that answers which go on without end do no harm to others.
	freeAnswer = 16 << 10
)

// forwardReply streams the answer to the caller and records the end of the turn in the ledger.
func (t *turn) forwardReply(ctx context.Context, reply work.Reply) error {
	complete, err := t.copyReply(ctx, reply)
	if !complete {
		return err
	}
	if err := t.answer.flush(); err != nil {
		return t.finishUndelivered(ctx, err)
	}
	return t.ledger.finish(ctx)
}

// copyReply streams the answer to the caller, except for what flush sends, and releases the replica's place and the
// connection to it. It reports whether the answer is a complete event stream; otherwise it returns the result of the
// turn.
func (t *turn) copyReply(ctx context.Context, reply work.Reply) (complete bool, err error) {
	defer reply.Body.Close()
	t.unframed = reply.Head.Unframed
	t.lease.EndUnknown = t.unframed
	if err := t.awaitStart(ctx); err != nil {
		t.lease.Done(givenUpOutcome(ctx), 0)
		return false, err
	}
	if reply.Head.Status != http.StatusOK || !reply.Signed {
		return false, t.forwardFailure(reply)
	}
	begun := time.Now()
	before, written := t.answer.collected.count, t.answer.writeTime
	if err := t.stream(ctx, reply); err != nil {
		t.lease.Unbroken = fault.Is(err, fault.Protocol)
		t.lease.Done(t.errorOutcome(ctx, err), 0)
		return false, err
	}
	gap := time.Duration(0)
	if events := t.answer.collected.count - before; events > 1 {
		gap = max(0, time.Since(begun)-(t.answer.writeTime-written)) / time.Duration(events-1)
	}
	t.lease.Done(target.Answered, gap)
	return true, nil
}

// finishUndelivered records the end of a turn whose answer is complete although the caller, with whom ctx has
// ended, did not take its last bytes. It returns err.
func (t *turn) finishUndelivered(ctx context.Context, err error) error {
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), t.call.Deadline)
	defer stop()
	if cause := t.ledger.finish(ctx); cause != nil {
		return cause
	}
	return err
}

// forwardFailure handles a reply that is not a signed event stream: it rejects an unsigned success and
// forwards an error status to the caller, unless part of the answer was already sent.
func (t *turn) forwardFailure(reply work.Reply) error {
	if reply.Succeeded() {
		t.lease.Unbroken = true
		t.lease.Done(target.Incomplete, 0)
		return fault.Fail(fault.Protocol, "the answer lacks the replica's proof of origin")
	}
	body, whole, err := t.answer.share.ReadAll(reply.Body, maxErrorBody)
	if err != nil {
		t.lease.Done(target.Incomplete, 0)
		return fault.Fail(fault.TargetFailed, "the answer broke off").WithCause(err)
	}
	if !whole {
		t.lease.Unbroken = true
		t.lease.Done(target.Incomplete, 0)
		return fault.Fail(fault.Protocol, "the error answer is too long")
	}
	t.lease.Done(statusOutcome(reply.Head.Status), 0)
	t.log.Info("turns: replica answered with an error status", "id", t.call.ID, "replica", t.lease.Replica.ID, "status", reply.Head.Status)
	if t.answer.begun {
		return fault.Fail(fault.TargetFailed, "the replica did not resume the turn")
	}
	t.ended = true
	t.ledger.abort()
	reply.Head.Length = int64(len(body))
	if err := t.answer.Begin(reply.Head); err != nil {
		return nil
	}
	_ = t.answer.Answer.Write(body) // the turn has ended even if the caller is gone
	return nil
}

// givenUpOutcome returns the outcome of a turn that is not answered since the log has not confirmed its start.
func givenUpOutcome(ctx context.Context) target.Outcome {
	if ctx.Err() != nil {
		return target.Abandoned
	}
	return target.GivenUp
}

// statusOutcome maps a status to an outcome. A 5xx is a failure of the replica, except 504, which says
// nothing about the replica. Other statuses are answers.
func statusOutcome(status int) target.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return target.Abandoned
	case status >= http.StatusInternalServerError:
		return target.Failed
	default:
		return target.Answered
	}
}

// stream copies the replica's answer to the caller until its end, except for what flush sends.
func (t *turn) stream(ctx context.Context, reply work.Reply) error {
	if !t.answer.begun {
		t.answer.head = reply.Head
		t.answer.head.Length = -1
	}
	err := work.CopyBody(reply.Body, t.answer, fault.TargetFailed)
	if err == nil {
		return nil
	}
	t.answer.partial = nil // drop the incomplete event; a replica that resumes sends it again
	if fault.Is(err, fault.TargetFailed) && ctx.Err() != nil {
		return fault.Fail(fault.TimedOut, "the turn's deadline passed before the end of its answer").WithCause(err)
	}
	return err
}

// answerWriter writes an answer to the caller and collects its events. The head is sent with the first bytes.
type answerWriter struct {
	work.Answer
	turn *turn
	head work.Head
	// collected holds the events sent to the caller, and maxText bounds what it keeps of them, in bytes.
	collected events
	maxText   int
	// share is the memory for what is kept of the answer. full is set once it had no room for the collected events.
	share *memory.Share
	full  bool
	// partial buffers an incomplete event on a resumable route. Only complete events are sent to the caller,
	// so that a resumed answer repeats no part of an event.
	partial []byte
	// begun is set once a part of the answer was sent to the caller.
	begun bool
	// writeTime is the time spent on writes to the caller, which says nothing about the replica.
	writeTime time.Duration
}

func newAnswerWriter(t *turn, out work.Answer) *answerWriter {
	w := &answerWriter{turn: t, Answer: out, maxText: maxHistoryBytes, share: memory.NewShare(t.memory.Answers, freeAnswer)}
	w.collected.discard = !t.route.Stateful
	return w
}

// Write implements work.Answer.
func (w *answerWriter) Write(data []byte) error {
	start := time.Now()
	err := w.writeComplete(data)
	w.turn.lastReceived = time.Now()
	w.writeTime += w.turn.lastReceived.Sub(start)
	return err
}

// writeComplete sends data, on a resumable route only up to the last complete event.
func (w *answerWriter) writeComplete(data []byte) error {
	if !w.turn.route.Resumable {
		return w.send(data)
	}
	held := len(w.partial)
	w.partial = append(w.partial, data...)
	end := completeEvents(w.partial, held)
	if end == 0 {
		return w.makeRoom()
	}
	err := w.send(w.partial[:end])
	w.partial = append(w.partial[:0], w.partial[end:]...)
	return err
}

// completeEvents returns the length of raw up to the end of its last complete event. There is none in the first held
// bytes, which are not searched again, so that the time for a long event is not quadratic.
func completeEvents(raw []byte, held int) int {
	from := max(0, held-len("\n\r"))
	end := 0
	if at := bytes.LastIndex(raw[from:], []byte("\n\n")); at >= 0 {
		end = from + at + len("\n\n")
	}
	if at := bytes.LastIndex(raw[from:], []byte("\n\r\n")); at >= 0 {
		end = max(end, from+at+len("\n\r\n"))
	}
	return end
}

// makeRoom returns a fault if there is no memory for what is kept of the answer.
func (w *answerWriter) makeRoom() error {
	if w.share.Grow(cap(w.partial) + w.collected.memory()) {
		return nil
	}
	w.turn.counts.Count("turns.answer_too_long", 1)
	return fault.Fail(fault.Protocol, "the answer is too long for the memory of the box")
}

// flush sends what has been held back, once the answer has ended: the bytes after the last event, and the head if
// there was no event.
func (w *answerWriter) flush() error {
	if len(w.partial) == 0 {
		return w.begin()
	}
	rest := w.partial
	w.partial = nil
	return w.send(rest)
}

// send writes data to the caller and sends the head before the first bytes. It counts the data as sent also if
// that fails, since the caller may have got it.
func (w *answerWriter) send(data []byte) error {
	w.collected.write(data)
	if w.collected.size() > w.maxText {
		return fault.Fail(fault.TooLarge, "the program's history is too long with this answer")
	}
	if err := w.makeRoom(); err != nil {
		w.full = true
		return err
	}
	if !w.begun {
		w.turn.lease.RecordFirstEvent(time.Since(w.turn.sentAt))
	}
	if err := w.begin(); err != nil {
		return err
	}
	return w.Answer.Write(data)
}

// begin sends the head unless it has been sent.
func (w *answerWriter) begin() error {
	if w.begun {
		return nil
	}
	w.begun = true
	w.turn.firstEventLatency = time.Since(w.turn.call.Arrived)
	return w.Begin(w.head)
}
