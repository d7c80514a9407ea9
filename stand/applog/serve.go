package applog

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
)

const (
	maxBodyBytes    = 64 << 20
	maxPageSize     = 10_000
	defaultPageSize = 1000
)

// Routes returns the HTTP routes of the log and of its fault injection.
func (s *Store) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/streams/:name", Handler: s.serveAppend},
		{Method: http.MethodGet, Path: "/v1/streams/:name", Handler: s.serveRead},
		{Method: http.MethodPut, Path: "/control", Handler: s.serveControl},
		{Method: http.MethodGet, Path: "/control", Handler: func(w http.ResponseWriter, _ *http.Request) {
			server.WriteJSON(w, http.StatusOK, s.Faults())
		}},
		{Method: http.MethodGet, Path: "/control/stats", Handler: func(w http.ResponseWriter, _ *http.Request) {
			server.WriteJSON(w, http.StatusOK, s.Stats())
		}},
	}
}

func streamName(r *http.Request) string {
	name := pathvar.Vars(r)["name"]
	if unescaped, err := url.PathUnescape(name); err == nil {
		return unescaped
	}
	return name
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	var in types.LogAppend
	if err := server.ReadJSON(w, r, maxBodyBytes, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	// Perform the append even if the caller disconnects.
	offset, err := s.Append(context.WithoutCancel(r.Context()), streamName(r), in.Data)
	if fault.Is(err, fault.LogUnavailable) && !fault.From(err).NotRun {
		server.CloseConnection(w)
		return
	}
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	server.WriteJSON(w, http.StatusOK, types.LogOffset{Offset: offset})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(strings.TrimSpace(r.URL.Query().Get("from")), 10, 64)
	if err != nil {
		server.WriteProblem(w, "", fault.Refuse(fault.BadRequest, "from is not an offset"))
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageSize {
		limit = defaultPageSize
	}
	page, err := s.Read(r.Context(), streamName(r), from, limit)
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	server.WriteJSON(w, http.StatusOK, page)
}

func (s *Store) serveControl(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if err := server.ReadJSON(w, r, maxBodyBytes, &faults); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	s.SetFaults(faults)
	server.WriteJSON(w, http.StatusOK, faults)
}
