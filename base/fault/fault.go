package fault

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is a class of failure. It is the title and the last part of the type URI of a Problem.
type Kind string

// The kinds of failure that callers and operators can meet.
const (
	BadRequest      Kind = "bad_request"
	BadJSON         Kind = "bad_json"
	TooLarge        Kind = "body_too_large"
	Unauthorized    Kind = "unknown_workspace"
	NoProgram       Kind = "no_such_program"
	TurnConflict    Kind = "turn_conflict"
	ProgramEnded    Kind = "program_ended"
	UnknownModel    Kind = "unknown_model"
	UnknownService  Kind = "unknown_service"
	NoAllowedPlace  Kind = "no_allowed_place"
	BudgetSpent     Kind = "budget_spent"
	LimitReached    Kind = "limit_reached"
	DeadlineMissed  Kind = "deadline_missed"
	DeadlineTooNear Kind = "deadline_too_near"
	Overloaded      Kind = "overloaded"
	LogUnavailable  Kind = "log_unavailable"
	// LogRejected is the refusal of records that the log will never take.
	LogRejected      Kind = "log_rejected"
	OwnerUnavailable Kind = "owner_unavailable"
	NotOwner         Kind = "not_owner"
	PeerUnreachable  Kind = "peer_unreachable"
	OutcomeUnknown   Kind = "outcome_unknown"
	KeyReused        Kind = "key_reused"
	BadContinuation  Kind = "bad_continuation"
	TailTooLong      Kind = "tail_too_long"
	TargetFailed     Kind = "target_failed"
	NoTarget         Kind = "no_target"
	Stopping         Kind = "stopping"
	StaleConfig      Kind = "stale_configuration"
	RevisionConflict Kind = "revision_conflict"
	BadConfig        Kind = "bad_configuration"
	BadSettings      Kind = "bad_settings"
	BadKey           Kind = "bad_key"
	Protocol         Kind = "protocol"
	Internal         Kind = "internal"
	NoRoute          Kind = "no_route"
	NoTurn           Kind = "no_such_turn"
	TurnNotKnownYet  Kind = "turn_not_known_yet"
	NoConfig         Kind = "no_configuration_yet"
	HistoryGone      Kind = "log_history_gone"
	TimedOut         Kind = "timed_out"
	CallerGone       Kind = "caller_gone"
	QuotaReached     Kind = "quota_reached"
	// RequestBlocked is the refusal of a request under which too many targets have crashed.
	RequestBlocked Kind = "request_blocked"
)

// statuses holds the HTTP status of each kind.
var statuses = map[Kind]int{
	BadRequest:       http.StatusBadRequest,
	BadJSON:          http.StatusBadRequest,
	TooLarge:         http.StatusRequestEntityTooLarge,
	Unauthorized:     http.StatusUnauthorized,
	NoProgram:        http.StatusNotFound,
	TurnConflict:     http.StatusConflict,
	ProgramEnded:     http.StatusGone,
	UnknownModel:     http.StatusNotFound,
	UnknownService:   http.StatusNotFound,
	NoAllowedPlace:   http.StatusForbidden,
	BudgetSpent:      http.StatusPaymentRequired,
	LimitReached:     http.StatusForbidden,
	DeadlineMissed:   http.StatusGatewayTimeout,
	DeadlineTooNear:  http.StatusServiceUnavailable,
	Overloaded:       http.StatusTooManyRequests,
	LogUnavailable:   http.StatusServiceUnavailable,
	LogRejected:      http.StatusServiceUnavailable,
	OwnerUnavailable: http.StatusServiceUnavailable,
	NotOwner:         http.StatusMisdirectedRequest,
	PeerUnreachable:  http.StatusBadGateway,
	OutcomeUnknown:   http.StatusConflict,
	KeyReused:        http.StatusUnprocessableEntity,
	BadContinuation:  http.StatusBadRequest,
	TailTooLong:      http.StatusServiceUnavailable,
	TargetFailed:     http.StatusBadGateway,
	NoTarget:         http.StatusServiceUnavailable,
	Stopping:         http.StatusServiceUnavailable,
	StaleConfig:      http.StatusServiceUnavailable,
	RevisionConflict: http.StatusConflict,
	BadConfig:        http.StatusUnprocessableEntity,
	BadSettings:      http.StatusUnprocessableEntity,
	BadKey:           http.StatusForbidden,
	Protocol:         http.StatusBadGateway,
	Internal:         http.StatusInternalServerError,
	NoRoute:          http.StatusNotFound,
	NoTurn:           http.StatusNotFound,
	TurnNotKnownYet:  http.StatusServiceUnavailable,
	NoConfig:         http.StatusServiceUnavailable,
	HistoryGone:      http.StatusGone,
	TimedOut:         http.StatusGatewayTimeout,
	CallerGone:       http.StatusBadGateway,
	QuotaReached:     http.StatusTooManyRequests,
	RequestBlocked:   http.StatusBadRequest,
}

// Fault is an error with a kind, which can be sent to a caller as a Problem.
type Fault struct {
	// Kind is never empty.
	Kind Kind
	// Detail explains the failure to the caller. It never holds users' content or personal data.
	Detail string
	// NotRun is true only if nothing was handed to a target, so that a retry cannot run twice.
	NotRun bool
	// RetryAfter is the advised delay before a retry; zero if none is advised.
	RetryAfter time.Duration
	// Head is the number of the program's last answered turn in faults that report it; otherwise 0.
	Head int

	// cause is the underlying error. Callers never see it.
	cause error
}

// Refuse returns a fault with NotRun set: nothing was handed to a target.
func Refuse(kind Kind, detail string) *Fault {
	return &Fault{Kind: kind, Detail: detail, NotRun: true}
}

// Fail returns a fault of a call that may have reached a target.
func Fail(kind Kind, detail string) *Fault {
	return &Fault{Kind: kind, Detail: detail}
}

// WithRetryAfter sets the advised delay before a retry.
func (f *Fault) WithRetryAfter(wait time.Duration) *Fault {
	f.RetryAfter = wait
	return f
}

// WithHead sets the number of the program's last answered turn.
func (f *Fault) WithHead(head int) *Fault {
	f.Head = head
	return f
}

// WithCause sets the underlying error, which appears in logs but is never sent to callers.
func (f *Fault) WithCause(err error) *Fault {
	f.cause = err
	return f
}

// Error returns the kind, the detail and the underlying error.
func (f *Fault) Error() string {
	if f.cause == nil {
		return string(f.Kind) + ": " + f.Detail
	}
	return string(f.Kind) + ": " + f.Detail + ": " + f.cause.Error()
}

// Unwrap returns the underlying error.
func (f *Fault) Unwrap() error {
	return f.cause
}

// Status returns the HTTP status of the fault.
func (f *Fault) Status() int {
	return Status(f.Kind)
}

// Status returns the HTTP status of a kind; 500 if the kind is unknown.
func Status(kind Kind) int {
	if s, ok := statuses[kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the fault in err's chain; any other error becomes an Internal fault with NotRun
// unset.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return Fail(Internal, "unexpected failure").WithCause(err)
}

// Is reports whether err's chain contains a fault, and the first one is of the given kind.
func Is(err error, kind Kind) bool {
	var f *Fault
	return errors.As(err, &f) && f.Kind == kind
}
