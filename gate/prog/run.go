package prog

import (
	"context"
	"strings"
	"sync"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// Run is one model call under way, or an answer that is kept. Any number of callers may
// read it from the start.
type Run struct {
	attempt string
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu     sync.Mutex
	pieces []string
	// round counts how often the answer started anew.
	round   int
	done    bool
	answer  types.TurnAnswer
	err     error
	changed chan struct{}
}

// Piece is what a reader gets next.
type Piece struct {
	// Text is the next piece; empty with Done.
	Text string
	// Round grows when the answer starts anew; pieces of earlier rounds are void.
	Round int
	Done  bool
}

func newRun(ctx context.Context, attempt string) *Run {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Run{attempt: attempt, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

// Attempt implements desk.Run.
func (r *Run) Attempt() string {
	return r.attempt
}

func (r *Run) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pieces = append(r.pieces, text)
	r.signal()
}

func (r *Run) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pieces = nil
	r.round++
	r.signal()
}

func (r *Run) finish(answer types.TurnAnswer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.answer, r.err, r.done = answer, err, true
	r.signal()
	r.cancel(nil)
}

func (r *Run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Next waits for piece i of a round. With Done the run has ended: see Answer.
func (r *Run) Next(ctx context.Context, round, i int) (Piece, error) {
	for {
		piece, changed := r.look(round, i)
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

func (r *Run) look(round, i int) (Piece, chan struct{}) {
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
