package lease

import "mulleingate.dev/base/types"

// Message is what other services tell the queue.
type Message interface{ isMessage() }

// Report is an engine's load report with its cache events.
type Report struct {
	Load   types.LoadReport
	Events []types.CacheEvent
}

// Targets replaces the list of engines.
type Targets struct{ List []types.Target }

// Leaving says that an engine takes no new work.
type Leaving struct{ Name string }

// RemoteStreams is what another box has under way, by target.
type RemoteStreams struct {
	Box     string
	Streams map[string]int
}

// ForgetPrograms drops what is believed of programs' caches.
type ForgetPrograms struct{ Programs []string }

// CacheList is the whole list of what an engine holds.
type CacheList struct {
	Target string
	Tokens map[string]int
}

// Moved says that a program's cache was copied from one engine to another.
type Moved struct{ Program, From, To string }

// Dropped says that an engine no longer holds a program's cache.
type Dropped struct{ Program, Target string }

func (Dropped) isMessage()        {}
func (Moved) isMessage()          {}
func (Report) isMessage()         {}
func (Targets) isMessage()        {}
func (Leaving) isMessage()        {}
func (RemoteStreams) isMessage()  {}
func (ForgetPrograms) isMessage() {}
func (CacheList) isMessage()      {}
