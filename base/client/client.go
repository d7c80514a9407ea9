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
	// MaxBody bounds an answer that is read whole, in bytes.
	MaxBody     = 64 << 20
	dialTimeout = time.Second
	idleConns   = 256
	idleTimeout = 90 * time.Second
)

// Client calls one kind of remote service.
type Client struct {
	svc httpc.Service
}

// New makes a client. The name must be unique to its purpose; transport may be nil.
func New(name string, transport *http.Transport) *Client {
	if transport == nil {
		transport = Transport()
	}
	breaker.NoBreakerFor(name)
	return &Client{svc: httpc.NewServiceWithClient(name, &http.Client{Transport: transport})}
}

// Transport is the transport that all clients start from.
func Transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Do sends a request and returns the raw response. A failure to connect is said
// with NotRun set; any other failure may have reached the target.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.svc.DoRequest(req)
	if err == nil {
		return resp, nil
	}
	if notSent(err) {
		return nil, fault.Refuse(fault.TargetFailed, "connection refused").WithCause(err)
	}
	return nil, fault.Fail(fault.TargetFailed, "call broke").WithCause(err)
}

// Call sends in as JSON and reads out as JSON; out may be nil. Problem bodies come back as faults.
func (c *Client) Call(ctx context.Context, method, url string, in, out any) error {
	req, err := Request(ctx, method, url, in)
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

// Request builds a JSON request; in may be nil.
func Request(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, fault.Refuse(fault.Internal, "request does not encode").WithCause(err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "request cannot be built").WithCause(err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// Decode reads a whole response into out, or returns its problem as a fault.
func Decode(resp *http.Response, out any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody))
	if err != nil {
		return fault.Fail(fault.TargetFailed, "answer broke off").WithCause(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return problem(resp.StatusCode, raw)
	}
	if out == nil || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fault.Fail(fault.Protocol, "answer is not the expected JSON").WithCause(err)
	}
	return nil
}

func problem(status int, raw []byte) error {
	var p fault.Problem
	if json.Unmarshal(raw, &p) == nil && p.Title != "" {
		return p.Fault()
	}
	if status == http.StatusTooManyRequests {
		return fault.Refuse(fault.Overloaded, "target is at its limit")
	}
	return fault.Fail(fault.TargetFailed, "target answered "+http.StatusText(status))
}

// notSent reports whether err proves that no byte of the request was written.
func notSent(err error) bool {
	var op *net.OpError
	return asOp(err, &op) && op.Op == "dial"
}
