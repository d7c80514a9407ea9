package work

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
)

// Topic is one of the logs that boxes read or write.
type Topic string

// The topics.
const (
	// Turns holds what is kept of programs, by slot.
	Turns Topic = "turns"
	// Settings holds the operators' configuration. Boxes only read it.
	Settings Topic = "settings"
	// Replicas holds the list of replicas. Boxes only read it.
	Replicas Topic = "replicas"
	// Sources names the boxes that tell others what they have read, by availability zone.
	Sources Topic = "sources"
)

// Shard is one part of a topic with an order of its own.
type Shard struct {
	Topic  Topic
	Number int
}

// Record is a keyed record of a topic. The newest record of a key is kept for good.
type Record struct {
	// Key is 1 to 255 bytes long.
	Key string
	// Value is empty where the key is dropped.
	Value []byte
}

// Page is a piece of a shard.
type Page struct {
	Records []Record
	// Next is the offset to read from after this page; First the oldest that is kept.
	Next, First int64
	// Age is how much older than the question the newest is that the page shows: none in the log's own answers.
	Age time.Duration `json:",omitempty"`
}

// Whole is the newest record of each key that a box knows.
type Whole struct {
	Records []Record
	// Next is an offset from which Read tells all that was added meanwhile.
	Next int64
	// Age is how much older than the question the records are.
	Age time.Duration
}

// Writer identifies appends of one owner of a shard.
type Writer struct {
	// Epoch fences off owners with a lower one. Zero means an append without an owner.
	Epoch int64
	// Number rises by one with every append of the epoch.
	Number int64
}

// Box is a box as others see it.
type Box struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Peer is where it takes calls of other boxes.
	Peer netip.AddrPort `json:"peer"`
	// Incarnation is new for every start.
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that it may use, in cores, and Link what its link carries, in Mbit/s; 0 if
	// that is not known.
	Cores float64 `json:"cores,omitempty"`
	Link  float64 `json:"link,omitempty"`
}

// Member is the box as one text, by which it is a member of the fleet.
func (b Box) Member() string {
	return strings.Join([]string{b.Name, b.Zone, b.Peer.String(), b.Incarnation, number(b.Cores), number(b.Link)}, "|")
}

func number(n float64) string {
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// ParseMember reads the form that Member writes.
func ParseMember(text string) (Box, error) {
	fields := strings.Split(text, "|")
	if len(fields) != 6 {
		return Box{}, fault.Fail(fault.Protocol, "malformed member")
	}
	peer, err := netip.ParseAddrPort(fields[2])
	if err != nil {
		return Box{}, fault.Fail(fault.Protocol, "member without an address").Because(err)
	}
	cores, err := strconv.ParseFloat(fields[4], 64)
	if err != nil {
		return Box{}, fault.Fail(fault.Protocol, "member whose cores are no number").Because(err)
	}
	link, err := strconv.ParseFloat(fields[5], 64)
	if err != nil {
		return Box{}, fault.Fail(fault.Protocol, "member whose link is no number").Because(err)
	}
	return Box{Name: fields[0], Zone: fields[1], Peer: peer, Incarnation: fields[3], Cores: cores, Link: link}, nil
}
