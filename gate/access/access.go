package access

import (
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// Bounds limits how long an old configuration may be used, as set by operators.
type Bounds struct {
	// Revocation is the longest time for which a key may still be accepted after it was revoked. If it is
	// zero, known keys are accepted however old the configuration is.
	Revocation time.Duration
	// Apply is the time within which a new configuration is in force on all boxes.
	Apply time.Duration
}

// ConfigSnapshot is the configuration of a box at one moment.
type ConfigSnapshot struct {
	// Config is nil until the box has a configuration.
	Config *work.Config
	// ConfirmedAt is the send time of the latest request whose answer confirmed Config as the newest; zero
	// before the first. It is a reading of the monotonic clock.
	ConfirmedAt time.Time
}

// Rules decides on calls by the box's configuration and its age.
type Rules struct {
	bounds Bounds
}

// New returns the Rules for the bounds.
func New(bounds Bounds) Rules {
	return Rules{bounds: bounds}
}

const (
	// retryUnconfirmed is the Retry-After delay of a box without a configuration, or with one that was never
	// confirmed. It exceeds a short outage of the store.
	retryUnconfirmed = 1200 * time.Millisecond
	// maxStaleRetry bounds the Retry-After delay of a box whose configuration may be out of date. The delay
	// equals the time since the last confirmation, so that it grows with the length of an outage and callers
	// do not use up their attempts.
	maxStaleRetry = 3 * time.Second
)

// Route returns the route of a call. It returns a NoRoute fault only if the configuration is recent enough,
// and otherwise a fault with which the caller may retry.
func (r Rules) Route(known ConfigSnapshot, call *work.Call, path string) (*work.Route, error) {
	if known.Config == nil {
		return nil, fault.Refuse(fault.NoConfig, "no configuration is known yet").WithRetryAfter(retryUnconfirmed)
	}
	if route := known.Config.FindRoute(call.Host, path); route != nil {
		return route, nil
	}
	return nil, r.finalRefusal(known, call, fault.Refuse(fault.NoRoute, "no route for the host and path"))
}

// Caller returns the workspace that a call belongs to; its name is empty if the call needs no key. If
// Bounds.Revocation is set, keys are accepted only if the configuration was confirmed as the newest within
// that time before the call arrived, so that every box refuses a revoked key in time.
func (r Rules) Caller(known ConfigSnapshot, call *work.Call, route *work.Route) (work.Workspace, error) {
	if known.Config.Callers == nil || route.Public {
		return work.Workspace{}, nil
	}
	if r.bounds.Revocation > 0 && r.older(known, call, r.bounds.Revocation) {
		return work.Workspace{}, staleConfig(known, call)
	}
	space, ok := known.Config.Callers.WorkspaceByKey(call.KeyDigest)
	if !ok {
		return work.Workspace{}, r.finalRefusal(known, call, fault.Refuse(fault.Unauthorized, "the key is not known"))
	}
	return space, nil
}

// finalRefusal returns the refusal if the configuration is recent enough, and otherwise a StaleConfig fault:
// a newer configuration may allow the call, and callers do not retry after a final refusal.
func (r Rules) finalRefusal(known ConfigSnapshot, call *work.Call, refusal *fault.Fault) error {
	if r.older(known, call, r.bounds.Apply) {
		return staleConfig(known, call)
	}
	return refusal
}

// older reports whether the configuration was last confirmed as the newest more than bound before the call
// arrived, or never.
func (Rules) older(known ConfigSnapshot, call *work.Call, bound time.Duration) bool {
	return known.ConfirmedAt.IsZero() || call.Arrived.Sub(known.ConfirmedAt) > bound
}

// staleConfig returns the fault for a configuration that may be out of date.
func staleConfig(known ConfigSnapshot, call *work.Call) *fault.Fault {
	after := retryUnconfirmed
	if !known.ConfirmedAt.IsZero() {
		after = min(call.Arrived.Sub(known.ConfirmedAt), maxStaleRetry)
	}
	return fault.Refuse(fault.StaleConfig, "a newer configuration may be in force").WithRetryAfter(after)
}
