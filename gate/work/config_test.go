package work

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRouteCarriesStride checks that a route includes the tokens per event of its services, so that a
// box without a configuration can count the tokens of a turn forwarded to it.
func TestRouteCarriesStride(t *testing.T) {
	conf := NewConfig(1, []Route{
		{Name: "chat", Host: "h", Prefix: "/c/", Timeout: time.Second, Splits: []Split{{Service: "m", Weight: 9}, {Service: "n", Weight: 1}}},
		{Name: "look", Host: "h", Prefix: "/l/", Timeout: time.Second, Splits: []Split{{Service: "t", Weight: 1}}},
	}, []Service{{Name: "m", Engine: &Engine{Stride: 3}}, {Name: "n", Engine: &Engine{Stride: 4}}, {Name: "t"}}, Limits{})
	got := []int{conf.FindRoute("h", "/c/x").Stride, conf.FindRoute("h", "/l/x").Stride}
	if diff := cmp.Diff([]int{4, 0}, got); diff != "" {
		t.Errorf("tokens per event (-want +got):\n%s", diff)
	}
}

// TestLongestPrefix checks that the longest matching prefix wins among the routes of a host.
func TestLongestPrefix(t *testing.T) {
	conf := NewConfig(1, []Route{
		{Name: "all", Host: "h", Prefix: "/"}, {Name: "deep", Host: "h", Prefix: "/a/b/"}, {Name: "a", Host: "h", Prefix: "/a/"}, {Name: "other", Host: "g", Prefix: "/a/"},
	}, nil, Limits{})
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/bc": "a", "/x": "all"} {
		if got := conf.FindRoute("H:8080", path); got == nil || got.Name != want {
			t.Errorf("%s is routed to %+v", path, got)
		}
	}
	if conf.FindRoute("nowhere", "/a/b") != nil {
		t.Error("an unknown host has a route")
	}
}
