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
func (r *Roster) List() (types.PlatformList, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return types.PlatformList{}, fault.Refuse(fault.TargetFailed, "platform list is down")
	}
	cutoff := time.Now().Add(-r.lag)
	visible := r.versions[0]
	for _, v := range r.versions {
		if !v.At.After(cutoff) {
			visible = v
		}
	}
	return visible, nil
}

// Update adds a version that edit makes from the newest one; readers see it after the lag.
func (r *Roster) Update(edit func(list *types.PlatformList)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.versions[len(r.versions)-1]
	next := types.PlatformList{At: time.Now(), Boxes: slices.Clone(last.Boxes), Targets: slices.Clone(last.Targets)}
	edit(&next)
	r.versions = append(r.versions, next)
	if len(r.versions) > maxVersions {
		r.versions = r.versions[len(r.versions)-maxVersions:]
	}
}

// MarkLeaving marks a box or target as leaving.
func (r *Roster) MarkLeaving(name string) {
	r.Update(func(list *types.PlatformList) {
		for i := range list.Boxes {
			list.Boxes[i].Leaving = list.Boxes[i].Leaving || list.Boxes[i].Name == name
		}
		for i := range list.Targets {
			list.Targets[i].Leaving = list.Targets[i].Leaving || list.Targets[i].Name == name
		}
	})
}

// Remove removes a box or target from the list.
func (r *Roster) Remove(name string) {
	r.Update(func(list *types.PlatformList) {
		list.Boxes = slices.DeleteFunc(list.Boxes, func(m types.Member) bool { return m.Name == name })
		list.Targets = slices.DeleteFunc(list.Targets, func(t types.Target) bool { return t.Name == name })
	})
}

// Routes returns the HTTP routes of the list and of its control.
func (r *Roster) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/list", Handler: r.serveList},
		{Method: http.MethodPut, Path: "/control", Handler: r.serveControl},
	}
}

func (r *Roster) serveList(w http.ResponseWriter, req *http.Request) {
	list, err := r.List()
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	tag := strconv.Quote(strconv.FormatInt(list.At.UnixNano(), 36))
	w.Header().Set("ETag", tag)
	if req.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	server.WriteJSON(w, http.StatusOK, list)
}

func (r *Roster) serveControl(w http.ResponseWriter, req *http.Request) {
	var in Control
	if err := server.ReadJSON(w, req, maxBodyBytes, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	r.apply(in)
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (r *Roster) apply(in Control) {
	r.mu.Lock()
	if in.Lag != nil {
		r.lag = time.Duration(*in.Lag)
	}
	if in.Down != nil {
		r.down = *in.Down
	}
	r.mu.Unlock()
	if in.List != nil {
		r.Update(func(list *types.PlatformList) { list.Boxes, list.Targets = in.List.Boxes, in.List.Targets })
	}
	if in.Leave != "" {
		r.MarkLeaving(in.Leave)
	}
	if in.Remove != "" {
		r.Remove(in.Remove)
	}
}
