package dial

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"mulleingate.dev/base/fault"
)

// TestMalformedHeadIsNoAnswer guards against heads that are no HTTP, or that others read differently, and that pass as answers.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	heads := []string{
		ok + "Content-Length : 2\r\n", ok + "Transfer-Encoding : chunked\r\n", ok + "X Odd: b\r\nContent-Length: 2\r\n", ok + "X-Odd : b\r\nContent-Length: 2\r\n",
		ok + "X-Odd\t: b\r\nContent-Length: 2\r\n", ok + ": b\r\nContent-Length: 2\r\n", ok + "X-Odd\r\nContent-Length: 2\r\n", ok + "\x01X: b\r\nContent-Length: 2\r\n",
		ok + "X\x00: b\r\nContent-Length: 2\r\n", ok + "X\x7f: b\r\nContent-Length: 2\r\n", ok + "X\xe9: b\r\nContent-Length: 2\r\n", ok + "X(: b\r\nContent-Length: 2\r\n",
		ok + "X: a\x00b\r\nContent-Length: 2\r\n", ok + "X: a\x1fb\r\nContent-Length: 2\r\n", ok + "X: a\rb\r\nContent-Length: 2\r\n", ok + "X: a\x7f\r\nContent-Length: 2\r\n",
		ok + " Content-Length: 2\r\n", ok + "X: a\r\n b\r\nContent-Length: 2\r\n", ok + "X: a\r\n\tContent-Length: 2\r\n",
		ok + "Content-Length: 2\r\nContent-Length: 3\r\n", ok + "Content-Length: +2\r\n", ok + "Content-Length: 2, 2\r\n", ok + "Content-Length: -2\r\n", ok + "Content-Length: 0x2\r\n",
		ok + "Content-Length: 2 2\r\n", ok + "Content-Length:\r\n", ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", ok + "Transfer-Encoding: gzip\r\n",
		ok + "Transfer-Encoding: chunked, chunked\r\n", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", ok + "Transfer-Encoding: xchunked\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	}
	for _, status := range []string{"000", "099", "101", "600", "999", "1000", "20", "2000", "+20", "-20", "2 0", "abc", "", "2\x0000"} {
		heads = append(heads, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n")
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/3.0", "HTTP/11", "HTTP/1", "http/1.1", "HTTPS/1.1", "", "\x00HTTP/1.1", " HTTP/1.1"} {
		heads = append(heads, version+" 200 OK\r\nContent-Length: 2\r\n")
	}
	heads = append(heads, "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n", "HTTP/1.1\t200 OK\r\nContent-Length: 2\r\n", "HTTP/1.1 200OK\r\nContent-Length: 2\r\n", "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n")
	for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
		for _, head := range heads {
			for _, body := range []string{"ok", "2\r\nok\r\n0\r\n\r\n"} {
				p := New(serve(t, func(int, *http.Request) (string, bool) { return before + head + "\r\n" + body, false }), 1)
				if got, err := get(t, p, Request{AcceptUnframed: true}); err == nil || fault.From(err).NotRun {
					t.Errorf("%q is the answer %q: %v", before+head, got, err)
				}
			}
		}
	}
}

// TestUsualHeadsAreRead checks that heads which are unusual, but valid, are read.
func TestUsualHeadsAreRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200\r\nContent-Length: 2\r\n", "HTTP/1.1 200 \r\nContent-Length: 2\r\n", "HTTP/1.1 200 All is \xe9\r\nContent-Length: 2\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\ncontent-length:2\n", "HTTP/1.1 200 OK\r\nContent-Length: \t2 \r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nX:\r\nY: \xe9\tb:c\r\n!#$%&'*+-.^_`|~1: b\r\nContent-Length: 2\r\n", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	} {
		end := "\r\n"
		if !strings.Contains(head, end) {
			end = "\n"
		}
		p := New(serve(t, func(int, *http.Request) (string, bool) { return head + end + "ok", true }), 1)
		for range 2 {
			if got, err := get(t, p, Request{}); got != "ok" || err != nil {
				t.Errorf("%q: %q, %v", head, got, err)
			}
		}
		if p.Dials() != 1 {
			t.Errorf("%q: the connection was not kept", head)
		}
	}
}

// TestOddChunksAreNotWhole checks that a body whose chunks or trailer are malformed or cut does not count as whole.
func TestOddChunksAreNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n"
	for _, body := range []string{
		"", "2", "2\r\n", "2\r\no", "2\r\nok", "2\r\nok\r\n", "2\r\nok\r\n0", "2\r\nok\r\n0\r\n", "2\r\nok\r\n0\r\n\r", "2\r\nok\r\n0\r\nA: b", "2\r\nok\r\n0\r\nA: b\r\n",
		"+2\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n", "2x\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n", ";a\r\nok\r\n0\r\n\r\n", " 2\r\nok\r\n0\r\n\r\n", "10000000000000002\r\nok\r\n0\r\n\r\n",
		"2\nok\n0\n\n", "2\r\nokk\r\n0\r\n\r\n", "3\r\nok\r\n0\r\n\r\n", "2;a\rb\r\nok\r\n0\r\n\r\n",
		"2\r\nok\r\n0\r\nA : b\r\n\r\n", "2\r\nok\r\n0\r\nA b: c\r\n\r\n", "2\r\nok\r\n0\r\n: c\r\n\r\n", "2\r\nok\r\n0\r\nA\r\n\r\n", "2\r\nok\r\n0\r\nA\x00: b\r\n\r\n", "2\r\nok\r\n0\r\nA: b\x00\r\n\r\n",
	} {
		p := New(serve(t, func(int, *http.Request) (string, bool) { return head + body, false }), 1)
		if got, err := get(t, p, Request{AcceptUnframed: true}); err == nil {
			t.Errorf("%q is the whole body %q", body, got)
		}
	}
	for _, body := range []string{"2\r\nok\r\n0\r\n\r\n", "02\r\nok\r\n00\r\n\r\n", "1\r\no\r\n1;a=\"b\"\r\nk\r\n0;c\r\n\r\n", "2\r\nok\r\n0\r\nA: b\r\nC: d\r\n\r\n"} {
		p := New(serve(t, func(int, *http.Request) (string, bool) { return head + body, true }), 1)
		if got, err := get(t, p, Request{}); got != "ok" || err != nil {
			t.Errorf("%q: %q, %v", body, got, err)
		}
	}
}

// TestHeadIsCheckedInPieces checks that the syntax of a head is judged alike however it arrives.
func TestHeadIsCheckedInPieces(t *testing.T) {
	for raw, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\n\x00 : ok":   true,
		"HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 2\r\n\r\nok":         false,
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\nB: \x01\r\n\r\n": false,
	} {
		for size := 1; size <= len(raw); size++ {
			var syntax headSyntax
			for rest := []byte(raw); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				_ = syntax.check(bytes.Clone(rest[:min(size, len(rest))])) // result reports it
			}
			if err := syntax.result(); (err == nil) != valid {
				t.Errorf("%q in pieces of %d bytes: %v", raw, size, err)
			}
		}
	}
}
