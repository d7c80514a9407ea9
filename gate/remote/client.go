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

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/dial"
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
	// connections bounds those to one box: the turns that one box may forward to another.
	connections = 256

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

// Keep ends the connections to boxes that live no longer.
func (c *Client) Keep(live []work.Box) {
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
		Method: http.MethodPost, Target: turnPath, Host: box.Peer.String(), Body: append(raw, call.Body...),
	})
	if err != nil {
		return lost(err)
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
	return copyBody(resp, out)
}

func copyBody(resp *dial.Response, out work.Answer) error {
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if err := out.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.Fail(fault.PeerLost, "the owner's answer broke off").Because(err)
		}
	}
}

// lost keeps a box's failure apart from a target's.
func lost(err error) error {
	f := fault.From(err)
	return &fault.Fault{Kind: fault.PeerLost, Detail: "the owner of the slot is not reached: " + f.Error(), NotRun: f.NotRun}
}

// Handover asks a box to give a slot up, and returns once it has.
func (c *Client) Handover(ctx context.Context, box work.Box, slot int) error {
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: http.MethodPost, Target: yieldPath + "?" + url.Values{slotParam: {strconv.Itoa(slot)}}.Encode(), Host: box.Peer.String(),
	})
	if err != nil {
		return lost(err)
	}
	defer resp.Close()
	_, _ = io.Copy(io.Discard, resp) // the status says it all
	if resp.Status != http.StatusOK {
		return fault.Fail(fault.PeerLost, "the box does not give the slot up: status "+strconv.Itoa(resp.Status))
	}
	return nil
}

// Find implements entry.Peers.
func (c *Client) Find(ctx context.Context, box work.Box, turn string, home int) ([]byte, []int, error) {
	query := url.Values{turnParam: {turn}, slotParam: {strconv.Itoa(home)}}
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: http.MethodGet, Target: findPath + "?" + query.Encode(), Host: box.Peer.String(),
	})
	if err != nil {
		return nil, nil, lost(err)
	}
	defer resp.Close()
	raw, err := io.ReadAll(io.LimitReader(resp, maxBody))
	if err != nil {
		return nil, nil, fault.Fail(fault.PeerLost, "another box's answer broke off").Because(err)
	}
	var out findAnswer
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, nil, fault.Fail(fault.Protocol, "another box's answer does not decode").Because(err)
	}
	return out.Text, out.Slots, nil
}

// Deliver implements shard.Peers.
func (c *Client) Deliver(ctx context.Context, box work.Box, slot int, recs []work.Record) error {
	raw, err := json.Marshal(recs)
	if err != nil {
		return fault.Refuse(fault.Internal, "records do not encode").Because(err)
	}
	query := url.Values{slotParam: {strconv.Itoa(slot)}}
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: http.MethodPost, Target: deliverPath + "?" + query.Encode(), Host: box.Peer.String(), Body: raw,
	})
	if err != nil {
		return lost(err)
	}
	defer resp.Close()
	_, _ = io.Copy(io.Discard, resp) // the status says it all
	if resp.Status != http.StatusOK {
		return fault.Fail(fault.PeerLost, "the box does not take the records: status "+strconv.Itoa(resp.Status))
	}
	return nil
}

// Leaving tells a box that another, named by its member text, leaves.
func (c *Client) Leaving(ctx context.Context, box work.Box, member string) error {
	query := url.Values{memberParam: {member}}
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{
		Method: http.MethodPost, Target: leftPath + "?" + query.Encode(), Host: box.Peer.String(),
	})
	if err != nil {
		return lost(err)
	}
	defer resp.Close()
	_, _ = io.Copy(io.Discard, resp) // any answer will do
	return nil
}

// Ping reports whether the box answers.
func (c *Client) Ping(ctx context.Context, box work.Box) bool {
	resp, err := c.pool(box.Peer).Send(ctx, dial.Request{Method: http.MethodGet, Target: pingPath, Host: box.Peer.String()})
	if err != nil {
		return false
	}
	defer resp.Close()
	_, _ = io.Copy(io.Discard, resp) // any answer will do
	return true
}
