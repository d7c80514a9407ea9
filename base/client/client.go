package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"mulleingate.dev/base/fault"
)

const (
	// MaxBody is the maximum size of a response that Decode reads, in bytes. The rest is dropped.
	MaxBody      = 64 << 20
	dialTimeout  = time.Second
	maxIdleConns = 256
	idleTimeout  = 90 * time.Second
)

// Client is an HTTP client for one kind of remote service.
type Client struct {
	svc httpc.Service
}

// New returns a client. The name identifies it to go-zero; clients for different purposes need
// different names. If transport is nil, the client uses a new one from Transport.
func New(name string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = Transport()
	}
	breaker.NoBreakerFor(name)
	return &Client{svc: httpc.NewServiceWithClient(name, &http.Client{Transport: transport})}
}

// Transport returns a new transport with the default settings of all clients.
func Transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Do sends a request and returns the raw response. If no connection can be opened, the fault has
// NotRun set; after any other failure the request may have reached the target.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.svc.DoRequest(req)
	if err == nil {
		return resp, nil
	}
	if notSent(err) {
		return nil, fault.Refuse(fault.TargetFailed, "cannot connect").WithCause(err)
	}
	return nil, fault.Fail(fault.TargetFailed, "call failed").WithCause(err)
}

// Call sends in as JSON and decodes the response into out; both may be nil. An error response is
// returned as a fault.
func (c *Client) Call(ctx context.Context, method, url string, in, out any) error {
	req, err := NewRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return Decode(resp, out)
}

// NewRequest creates a request with in as its JSON body; in may be nil.
func NewRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, fault.Refuse(fault.Internal, "cannot encode request").WithCause(err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot create request").WithCause(err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// Decode reads a complete JSON response into out, or returns an error response as a fault. A response that ends with
// its connection is complete if it is valid JSON.
func Decode(resp *http.Response, out any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody))
	if err != nil {
		return fault.Fail(fault.TargetFailed, "response was cut off").WithCause(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseFault(resp.StatusCode, raw)
	}
	if out == nil || (len(raw) == 0 && isFramed(resp)) {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fault.Fail(fault.Protocol, "answer is not the expected JSON").WithCause(err)
	}
	return nil
}

// responseFault returns the fault for an error response. A status 429 without a problem body counts
// as not run.
func responseFault(status int, raw []byte) error {
	var p fault.Problem
	if json.Unmarshal(raw, &p) == nil && p.Title != "" {
		return p.Fault()
	}
	if status == http.StatusTooManyRequests {
		return fault.Refuse(fault.Overloaded, "target is at its limit")
	}
	return fault.Fail(fault.TargetFailed, "target answered "+http.StatusText(status))
}

// notSent reports whether err proves that no byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return asOpError(err, &op) && op.Op == "dial"
}
