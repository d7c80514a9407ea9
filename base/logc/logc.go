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

// Client talks to the log service.
type Client struct {
	base    string
	timeout time.Duration
	http    *client.Client
}

// New makes a client of the log at addr; timeout bounds every call.
func New(addr netip.AddrPort, timeout time.Duration) *Client {
	return &Client{base: "http://" + addr.String(), timeout: timeout, http: client.New("log", nil)}
}

// Append adds data to the stream and returns its offset. A failure with NotRun set
// means that nothing was appended; after any other failure it may have been.
func (l *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, stop := context.WithTimeout(ctx, l.timeout)
	defer stop()
	var at types.LogOffset
	err := l.http.Call(ctx, http.MethodPost, l.url(stream), types.LogAppend{Data: data}, &at)
	if err != nil {
		return 0, unavailable(err)
	}
	return at.Offset, nil
}

// Read returns up to limit entries from an offset on.
func (l *Client) Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error) {
	ctx, stop := context.WithTimeout(ctx, l.timeout)
	defer stop()
	query := "?from=" + strconv.FormatInt(from, 10) + "&limit=" + strconv.Itoa(limit)
	var page types.LogPage
	if err := l.http.Call(ctx, http.MethodGet, l.url(stream)+query, nil, &page); err != nil {
		return page, unavailable(err)
	}
	return page, nil
}

func (l *Client) url(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream)
}

func unavailable(err error) error {
	f := fault.From(err)
	kind := fault.LogUnavailable
	if f.Kind == fault.Overloaded {
		kind = fault.Overloaded
	}
	return &fault.Fault{Kind: kind, Detail: "the log does not take the call", NotRun: f.NotRun, RetryAfter: time.Second}
}
