package dial

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"mulleingate.dev/base/fault"
)

const (
	// maxHeadBytes bounds the head of a response. It is twice the usual limit on the heads of callers' requests.
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds the lines of a head. Parsed, short headers take ten times as much memory as sent.
	maxHeadLines = 256
	// maxErrorBytes bounds what an error quotes of a malformed head.
	maxErrorBytes = 256
)

// headLimit bounds what is read from a connection for one head. The zero value has no limit.
type headLimit struct {
	// limited is set while a head is read, left is how many more bytes may be read for it, and lines how many lines were
	// read, including those of the body in the last read.
	limited     bool
	left, lines int
	syntax      headSyntax
}

// read reads from the connection as far as the limit allows, beyond which the connection seems to have ended.
func (l *headLimit) read(from io.Reader, data []byte) (int, error) {
	if !l.limited {
		return from.Read(data)
	}
	if l.lines > maxHeadLines { // all of them belong to the head, which goes on
		l.left = 0
	}
	if l.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := from.Read(data[:min(len(data), l.left)])
	l.left -= n
	l.lines += bytes.Count(data[:n], []byte("\n"))
	if malformed := l.syntax.check(data[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// readHead reads the head of the response to req from in, whose reads are limited by l.
func (l *headLimit) readHead(in *bufio.Reader, req *http.Request) (*http.Response, error) {
	l.syntax = headSyntax{}
	buffered, _ := in.Peek(in.Buffered()) // they were read with an earlier head
	if err := l.syntax.check(buffered); err != nil {
		return nil, err
	}
	l.limited, l.left, l.lines = true, maxHeadBytes, 0
	resp, err := http.ReadResponse(in, req)
	l.limited = false
	if err != nil && l.left == 0 {
		return nil, fault.Fail(fault.Protocol, "the head of the response is too long").WithCause(err)
	}
	if malformed := l.syntax.result(); malformed != nil {
		return nil, malformed
	}
	return resp, shortened(err)
}

// malformedError is the beginning of the message of an error that quotes a long part of a head.
type malformedError string

func (e malformedError) Error() string { return string(e) }

// shortened returns err, or its beginning if it is too long for a log line.
func shortened(err error) error {
	if err == nil {
		return nil
	}
	if text := err.Error(); len(text) > maxErrorBytes {
		return malformedError(text[:maxErrorBytes])
	}
	return err
}

// limitedReader is a reader with a limit.
type limitedReader struct {
	headLimit
	from io.Reader
}

func (r *limitedReader) Read(data []byte) (int, error) { return r.read(r.from, data) }

// ReadHead returns the status and headers of the response to req, whose body the caller does not need. It returns a fault
// of kind Protocol if the head is too long.
func ReadHead(from io.Reader, req *http.Request) (int, http.Header, error) {
	limited := &limitedReader{from: from}
	resp, err := limited.readHead(bufio.NewReader(limited), req) //nolint:bodyclose // the caller closes the connection
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, nil
}
