package work

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Replica is a running instance of a service.
type Replica struct {
	// ID identifies the replica. An earlier instance may have had the same ID; see StartedAt.
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	// Slots is the number of calls that the replica processes concurrently.
	Slots int
	// WarmupLeft is the remaining warm-up time, as of the replica's report.
	WarmupLeft time.Duration
	// Draining reports that the replica takes no new work.
	Draining bool
	// StartedAt is the time at which the replica started; zero if it is not known. A replica that restarts
	// with the same ID has lost its earlier state.
	StartedAt time.Time
}

// RunID returns a name for this run of the replica, by which its cached prompts are tracked.
func (r Replica) RunID() string {
	if r.StartedAt.IsZero() {
		return r.ID
	}
	return r.ID + "@" + strconv.FormatInt(r.StartedAt.UnixMilli(), 10)
}

// RestartedSince reports whether the replica has restarted since the earlier description.
func (r Replica) RestartedSince(before Replica) bool {
	return r.StartedAt.After(before.StartedAt) && !before.StartedAt.IsZero()
}

// Call is one attempt of a caller to have a request served.
type Call struct {
	// ID is the caller's name for this attempt; never empty.
	ID     string
	Method string
	Host   string
	// Target is the path and query as sent by the caller.
	Target string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// KeyDigest is ident.KeyDigest of the caller's key, empty if the caller sent none; it is not passed
	// to other boxes. Workspace is the workspace that holds the key, empty for calls without one.
	KeyDigest string `json:"-"`
	Workspace string `json:",omitempty"`
	// RouteName is the name of the call's route, set at the box that received the call, together with Workspace.
	RouteName string `json:"-"`
	// Request is FingerprintOf the call; set together with Workspace.
	Request Fingerprint `json:",omitempty"`
	// Deadline is the earlier of the caller's deadline and the end of the route's timeout.
	Deadline time.Time `json:"-"`
	// Arrived is the time at which the box that received the call from the caller had read it.
	Arrived time.Time `json:"-"`
	// Regions lists the regions in which the call may be served and stored; an empty list allows all.
	Regions []string `json:",omitempty"`
	// Priority is the call's priority at replicas that order calls by it; 0 is the most urgent.
	Priority int
	// Prompt describes the prompt of a model call; nil for other calls.
	Prompt *Prompt
	// Turn is the call's turn in a program; nil for calls outside programs.
	Turn *Turn
	// MayHaveRun is set once a replica may have run the call, so that it can't be refused as not run any more.
	MayHaveRun bool `json:"-"`
}

// CallerGroup identifies callers that are treated alike when their answers take the memory of the box: those of a
// workspace, or those without one on a route.
type CallerGroup struct{ Workspace, Route string }

// CallerGroup returns the group of the sender of the call.
func (c *Call) CallerGroup() CallerGroup {
	if c.Workspace != "" {
		return CallerGroup{Workspace: c.Workspace}
	}
	return CallerGroup{Route: c.RouteName}
}

// Prompt is what is known of a model call's prompt before the call runs.
type Prompt struct {
	// Tokens is the length of the whole prompt; Most is the maximum length of the answer.
	Tokens, Most int
	// Parts are in the order of the prompt.
	Parts []Part
}

// Part is a section of a prompt that several prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Turn is one step of a program, which is a series of model calls that belong together.
type Turn struct {
	Program string
	// Previous is the ID of the call that this turn continues; empty for the first turn.
	Previous string
	// Budget limits the tokens of all answers of the program; negative means no limit.
	Budget int
	// Left is the time from the call's arrival to the program's deadline; negative if that has passed,
	// zero if the caller sent none.
	Left time.Duration `json:",omitempty"`
	// Base is the text of the chain up to Previous, if that is a turn of another program.
	Base []byte `json:",omitempty"`
}

// Head is the status and headers of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body, or negative if it isn't known in advance.
	Length int64
	// Unframed reports that the replica announced no length and sent no chunks. The body ends with the connection,
	// whether it is complete or not, and must not be framed for the caller as if it were known to be complete.
	Unframed bool `json:",omitempty"`
}

// Answer receives the answer of a call. Its methods are not called concurrently.
type Answer interface {
	// Begin sends the head. It is called once, before any Write.
	Begin(head Head) error
	// Write sends bytes of the body without buffering.
	Write(data []byte) error
}

// Reply is a replica's answer once its head has arrived.
type Reply struct {
	Head Head
	// NotRun reports that the replica declared that it did not run the call.
	NotRun bool
	// Signed reports whether the answer carries the replica's signature and has no content encoding.
	Signed bool
	// Body returns io.EOF at the end of the answer, which is complete unless the head is Unframed. See CheckEvents.
	Body Body
}

// Succeeded reports whether the replica answered with a success.
func (r Reply) Succeeded() bool {
	return r.Head.Status < http.StatusMultipleChoices
}

// Body is the body of an answer.
type Body interface {
	io.Reader
	// Close returns the connection to its pool after a complete answer and closes it otherwise. It must
	// be called.
	Close()
}

// Load is the load that a model replica reports.
type Load struct {
	// Running and Waiting are numbers of calls.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// UsedTokens and TotalTokens are the used part and the size of the replica's memory for prompts, in tokens.
	UsedTokens  int `json:"used"`
	TotalTokens int `json:"total"`
	// StartedAt is the time at which the reporting replica started; zero if it is not known.
	StartedAt time.Time `json:"born,omitzero"`
}
