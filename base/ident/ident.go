package ident

import (
	"crypto/rand"
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mulleingate.dev/base/fault"
)

const (
	randomBytes = 8
	// MaxLen is the maximum length of an identifier in a request, in bytes.
	MaxLen = 128
)

// Slot is a shard that one box owns at a time. Each program and idempotency key belongs to a slot.
type Slot struct {
	// Zone is the availability zone whose boxes should own the slot; never empty.
	Zone string `json:"zone"`
	// Number counts from 0 within the zone.
	Number int `json:"number"`
}

// String returns the slot in the form "zone.number".
func (s Slot) String() string {
	return s.Zone + "." + strconv.Itoa(s.Number)
}

// Stream returns the name of the slot's stream in the platform's log.
func (s Slot) Stream() string {
	return "slot." + s.String()
}

// ParseSlot parses the form that String returns.
func ParseSlot(text string) (Slot, error) {
	zone, num, ok := strings.Cut(text, ".")
	if !ok || zone == "" || len(text) > MaxLen {
		return Slot{}, fault.Refuse(fault.BadRequest, "malformed slot name")
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 {
		return Slot{}, fault.Refuse(fault.BadRequest, "malformed slot number")
	}
	return Slot{Zone: zone, Number: n}, nil
}

// NewProgramID returns a new program ID in the slot.
func NewProgramID(slot Slot) string {
	return slot.String() + "." + RandomID()
}

// ProgramSlot returns the slot that a program ID names.
func ProgramSlot(program string) (Slot, error) {
	cut := strings.LastIndexByte(program, '.')
	if cut < 0 || len(program) > MaxLen {
		return Slot{}, fault.Refuse(fault.NoProgram, "malformed program id")
	}
	slot, err := ParseSlot(program[:cut])
	if err != nil {
		return Slot{}, fault.Refuse(fault.NoProgram, "malformed program id")
	}
	return slot, nil
}

// KeySlot returns the slot to which a workspace's idempotency key hashes.
func KeySlot(workspace, key string, slots []Slot) Slot {
	h := xxhash.Sum64String(workspace + "\x00" + key)
	return slots[h%uint64(len(slots))]
}

// RandomID returns a random identifier of 16 hexadecimal digits.
func RandomID() string {
	raw := make([]byte, randomBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Rendezvous returns the name with the highest rendezvous weight for key, or "" if there are no names.
func Rendezvous(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		score := Weight(key, name)
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

// RendezvousTop returns the indices of the n names with the highest rendezvous weights for key, highest
// first. There are count names; name returns the one at an index.
func RendezvousTop(key string, count int, name func(i int) string, n int) []int {
	return ranked(count, func(i int) float64 { return uniform(key, name(i)) }, n)
}

// WeightedRendezvousTop is RendezvousTop for names with shares, which must be above 0: each name comes
// first for a part of the keys in proportion to its share. Adding or removing a name moves no key
// between two others.
func WeightedRendezvousTop(key string, count int, name func(i int) (string, float64), n int) []int {
	return ranked(count, func(i int) float64 {
		name, share := name(i)
		return share / -math.Log(uniform(key, name))
	}, n)
}

// uniformBits is the number of hash bits that fit the mantissa of a float64.
const uniformBits = 53

// uniform returns the rendezvous weight of name for key, scaled to between 0 and 1. It is never 0.
func uniform(key, name string) float64 {
	return (float64(Weight(key, name)>>(64-uniformBits)) + 0.5) / (1 << uniformBits)
}

// ranked returns the n indices below count with the highest weights, highest first.
func ranked(count int, weightOf func(i int) float64, n int) []int {
	best := make([]int, 0, n+1)
	weights := make([]float64, 0, n+1)
	for i := range count {
		weight := weightOf(i)
		at := 0
		for at < len(weights) && weights[at] >= weight {
			at++
		}
		if at == n {
			continue
		}
		best = slices.Insert(best, at, i)
		best = best[:min(len(best), n)]
		weights = slices.Insert(weights, at, weight)
		weights = weights[:min(len(weights), n)]
	}
	return best
}

// Weight returns the rendezvous weight (highest random weight) of name for key.
func Weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
