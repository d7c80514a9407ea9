package access

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

var (
	confirmed = time.Now()
	chatRoute = work.Route{Name: "chat", Host: "h", Prefix: "/chat/"}
	openRoute = work.Route{Name: "open", Host: "h", Prefix: "/open/", Public: true}
)

// config returns a configuration in which the workspace north holds the given keys.
func config(keys ...string) *work.Config {
	conf := work.NewConfig(3, []work.Route{chatRoute, openRoute}, nil, work.Limits{})
	space := work.Workspace{Name: "north"}
	for _, key := range keys {
		space.KeyDigests = append(space.KeyDigests, ident.KeyDigest(key))
	}
	conf.Callers = work.NewWorkspaceIndex([]work.Workspace{space})
	return conf
}

// call returns a call that arrives at the given time after confirmed.
func call(key string, at time.Duration) *work.Call {
	c := &work.Call{Host: "h", Arrived: confirmed.Add(at)}
	if key != "" {
		c.KeyDigest = ident.KeyDigest(key)
	}
	return c
}

// TestCaller checks which callers are allowed, by the time since the configuration was confirmed as the
// newest.
func TestCaller(t *testing.T) {
	failClosed := Bounds{Revocation: 5 * time.Second, Apply: 3 * time.Second}
	failOpen := Bounds{Apply: 3 * time.Second}
	anyone := work.NewConfig(3, []work.Route{chatRoute}, nil, work.Limits{})
	cases := []struct {
		name   string
		bounds Bounds
		known  ConfigSnapshot
		call   *work.Call
		route  *work.Route
		space  string
		kind   fault.Kind
	}{
		{"a known key", failClosed, ConfigSnapshot{config("k"), confirmed}, call("k", time.Second), &chatRoute, "north", ""},
		{"an unknown key", failClosed, ConfigSnapshot{config("k"), confirmed}, call("x", time.Second), &chatRoute, "", fault.Unauthorized},
		{"no key", failClosed, ConfigSnapshot{config("k"), confirmed}, call("", time.Second), &chatRoute, "", fault.Unauthorized},
		{"no key on a public route", failClosed, ConfigSnapshot{config("k"), confirmed}, call("", time.Second), &openRoute, "", ""},
		{"a workspace whose keys were all revoked", failClosed, ConfigSnapshot{config(), confirmed}, call("k", time.Second), &chatRoute, "", fault.Unauthorized},
		{"an unknown key, and a newer configuration may have it", failClosed, ConfigSnapshot{config("k"), confirmed}, call("x", 4*time.Second), &chatRoute, "", fault.StaleConfig},
		{"a known key within the bound", failClosed, ConfigSnapshot{config("k"), confirmed}, call("k", 5*time.Second), &chatRoute, "north", ""},
		{"a known key that may have been revoked", failClosed, ConfigSnapshot{config("k"), confirmed}, call("k", 5*time.Second+time.Millisecond), &chatRoute, "", fault.StaleConfig},
		{"a public route, the configuration is old", failClosed, ConfigSnapshot{config("k"), confirmed}, call("", time.Minute), &openRoute, "", ""},
		{"a known key, no bound of revocation", failOpen, ConfigSnapshot{config("k"), confirmed}, call("k", time.Minute), &chatRoute, "north", ""},
		{"an unknown key, no bound of revocation", failOpen, ConfigSnapshot{config("k"), confirmed}, call("x", time.Minute), &chatRoute, "", fault.StaleConfig},
		{"never confirmed", failClosed, ConfigSnapshot{Config: config("k")}, call("k", time.Second), &chatRoute, "", fault.StaleConfig},
		{"anyone may call", failClosed, ConfigSnapshot{anyone, confirmed}, call("", time.Minute), &chatRoute, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			space, err := New(tc.bounds).Caller(tc.known, tc.call, tc.route)
			checkFault(t, err, tc.kind)
			if diff := cmp.Diff(tc.space, space.Name); diff != "" {
				t.Errorf("workspace (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRoute checks that a missing route is a final refusal only if the configuration is recent enough.
func TestRoute(t *testing.T) {
	bounds := Bounds{Apply: 2 * time.Second}
	cases := []struct {
		name  string
		known ConfigSnapshot
		path  string
		at    time.Duration
		kind  fault.Kind
	}{
		{"a route", ConfigSnapshot{config(), confirmed}, "/chat/x", time.Minute, ""},
		{"none", ConfigSnapshot{config(), confirmed}, "/new/x", time.Second, fault.NoRoute},
		{"a newer configuration may have it", ConfigSnapshot{config(), confirmed}, "/new/x", 3 * time.Second, fault.StaleConfig},
		{"nothing known", ConfigSnapshot{}, "/chat/x", time.Second, fault.NoConfig},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(bounds).Route(tc.known, call("", tc.at), tc.path)
			checkFault(t, err, tc.kind)
		})
	}
}

// checkFault checks the kind of a refusal, that it says the call has not run, and that it has a retry delay
// unless it is final.
func checkFault(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	if kind == "" {
		if err != nil {
			t.Errorf("refused: %v", err)
		}
		return
	}
	if !fault.Is(err, kind) {
		t.Fatalf("%v, want %s", err, kind)
	}
	f := fault.From(err)
	final := kind == fault.Unauthorized || kind == fault.NoRoute
	if !f.NotRun || (f.RetryAfter == 0) != final {
		t.Errorf("not run %v, retry after %v", f.NotRun, f.RetryAfter)
	}
}
