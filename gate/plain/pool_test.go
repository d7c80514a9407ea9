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

type anywhere struct{}

func (anywhere) Allowed(types.RuleInput) bool { return true }

// TestListDuringCalls checks that the platform's list may come while calls choose and reach
// replicas. It tells only under the race detector.
func TestListDuringCalls(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"done":true,"output":{}}`)) // the caller tells of a failure
	}))
	defer srv.Close()
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	list := types.PlatformList{Targets: []types.Target{{Name: "r", Kind: types.Plain, Service: "booking", Addr: addr}}}
	pools := NewPools("a", anywhere{}, noCounts{})
	pools.UpdateTargets(list)
	stop := make(chan struct{})
	var lists sync.WaitGroup
	lists.Go(func() {
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
	lists.Wait()
}
