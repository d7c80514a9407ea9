package logc

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// Client is a client of the log service.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *client.Client
}

// New returns a client of the log service at addr. The timeout applies to each call.
func New(addr netip.AddrPort, timeout time.Duration) *Client {
	return &Client{baseURL: "http://" + addr.String(), timeout: timeout, http: client.New("log", nil)}
}

// Append appends data to the stream and returns its offset. If a fault has NotRun set, nothing was
// appended; after any other fault the data may have been appended.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	var appended types.LogOffset
	err := c.http.Call(ctx, http.MethodPost, c.streamURL(stream), types.LogAppend{Data: data}, &appended)
	if err != nil {
		return 0, unavailableFault(err)
	}
	return appended.Offset, nil
}

// Read returns up to limit entries, starting at the offset from.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error) {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	query := "?from=" + strconv.FormatInt(from, 10) + "&limit=" + strconv.Itoa(limit)
	var page types.LogPage
	if err := c.http.Call(ctx, http.MethodGet, c.streamURL(stream)+query, nil, &page); err != nil {
		return page, unavailableFault(err)
	}
	return page, nil
}

func (c *Client) streamURL(stream string) string {
	return c.baseURL + "/v1/streams/" + url.PathEscape(stream)
}

// unavailableFault converts the error of a call to a LogUnavailable fault, or Overloaded if the log
// service is overloaded. It keeps NotRun and drops the cause.
func unavailableFault(err error) error {
	f := fault.From(err)
	kind := fault.LogUnavailable
	if f.Kind == fault.Overloaded {
		kind = fault.Overloaded
	}
	return &fault.Fault{Kind: kind, Detail: "call to the log failed", NotRun: f.NotRun, RetryAfter: time.Second}
}
