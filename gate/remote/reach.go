package remote

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/gate/dial"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

const (
	// contactTries is the number of connections that one check opens, contactInterval apart, since a link may
	// lose packets: with 5% of the packets lost, one try fails in 10% of cases and three in 0.1%.
	contactTries    = 3
	contactInterval = 20 * time.Millisecond
	// contactTimeout is how long a check waits for a connection, in time during which this process runs.
	contactTimeout = 75 * time.Millisecond
	// contactTick is the interval at which that time is counted, and maxCountedTick the most that counts for one
	// interval. If this box is not given the processor for a while, an answer may have come meanwhile.
	contactTick    = 5 * time.Millisecond
	maxCountedTick = 10 * time.Millisecond
	// identifyTimeout bounds the wait for the incarnation of a box that accepted a connection. A slow box does
	// not answer in time and counts as alive.
	identifyTimeout = 30 * time.Millisecond
	// checkTTL is how long a box that accepted a connection counts as alive for other requests that wait for it, and
	// one that did not as silent for turns.
	checkTTL = 100 * time.Millisecond
	// incarnationHeader is the response header of a ping with the incarnation of the box.
	incarnationHeader = "Incarnation"
)

// reachResponse is the response to a request to check a box.
type reachResponse struct {
	Contact view.Contact `json:"contact"`
}

// livenessCheck is a check of whether a box accepts connections.
type livenessCheck struct {
	// done is closed once the other fields are set.
	done   chan struct{}
	result view.Contact
	ended  time.Time
}

// failed reports whether the box refused the connection or did not respond. A check that this box could not perform
// says nothing.
func (s *livenessCheck) failed() bool {
	return s.result == view.Silent || s.result == view.Gone
}

// expired reports whether the check has ended too long ago for its result to be used.
func (s *livenessCheck) expired() bool {
	select {
	case <-s.done:
		return s.failed() || time.Since(s.ended) > checkTTL
	default:
		return false
	}
}

// foundSilent reports whether a check that has just ended found that the box does not accept connections. It waits
// for a check in progress, which ends at once if the box is alive.
func (c *Client) foundSilent(box work.Box) bool {
	c.mu.Lock()
	last := c.checks[box.Peer]
	c.mu.Unlock()
	if last == nil {
		return false
	}
	<-last.done
	return last.failed() && time.Since(last.ended) < checkTTL
}

// accepts reports whether the box accepts connections. Requests that wait for a slow box share the check, so that
// it does not get more to do.
func (c *Client) accepts(box work.Box) bool {
	return !c.check(box).failed()
}

// check returns a check of the box that has ended: one that has just found it alive, the one in progress or a new one.
func (c *Client) check(box work.Box) *livenessCheck {
	c.mu.Lock()
	last := c.checks[box.Peer]
	if last != nil && !last.expired() {
		c.mu.Unlock()
		<-last.done
		return last
	}
	last = &livenessCheck{done: make(chan struct{})}
	c.checks[box.Peer] = last
	c.mu.Unlock()
	last.result = c.contact(context.Background(), box, false)
	last.ended = time.Now()
	close(last.done)
	return last
}

// Contact implements view.Prober.
func (c *Client) Contact(ctx context.Context, box work.Box) view.Contact {
	return c.contact(ctx, box, true)
}

// contact tries to connect to the box. If identify is set, it also asks for the incarnation of the box. It opens
// connections of its own, since those of the pool may be dead without notice.
func (c *Client) contact(ctx context.Context, box work.Box, identify bool) view.Contact {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan view.Contact, contactTries)
	var connected atomic.Bool
	started := 0
	tick := time.NewTicker(contactTick)
	defer tick.Stop()
	ran := runningTime{last: time.Now()}
	for ran.total < contactTimeout {
		if started < contactTries && ran.total >= time.Duration(started)*contactInterval {
			started++
			go func() { results <- contactOnce(ctx, box, identify, &connected) }()
		}
		select {
		case got := <-results:
			if got != view.Silent {
				return got
			}
		case now := <-tick.C:
			ran.pass(now)
		case <-ctx.Done():
			return view.Unknown
		}
	}
	if connected.Load() {
		return view.Answered // the incarnation is still awaited
	}
	return view.Silent
}

// runningTime measures the time in which this process runs, by the ticks that it gets.
type runningTime struct {
	last  time.Time
	total time.Duration
}

// pass counts the time up to a tick. If the tick comes late, the process was not running.
func (r *runningTime) pass(now time.Time) {
	r.total += min(now.Sub(r.last), maxCountedTick)
	r.last = now
}

// contactOnce opens one connection to the box and returns the result. It sets connected as soon as the box has
// accepted it, and returns Silent if ctx ends before that.
func contactOnce(ctx context.Context, box work.Box, identify bool, connected *atomic.Bool) view.Contact {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", box.Peer.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return view.Gone
	}
	if isLocal(err) {
		return view.Unknown
	}
	if err != nil {
		return view.Silent
	}
	defer func() { _ = conn.Close() }()
	connected.Store(true)
	if !identify {
		return view.Answered
	}
	if got := incarnationOf(conn, box); got != "" && got != box.Incarnation {
		return view.Gone
	}
	return view.Answered
}

// isLocal reports whether a connection failed for lack of resources of this box, which says nothing of the other.
func isLocal(err error) bool {
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// incarnationOf asks for the incarnation of the box at the other end of the connection. It returns an empty
// string if there is no answer in time.
func incarnationOf(conn net.Conn, box work.Box) string {
	if conn.SetDeadline(time.Now().Add(identifyTimeout)) != nil {
		return ""
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+box.Peer.String()+pingPath, nil)
	if err != nil || req.Write(conn) != nil {
		return ""
	}
	_, header, err := dial.ReadHead(conn, req)
	if err != nil {
		return ""
	}
	return header.Get(incarnationHeader)
}

// AskContact implements view.Prober.
func (c *Client) AskContact(ctx context.Context, witness, box work.Box) view.Contact {
	_, raw, err := c.send(ctx, witness, http.MethodGet, reachPath, url.Values{memberParam: {box.Member()}}, nil)
	var out reachResponse
	if err != nil || json.Unmarshal(raw, &out) != nil {
		return view.Unknown
	}
	return out.Contact
}

// reach checks whether this box reaches another one.
func (s *Server) reach(w http.ResponseWriter, r *http.Request) {
	box, err := work.ParseMember(r.URL.Query().Get(memberParam))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := json.NewEncoder(w).Encode(reachResponse{Contact: s.boxes.Witness(r.Context(), box)}); err != nil {
		s.logger.Debug("remote: cannot send result of a check", "cause", err)
	}
}

// ping responds with the incarnation of this box.
func (s *Server) ping(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(incarnationHeader, s.self.Incarnation)
}
