package work

import (
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
)

// TestFingerprint checks what makes two attempts the same request: a caller's attempts differ in their IDs, deadlines
// and the box that they arrive at, and requests that only look alike must not be taken for one another.
func TestFingerprint(t *testing.T) {
	kept, brought := &Route{Kind: Stream, Stateful: true}, &Route{Kind: Stream}
	base := func() *Call {
		return &Call{ID: "1", Method: "POST", Host: "desk.example", Target: "/chat/x?y=1", Body: []byte("two chairs"), Workspace: "flanders", Turn: &Turn{Program: "p", Previous: "0", Budget: -1}}
	}
	cases := []struct {
		name   string
		route  *Route
		change func(call *Call)
		same   bool
	}{
		{"attempt", kept, func(call *Call) {
			call.ID, call.Deadline, call.Arrived, call.Turn.Left = "2", time.Now(), time.Now(), 1
		}, true},
		{"resumed", kept, func(call *Call) { call.Header = map[string][]string{"Last-Event-Id": {"3"}} }, true},
		{"host with port", kept, func(call *Call) { call.Host = "DESK.example:80" }, true},
		{"program", kept, func(call *Call) { call.Turn.Program = "q" }, true},
		{"workspace", kept, func(call *Call) { call.Workspace = "wallonia" }, false},
		{"method", kept, func(call *Call) { call.Method = "PUT" }, false},
		{"host", kept, func(call *Call) { call.Host = "other.example" }, false},
		{"query", kept, func(call *Call) { call.Target = "/chat/x?y=2" }, false},
		{"body", kept, func(call *Call) { call.Body = []byte("two chair") }, false},
		{"parts shifted", kept, func(call *Call) { call.Target, call.Body = "/chat/x?y=1t", []byte("wo chairs") }, false},
		{"previous turn, kept history", kept, func(call *Call) { call.Turn.Previous = "9" }, false},
		{"previous turn, brought history", brought, func(call *Call) { call.Turn.Previous = "9" }, true},
		{"without a program", brought, func(call *Call) { call.Turn = nil }, true},
	}
	for _, c := range cases {
		call := base()
		c.change(call)
		same := FingerprintOf(call, c.route) == FingerprintOf(base(), c.route)
		if diff := cmp.Diff(c.same, same); diff != "" {
			t.Errorf("other %s: same request (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestQualifiedNamesAreUTF8 checks that names which are not valid UTF-8 become keys that JSON does not change, and stay
// apart.
func TestQualifiedNamesAreUTF8(t *testing.T) {
	seen := map[string]string{}
	for _, workspace := range []string{"", "w"} {
		for _, name := range []string{"a", "caf\xe9", "caf\xea", "café", "\xff", "\xff\xfe"} {
			call := &Call{Workspace: workspace}
			got := call.QualifiedName(name)
			if !utf8.ValidString(got) {
				t.Errorf("%q is not valid UTF-8", got)
			}
			if other, ok := seen[got]; ok {
				t.Errorf("%q and %q become one name", name, other)
			}
			seen[got] = workspace + "/" + name
		}
	}
}
