package remote

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/dial"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/work"
)

const (
	turnPath = "/turn"
	// chainTurnPath accepts turns with a chain after the header. Boxes of earlier versions do not know it.
	chainTurnPath = "/turn-with-chain"
	handoverPath  = "/yield"
	findPath      = "/find"
	logPath       = "/log"
	// deliverPath accepts records of turns that began at a previous owner of the slot.
	deliverPath = "/deliver"
	pingPath    = "/ping"
	// takenPath accepts announcements that a slot of this box was taken over.
	takenPath = "/taken"
	// reachPath accepts requests to check whether another box can be reached.
	reachPath = "/reach"
	// leavingPath accepts the announcement that a box leaves the fleet.
	leavingPath = "/left"
	// copyPath and rosterPath accept requests to a source.
	copyPath   = "/copy"
	rosterPath = "/roster"
	// quotaPath accepts requests to grant calls from a workspace's quota.
	quotaPath = "/quota"
	// maxConnsPerBox bounds the connections to one box, and so the turns forwarded to it at once.
	maxConnsPerBox = 256
	// continueTimeout bounds the wait for 100 Continue from the box that gets a turn. The body is held back
	// until then, so that a turn for an unreachable box has certainly not run and its caller may retry.
	continueTimeout = 400 * time.Millisecond
	// suspectAfter is how long a near box may take to accept a connection and to respond with 100 Continue
	// before a check tells whether it is alive. Within a region that takes 2 ms, so that a longer wait is a sign
	// of a loss or of a slow box.
	suspectAfter = 40 * time.Millisecond
	// fullPoolRetryDelay is the Retry-After delay if no connection to the box is free.
	fullPoolRetryDelay = 200 * time.Millisecond

	slotParam = "slot"
	turnParam = "turn"
	// confirmParam says whether a box must confirm with the log that it owns the slots which it rules out.
	confirmParam = "confirm"
	memberParam  = "member"
)

// Client sends requests to other boxes. It keeps a pool of connections to each.
type Client struct {
	// near reports whether a box is so close that a round trip takes far less than suspectAfter.
	near func(box work.Box) bool
	// successors returns the boxes that are asked for the slot if the box can't be reached, and that may be lost
	// together with it.
	successors func(slot int, box work.Box) []work.Box

	mu    sync.Mutex
	pools map[netip.AddrPort]*dial.Pool
	// longResponses and longTexts are semaphores of maxLongResponses and maxLongTexts, held while a response longer than
	// maxShort is read.
	longResponses, longTexts chan struct{}
	// checks holds the newest check of each box, by address.
	checks map[netip.AddrPort]*livenessCheck
}

// NewClient returns a client without connections. near reports whether a box is in the region of this one;
// successors returns the boxes of the given one's availability zone that are asked for the slot after it.
func NewClient(near func(box work.Box) bool, successors func(slot int, box work.Box) []work.Box) *Client {
	return &Client{
		near: near, successors: successors, pools: map[netip.AddrPort]*dial.Pool{}, checks: map[netip.AddrPort]*livenessCheck{},
		longResponses: make(chan struct{}, maxLongResponses), longTexts: make(chan struct{}, maxLongTexts),
	}
}

func (c *Client) pool(addr netip.AddrPort) *dial.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[addr]
	if !ok {
		p = dial.New(addr, maxConnsPerBox)
		c.pools[addr] = p
	}
	return p
}

// CloseAllExcept closes the connections to all boxes that are not in live.
func (c *Client) CloseAllExcept(live []work.Box) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := map[netip.AddrPort]bool{}
	for _, box := range live {
		keep[box.Peer] = true
	}
	for addr, p := range c.pools {
		if !keep[addr] {
			p.Close()
			delete(c.pools, addr)
		}
	}
	maps.DeleteFunc(c.checks, func(addr netip.AddrPort, _ *livenessCheck) bool { return !keep[addr] })
}

