package weight

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/time/rate"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
)

// Store hands out model weights at a bounded rate.
type Store struct {
	limiter *rate.Limiter
}

// New makes a store that allows perSecond fetches.
func New(perSecond float64) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Fetch waits for its turn.
func (s *Store) Fetch(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return fault.Refuse(fault.Overloaded, "weight store is busy").WithCause(err)
	}
	return nil
}

// Routes serves the store over HTTP.
func (s *Store) Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodPost, Path: "/v1/fetch", Handler: func(w http.ResponseWriter, r *http.Request) {
		if err := s.Fetch(r.Context()); err != nil {
			server.WriteProblem(w, "", err)
			return
		}
		server.WriteJSON(w, http.StatusOK, struct{}{})
	}}}
}
