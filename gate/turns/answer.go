package turns

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// pass hands the answer on as it comes, and ends it once the ledger has it.
func (t *turn) pass(ctx context.Context, reply work.Reply) error {
	defer reply.Body.Close()
	if err := t.awaitStart(ctx); err != nil {
		t.lease.Done(target.Dropped, 0)
		return err
	}
	if reply.Head.Status != http.StatusOK || !reply.Sound {
		return t.passFailure(reply)
	}
	begun := time.Now()
	before := t.tap.collected.count
	if err := t.stream(ctx, reply); err != nil {
		t.lease.Done(t.outcome(ctx, err), 0)
		return err
	}
	gap := time.Duration(0)
	if events := t.tap.collected.count - before; events > 1 {
		gap = time.Since(begun) / time.Duration(events-1)
	}
	t.lease.Done(target.Answered, gap)
	return t.ledger.finish(ctx)
}

// passFailure hands on an answer that is no series of events.
func (t *turn) passFailure(reply work.Reply) error {
	if reply.Head.Status < http.StatusMultipleChoices {
		t.lease.Done(target.Broken, 0)
		return fault.Fail(fault.Protocol, "the answer lacks the replica's proof of origin")
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxLine))
	if err != nil {
		t.lease.Done(target.Broken, 0)
		return fault.Fail(fault.TargetFailed, "the answer broke off").Because(err)
	}
	t.lease.Done(verdict(reply.Head.Status), 0)
	t.log.Info("turns: replica failed the turn", "id", t.call.ID, "replica", t.lease.Replica.ID, "status", reply.Head.Status)
	if t.tap.begun {
		return fault.Fail(fault.TargetFailed, "the replica did not take the turn up")
	}
	t.ended = true
	t.ledger.abort()
	reply.Head.Length = int64(len(body))
	if err := t.tap.Begin(reply.Head); err != nil {
		return nil
	}
	_ = t.tap.Answer.Write(body) // the caller is gone; the turn has ended either way
	return nil
}

// verdict tells a replica's own failure from the caller's, and from a time that ran out.
func verdict(status int) target.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return target.Dropped
	case status >= http.StatusInternalServerError:
		return target.Failed
	default:
		return target.Answered
	}
}

// stream copies the answer until its end.
func (t *turn) stream(ctx context.Context, reply work.Reply) error {
	if !t.tap.begun {
		t.tap.head = reply.Head
		t.tap.head.Length = -1
	}
	err := work.Copy(reply.Body, t.tap, fault.TargetFailed)
	if err == nil {
		return t.tap.flush()
	}
	t.tap.held = nil // the part of an event; the replica that goes on sends it whole
	if fault.Is(err, fault.TargetFailed) && ctx.Err() != nil {
		return fault.Fail(fault.TimedOut, "the turn's time ended before its answer").Because(err)
	}
	return err
}

// tap sees an answer on its way to the caller. The head goes out with the first bytes.
type tap struct {
	work.Answer
	turn *turn
	head work.Head
	// collected is what was handed to the caller.
	collected events
	// held is the beginning of an event on a route whose answers are taken up again: the caller
	// gets whole events only, so that none is told twice.
	held  []byte
	begun bool
}

// Write implements work.Answer.
func (p *tap) Write(data []byte) error {
	p.turn.heard = time.Now()
	if !p.turn.route.Resumable {
		return p.hand(data)
	}
	p.held = append(p.held, data...)
	end := wholeEvents(p.held)
	if end == 0 {
		return nil
	}
	err := p.hand(p.held[:end])
	p.held = append(p.held[:0], p.held[end:]...)
	return err
}

// wholeEvents is the number of bytes up to the end of the last whole event.
func wholeEvents(raw []byte) int {
	end := 0
	if at := bytes.LastIndex(raw, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(raw, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+len("\n\r\n"))
	}
	return end
}

// flush hands out what follows the last event of a whole answer.
func (p *tap) flush() error {
	if len(p.held) == 0 {
		return nil
	}
	rest := p.held
	p.held = nil
	return p.hand(rest)
}

// hand gives bytes to the caller.
func (p *tap) hand(data []byte) error {
	if !p.begun {
		p.begun = true
		p.turn.lease.First(time.Since(p.turn.offered))
		p.turn.first = time.Since(p.turn.call.Arrived)
		if err := p.Begin(p.head); err != nil {
			return err
		}
	}
	p.collected.write(data)
	return p.Answer.Write(data)
}