// Turn forwards a turn to the box, which runs it if it owns the slot, and copies the response to out. unreached
// lists the boxes that should rather own the slot, but could not be reached. A fault with NotRun means that the
// turn has not run and won't.
func (c *Client) Turn(ctx context.Context, box work.Box, slot int, unreached []work.Box, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	ctx, silence, stopWatch := c.endIfLost(ctx, box)
	defer stopWatch()
	path, body, err := encodeTurn(slot, unreached, call, route)
	if err != nil {
		return err
	}
	silence.begin()
	resp, err := c.sendTurn(ctx, box, slot, path, body)
	silence.end()
	if err != nil {
		return turnFault(err)
	}
	defer resp.Close()
	if resp.Status == http.StatusNotFound {
		return fault.Refuse(fault.OwnerUnavailable, "the owner of the slot is of an earlier version and can't read long chains")
	}
	in := &watchedReader{in: resp, silence: silence}
	var head turnResponse
	if err := unframe(in, &head); err != nil {
		return err
	}
	if head.Problem != nil {
		_, _ = io.CopyN(io.Discard, in, maxHeader) // lets the connection be reused
		return withOwner(head.Problem.Fault(), head.Owner)
	}
	if head.Head == nil {
		return fault.Fail(fault.Protocol, "another box's response has no head")
	}
	if head.Latin1 {
		head.Head.Header = mapHeader(head.Head.Header, fromLatin1)
	}
	if err := out.Begin(*head.Head); err != nil {
		return err
	}
	return work.CopyBody(in, out, fault.PeerUnreachable)
}

// encodeTurn returns the path and the body of the request that forwards a turn.
func encodeTurn(slot int, unreached []work.Box, call *work.Call, route *work.Route) (path string, body []byte, err error) {
	encoded, latin1 := encodeCall(call)
	meta := *encoded
	meta.Body = nil
	msg := turnRequest{
		Slot: slot, Unreached: unreached, Call: &meta, Route: route, LeftMillis: time.Until(call.Deadline).Milliseconds(),
		WaitedMillis: time.Since(call.Arrived).Milliseconds(), Latin1: latin1,
	}
	path = turnPath
	var base []byte
	if len(call.Turn.Base) > maxInlineBase {
		turn := *meta.Turn
		turn.Base, base = nil, call.Turn.Base
		meta.Turn, msg.BaseBytes, path = &turn, len(base), chainTurnPath
	}
	raw, err := frame(msg)
	if err != nil {
		return "", nil, err
	}
	return path, slices.Concat(raw, base, call.Body), nil
}

// sendTurn sends a turn to the box. A near box that does not respond within suspectAfter is checked: if it does
// not accept connections, sendTurn fails at once, otherwise it waits up to continueTimeout. The boxes that are asked
// next are checked together with it, so that a turn for a zone that is cut off waits only once.
func (c *Client) sendTurn(ctx context.Context, box work.Box, slot int, path string, body []byte) (*dial.Response, error) {
	req := dial.Request{
		Method: http.MethodPost, Target: path, Host: box.Peer.String(), Body: body, ContinueTimeout: continueTimeout,
	}
	if !c.near(box) {
		return c.pool(box.Peer).Send(ctx, req)
	}
	if c.foundSilent(box) {
		return nil, fault.Refuse(fault.NoTarget, "the box did not accept a connection a moment ago")
	}
	checked := false
	alive := func() bool {
		checked = true
		for _, next := range c.successors(slot, box) {
			go c.accepts(next)
		}
		return c.accepts(box)
	}
	req.ConnectTimeout, req.ContinueTimeout, req.Alive, req.ContinueGrace = suspectAfter, suspectAfter, alive, continueTimeout-suspectAfter
	resp, err := c.pool(box.Peer).Send(ctx, req)
	if err == nil || checked || ctx.Err() != nil || !fault.From(err).NotRun || !isTimeout(err) || !alive() {
		return resp, err
	}
	// Only the connection could not be opened in time, as after a lost SYN.
	req.ConnectTimeout = 0
	return c.pool(box.Peer).Send(ctx, req)
}

// errUnreachable is the cause of the end of a context of untilUnreachable.
var errUnreachable error = fault.Refuse(fault.PeerUnreachable, "the box does not accept connections")

// untilUnreachable returns a context for an idempotent request, which ends with errUnreachable if a near box has not
// responded within suspectAfter and does not accept connections then.
func (c *Client) untilUnreachable(ctx context.Context, box work.Box) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancelCause(ctx)
	if !c.near(box) {
		return ctx, func() { stop(nil) }
	}
	check := time.AfterFunc(suspectAfter, func() {
		if !c.accepts(box) {
			stop(errUnreachable)
		}
	})
	return ctx, func() { check.Stop(); stop(nil) }
}

