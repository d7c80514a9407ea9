package remote

import (
	"context"
	"encoding/json"
	"net/http"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/work"
)

// told is a source's answer or its refusal.
type told struct {
	Copy    *mirror.CopyResponse   `json:"copy,omitempty"`
	Roster  *mirror.RosterResponse `json:"roster,omitempty"`
	Problem *fault.Problem         `json:"problem,omitempty"`
}

// Copy implements mirror.Peers.
func (c *Client) Copy(ctx context.Context, box work.Box, ask mirror.CopyRequest) (mirror.CopyResponse, error) {
	out, err := c.source(ctx, box, copyPath, ask)
	if err != nil {
		return mirror.CopyResponse{}, err
	}
	if out.Copy == nil {
		return mirror.CopyResponse{}, fault.Fail(fault.Protocol, "a source's answer lacks the topic")
	}
	return *out.Copy, nil
}

// Roster implements mirror.Peers.
func (c *Client) Roster(ctx context.Context, box work.Box, ask mirror.RosterRequest) (mirror.RosterResponse, error) {
	out, err := c.source(ctx, box, rosterPath, ask)
	if err != nil {
		return mirror.RosterResponse{}, err
	}
	if out.Roster == nil {
		return mirror.RosterResponse{}, fault.Fail(fault.Protocol, "a source's answer lacks the members")
	}
	return *out.Roster, nil
}

func (c *Client) source(ctx context.Context, box work.Box, path string, ask any) (told, error) {
	var out told
	if err := c.exchange(ctx, box, path, ask, &out); err != nil {
		return told{}, err
	}
	if out.Problem != nil {
		return told{}, out.Problem.Fault()
	}
	return out, nil
}

func (s *Server) copy(w http.ResponseWriter, r *http.Request) {
	var ask mirror.CopyRequest
	if !decode(w, r, &ask) {
		return
	}
	answer, err := s.mirror.Copy(r.Context(), ask)
	s.tell(w, told{Copy: &answer}, err)
}

func (s *Server) roster(w http.ResponseWriter, r *http.Request) {
	var ask mirror.RosterRequest
	if !decode(w, r, &ask) {
		return
	}
	answer, err := s.mirror.Roster(r.Context(), ask)
	s.tell(w, told{Roster: &answer}, err)
}

// tell sends a source's answer, or its refusal.
func (s *Server) tell(w http.ResponseWriter, out told, err error) {
	if err != nil {
		problem := fault.From(err).Problem("")
		out = told{Problem: &problem}
	}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.logger.Debug("remote: answer of a source not sent", "cause", err)
	}
}
