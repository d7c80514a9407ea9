package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host = "ficu95.example"

// newID returns an identifier as clients choose it.
func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// request is one client attempt.
type request struct {
	id, method, path, program, session, previous string
	body                                         []byte
	budget, promptTokens, most                   int
	timeBudget, programLeft                      time.Duration
}

// answer is what the client got for an attempt.
type answer struct {
	status int
	// whole says that the answer has come to its end, and signed that it has a replica's signature.
	whole, signed bool
	retryAfter    time.Duration
	// events holds the data of the events.
	events []string
	body   string
	cause  error
	ended  time.Time
}

// promised reports whether the request has not run and never will.
func (a answer) promised() bool {
	return a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
}

// ok reports whether the answer is a whole success.
func (a answer) ok() bool { return a.status == 200 && a.whole && a.signed }

func (a answer) String() string {
	if a.cause != nil {
		return fmt.Sprintf("status %d, %d events, whole %v, %v", a.status, len(a.events), a.whole, a.cause)
	}
	return fmt.Sprintf("status %d, %d events, whole %v", a.status, len(a.events), a.whole)
}

// send sends an attempt to a box over a new channel.
func (f *fleet) send(b *box, r request) answer {
	ctx, stop := context.WithTimeout(context.Background(), r.timeBudget)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+b.addr()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{cause: err, ended: time.Now()}
	}
	if len(r.body) == 0 {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = host
	set := func(name, value string) {
		if value != "" {
			req.Header.Set("X-Mulleingate-"+name, value)
		}
	}
	set("Request-Id", r.id)
	set("Request-Deadline", strconv.FormatInt(r.timeBudget.Milliseconds(), 10))
	set("Program-Id", r.program)
	set("Session-Id", r.session)
	if r.program != "" {
		set("Program-Deadline", strconv.FormatInt(r.programLeft.Milliseconds(), 10))
	}
	if r.most > 0 {
		set("Model", "m")
		set("Token-Usage", fmt.Sprintf("%d,%d", r.promptTokens, r.most))
		set("Token-Budget", strconv.Itoa(r.budget))
		set("Previous-Turn", r.previous)
	}
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{cause: err, ended: time.Now()}
	}
	defer resp.Body.Close()
	got := answer{status: resp.StatusCode, signed: resp.Header.Get("X-Mulleingate-Response-Signature") != ""}
	if after := resp.Header.Get("Retry-After"); after != "" {
		secs, _ := strconv.ParseFloat(after, 64)
		got.retryAfter = time.Duration(secs * float64(time.Second))
	}
	if id := resp.Header.Get("X-Mulleingate-Request-Id"); id != "" && id != r.id {
		got.cause = errors.New("the answer belongs to request " + id)
	}
	raw, err := io.ReadAll(resp.Body)
	got.body, got.whole, got.ended = string(raw), err == nil, time.Now()
	if err != nil {
		got.cause = err
	}
	for _, line := range strings.Split(got.body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			got.events = append(got.events, data)
		}
	}
	return got
}

// pick returns a box that the platform gives a new channel to.
func (f *fleet) pick() *box {
	var up []*box
	for _, b := range f.boxes {
		if b.alive() {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return f.boxes[mrand.IntN(len(f.boxes))]
	}
	return up[mrand.IntN(len(up))]
}

const (
	// turnTries is how often a turn is sent from its start, and retries how often a client retries an attempt.
	turnTries = 3
	retries   = 1
)

// turn sends a turn as a client does: attempts within its time budget, retried only after a promise, and again from its
// start. It returns the last answer and the id of its attempt; all holds every attempt.
func (f *fleet) turn(r request, until time.Time) (last answer, id string, all []answer) {
	for try := 0; try < turnTries || time.Now().Before(until); try++ {
		if try > 0 {
			time.Sleep(100*time.Millisecond + time.Duration(mrand.IntN(300))*time.Millisecond)
		}
		begun, budget := time.Now(), r.timeBudget
		for attempt := 0; attempt <= retries; attempt++ {
			next := r
			next.id = newID()
			next.timeBudget = budget - time.Since(begun)
			b := f.pick()
			last, id = f.send(b, next), next.id
			all = append(all, last)
			f.record.note("sent %s to %s program %s previous %q: %v", id, b.name, r.program, r.previous, last)
			if last.ok() {
				return last, id, all
			}
			if final(last.status) {
				return last, id, all
			}
			left := budget - time.Since(begun)
			if !last.promised() || left < 100*time.Millisecond {
				break
			}
			time.Sleep(min(last.retryAfter, left/3))
		}
	}
	return last, id, all
}

// final reports whether a program ends with the status.
func final(status int) bool {
	return status == 400 || status == 401 || status == 402 || status == 403 || status == 404 || status == 413
}
