package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// request is what a caller wants done.
type request struct {
	method, path string
	header       map[string]string
	body         string
	// budget is how long the caller waits in all.
	budget time.Duration
	// repeatable says that the request may be sent again after any failure, otherwise only after a promise that it has not
	// run.
	repeatable bool
	retries    int
}

// reply is the answer to one attempt.
type reply struct {
	id     string
	status int
	signed bool
	// whole says that a complete answer arrived.
	whole      bool
	body       string
	retryAfter time.Duration
}

// succeeded reports whether the replica's whole answer arrived.
func (r reply) succeeded() bool { return r.whole && r.signed && r.status == http.StatusOK }

// refused reports whether the box itself, not a replica, ended the request with a final 4xx.
func (r reply) refused() bool {
	promise := r.status == http.StatusRequestTimeout || r.status == http.StatusMisdirectedRequest || r.status == http.StatusTooManyRequests
	return r.whole && !r.signed && r.status >= 300 && r.status < 500 && !promise
}

// mayRetry reports whether the caller may send the request again.
func (r reply) mayRetry(repeatable bool) bool {
	switch r.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return repeatable && !r.succeeded()
	}
}

// caller is a client of the platform. It keeps one connection.
type caller struct {
	fleet *fleet
	name  string
	conn  net.Conn
	in    *bufio.Reader
	// to is the address of the box at the other end of the connection.
	to string
}

// call sends the request, with retries, and returns the replies of all attempts. A retry goes to the next of the boxes over a
// new connection.
func (c *caller) call(req request, boxes []*box) []reply {
	deadline := time.Now().Add(req.budget)
	var replies []reply
	for try := range req.retries + 1 {
		target := boxes[try%len(boxes)].address()
		got := c.attempt(req, target, deadline)
		replies = append(replies, got)
		if !got.mayRetry(req.repeatable) {
			break
		}
		c.disconnect()
		left := time.Until(deadline)
		wait := min(got.retryAfter, left/3)
		if left-wait < 50*time.Millisecond {
			break
		}
		time.Sleep(wait)
	}
	return replies
}

// attempt sends the request once, with an id of its own.
func (c *caller) attempt(req request, target string, deadline time.Time) reply {
	out := reply{id: c.fleet.newID()}
	c.fleet.note(c.name, "sends %s %s %s to %s%s", out.id, req.method, req.path, target, about(req.header))
	start := time.Now()
	err := c.exchange(req, target, deadline, &out)
	if err != nil {
		c.disconnect()
	}
	c.fleet.note(c.name, "gets %s status %d signed %v whole %v after %d ms%s", out.id, out.status, out.signed, out.whole, time.Since(start).Milliseconds(), cause(err))
	return out
}

// about returns what the record tells of a turn's headers.
func about(header map[string]string) string {
	if header[headerProgram] == "" {
		return ""
	}
	return fmt.Sprintf(" program %s previous %s", header[headerProgram], header[headerPrevious])
}

func cause(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // it may have been closed by the box
		c.conn = nil
	}
}

// exchange writes the request and reads the answer.
func (c *caller) exchange(req request, target string, deadline time.Time, out *reply) error {
	if c.conn != nil && c.to != target {
		c.disconnect()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", target, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.to, c.in = conn, target, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return err
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", req.method, req.path, host, headerID, out.id, headerDeadline, time.Until(deadline).Milliseconds())
	for name, value := range req.header {
		if value != "" {
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	if req.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(req.body))
	}
	if _, err := io.WriteString(c.conn, head.String()+"\r\n"+req.body); err != nil {
		return err
	}
	return c.readReply(req, out)
}

func (c *caller) readReply(req request, out *reply) error {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: req.method})
	if err != nil {
		return err
	}
	out.status, out.signed = resp.StatusCode, resp.Header.Get(headerSigned) != ""
	if secs, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(secs * float64(time.Second))
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	out.body, out.whole = string(body), true
	if resp.Close {
		c.disconnect()
	}
	return nil
}
