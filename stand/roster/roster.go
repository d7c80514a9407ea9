package roster

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
)

const (
	maxBodyBytes = 16 << 20
	maxVersions  = 64
)

// Roster keeps the recent versions of the platform list. It is safe for concurrent use.
type Roster struct {
	mu  sync.Mutex
	lag time.Duration
	// versions are in order of time and never empty; readers get the newest that is at least lag old.
	versions []types.PlatformList
	// down makes reads fail.
	down bool
}

// Control is the request body of a control call. Unset fields change nothing.
type Control struct {
	Lag  *types.Duration     `json:"lag,omitempty"`
	Down *bool               `json:"down,omitempty"`
	List *types.PlatformList `json:"list,omitempty"`
	// Remove and Leave name a box or target to remove or to mark as leaving.
	Remove string `json:"remove,omitempty"`
	Leave  string `json:"leave,omitempty"`
}

// New returns a roster whose first list is visible at once.
func New(list types.PlatformList, lag time.Duration) *Roster {
	list.At = time.Now().Add(-lag)
	return &Roster{lag: lag, versions: []types.PlatformList{list}}
}

// List returns the list as it was lag ago, or the oldest version kept if all are newer.
func (l *Roster) List() (types.PlatformList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return types.PlatformList{}, fault.Refuse(fault.TargetFailed, "platform list is down")
	}
	cutoff := time.Now().Add(-l.lag)
	visible := l.versions[0]
	for _, v := range l.versions {
		if !v.At.After(cutoff) {
			visible = v
		}
	}
	return visible, nil
}

// Update adds a version that edit makes from the newest one; readers see it after the lag.
func (l *Roster) Update(edit func(list *types.PlatformList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1]
	next := types.PlatformList{At: time.Now(), Boxes: slices.Clone(last.Boxes), Targets: slices.Clone(last.Targets)}
	edit(&next)
	l.versions = append(l.versions, next)
	if len(l.versions) > maxVersions {
		l.versions = l.versions[len(l.versions)-maxVersions:]
	}
}

// MarkLeaving marks a box or target as leaving.
func (l *Roster) MarkLeaving(name string) {
	l.Update(func(list *types.PlatformList) {
		for i := range list.Boxes {
			list.Boxes[i].Leaving = list.Boxes[i].Leaving || list.Boxes[i].Name == name
		}
		for i := range list.Targets {
			list.Targets[i].Leaving = list.Targets[i].Leaving || list.Targets[i].Name == name
		}
	})
}

// Remove removes a box or target from the list.
func (l *Roster) Remove(name string) {
	l.Update(func(list *types.PlatformList) {
		list.Boxes = slices.DeleteFunc(list.Boxes, func(m types.Member) bool { return m.Name == name })
		list.Targets = slices.DeleteFunc(list.Targets, func(t types.Target) bool { return t.Name == name })
	})
}

// Routes returns the HTTP routes of the list and of its control.
func (l *Roster) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/list", Handler: l.serveList},
		{Method: http.MethodPut, Path: "/control", Handler: l.serveControl},
	}
}

func (l *Roster) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := l.List()
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	tag := strconv.Quote(strconv.FormatInt(list.At.UnixNano(), 36))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	server.WriteJSON(w, http.StatusOK, list)
}

func (l *Roster) serveControl(w http.ResponseWriter, r *http.Request) {
	var in Control
	if err := server.ReadJSON(w, r, maxBodyBytes, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	l.apply(in)
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (l *Roster) apply(in Control) {
	l.mu.Lock()
	if in.Lag != nil {
		l.lag = time.Duration(*in.Lag)
	}
	if in.Down != nil {
		l.down = *in.Down
	}
	l.mu.Unlock()
	if in.List != nil {
		l.Update(func(list *types.PlatformList) { list.Boxes, list.Targets = in.List.Boxes, in.List.Targets })
	}
	if in.Leave != "" {
		l.MarkLeaving(in.Leave)
	}
	if in.Remove != "" {
		l.Remove(in.Remove)
	}
}
