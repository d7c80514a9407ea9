package plain

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleingate.dev/base/types"
)

type noCounts struct{}

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}

type allowAll struct{}

func (allowAll) Allowed(types.RuleInput) bool { return true }

// TestListUpdatesDuringCalls checks that list updates do not race with calls that select and
// use replicas. It is effective only under the race detector.
func TestListUpdatesDuringCalls(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"done":true,"output":{}}`)) // a failed write makes the call fail
	}))
	defer srv.Close()
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	list := types.PlatformList{Targets: []types.Target{{Name: "r", Kind: types.PlainService, Service: "booking", Addr: addr}}}
	pools := NewPools("a", allowAll{}, noCounts{})
	pools.UpdateTargets(list)
	stop := make(chan struct{})
	var updates sync.WaitGroup
	updates.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				pools.UpdateTargets(list)
			}
		}
	})
	svc := types.Service{Name: "booking", ProbePath: "/v1/probe"}
	for range 50 {
		if _, err := pools.SendOnce(context.Background(), svc, types.RuleInput{}, Body{Input: json.RawMessage(`{}`)}); err != nil {
			t.Error(err)
		}
		if _, _, err := pools.Probe(context.Background(), svc, types.RuleInput{}, "k"); err != nil {
			t.Error(err)
		}
	}
	close(stop)
	updates.Wait()
}
