package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// addedRank is the rank of the route which a later configuration adds.
	addedRank = 20
	// rankCallers is the number of callers in each zone, and programPause the mean pause between two programs of a caller.
	rankCallers  = 3
	programPause = 400 * time.Millisecond
	// beforeChange and afterChange are the times of traffic before and after the change of the configuration, and applyTime
	// is configuration_apply_ms, with as much again.
	beforeChange, afterChange, applyTime = 6 * time.Second, 20 * time.Second, 4 * time.Second
	// rankInput is the input of a turn, in bytes.
	rankInput = 600
)

// addedPath is the path of the added route.
const addedPath = "/audit/"

// served counts the requests on a route and those that got a replica's whole answer.
type served struct {
	mu          sync.Mutex
	sent, whole int
	statuses    map[int]int
}

func (s *served) add(replies []reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, got := range replies {
		s.sent++
		s.statuses[got.status]++
		if got.succeeded() {
			s.whole++
		}
	}
}

// share returns the served share of the requests.
func (s *served) share() float64 { return float64(s.whole) / float64(max(s.sent, 1)) }

func init() { cases["3"] = addedRoute }

// addedRoute shows whether the first turns of programs are served on a route that a later configuration adds.
func addedRoute(f *fleet) bool {
	f.startWithModels()
	onFirst, onAdded := &served{statuses: map[int]int{}}, &served{statuses: map[int]int{}}
	f.beginPrograms(beforeChange, map[string]*served{firstPath: onFirst})
	routes := map[string]*served{firstPath: onFirst}
	if f.trouble {
		putRoutes(f, 9, map[string]any{"path_prefix": addedPath, "priority": rankOfAdded(), "name": "audit-chat"})
		f.note("driver", "a configuration adds a route of rank %d", rankOfAdded())
		time.Sleep(applyTime)
		routes[addedPath] = onAdded
	}
	f.beginPrograms(afterChange, routes)
	f.note("driver", "CONFIG: first route %d of %d served %v, added route %d of %d served %v", onFirst.whole, onFirst.sent, onFirst.statuses, onAdded.whole, onAdded.sent, onAdded.statuses)
	fmt.Printf("CONFIG: first route %d of %d served %v, added route %d of %d served %v\n", onFirst.whole, onFirst.sent, onFirst.statuses, onAdded.whole, onAdded.sent, onAdded.statuses)
	const least = 20 // fewer requests on added routes show nothing
	return onAdded.sent < least || onAdded.share() >= onFirst.share()/4
}

// rankOfAdded returns the rank of the added route, which RANK sets for comparison.
func rankOfAdded() int {
	if rank, err := strconv.Atoi(os.Getenv("RANK")); err == nil {
		return rank
	}
	return addedRank
}

// beginPrograms begins programs of one turn on the routes for the given time.
func (f *fleet) beginPrograms(length time.Duration, routes map[string]*served) {
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for path, counts := range routes {
		for i, b := range f.boxes {
			boxes := append(append([]*box{}, f.boxes[i:]...), f.boxes[:i]...)
			for n := range rankCallers {
				all.Go(func() {
					by := &caller{fleet: f, name: fmt.Sprintf("caller-%s-%d%s", b.zone, n+1, strings.TrimSuffix(path, "/"))}
					defer by.disconnect()
					for time.Now().Before(end) {
						counts.add(by.beginProgram(path, boxes))
						time.Sleep(time.Duration(rand.ExpFloat64() * float64(programPause)))
					}
				})
			}
		}
	}
	all.Wait()
}

// beginProgram sends the first turn of a new program, again from its start no more than twice if it fails, and returns all
// replies.
func (c *caller) beginProgram(path string, boxes []*box) []reply {
	program := fmt.Sprintf("%06x", rand.IntN(1<<24))
	input := strings.Repeat(program+" asks. ", rankInput)[:rankInput]
	var replies []reply
	for range 3 {
		replies = append(replies, c.call(request{
			method: http.MethodPost, path: path + "4b", body: input, budget: turnBudget, retries: 1,
			header: map[string]string{
				headerProgram: program, headerSession: program + "a1", headerModel: "m", headerLeft: fmt.Sprint(chatLeft.Milliseconds()),
				headerBudget: fmt.Sprint(tokenBudget), headerUsage: fmt.Sprintf("%d,%d", rankInput, mostTokens), headerPrefix: fmt.Sprintf("5c1e07a2:512,%s:%d", program, rankInput-512),
			},
		}, boxes)...)
		if replies[len(replies)-1].succeeded() {
			break
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return replies
}
