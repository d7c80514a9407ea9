package quota

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// oddPeers answers each request for a grant with the same reply.
type oddPeers struct{ reply GrantReply }

func (o oddPeers) Quota(context.Context, work.Box, GrantRequest) (GrantReply, error) {
	return o.reply, nil
}

// TestOddRepliesOfCounters guards against replies of other boxes with numbers out of range: a delay of years had all calls of
// the workspace refused for good, and a count without bound suspended its quota.
func TestOddRepliesOfCounters(t *testing.T) {
	for name, c := range map[string]struct {
		reply GrantReply
		// served is the most of 100 calls that may be served, as the counter then grants no more.
		served int
	}{
		"delay of years":   {GrantReply{IsCounter: true, AfterMillis: math.MaxInt64 / 2_000_000}, 0},
		"largest delay":    {GrantReply{IsCounter: true, AfterMillis: math.MaxInt64}, 0},
		"lowest delay":     {GrantReply{IsCounter: true, AfterMillis: math.MinInt64}, 0},
		"negative grant":   {GrantReply{IsCounter: true, Granted: math.MinInt64}, 0},
		"too many granted": {GrantReply{IsCounter: true, Granted: math.MaxInt64}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				space := work.Workspace{Name: "w", Rate: 1, Burst: 5}
				counter := singleBox{work.Box{Name: "counter", Zone: "z"}}
				peers := &oddPeers{c.reply}
				q := New(work.Box{Name: "a", Zone: "z"}, []string{"z"}, Bounds{Window: 5 * time.Second}, counter, nil, peers, quietCounts{})
				served := 0
				for range 100 {
					_, err := q.Take(t.Context(), space, false)
					if f := fault.From(err); err != nil && (f.RetryAfter <= 0 || f.RetryAfter > maxAfter+time.Second) {
						t.Fatalf("retry after %v: %v", f.RetryAfter, err)
					}
					if err == nil {
						served++
						peers.reply = GrantReply{IsCounter: true, AfterMillis: 100}
					}
				}
				if served > c.served {
					t.Errorf("%d calls were served, want at most %d", served, c.served)
				}
				peers.reply = GrantReply{IsCounter: true, Granted: 1}
				time.Sleep(maxAfter + time.Second)
				if _, err := q.Take(t.Context(), space, true); err != nil {
					t.Errorf("a minute later: %v", err)
				}
			})
		})
	}
}

// quietCounts drops all counts.
type quietCounts struct{}

func (quietCounts) Count(string, int64) {}

// TestOddQuotas guards against rates whose conversion to whole numbers depends on the processor.
func TestOddQuotas(t *testing.T) {
	bounds, zones := Bounds{Window: 5 * time.Second}, []string{"a", "b", "c"}
	for _, c := range []struct {
		rate, burst float64
		want        int
		zones       int
	}{{1e300, 0, 0, 3}, {1e20, 1e20, 7, 3}, {1e-300, 0, 0, 1}, {-1e300, 0, 0, 1}} {
		space := work.Workspace{Name: "w", Rate: c.rate, Burst: c.burst}
		if n := len(bounds.countingZones(space, zones)); n != c.zones {
			t.Errorf("rate %g: %d zones count, want %d", c.rate, n, c.zones)
		}
		now := time.Now()
		granted, after := newPart(now.Add(-time.Minute)).grant(now, bounds.partLimits(space, 1), 7, false)
		if granted != c.want || after < 0 {
			t.Errorf("rate %g: %d granted, after %v", c.rate, granted, after)
		}
	}
}
