package fleet

import (
	"math/rand/v2"
	"sync"
)

// Balancer spreads calls over the boxes that it believes to be in service, as the
// platform's balancer does.
type Balancer struct {
	fleet *Fleet

	mu  sync.Mutex
	out map[int]bool
}

// NewBalancer makes a balancer with all boxes in service.
func NewBalancer(f *Fleet) *Balancer {
	return &Balancer{fleet: f, out: map[int]bool{}}
}

// Out takes box i out of service, or back in.
func (b *Balancer) Out(i int, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[i] = out
}

// Entry is the address of a box in service, at random.
func (b *Balancer) Entry(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.fleet.boxes)
	first := rng.IntN(n)
	for k := range n {
		i := (first + k) % n
		if !b.out[i] && b.fleet.Up(i) {
			return "http://" + b.fleet.boxes[i].Settings.Listen.Callers.String()
		}
	}
	return "http://" + b.fleet.boxes[first].Settings.Listen.Callers.String()
}
