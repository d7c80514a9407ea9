package work

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request across the attempts of its caller, each of which has an ID of its own. Requests of
// different workspaces, or with different content, have different fingerprints. It is empty if it is not known.
type Fingerprint string

// fingerprintBytes is the number of bytes of the digest that a fingerprint keeps.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of the call, whose workspace must be set. Headers do not count, since
// callers change some of them with each attempt. Where the route stores the turns of programs, the same input
// after another turn is another request.
func FingerprintOf(call *Call, route *Route) Fingerprint {
	previous := ""
	if route.Stateful && call.Turn != nil {
		previous = call.Turn.Previous
	}
	digest := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(call.Workspace), []byte(call.Method), []byte(hostName(call.Host)), []byte(call.Target), []byte(previous), call.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part))) // keeps parts apart
		digest.Write(size[:])
		digest.Write(part)
	}
	return Fingerprint(hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes]))
}
