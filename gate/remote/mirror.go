package remote

import (
	"context"
	"encoding/json"
	"net/http"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/work"
)

// sourceResponse is a source's response: exactly one field is set.
type sourceResponse struct {
	Copy    *mirror.CopyResponse   `json:"copy,omitempty"`
	Roster  *mirror.RosterResponse `json:"roster,omitempty"`
	Problem *fault.Problem         `json:"problem,omitempty"`
}

// Copy implements mirror.Peers.
func (c *Client) Copy(ctx context.Context, box work.Box, req mirror.CopyRequest) (mirror.CopyResponse, error) {
	out, err := c.askSource(ctx, box, copyPath, req)
	if err != nil {
		return mirror.CopyResponse{}, err
	}
	if out.Copy == nil {
		return mirror.CopyResponse{}, fault.Fail(fault.Protocol, "a source's response has no topic")
	}
	return *out.Copy, nil
}

// Roster implements mirror.Peers.
func (c *Client) Roster(ctx context.Context, box work.Box, req mirror.RosterRequest) (mirror.RosterResponse, error) {
	out, err := c.askSource(ctx, box, rosterPath, req)
	if err != nil {
		return mirror.RosterResponse{}, err
	}
	if out.Roster == nil {
		return mirror.RosterResponse{}, fault.Fail(fault.Protocol, "a source's response has no member list")
	}
	return *out.Roster, nil
}

func (c *Client) askSource(ctx context.Context, box work.Box, path string, req any) (sourceResponse, error) {
	var out sourceResponse
	if err := c.exchangeJSON(ctx, box, path, req, &out); err != nil {
		return sourceResponse{}, err
	}
	if out.Problem != nil {
		return sourceResponse{}, out.Problem.Fault()
	}
	return out, nil
}

func (s *Server) copy(w http.ResponseWriter, r *http.Request) {
	var req mirror.CopyRequest
	release, ok := s.decode(w, r, maxHeader, &req)
	if !ok {
		return
	}
	defer release()
	answer, err := s.sources.Copy(r.Context(), req)
	s.sendSourceResponse(w, sourceResponse{Copy: &answer}, err)
}

func (s *Server) roster(w http.ResponseWriter, r *http.Request) {
	var req mirror.RosterRequest
	release, ok := s.decode(w, r, maxHeader, &req)
	if !ok {
		return
	}
	defer release()
	answer, err := s.sources.Roster(r.Context(), req)
	s.sendSourceResponse(w, sourceResponse{Roster: &answer}, err)
}

// sendSourceResponse sends a source's response, or only the fault if err is set.
func (s *Server) sendSourceResponse(w http.ResponseWriter, out sourceResponse, err error) {
	if err != nil {
		problem := fault.From(err).Problem("")
		out = sourceResponse{Problem: &problem}
	}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.logger.Debug("remote: cannot send response of a source", "cause", err)
	}
}
