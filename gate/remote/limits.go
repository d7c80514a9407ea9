package remote

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
)

const (
	// maxRequestHead bounds the head of a request, in bytes. Its longest part names a turn or a member.
	maxRequestHead = 64 << 10
	// headTimeout is the time in which the head of a request and that of a forwarded turn must arrive. Boxes send a
	// request at once.
	headTimeout = 3 * time.Second
	// bodyTimeout is the time in which the body of a request other than a turn must arrive, and in which its response must
	// be taken. It allows for 4 MB on the slowest links, of 30 Mbit/s, that carry other traffic as well.
	bodyTimeout = 5 * time.Second
	// unreservedBytes is the part of each body that is not reserved, so that usual requests are served while large ones use
	// up the budget.
	unreservedBytes = 16 << 10
	// reserveStep is the number of bytes that are reserved at once.
	reserveStep = 64 << 10
	// maxAlone is what one request may have although it exceeds the budget, if no other one has reserved any: a turn with a
	// chain of 16 MB, the longest that is known from agents.
	maxAlone = 18 << 20
	// memoryRetryAfter is the Retry-After delay of a request that is refused for lack of memory.
	memoryRetryAfter = 500 * time.Millisecond
)

// bounded serves each request with deadlines for its body and its response. Turns set their own.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := http.NewResponseController(w)
		_ = conn.SetWriteDeadline(time.Time{}) // one of an earlier request may be set; on a closed connection, the next write fails
		if r.ContentLength != 0 {
			_ = conn.SetReadDeadline(time.Now().Add(headTimeout)) // on a closed connection, the next read fails
		}
		next.ServeHTTP(w, r)
	})
}

// short serves a request other than a turn. Its response must be taken within bodyTimeout.
func short(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handle(&shortWriter{ResponseWriter: w, conn: http.NewResponseController(w)}, r)
	}
}

// shortWriter bounds the time of the writes of a response from the first one on.
type shortWriter struct {
	http.ResponseWriter
	conn  *http.ResponseController
	begun bool
}

// Write implements io.Writer.
func (s *shortWriter) Write(data []byte) (int, error) {
	if !s.begun {
		s.begun = true
		_ = s.conn.SetWriteDeadline(time.Now().Add(bodyTimeout)) // on a closed connection, the next write fails
	}
	return s.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (s *shortWriter) Unwrap() http.ResponseWriter {
	return s.ResponseWriter
}

// decode reads a JSON request of at most limit bytes. If that fails, it responds with a status and returns false. The memory
// of the request must be returned by release.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, limit int64, req any) (release func(), ok bool) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // on a closed connection, the read fails
	in := &reservingReader{in: http.MaxBytesReader(w, r.Body, limit), budget: s.bodies}
	raw, err := memory.ReadAll(in)
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{}) // its end would end the request's context
		err = json.Unmarshal(raw, req)
	}
	if err == nil {
		return in.release, true
	}
	in.release()
	status := http.StatusBadRequest
	if fault.Is(err, fault.Overloaded) {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	return nil, false
}

// reservingReader reserves memory for what it reads as that arrives, except for the first bytes. It fails with Overloaded
// if there is none.
type reservingReader struct {
	in     io.Reader
	budget *memory.Budget
	// read is the number of bytes read, and reserved that of the bytes taken from the budget.
	read, reserved int64
	// released is set once the bytes were returned.
	released bool
}

// Read implements io.Reader.
func (r *reservingReader) Read(data []byte) (int, error) {
	n, err := r.in.Read(data)
	r.read += int64(n)
	for r.read > r.reserved+unreservedBytes {
		if !r.budget.Reserve(reserveStep) {
			if r.mayExceed() {
				return n, err
			}
			return 0, fault.Refuse(fault.Overloaded, "the box has no memory for the request").WithRetryAfter(memoryRetryAfter)
		}
		r.reserved += reserveStep
	}
	return n, err
}

// mayExceed reports whether the request may have more memory than is reserved.
func (r *reservingReader) mayExceed() bool {
	return r.reserved > 0 && r.budget.Used() <= r.reserved && r.read <= maxAlone
}

// release returns the memory to the budget. It may be called more than once.
func (r *reservingReader) release() {
	if !r.released {
		r.released = true
		r.budget.Release(r.reserved)
	}
}
