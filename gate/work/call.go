package work

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Replica is a running copy of a service.
type Replica struct {
	// ID may be that of a replica that ran before; see Born.
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	// Slots is the number of calls that it works on at once.
	Slots int
	// Cold is how much longer it is slow, at the time when it says so.
	Cold time.Duration
	// Draining says that it takes no new work.
	Draining bool
	// Born is when it started; zero if it does not say. A replica that starts again under its ID holds and knows
	// nothing of before.
	Born time.Time
}

// Life names this start of the replica, where prompts that it has read are remembered.
func (r Replica) Life() string {
	if r.Born.IsZero() {
		return r.ID
	}
	return r.ID + "@" + strconv.FormatInt(r.Born.UnixMilli(), 10)
}

// Reborn reports that the replica has started anew since it was known as before.
func (r Replica) Reborn(before Replica) bool {
	return r.Born.After(before.Born) && !before.Born.IsZero()
}

// Call is one attempt of a caller.
type Call struct {
	// ID is the caller's name for this attempt; never empty.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller wrote them.
	Target string
	// Header holds what travels along unchanged.
	Header http.Header
	Body   []byte
	// KeyDigest is ident.KeyDigest of the caller's key, empty if it showed none; it stays at the box that took
	// the call. Workspace is the key's, empty for calls without one.
	KeyDigest string `json:"-"`
	Workspace string `json:",omitempty"`
	// Deadline is when the caller stops waiting or the route's timeout ends, whichever is
	// sooner.
	Deadline time.Time `json:"-"`
	// Arrived is when the box had read the call.
	Arrived time.Time `json:"-"`
	// Regions are those in which the call may be served and kept; none bind nothing.
	Regions []string `json:",omitempty"`
	// Priority is the route's, for replicas that serve urgent calls first.
	Priority int
	// Prompt describes the prompt of a model call; nil for others.
	Prompt *Prompt
	// Turn places a model call in its program; nil for calls outside programs.
	Turn *Turn
}

// Prompt is what is known of a model call's prompt before it runs.
type Prompt struct {
	// Tokens is the length of the whole prompt; Most bounds the answer.
	Tokens, Most int
	// Parts are in the order of the prompt.
	Parts []Part
}

// Part is a piece of a prompt that several prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Turn places a call in a program.
type Turn struct {
	Program string
	// Previous is the call whose answer this turn goes on from; empty at the start.
	Previous string
	// Budget bounds the tokens of all answers of the program; negative if there is no bound.
	Budget int
	// Left is the time until the program should be over, at the call's arrival; negative if that has
	// passed, zero if the caller does not say.
	Left time.Duration `json:",omitempty"`
	// Base is the text of the chain up to Previous, where that is a turn of another program.
	Base []byte `json:",omitempty"`
}

// Head is the status and the headers of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body, or negative if it isn't known before.
	Length int64
}

// Answer takes the answer of a call. Its methods are called from one goroutine.
type Answer interface {
	// Begin sends the head. It is called once, before any Write.
	Begin(head Head) error
	// Write sends bytes of the body at once.
	Write(data []byte) error
}

// Reply is a replica's answer whose head has come.
type Reply struct {
	Head Head
	// NotRun is the replica's word that it did not run the call.
	NotRun bool
	// Sound says that the answer carries the replica's proof of origin.
	Sound bool
	// Body ends with io.EOF only after the whole answer.
	Body Body
}

// Body is the body of an answer.
type Body interface {
	io.Reader
	// Close gives the connection back after a whole answer and cuts it otherwise. It must be
	// called.
	Close()
}

// Load is how busy a model replica is by its own report.
type Load struct {
	// Running and Waiting are calls.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Used and Total are its memory for prompts, in tokens.
	Used  int `json:"used"`
	Total int `json:"total"`
	// Born is when the replica started that tells it; zero if it does not say.
	Born time.Time `json:"born,omitzero"`
}
