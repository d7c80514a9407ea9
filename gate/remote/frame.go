package remote

import (
	"encoding/binary"
	"encoding/json"
	"io"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// maxHeader bounds the JSON header of a message, in bytes.
const maxHeader = 256 << 10

// ask is the header of a forwarded turn.
type ask struct {
	Slot int        `json:"slot"`
	Call *work.Call `json:"call"`
	// Route is as the box knows it that took the call, so that one version decides.
	Route *work.Route `json:"route"`
	// Left is how long the caller waits; clocks of boxes differ, so that it is no moment.
	LeftMillis int64 `json:"left_ms"`
	// Waited is how long the call was under way before.
	WaitedMillis int64 `json:"waited_ms"`
}

// answer is the header of a reply.
type answer struct {
	Head    *work.Head     `json:"head,omitempty"`
	Problem *fault.Problem `json:"problem,omitempty"`
}

// findAnswer is the answer to a search for a turn.
type findAnswer struct {
	Text []byte `json:"text,omitempty"`
	// Slots are sure not to keep the turn.
	Slots []int `json:"slots,omitempty"`
}

// frame encodes a header with its length before it.
func frame(header any) ([]byte, error) {
	raw, err := json.Marshal(header)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "message does not encode").WithCause(err)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, len(raw)+4), uint32(len(raw))), raw...), nil
}

// unframe reads a header.
func unframe(in io.Reader, header any) error {
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return fault.Fail(fault.PeerUnreachable, "message broke off").WithCause(err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxHeader {
		return fault.Fail(fault.Protocol, "header of a message is too long")
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(in, raw); err != nil {
		return fault.Fail(fault.PeerUnreachable, "message broke off").WithCause(err)
	}
	if err := json.Unmarshal(raw, header); err != nil {
		return fault.Fail(fault.Protocol, "header of a message does not decode").WithCause(err)
	}
	return nil
}
