package remote

import (
	"encoding/binary"
	"encoding/json"
	"io"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/work"
)

const (
	// maxHeader bounds a short message, in bytes, and maxTurnHeader the JSON header of a turn. That holds the headers of
	// the caller, which the configuration bounds.
	maxHeader     = 256 << 10
	maxTurnHeader = 8 << 20
	// maxInlineBase is the size in bytes up to which a chain travels in the header of a turn, where boxes of earlier
	// versions look for it.
	maxInlineBase = 64 << 10
)

// turnRequest is the header of a forwarded turn, followed by the chain that it continues, if BaseBytes is set, and the body
// of the call.
type turnRequest struct {
	Slot int `json:"slot"`
	// Unreached lists the boxes that should rather own the slot, but that the forwarding box can't reach.
	Unreached []work.Box `json:"unreached,omitempty"`
	Call      *work.Call `json:"call"`
	// Route comes from the configuration of the forwarding box, which may differ from the receiving box's.
	Route *work.Route `json:"route"`
	// LeftMillis is the time until the call's deadline. It is relative because the clocks of boxes differ.
	LeftMillis int64 `json:"left_ms"`
	// WaitedMillis is the time since the call arrived at the forwarding box.
	WaitedMillis int64 `json:"waited_ms"`
	// BaseBytes is the length of the chain that follows the header; zero if the call holds it or has none.
	BaseBytes int `json:"base_bytes,omitempty"`
	// Latin1 is set if the texts of the call are encoded by toLatin1, since they are not all valid UTF-8.
	Latin1 bool `json:"latin1,omitempty"`
}

// turnResponse is the header of the response to a forwarded turn. Either Head or Problem is set.
type turnResponse struct {
	Head    *work.Head     `json:"head,omitempty"`
	Problem *fault.Problem `json:"problem,omitempty"`
	// Owner is set if the turn was refused by a box that can name the owner of the slot.
	Owner *work.Owner `json:"owner,omitempty"`
	// Latin1 is set if the header of the head is encoded by toLatin1.
	Latin1 bool `json:"latin1,omitempty"`
}

// findResponse is the response to a search for a turn.
type findResponse struct {
	Text []byte `json:"text,omitempty"`
	// Slots lists the slots that are known not to store the turn.
	Slots []int `json:"slots,omitempty"`
}

// frame encodes a header as JSON, prefixed with its length.
func frame(header any) ([]byte, error) {
	raw, err := json.Marshal(header)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot encode the message header").WithCause(err)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, len(raw)+4), uint32(len(raw))), raw...), nil
}

// unframe reads a header written by frame.
func unframe(in io.Reader, header any) error {
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return fault.Fail(fault.PeerUnreachable, "message is truncated").WithCause(err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxTurnHeader {
		return fault.Fail(fault.Protocol, "message header is too long")
	}
	raw, err := readFull(in, int(n))
	if err != nil {
		return fault.Fail(fault.PeerUnreachable, "message is truncated").WithCause(err)
	}
	if err := json.Unmarshal(raw, header); err != nil {
		return fault.Fail(fault.Protocol, "cannot decode the message header").WithCause(err)
	}
	return nil
}

// readFull reads n bytes. It takes memory only for what arrives.
func readFull(in io.Reader, n int) ([]byte, error) {
	raw, err := memory.ReadAll(io.LimitReader(in, int64(n)))
	if err == nil && len(raw) < n {
		err = io.ErrUnexpectedEOF
	}
	return raw, err
}
