package client

import (
	"context"
)

// Auth authorizes a call to a box. Token is the bearer token. Key is an optional idempotency key,
// with which the call runs at most once.
type Auth struct {
	Token, Key string
}

// CallAs is Call with the bearer token and, if set, the idempotency key of auth.
func (c *Client) CallAs(ctx context.Context, auth Auth, method, url string, in, out any) error {
	req, err := NewRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+auth.Token)
	if auth.Key != "" {
		req.Header.Set("Idempotency-Key", auth.Key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return Decode(resp, out)
}
