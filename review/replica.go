package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// The headers of the platform's wire that the stand-ins use.
const (
	headerID       = "X-Mulleingate-Request-Id"
	headerDeadline = "X-Mulleingate-Request-Deadline"
	headerProgram  = "X-Mulleingate-Program-Id"
	headerSession  = "X-Mulleingate-Session-Id"
	headerLeft     = "X-Mulleingate-Program-Deadline"
	headerBudget   = "X-Mulleingate-Token-Budget"
	headerUsage    = "X-Mulleingate-Token-Usage"
	headerPrefix   = "X-Mulleingate-Prompt-Prefix"
	headerModel    = "X-Mulleingate-Model"
	headerPrevious = "X-Mulleingate-Previous-Turn"
	headerExpected = "X-Mulleingate-Expected-Instance"
	headerNotRun   = "X-Mulleingate-Not-Executed"
	headerSigned   = "X-Mulleingate-Response-Signature"
)

// replicaSettings describes a replica. It is passed to the process as JSON.
type replicaSettings struct {
	ID, Service, Zone, Address, Store, Record string
	Slots                                     int
	// WorkMillis is the mean time of a plain call. Events is the number of events of a model's answer, zero for a plain
	// service, and GapMillis the time before each.
	WorkMillis, Events, GapMillis int
	// EndsOn is a text in a body that makes the replica end in the middle of its answer; empty for a sound replica.
	EndsOn string
}

// replica is a replica that follows the platform's pages and has no faults but the one that EndsOn sets.
type replica struct {
	replicaSettings
	record *os.File
	slots  chan struct{}
}

// serveReplica serves a replica until the process is ended.
func serveReplica(raw string) {
	r := &replica{}
	must(json.Unmarshal([]byte(raw), &r.replicaSettings))
	record, err := os.OpenFile(r.Record, os.O_WRONLY|os.O_APPEND, 0)
	must(err)
	r.record, r.slots = record, make(chan struct{}, r.Slots)
	ln, err := net.Listen("tcp", r.Address)
	must(err)
	go r.heartbeat()
	for {
		conn, err := ln.Accept()
		must(err)
		go r.serve(conn)
	}
}

// heartbeat keeps the replica's entry in the store.
func (r *replica) heartbeat() {
	for {
		entry := map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
		_ = putRecord(r.Store, serversTopic, r.ID, entry) // the next heartbeat follows
		time.Sleep(heartbeatInterval)
	}
}

// serve serves the requests of a connection, one at a time.
func (r *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || r.answer(conn, req, body) != nil {
			return
		}
	}
}

// answer runs one request and answers it.
func (r *replica) answer(conn net.Conn, req *http.Request, body []byte) error {
	id := req.Header.Get(headerID)
	if req.URL.Path == "/-/report" {
		report := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"sequence":1,"waiting_requests":0,"running_requests":%d,"kv_cache_used":0,"kv_cache_total":342837,"handles":0}`, len(r.slots))
		return send(conn, http.StatusOK, "Content-Type: application/json\r\n", report)
	}
	if want := req.Header.Get(headerExpected); want != "" && want != r.ID {
		return send(conn, http.StatusMisdirectedRequest, headerID+": "+id+"\r\n", "")
	}
	if id == "" {
		return send(conn, http.StatusBadRequest, headerNotRun+": 1\r\n", "")
	}
	left, _ := strconv.Atoi(req.Header.Get(headerDeadline))
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-time.After(time.Duration(left) * time.Millisecond):
		return send(conn, http.StatusServiceUnavailable, headerID+": "+id+"\r\n"+headerNotRun+": 1\r\n", "")
	}
	r.note("runs %s %s %s body %d %x", id, req.Method, req.RequestURI, len(body), sha256.Sum256(body))
	head := headerID + ": " + id + "\r\n" + headerSigned + ": " + r.ID + "\r\n"
	if r.Events > 0 {
		return r.stream(conn, id, head, r.EndsOn != "" && strings.Contains(string(body), r.EndsOn))
	}
	time.Sleep(time.Duration(float64(r.WorkMillis)*(0.5+rand.Float64())) * time.Millisecond)
	return send(conn, http.StatusOK, head, strings.Repeat("x", 800))
}

// stream answers with a series of events. If ends is set, the process ends in the middle of it.
func (r *replica) stream(conn net.Conn, id, head string, ends bool) error {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	for n := range r.Events {
		if ends && n == r.Events/2 {
			os.Exit(exitBroken)
		}
		time.Sleep(time.Duration(r.GapMillis) * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, eventText(id, n))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// eventText returns the data of an event of the answer to a request.
func eventText(id string, n int) string {
	return fmt.Sprintf("%s event %d %s", id, n+1, strings.Repeat("t", 24))
}

// note appends a line to the record of the case.
func (r *replica) note(format string, args ...any) {
	_, _ = fmt.Fprintf(r.record, "%s %s %s\n", time.Now().Format("15:04:05.000"), r.ID, fmt.Sprintf(format, args...))
}

// send writes a whole answer. head holds lines that each end with a line break.
func send(conn net.Conn, status int, head, body string) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err
}
