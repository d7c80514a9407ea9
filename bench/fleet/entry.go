package fleet

import (
	"math/rand/v2"
	"sync"
)

// Balancer spreads calls at random over the boxes that run and are in service, as the
// platform's load balancer does. It is safe for concurrent use.
type Balancer struct {
	fleet *Fleet

	mu           sync.Mutex
	outOfService map[int]bool
}

// NewBalancer returns a balancer with all boxes in service.
func NewBalancer(f *Fleet) *Balancer {
	return &Balancer{fleet: f, outOfService: map[int]bool{}}
}

// SetOutOfService takes box i out of service if out is set, and puts it back if not.
func (b *Balancer) SetOutOfService(i int, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outOfService[i] = out
}

// BoxURL returns the URL of a random running box in service, or of any box if there is none.
func (b *Balancer) BoxURL(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.fleet.boxes)
	first := rng.IntN(n)
	for k := range n {
		i := (first + k) % n
		if !b.outOfService[i] && b.fleet.Running(i) {
			return "http://" + b.fleet.boxes[i].Settings.Listen.Callers.String()
		}
	}
	return "http://" + b.fleet.boxes[first].Settings.Listen.Callers.String()
}
