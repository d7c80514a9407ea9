package client

import (
	"io"
	"net/http"
)

// RequireFraming returns a transport for servers that announce the length of each response or send it in chunks. It
// fails the reads of a body that ends with its connection, where a break looks like the end.
func RequireFraming(next http.RoundTripper) http.RoundTripper {
	return framedTransport{next}
}

type framedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t framedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err == nil && !isFramed(resp) {
		resp.Body = unframedBody{resp.Body}
	}
	return resp, err
}

// isFramed reports whether the end of the body can be told from a break of the connection.
func isFramed(resp *http.Response) bool {
	return resp.ProtoMajor > 1 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// unframedBody is a body that may have been cut off where it ends.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b unframedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
