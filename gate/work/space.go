package work

import "mulleingate.dev/base/ident"

// Workspace is a customer whose callers hold keys.
type Workspace struct {
	Name string
	// KeyDigests holds ident.KeyDigest of each key of its callers.
	KeyDigests []string
	// Regions are those in which its calls may be served and kept; none bind nothing.
	Regions []string
	// Priority ranks its calls before those of other workspaces, 0 first; routes rank them within it.
	Priority int
	// Rate is the calls a second that its callers may make at all boxes together, and Burst how many more
	// at once. A Rate of zero sets no bound.
	Rate, Burst float64
}

// Callers says who may call. It is never changed once made.
type Callers struct {
	byName   map[string]Workspace
	byDigest map[string]string
}

// NewCallers makes the index of workspaces by their keys.
func NewCallers(list []Workspace) *Callers {
	callers := &Callers{byName: map[string]Workspace{}, byDigest: map[string]string{}}
	for _, space := range list {
		callers.byName[space.Name] = space
		for _, digest := range space.KeyDigests {
			callers.byDigest[digest] = space.Name
		}
	}
	return callers
}

// Holder returns the workspace that holds the key of a digest.
func (c *Callers) Holder(digest string) (Workspace, bool) {
	name, ok := c.byDigest[digest]
	if !ok || digest == "" {
		return Workspace{}, false
	}
	return c.byName[name], true
}

// All returns the workspaces by their names.
func (c *Callers) All() map[string]Workspace {
	return c.byName
}

// Workspace returns the workspace of a name.
func (c *Callers) Workspace(name string) (Workspace, bool) {
	space, ok := c.byName[name]
	return space, ok
}

const (
	// ownerMark stands between a workspace and a name that one of its callers gave: no caller can send it
	// in a header.
	ownerMark = "\x01"
	// maxOwner bounds what stands before the mark, in bytes, since two names and their marks make a key of
	// the log, which has 255. Of a longer workspace's name its digest stands there.
	maxOwner = 24
)

// Own is a caller's name for a program or a turn as it is kept and searched for: such names prove nothing, and
// those of two workspaces never meet. An empty name stays empty.
func (c *Call) Own(name string) string {
	if c.Workspace == "" || name == "" {
		return name
	}
	owner := c.Workspace
	if len(owner) > maxOwner {
		owner = ownerMark + ident.KeyDigest(owner)[:maxOwner-len(ownerMark)]
	}
	return owner + ownerMark + name
}
