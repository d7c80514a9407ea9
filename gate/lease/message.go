package lease

import "mulleingate.dev/base/types"

// Message is a notification to the queue from other services.
type Message interface{ isMessage() }

// Report carries an engine's load report and its new cache events.
type Report struct {
	Load   types.LoadReport
	Events []types.CacheEvent
}

// Targets replaces the list of engines.
type Targets struct{ List []types.Target }

// EngineLeaving announces that an engine accepts no new work.
type EngineLeaving struct{ Name string }

// RemoteStreams holds the number of another box's streams in flight, by target.
type RemoteStreams struct {
	Box     string
	Streams map[string]int
}

// ForgetPrograms removes programs from the queue's record of engine caches.
type ForgetPrograms struct{ Programs []string }

// CacheList is the complete list of programs in an engine's cache, with their tokens.
type CacheList struct {
	Target string
	Tokens map[string]int
}

// CacheMoved announces that a program's cache was copied from one engine to another.
type CacheMoved struct{ Program, From, To string }

// CacheDropped announces that an engine no longer caches a program.
type CacheDropped struct{ Program, Target string }

func (CacheDropped) isMessage()   {}
func (CacheMoved) isMessage()     {}
func (Report) isMessage()         {}
func (Targets) isMessage()        {}
func (EngineLeaving) isMessage()  {}
func (RemoteStreams) isMessage()  {}
func (ForgetPrograms) isMessage() {}
func (CacheList) isMessage()      {}
