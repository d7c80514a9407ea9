package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// keepsPath accepts questions whether this box keeps a slot from a claimant.
	keepsPath = "/keeps"
	// epochParam is the epoch of a claim.
	epochParam = "epoch"
)

// keepsResponse is the response to the question whether a box keeps a slot.
type keepsResponse struct {
	Keeps bool `json:"keeps"`
}

// deliverResponse is the response to records that are refused.
type deliverResponse struct {
	// Owner is the owner of the slot, if the box that refuses the records can name it.
	Owner *work.Owner `json:"owner,omitempty"`
}

// claimQuery returns the parameters of a request about a slot that the claimant claims or has claimed.
func claimQuery(slot int, claimant work.Owner) url.Values {
	return url.Values{slotParam: {strconv.Itoa(slot)}, memberParam: {claimant.Box.Member()}, epochParam: {strconv.FormatInt(claimant.Epoch, 10)}}
}

// parseClaim returns the slot and the claimant of a request. Boxes of earlier versions send only the slot.
func parseClaim(query url.Values) (slot int, claimant work.Owner, err error) {
	if slot, err = strconv.Atoi(query.Get(slotParam)); err != nil {
		return 0, work.Owner{}, err
	}
	member := query.Get(memberParam)
	if member == "" {
		return slot, work.Owner{}, nil
	}
	if claimant.Box, err = work.ParseMember(member); err != nil {
		return 0, work.Owner{}, err
	}
	claimant.Epoch, err = strconv.ParseInt(query.Get(epochParam), 10, 64)
	return slot, claimant, err
}

// namedOwner returns the owner that a refusal names; nil if it names none.
func namedOwner(err error) *work.Owner {
	var moved *work.MovedError
	if !errors.As(err, &moved) {
		return nil
	}
	return &moved.Owner
}

// withOwner returns err as the refusal of a box that names the owner of the slot, if it does.
func withOwner(err error, owner *work.Owner) error {
	if owner == nil || owner.Box.Name == "" {
		return err
	}
	return &work.MovedError{Owner: *owner, Cause: err}
}

// Keeps implements shard.Peers.
func (c *Client) Keeps(ctx context.Context, box work.Box, slot int, claimant work.Owner) (bool, error) {
	status, raw, err := c.send(ctx, box, http.MethodGet, keepsPath, claimQuery(slot, claimant), nil)
	if err != nil {
		return false, err
	}
	var out keepsResponse
	if status != http.StatusOK || json.Unmarshal(raw, &out) != nil {
		return false, fault.Fail(fault.Protocol, "another box does not say whether it keeps a slot")
	}
	return out.Keeps, nil
}

// Handover asks a box to release a slot, and returns once it has.
func (c *Client) Handover(ctx context.Context, box work.Box, slot int, claimant work.Owner) error {
	return c.command(ctx, box, handoverPath, claimQuery(slot, claimant), nil)
}

// NotifyTaken implements shard.Peers.
func (c *Client) NotifyTaken(ctx context.Context, box work.Box, slot int, owner work.Owner) error {
	return c.command(ctx, box, takenPath, claimQuery(slot, owner), nil)
}

// Deliver implements shard.Peers.
func (c *Client) Deliver(ctx context.Context, box work.Box, slot int, recs []work.Record) error {
	raw, err := json.Marshal(recs)
	if err != nil {
		return fault.Refuse(fault.Internal, "cannot encode records").WithCause(err)
	}
	status, answer, err := c.send(ctx, box, http.MethodPost, deliverPath, url.Values{slotParam: {strconv.Itoa(slot)}}, raw)
	if err != nil || status == http.StatusOK {
		return err
	}
	var refusal deliverResponse
	_ = json.Unmarshal(answer, &refusal) // boxes of earlier versions send no body
	return withOwner(fault.Fail(fault.PeerUnreachable, "another box rejected records: status "+strconv.Itoa(status)), refusal.Owner)
}
