package work

import (
	"unicode/utf8"

	"mulleingate.dev/base/ident"
)

// Workspace is a customer whose callers use keys.
type Workspace struct {
	Name string
	// KeyDigests holds ident.KeyDigest of each key of the workspace.
	KeyDigests []string
	// Regions lists the regions in which its calls may be served and stored; an empty list allows all.
	Regions []string
	// Priority is added, with a weight, to the route's priority to order the workspace's calls at replicas; 0
	// is the most urgent.
	Priority int
	// Rate is the number of calls per second that its callers may make at all boxes together, and Burst the
	// number of calls that they may make at once beyond that. A Rate of zero means no limit.
	Rate, Burst float64
}

// WorkspaceIndex is the index of workspaces by name and key. It must not be modified once it is in use.
type WorkspaceIndex struct {
	byName   map[string]Workspace
	byDigest map[string]string
}

// NewWorkspaceIndex returns an index of the workspaces.
func NewWorkspaceIndex(list []Workspace) *WorkspaceIndex {
	callers := &WorkspaceIndex{byName: map[string]Workspace{}, byDigest: map[string]string{}}
	for _, space := range list {
		callers.byName[space.Name] = space
		for _, digest := range space.KeyDigests {
			callers.byDigest[digest] = space.Name
		}
	}
	return callers
}

// WorkspaceByKey returns the workspace that holds the key with the digest.
func (c *WorkspaceIndex) WorkspaceByKey(digest string) (Workspace, bool) {
	name, ok := c.byDigest[digest]
	if !ok || digest == "" {
		return Workspace{}, false
	}
	return c.byName[name], true
}

// All returns the workspaces by name. The map must not be modified.
func (c *WorkspaceIndex) All() map[string]Workspace {
	return c.byName
}

// WorkspaceByName returns the workspace with the name.
func (c *WorkspaceIndex) WorkspaceByName(name string) (Workspace, bool) {
	space, ok := c.byName[name]
	return space, ok
}

const (
	// workspaceSeparator separates the workspace from a name given by one of its callers. Callers can't
	// send it in a header.
	workspaceSeparator = "\x01"
	// maxWorkspacePrefix bounds the part before workspaceSeparator, in bytes, since two such names must
	// fit into a log key of at most 255 bytes. A longer workspace name is replaced by its digest.
	maxWorkspacePrefix = 24
)

// digestMark precedes the digest of a name, and digestChars is the number of its characters. Callers can't send names with the
// mark.
const (
	digestMark  = "\x01"
	digestChars = 32
)

// QualifiedName qualifies a caller's name for a program or a turn with the workspace, so that workspaces can't
// reach each other's programs by guessing names. An empty name stays empty. A name that is not valid UTF-8 is replaced by a
// digest, since qualified names are keys of records, which travel as JSON.
func (c *Call) QualifiedName(name string) string {
	if !utf8.ValidString(name) {
		name = digestMark + ident.KeyDigest(name)[:digestChars]
	}
	if c.Workspace == "" || name == "" {
		return name
	}
	prefix := c.Workspace
	if len(prefix) > maxWorkspacePrefix {
		prefix = workspaceSeparator + ident.KeyDigest(prefix)[:maxWorkspacePrefix-len(workspaceSeparator)]
	}
	return prefix + workspaceSeparator + name
}
