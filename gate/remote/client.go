package remote

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/dial"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/work"
)

const (
	turnPath  = "/turn"
	yieldPath = "/yield"
	findPath  = "/find"
	logPath   = "/log"
	// deliverPath takes records of a turn that began at the owner before; pingPath answers
	// at once.
	deliverPath = "/deliver"
	pingPath    = "/ping"
	// leftPath takes a box's word that it leaves.
	leftPath = "/left"
	// copyPath and rosterPath take questions to a source.
	copyPath   = "/copy"
	rosterPath = "/roster"
	// quotaPath takes questions for a workspace's quota.
	quotaPath = "/quota"
	// connections bounds those to one box: the turns that one box may forward to another.
	connections = 256
	// confirmWait is how long a box may take to say that it takes a turn: a few round trips between
	// availability zones, on a busy box. A turn that was sent whole to a box which has just been cut off may
	// have run, so its caller can't be told when to come back; three such failures end a program.
	confirmWait = 400 * time.Millisecond
	// retryFull is the advice given when none of them is free: some turns end in that time.
	retryFull = 200 * time.Millisecond

	slotParam   = "slot"
	turnParam   = "turn"
	memberParam = "member"
)

// Client calls other boxes.
type Client struct {
	mu    sync.Mutex
	pools map[netip.AddrPort]*dial.Pool
}

// NewClient makes a client without connections.
func NewClient() *Client {
	return &Client{pools: map[netip.AddrPort]*dial.Pool{}}
}

func (c *Client) pool(addr netip.AddrPort) *dial.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[addr]
	if !ok {
		p = dial.New(addr, connections)
		c.pools[addr] = p
	}
	return p
}

// CloseAllExcept ends the connections to boxes that live no longer.
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
}

// Turn has another box run a turn of a slot and passes its answer on. A fault with NotRun
// is the other box's word that the turn has not run and won't.
func (c *Client) Turn(ctx context.Context, box work.Box, slot int, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	meta := *call
	meta.Body = nil
	raw, err := frame(ask{
		Slot: slot, Call: &meta, Route: route, LeftMillis: time.Until(call.Deadline).Milliseconds(),
		WaitedMillis: time.Since(call.Arrived).Milliseconds(),
	})
	if err != nil {
		return err
	}
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: http.MethodPost, Target: turnPath, Host: box.Peer.String(), Body: append(raw, call.Body...), ContinueTimeout: confirmWait,
	})
	if err != nil {
		return notSent(err)
	}
	defer resp.Close()
	var head answer
	if err := unframe(resp, &head); err != nil {
		return err
	}
	if head.Problem != nil {
		_, _ = io.Copy(io.Discard, resp) // only so that the connection can be used again
		return head.Problem.Fault()
	}
	if head.Head == nil {
		return fault.Fail(fault.Protocol, "another box answers without a head")
	}
	if err := out.Begin(*head.Head); err != nil {
		return err
	}
	return work.CopyBody(resp, out, fault.PeerUnreachable)
}

// lost keeps a box's failure apart from a target's.
func lost(err error) error {
	f := fault.From(err)
	return &fault.Fault{Kind: fault.PeerUnreachable, Detail: "the owner of the slot is not reached: " + f.Error(), NotRun: f.NotRun}
}

// notSent is the fault of a turn that got no answer. Where this box has no connection free, the
// other one is sound and must not be taken for lost; another may hold the slot.
func notSent(err error) error {
	if fault.Is(err, fault.Overloaded) {
		return fault.Refuse(fault.OwnerUnavailable, "no connection to the owner of the slot is free").WithRetryAfter(retryFull).WithCause(err)
	}
	return lost(err)
}

// ask sends a short message to a box and reads its whole answer.
func (c *Client) ask(ctx context.Context, box work.Box, method, path string, query url.Values, body []byte) (status int, raw []byte, err error) {
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: method, Target: path + "?" + query.Encode(), Host: box.Peer.String(), Body: body,
	})
	if err != nil {
		return 0, nil, lost(err)
	}
	defer resp.Close()
	raw, err = io.ReadAll(io.LimitReader(resp, maxBody))
	if err != nil {
		return 0, nil, fault.Fail(fault.PeerUnreachable, "another box's answer broke off").WithCause(err)
	}
	return resp.Status, raw, nil
}

// order sends a message whose answer is its status: 200 if the box has done it.
func (c *Client) order(ctx context.Context, box work.Box, path string, query url.Values, body []byte) error {
	status, _, err := c.ask(ctx, box, http.MethodPost, path, query, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fault.Fail(fault.PeerUnreachable, "the box does not do as asked: status "+strconv.Itoa(status))
	}
	return nil
}

// Handover asks a box to give a slot up, and returns once it has.
func (c *Client) Handover(ctx context.Context, box work.Box, slot int) error {
	return c.order(ctx, box, yieldPath, url.Values{slotParam: {strconv.Itoa(slot)}}, nil)
}

// Find implements entry.Peers.
func (c *Client) Find(ctx context.Context, box work.Box, turn string, home int) ([]byte, []int, error) {
	query := url.Values{turnParam: {turn}, slotParam: {strconv.Itoa(home)}}
	_, raw, err := c.ask(ctx, box, http.MethodGet, findPath, query, nil)
	if err != nil {
		return nil, nil, err
	}
	var out findAnswer
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, nil, fault.Fail(fault.Protocol, "another box's answer does not decode").WithCause(err)
	}
	return out.Text, out.Slots, nil
}

// Deliver implements shard.Peers.
func (c *Client) Deliver(ctx context.Context, box work.Box, slot int, recs []work.Record) error {
	raw, err := json.Marshal(recs)
	if err != nil {
		return fault.Refuse(fault.Internal, "records do not encode").WithCause(err)
	}
	return c.order(ctx, box, deliverPath, url.Values{slotParam: {strconv.Itoa(slot)}}, raw)
}

// AnnounceLeave tells a box that another, named by its member text, leaves.
func (c *Client) AnnounceLeave(ctx context.Context, box work.Box, member string) error {
	return c.order(ctx, box, leftPath, url.Values{memberParam: {member}}, nil)
}

// Quota implements quota.Peers.
func (c *Client) Quota(ctx context.Context, box work.Box, msg quota.GrantRequest) (quota.GrantReply, error) {
	var out quota.GrantReply
	if err := c.exchange(ctx, box, quotaPath, msg, &out); err != nil {
		return quota.GrantReply{}, err
	}
	return out, nil
}

// exchange sends a box a message and reads its answer, both JSON. An answer other than 200 is none.
func (c *Client) exchange(ctx context.Context, box work.Box, path string, msg, answer any) error {
	body, err := json.Marshal(msg)
	if err != nil {
		return fault.Refuse(fault.Internal, "a message to another box does not encode").WithCause(err)
	}
	status, raw, err := c.ask(ctx, box, http.MethodPost, path, nil, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fault.Fail(fault.Protocol, "another box does not answer: status "+strconv.Itoa(status))
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fault.Fail(fault.Protocol, "another box's answer does not decode").WithCause(err)
	}
	return nil
}

// Ping reports whether the box answers.
func (c *Client) Ping(ctx context.Context, box work.Box) bool {
	_, _, err := c.ask(ctx, box, http.MethodGet, pingPath, nil, nil)
	return err == nil
}
