package fault

import "time"

const typePrefix = "urn:mulleingate:problem:"

// Problem is the JSON body of a failure (RFC 9457).
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail"`
	NotRun     bool   `json:"not_run"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Head       int    `json:"head,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
}

// Problem renders the failure for a caller.
func (f *Fault) Problem(requestID string) Problem {
	return Problem{
		Type:       typePrefix + string(f.Kind),
		Title:      string(f.Kind),
		Status:     f.Status(),
		Detail:     f.Detail,
		NotRun:     f.NotRun,
		RetryAfter: f.RetryAfter.Milliseconds(),
		Head:       f.Head,
		RequestID:  requestID,
	}
}

// Fault turns a received problem back into a failure.
func (p Problem) Fault() *Fault {
	return &Fault{
		Kind:       Kind(p.Title),
		Detail:     p.Detail,
		NotRun:     p.NotRun,
		RetryAfter: time.Duration(p.RetryAfter) * time.Millisecond,
		Head:       p.Head,
	}
}
