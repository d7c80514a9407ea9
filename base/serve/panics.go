package serve

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
)

// PanicsMetric is the counter of recovered panics.
const PanicsMetric = "panics"

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
}

// noCounts records nothing.
type noCounts struct{}

func (noCounts) Count(string, int64) {}

// IsAbort reports whether a recovered value is http.ErrAbortHandler, with which handlers end a partial
// answer. It is not a fault of the program.
func IsAbort(recovered any) bool {
	err, ok := recovered.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// ReportPanic logs and counts a recovered panic. It must be called by the deferred function that
// recovered it, so that the stack still shows its cause.
func ReportPanic(logger *slog.Logger, counts Counts, recovered any) {
	report(logger, counts, fmt.Sprint(recovered), string(debug.Stack()))
}

func report(logger *slog.Logger, counts Counts, cause, stack string) {
	counts.Count(PanicsMetric, 1)
	logger.Error("serve: panic recovered", "cause", cause, "stack", stack)
}

// panicPrefix begins the message that net/http logs after it has recovered a panic of a handler or of
// its own code, unless the value is http.ErrAbortHandler. The stack follows in the next lines.
const panicPrefix = "http: panic serving "

// errorLog receives the messages of a http.Server. It reports panics and logs all others at debug level.
type errorLog struct {
	logger *slog.Logger
	counts Counts
}

// Write implements io.Writer. It is called with one message.
func (l *errorLog) Write(message []byte) (int, error) {
	text := strings.TrimSpace(string(message))
	if cause, found := strings.CutPrefix(text, panicPrefix); found {
		cause, stack, _ := strings.Cut(cause, "\n")
		report(l.logger, l.counts, cause, stack)
		return len(message), nil
	}
	l.logger.Debug(text)
	return len(message), nil
}
