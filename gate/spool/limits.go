package spool

const (
	// boxDivisor sets the memory for unread answers as a part of the box's memory. The runtime may use 0.6 of
	// that; with the garbage that the collector leaves, this takes about a tenth of it.
	boxDivisor = 16
	// workspaceDivisor, connectionDivisor and answerDivisor set the other limits as parts of the box's: it takes
	// several workspaces, and many connections, to reach that.
	workspaceDivisor  = 4
	connectionDivisor = 16
	answerDivisor     = 32
	// minAnswerBytes is the least default limit of an answer. Usual answers have up to 5 KB, so that they are
	// kept completely.
	minAnswerBytes = 64 << 10
	// defaultMemory is the memory of the smallest boxes, for which the limits are set if it is not known.
	defaultMemory = 112 << 20
	// nearShare is the used part of the box's limit above which the least urgent calls are refused. The rest
	// takes the unread answers of the calls that are in progress by then.
	nearShare = 0.75
	// urgentShare is the part above which also the most urgent calls are refused. It is below 1, since the limit is
	// never reached exactly: what would exceed it is not kept.
	urgentShare = 0.95
)

// Limits bounds the bytes that are kept. A box keeps unread answers up to all of them; load beyond slows the
// answers concerned.
type Limits struct {
	// Answer and Connection bound the bytes of one answer and of all answers on one connection of a caller.
	Answer, Connection int64
	// Workspace bounds the bytes of all callers of a workspace; it does not apply to callers without one.
	Workspace int64
	// Box bounds the bytes of all callers.
	Box int64
}

// Fill returns the limits with defaults for those that are zero, for a box with the given memory in bytes; zero if
// it is not known.
func (l Limits) Fill(memory int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	fill := func(limit *int64, value int64) {
		if *limit <= 0 {
			*limit = value
		}
	}
	fill(&l.Box, memory/boxDivisor)
	fill(&l.Workspace, l.Box/workspaceDivisor)
	fill(&l.Connection, max(l.Box/connectionDivisor, minAnswerBytes))
	fill(&l.Answer, max(l.Box/answerDivisor, minAnswerBytes))
	return l
}

// Usage is the number of bytes that are kept, or that a limit allows, for an answer, its connection, its workspace
// and the box.
type Usage struct {
	Answer, Connection, Workspace, Box int64
	// Named reports whether the caller belongs to a workspace.
	Named bool
}

// Allows reports whether n more bytes may be kept.
func (l Limits) Allows(used Usage, n int64) bool {
	if used.Named && used.Workspace+n > l.Workspace {
		return false
	}
	return used.Answer+n <= l.Answer && used.Connection+n <= l.Connection && used.Box+n <= l.Box
}

// Refuses reports whether a new call of the given priority is refused while the box keeps the given number of
// bytes. Priority 0, the most urgent, is refused above urgentShare of the limit of the box; the others the earlier the
// less urgent they are, all above nearShare of it.
func (l Limits) Refuses(kept int64, priority int) bool {
	threshold := nearShare + (urgentShare-nearShare)/float64(1+max(priority, 0))
	return float64(kept) >= threshold*float64(l.Box)
}
