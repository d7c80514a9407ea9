package client

import (
	"context"
)

// Auth is how a caller of a box shows who it is. Key makes a call run at most once.
type Auth struct {
	Token, Key string
}

// CallAs is Call with a bearer token and, if it is set, an idempotency key.
func (c *Client) CallAs(ctx context.Context, auth Auth, method, url string, in, out any) error {
	req, err := Request(ctx, method, url, in)
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
