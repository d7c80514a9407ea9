package fault

import "time"

// typePrefix is the part of a problem's type URI before its kind.
const typePrefix = "urn:mulleingate:problem:"

// Problem is the JSON body of an error response (RFC 9457).
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

// Problem returns the response body for the fault.
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

// Fault returns the fault that a received problem describes.
func (p Problem) Fault() *Fault {
	return &Fault{
		Kind:       Kind(p.Title),
		Detail:     p.Detail,
		NotRun:     p.NotRun,
		RetryAfter: time.Duration(p.RetryAfter) * time.Millisecond,
		Head:       p.Head,
	}
}