// searchFault returns the fault of a search that got no response. Only a box that refuses connections or was found
// silent counts as unreachable: one that is slow or has no free connection is alive.
func searchFault(ctx context.Context, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(context.Cause(ctx), errUnreachable) {
		return peerLost(err)
	}
	return fault.Refuse(fault.OwnerUnavailable, "another box did not answer the search").WithCause(err)
}

// isTimeout reports whether the error was caused by a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// peerLost converts a transport fault into PeerUnreachable, which distinguishes a box's failure from a
// target's.
func peerLost(err error) error {
	f := fault.From(err)
	return &fault.Fault{Kind: fault.PeerUnreachable, Detail: "cannot reach another box: " + f.Error(), NotRun: f.NotRun}
}

// turnFault returns the fault of a turn that got no response. If no connection was free, the other box works
// and must not be marked unreachable; the caller may try another box that may hold the slot.
func turnFault(err error) error {
	if fault.Is(err, fault.Overloaded) {
		return fault.Refuse(fault.OwnerUnavailable, "no connection to the owner of the slot is free").WithRetryAfter(fullPoolRetryDelay).WithCause(err)
	}
	return peerLost(err)
}

// send sends a short request to a box and reads the whole response.
func (c *Client) send(ctx context.Context, box work.Box, method, path string, query url.Values, body []byte) (status int, raw []byte, err error) {
	status, raw, err = c.exchange(ctx, box, method, path, query, body)
	if err != nil {
		return 0, nil, peerLost(err)
	}
	return status, raw, nil
}

// exchange is send with the faults of the transport.
func (c *Client) exchange(ctx context.Context, box work.Box, method, path string, query url.Values, body []byte) (status int, raw []byte, err error) {
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: method, Target: path + "?" + query.Encode(), Host: box.Peer.String(), Body: body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	raw, err = c.readResponse(ctx, resp, path)
	return resp.Status, raw, err
}

// command sends a request whose response is only a status. Any status but 200 is an error.
func (c *Client) command(ctx context.Context, box work.Box, path string, query url.Values, body []byte) error {
	status, _, err := c.send(ctx, box, http.MethodPost, path, query, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fault.Fail(fault.PeerUnreachable, "another box rejected the request: status "+strconv.Itoa(status))
	}
	return nil
}

// Find implements entry.Peers.
func (c *Client) Find(ctx context.Context, box work.Box, turn string, home int, confirm bool) ([]byte, []int, error) {
	// Boxes of earlier versions do not know confirm, but need the slot that they must confirm to own.
	query := url.Values{turnParam: {turn}, confirmParam: {strconv.FormatBool(confirm)}, slotParam: {strconv.Itoa(home)}}
	ctx, stop := c.untilUnreachable(ctx, box)
	defer stop()
	_, raw, err := c.exchange(ctx, box, http.MethodGet, findPath, query, nil)
	if err != nil {
		return nil, nil, searchFault(ctx, err)
	}
	var out findResponse
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, nil, fault.Fail(fault.Protocol, "cannot decode another box's response").WithCause(err)
	}
	return out.Text, out.Slots, nil
}

// AnnounceLeave tells a box that the given member leaves the fleet.
func (c *Client) AnnounceLeave(ctx context.Context, box work.Box, member string) error {
	return c.command(ctx, box, leavingPath, url.Values{memberParam: {member}}, nil)
}

// Quota implements quota.Peers.
func (c *Client) Quota(ctx context.Context, box work.Box, msg quota.GrantRequest) (quota.GrantReply, error) {
	var out quota.GrantReply
	if err := c.exchangeJSON(ctx, box, quotaPath, msg, &out); err != nil {
		return quota.GrantReply{}, err
	}
	return out, nil
}

// exchangeJSON sends msg to a box as JSON and decodes the response into out. Any status but 200 is an error.
func (c *Client) exchangeJSON(ctx context.Context, box work.Box, path string, msg, out any) error {
	body, err := json.Marshal(msg)
	if err != nil {
		return fault.Refuse(fault.Internal, "cannot encode a request to another box").WithCause(err)
	}
	status, raw, err := c.send(ctx, box, http.MethodPost, path, nil, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fault.Fail(fault.Protocol, "another box refused the request: status "+strconv.Itoa(status))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fault.Fail(fault.Protocol, "cannot decode another box's response").WithCause(err)
	}
	return nil
}

// Ping reports whether the box answers.
func (c *Client) Ping(ctx context.Context, box work.Box) bool {
	_, _, err := c.send(ctx, box, http.MethodGet, pingPath, nil, nil)
	return err == nil
}
