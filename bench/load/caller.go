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

// Entries chooses the box that a call goes to, as the platform's balancer would.
type Entries interface {
	Entry(rng *rand.Rand) string
}

// caller sends calls and tries again what was refused as not run, and what may be
// repeated: turns and keyed calls.
type caller struct {
	http    *client.Client
	entries Entries
	token   string
	rng     *rand.Rand
	stats   *Stats
}

const (
	tries     = 6
	tryPause  = 150 * time.Millisecond
	callWait  = 30 * time.Second
	longPause = 2 * time.Second
)

func (c *caller) call(ctx context.Context, method, path, key string, in, out any) error {
	var err error
	for try := range tries {
		err = c.once(ctx, method, path, key, in, out)
		if err == nil {
			return nil
		}
		f := fault.From(err)
		c.stats.refusal(f)
		if !again(f) || ctx.Err() != nil {
			return err
		}
		c.stats.add(func(s *Stats) { s.Retries++ })
		pause := tryPause << try
		if f.RetryAfter > 0 {
			pause = min(f.RetryAfter, longPause)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause/2 + time.Duration(c.rng.Int64N(int64(pause)))):
		}
	}
	return err
}

// again reports whether the same request may be sent once more.
func again(f *fault.Fault) bool {
	switch f.Kind {
	case fault.OwnerUnavailable, fault.NotOwner, fault.PeerUnreachable, fault.LogUnavailable, fault.TargetFailed, fault.NoTarget,
		fault.Stopping, fault.DeadlineMissed, fault.StaleConfig, fault.TailTooLong:
		return true
	}
	return false
}

func (c *caller) once(ctx context.Context, method, path, key string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, callWait)
	defer stop()
	return c.http.CallAs(ctx, client.Auth{Token: c.token, Key: key}, method, c.entries.Entry(c.rng)+path, in, out)
}

func (c *caller) post(ctx context.Context, path, key string, in, out any) error {
	return c.call(ctx, http.MethodPost, path, key, in, out)
}

func raw(v any) json.RawMessage {
	out, _ := json.Marshal(v)
	return out
}
