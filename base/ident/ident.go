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
	// MaxLen bounds every identifier a caller may send, in bytes.
	MaxLen = 128
)

// Slot is a shard of ownership. Programs and idempotency keys hash to slots.
type Slot struct {
	// Zone is the availability zone that prefers to own the slot; never empty.
	Zone string `json:"zone"`
	// Number counts from 0 within the zone.
	Number int `json:"number"`
}

// String renders the slot as zone.number.
func (s Slot) String() string {
	return s.Zone + "." + strconv.Itoa(s.Number)
}

// Stream is the name of the slot's stream in the platform's log.
func (s Slot) Stream() string {
	return "slot." + s.String()
}

// ParseSlot reads the form that String writes.
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

// NewProgram makes a program id in the slot.
func NewProgram(slot Slot) string {
	return slot.String() + "." + RandomID()
}

// ProgramSlot returns the slot that a program id names.
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

// KeySlot hashes a workspace's idempotency key onto one of the slots.
func KeySlot(workspace, key string, slots []Slot) Slot {
	h := xxhash.Sum64String(workspace + "\x00" + key)
	return slots[h%uint64(len(slots))]
}

// RandomID returns a fresh identifier of 16 hexadecimal digits.
func RandomID() string {
	raw := make([]byte, randomBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Rendezvous is the rendezvous (highest random weight) choice among names for key.
// It returns "" when there are no names.
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

// RendezvousTop is the rendezvous choice of n among several names for key, heaviest first. It
// returns their indices; name tells the name of each.
func RendezvousTop(key string, names int, name func(i int) string, n int) []int {
	return ranked(names, func(i int) float64 { return uniform(key, name(i)) }, n)
}

// WeightedRendezvousTop is the same where names have shares: each is chosen in proportion to its own, above 0. A name
// that comes or goes moves no key between two others.
func WeightedRendezvousTop(key string, names int, name func(i int) (string, float64), n int) []int {
	return ranked(names, func(i int) float64 {
		name, share := name(i)
		return share / -math.Log(uniform(key, name))
	}, n)
}

// uniformBits is the part of a hash, in bits, that a number between 0 and 1 can hold.
const uniformBits = 53

// uniform is the weight of name for key, between 0 and 1.
func uniform(key, name string) float64 {
	return (float64(Weight(key, name)>>(64-uniformBits)) + 0.5) / (1 << uniformBits)
}

// ranked returns the n of several indices whose weights are greatest, in that order.
func ranked(count int, of func(i int) float64, n int) []int {
	best := make([]int, 0, n+1)
	weights := make([]float64, 0, n+1)
	for i := range count {
		weight := of(i)
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

// Weight is the rendezvous weight of name for key.
func Weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
