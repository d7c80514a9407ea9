package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
)

// Balancer picks the box that receives each call, as the platform's load balancer does.
type Balancer interface {
	BoxURL(rng *rand.Rand) string
}

// caller sends the calls of one program and retries those that fail with a retryable fault.
type caller struct {
	http     *client.Client
	balancer Balancer
	token    string
	rng      *rand.Rand
	stats    *Stats
}

const (
	maxAttempts   = 6
	firstBackoff  = 150 * time.Millisecond
	callTimeout   = 30 * time.Second
	maxRetryAfter = 2 * time.Second
)

func (c *caller) call(ctx context.Context, method, path, key string, in, out any) error {
	var err error
	for try := range maxAttempts {
		err = c.attempt(ctx, method, path, key, in, out)
		if err == nil {
			return nil
		}
		f := fault.From(err)
		c.stats.countFault(f)
		if !retryable(f) || ctx.Err() != nil {
			return err
		}
		c.stats.update(func(s *Stats) { s.Retries++ })
		pause := firstBackoff << try
		if f.RetryAfter > 0 {
			pause = min(f.RetryAfter, maxRetryAfter)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause/2 + time.Duration(c.rng.Int64N(int64(pause)))):
		}
	}
	return err
}

// retryable reports whether the same request may be sent again after the fault.
func retryable(f *fault.Fault) bool {
	switch f.Kind {
	case fault.OwnerUnavailable, fault.NotOwner, fault.PeerUnreachable, fault.LogUnavailable, fault.TargetFailed, fault.NoTarget,
		fault.Stopping, fault.DeadlineMissed, fault.StaleConfig, fault.TailTooLong:
		return true
	}
	return false
}

func (c *caller) attempt(ctx context.Context, method, path, key string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return c.http.CallAs(ctx, client.Auth{Token: c.token, Key: key}, method, c.balancer.BoxURL(c.rng)+path, in, out)
}

func (c *caller) post(ctx context.Context, path, key string, in, out any) error {
	return c.call(ctx, http.MethodPost, path, key, in, out)
}

func marshal(v any) json.RawMessage {
	out, _ := json.Marshal(v)
	return out
}
