package prog

import (
	"context"
	"strings"
	"sync"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// Run is a turn in flight or a stored answer. Any number of callers may read it from the beginning.
type Run struct {
	attempt string
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu     sync.Mutex
	pieces []string
	// round counts how often the answer was restarted.
	round   int
	done    bool
	answer  types.TurnAnswer
	err     error
	changed chan struct{}
}

// Piece is the next part of an answer for a reader.
type Piece struct {
	// Text is the text of the piece; it is empty if Done is set.
	Text string
	// Round grows each time the answer is restarted, which invalidates pieces of earlier rounds.
	Round int
	// Done reports that the run has ended.
	Done bool
}

func newRun(ctx context.Context, attempt string) *Run {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Run{attempt: attempt, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

// Attempt implements desk.Run.
func (r *Run) Attempt() string {
	return r.attempt
}

func (r *Run) appendPiece(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pieces = append(r.pieces, text)
	r.notify()
}

func (r *Run) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pieces = nil
	r.round++
	r.notify()
}

func (r *Run) finish(answer types.TurnAnswer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.answer, r.err, r.done = answer, err, true
	r.notify()
	r.cancel(nil)
}

func (r *Run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Next waits for piece i of a round, or for the first piece of a newer round. If Done is set,
// the run has ended and Answer returns its result.
func (r *Run) Next(ctx context.Context, round, i int) (Piece, error) {
	for {
		piece, changed := r.tryNext(round, i)
		if changed == nil {
			return piece, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, fault.Fail(fault.DeadlineMissed, "the call is still running").WithCause(ctx.Err())
		}
	}
}

func (r *Run) tryNext(round, i int) (Piece, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if round != r.round && len(r.pieces) > 0 {
		return Piece{Text: r.pieces[0], Round: r.round}, nil
	}
	if round == r.round && i < len(r.pieces) {
		return Piece{Text: r.pieces[i], Round: r.round}, nil
	}
	if r.done {
		return Piece{Round: r.round, Done: true}, nil
	}
	return Piece{}, r.changed
}

// Answer waits for the whole answer.
func (r *Run) Answer(ctx context.Context) (types.TurnAnswer, error) {
	for {
		r.mu.Lock()
		done, changed, answer, err := r.done, r.changed, r.answer, r.err
		r.mu.Unlock()
		if done {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return types.TurnAnswer{}, fault.Fail(fault.DeadlineMissed, "the call is still running").WithCause(ctx.Err())
		}
	}
}

func (r *Run) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.pieces, " ")
}
