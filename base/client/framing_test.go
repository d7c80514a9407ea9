package client

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
)

// serveText serves a body, without its length or chunks if unframed, and returns the URL.
func serveText(t *testing.T, body string, unframed bool) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if unframed {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		_, _ = io.WriteString(w, body) // the test fails without it
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestRequireFraming checks that a body which ends with its connection can't be read to its end.
func TestRequireFraming(t *testing.T) {
	cli := &http.Client{Transport: RequireFraming(Transport())}
	for name, unframed := range map[string]bool{"framed": false, "unframed": true} {
		t.Run(name, func(t *testing.T) {
			resp, err := cli.Get(serveText(t, "whole", unframed))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := io.ReadAll(resp.Body); (err != nil) != unframed {
				t.Errorf("unframed: %v, error %v", unframed, err)
			}
		})
	}
}

// TestUnframedResponseMustBeValid checks that an empty response which ends with its connection is no result.
func TestUnframedResponseMustBeValid(t *testing.T) {
	cli := New("test", nil)
	for _, c := range []struct {
		name, body string
		unframed   bool
		valid      bool
	}{
		{"empty", "", false, true},
		{"empty, unframed", "", true, false},
		{"cut, unframed", `{"a":`, true, false},
		{"whole, unframed", `{"a":1}`, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out struct{ A int }
			err := cli.Call(context.Background(), http.MethodGet, serveText(t, c.body, c.unframed), nil, &out)
			if diff := cmp.Diff(c.valid, err == nil); diff != "" || (err != nil && !fault.Is(err, fault.Protocol)) {
				t.Errorf("error %v, valid (-want +got):\n%s", err, diff)
			}
		})
	}
}
