package weight

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/time/rate"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
)

// Store simulates fetches of model weights at a limited rate. It is safe for concurrent use.
type Store struct {
	limiter *rate.Limiter
}

// New returns a store that allows perSecond fetches per second.
func New(perSecond float64) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Fetch waits until the rate limit allows the fetch. It fails if that would be after ctx's deadline.
func (s *Store) Fetch(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return fault.Refuse(fault.Overloaded, "weight store has reached its rate limit").WithCause(err)
	}
	return nil
}

// Routes returns the HTTP route that fetches weights.
func (s *Store) Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodPost, Path: "/v1/fetch", Handler: func(w http.ResponseWriter, r *http.Request) {
		if err := s.Fetch(r.Context()); err != nil {
			server.WriteProblem(w, "", err)
			return
		}
		server.WriteJSON(w, http.StatusOK, struct{}{})
	}}}
}
