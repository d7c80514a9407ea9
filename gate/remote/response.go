package remote

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/dial"
	"mulleingate.dev/gate/memory"
)

const (
	// maxShort bounds a response with a few fields, in bytes.
	maxShort = 64 << 10
	// maxLongResponses bounds the responses beyond maxShort that are read at once, and maxLongTexts those with texts of
	// chains among them, which are read beside the others.
	maxLongResponses = 2
	maxLongTexts     = 1
	// maxPage bounds a response with records or members, in bytes: as JSON, what the log returns at once takes a third more.
	maxPage = 5 << 20
	// maxText bounds a response with the text of a chain, in bytes. As JSON, a chain of 16 MB takes 21.4 MB.
	maxText = 22 << 20
	// maxPing bounds a response that has no content.
	maxPing = 4 << 10
)

// responseLimit returns the maximum length of a response to a request for the path, in bytes.
func responseLimit(path string) int {
	switch path {
	case findPath:
		return maxText
	case logPath, copyPath, rosterPath:
		return maxPage
	case quotaPath, reachPath:
		return maxShort
	default:
		return maxPing
	}
}

// readResponse reads the whole response to a short request for the path. The time is bounded by ctx only.
func (c *Client) readResponse(ctx context.Context, resp *dial.Response, path string) ([]byte, error) {
	limit := responseLimit(path)
	raw, err := memory.ReadAll(io.LimitReader(resp, int64(min(limit, maxShort)+1)))
	if err == nil && len(raw) > maxShort && limit > maxShort {
		reading := c.longResponses
		if path == findPath {
			reading = c.longTexts
		}
		select {
		case reading <- struct{}{}:
			defer func() { <-reading }()
		case <-ctx.Done():
			return nil, fault.Fail(fault.PeerUnreachable, "too many long responses of other boxes at once").WithCause(ctx.Err())
		}
		raw, err = memory.ReadAll(http.MaxBytesReader(nil, io.NopCloser(io.MultiReader(bytes.NewReader(raw), resp)), int64(limit)))
	}
	if err != nil || len(raw) > limit {
		return nil, fault.Fail(fault.PeerUnreachable, "another box's response is truncated or too long").WithCause(err)
	}
	return raw, nil
}
