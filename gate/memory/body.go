package memory

import (
	"io"
	"time"

	"mulleingate.dev/base/fault"
)

const (
	// pieceBytes is the size of the pieces in which bodies are read. The first piece of a body is not reserved, so that
	// usual calls, which have up to 5 KB, are served while a few large ones use up the budget. The number of
	// connections bounds these pieces.
	pieceBytes = 8 << 10
	// retryAfter is the Retry-After delay of a call that is refused for memory. A caller with 2.5 s left honors a delay
	// of up to a third of that.
	retryAfter = 500 * time.Millisecond
)

// piece is a part of a body that is being read.
type piece [pieceBytes]byte

// Body is a request's body that is held within a budget.
type Body struct {
	// Data must not be used after Release.
	Data []byte

	budget   *Budget
	reserved int64
}

// Release returns the memory of the body to the budget. It must be called once; it does nothing for the zero Body.
func (b *Body) Release() {
	if b.budget != nil {
		b.budget.Release(b.reserved)
	}
}

// ReadBody reads a body to its end; length is -1 if it is not known. Memory is reserved as the body arrives, so that
// callers that announce much and send nothing take none. It returns a fault with NotRun and a Retry-After delay if the
// budget has no room, and errors of from as they are.
func (b *Budget) ReadBody(from io.Reader, length int64) (*Body, error) {
	if length >= 0 && length <= pieceBytes {
		data := make([]byte, length)
		if _, err := io.ReadFull(from, data); err != nil {
			return nil, err
		}
		return &Body{Data: data, budget: b}, nil
	}
	r := &bodyReader{budget: b}
	defer r.freePieces()
	if err := r.read(from); err != nil {
		b.Release(r.reserved)
		return nil, err
	}
	return &Body{Data: r.join(), budget: b, reserved: r.reserved}, nil
}

// bodyReader collects the pieces of a body.
type bodyReader struct {
	budget *Budget
	pieces []*piece
	// size is the number of bytes read, reserved that of the bytes taken from the budget.
	size, reserved int64
}

// read reads until from ends.
func (r *bodyReader) read(from io.Reader) error {
	for {
		room, err := r.room()
		if err != nil {
			return err
		}
		n, err := from.Read(room)
		r.size += int64(n)
		if err == io.EOF { //nolint:errorlint // readers return it unwrapped
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// room returns the free part of the last piece. It adds a piece if that is full.
func (r *bodyReader) room() ([]byte, error) {
	used := int(r.size - int64(max(len(r.pieces)-1, 0))*pieceBytes)
	if len(r.pieces) > 0 && used < pieceBytes {
		return r.pieces[len(r.pieces)-1][used:], nil
	}
	if len(r.pieces) > 0 {
		if !r.budget.Reserve(pieceBytes) {
			return nil, fault.Refuse(fault.Overloaded, "the box has no memory for the body").WithRetryAfter(retryAfter)
		}
		r.reserved += pieceBytes
	}
	next, ok := r.budget.pieces.Get().(*piece)
	if !ok {
		next = new(piece)
	}
	r.pieces = append(r.pieces, next)
	return next[:], nil
}

// join returns the body as one slice. Bodies are joined one at a time, since each takes its memory twice meanwhile.
func (r *bodyReader) join() []byte {
	r.budget.joining.Lock()
	defer r.budget.joining.Unlock()
	data := make([]byte, 0, r.size)
	for _, next := range r.pieces {
		data = append(data, next[:min(pieceBytes, r.size-int64(len(data)))]...)
	}
	r.freePieces()
	return data
}

// freePieces lets other bodies use the pieces.
func (r *bodyReader) freePieces() {
	for _, next := range r.pieces {
		r.budget.pieces.Put(next)
	}
	r.pieces = nil
}
