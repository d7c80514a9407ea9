package work

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
)

// Box describes a box to the other boxes.
type Box struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Peer is the address for calls from other boxes.
	Peer netip.AddrPort `json:"peer"`
	// Incarnation differs after every start of the box.
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that the box may use, in cores, and Link the bandwidth of its network
	// link, in Mbit/s; 0 if not known.
	Cores float64 `json:"cores,omitempty"`
	Link  float64 `json:"link,omitempty"`
}

// incarnationTimeDigits is the number of hexadecimal digits of the start time in an incarnation.
const incarnationTimeDigits = 12

// NewIncarnation returns the incarnation of a box that starts at the given time.
func NewIncarnation(now time.Time) string {
	return fmt.Sprintf("%0*x-%s", incarnationTimeDigits, now.UnixMilli(), ident.RandomID())
}

// StartedAfter reports whether the box is a later incarnation of the same box than other. It is false if that is not
// known, and may be wrong if the box's clock was set back between its starts.
func (b Box) StartedAfter(other Box) bool {
	at, ok := startTime(b.Incarnation)
	otherAt, otherOK := startTime(other.Incarnation)
	return ok && otherOK && at > otherAt
}

// startTime returns the start time in an incarnation, which orders as the times do; false if it has none.
func startTime(incarnation string) (string, bool) {
	at, _, ok := strings.Cut(incarnation, "-")
	return at, ok && len(at) == incarnationTimeDigits
}

// Member encodes the box as the name by which it is a member of the fleet.
func (b Box) Member() string {
	return strings.Join([]string{b.Name, b.Zone, b.Peer.String(), b.Incarnation, formatFloat(b.Cores), formatFloat(b.Link)}, "|")
}

func formatFloat(n float64) string {
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// ParseMember decodes a name that Member has encoded.
func ParseMember(text string) (Box, error) {
	fields := strings.Split(text, "|")
	if len(fields) != 6 {
		return Box{}, fault.Fail(fault.Protocol, "malformed member")
	}
	peer, err := netip.ParseAddrPort(fields[2])
	if err != nil {
		return Box{}, fault.Fail(fault.Protocol, "member with a malformed peer address").WithCause(err)
	}
	cores, err := strconv.ParseFloat(fields[4], 64)
	if err != nil {
		return Box{}, fault.Fail(fault.Protocol, "member with malformed cores").WithCause(err)
	}
	link, err := strconv.ParseFloat(fields[5], 64)
	if err != nil {
		return Box{}, fault.Fail(fault.Protocol, "member with a malformed link").WithCause(err)
	}
	if !isAmount(cores) || !isAmount(link) {
		return Box{}, fault.Fail(fault.Protocol, "member with cores or a link out of range")
	}
	return Box{Name: fields[0], Zone: fields[1], Peer: peer, Incarnation: fields[3], Cores: cores, Link: link}, nil
}

// maxAmount is far above the cores and the link of any machine.
const maxAmount = 1e12

// isAmount reports whether n can be an amount. It is false for NaN.
func isAmount(n float64) bool {
	return n >= 0 && n <= maxAmount
}
