package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// boundChats is the number of chats on the route that is bound to homeRegion, and boundTurns their turns before the change.
	boundChats, boundTurns = 100, 2
	// homeRegion is the region in which that route may be served, and boundPath its path.
	homeRegion = "dublin"
	boundPath  = "/bound/"
	// contactTime is contact_ms, and joinTime the time that the new boxes get before it.
	contactTime, joinTime = 5 * time.Second, 8 * time.Second
	// firstTurnsTime is how long programs begin on the other route, before the change and beside the check.
	firstTurnsTime = 25 * time.Second
	// leastTries is the number of tries from which a turn that reaches no replica is lost.
	leastTries = 5
)

// twoRegions maps the availability zones of the case to their regions.
var twoRegions = map[string]string{"dublin-a": "dublin", "dublin-b": "dublin", "london-a": "london", "london-b": "london"}

func init() { cases["1"] = boxesAdded }

// boxesAdded shows whether the chats of a route that is bound to one region go on after boxes were added in another.
func boxesAdded(f *fleet) bool {
	f.startStore()
	putRoutes(f, 3, map[string]any{"name": "bound-chat", "path_prefix": boundPath, "allowed_regions": []string{homeRegion}})
	for zone := range twoRegions {
		for range 2 {
			f.startReplica(replicaSettings{Service: "agent-models", Zone: zone, Slots: modelSlots, Events: modelEvents, GapMillis: modelGapMillis})
		}
	}
	for _, zone := range []string{"dublin-a", "dublin-b", "london-a"} {
		f.startBox(f.addBox(zone, twoRegions))
	}
	f.awaitReady()
	time.Sleep(settleTime)
	home := f.boxes[:2]
	first := &served{statuses: map[int]int{}}
	var beginning sync.WaitGroup
	beginning.Go(func() { f.beginPrograms(firstTurnsTime, map[string]*served{firstPath: first}) })
	chats := beginBound(f, home, first)
	beginning.Wait()
	if f.trouble {
		f.note("driver", "boxes are added in another region")
		f.startBox(f.addBox("london-b", twoRegions))
		f.startBox(f.addBox("london-a", twoRegions))
		f.awaitReady()
	}
	time.Sleep(joinTime)
	time.Sleep(contactTime)
	return f.judgeBound(chats, home, first)
}

// beginBound begins the chats and returns those whose turns were all answered. It counts their first turns.
func beginBound(f *fleet, home []*box, first *served) []*chat {
	var mu sync.Mutex
	var begun []*chat
	var all sync.WaitGroup
	for n := range boundChats {
		all.Go(func() {
			c := &chat{name: fmt.Sprintf("chat-%d", n+1), program: fmt.Sprintf("%06x", rand.IntN(1<<24)), path: boundPath}
			by := &caller{fleet: f, name: "caller-" + c.name}
			defer by.disconnect()
			for turn := range boundTurns {
				ids, ok := c.turn(f, by, c.program, strings.Repeat(fmt.Sprintf("%s says %d. ", c.name, turn+1), 40), shuffled(home))
				if turn == 0 {
					first.count(len(ids), ok)
				}
				if !ok {
					f.note("driver", "%s does not begin", c.name)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			begun = append(begun, c)
		})
	}
	all.Wait()
	f.note("driver", "%d of %d chats on the bound route have got whole answers to %d turns", len(begun), boundChats, boundTurns)
	return begun
}

// judgeBound sends the next turn of each chat, as often as callers do, beside first turns on the other route, and checks the
// rule LOST: no such turn reaches no replica in leastTries or more, if nine tenths of the first turns of the run did.
func (f *fleet) judgeBound(chats []*chat, home []*box, first *served) bool {
	var all sync.WaitGroup
	all.Go(func() { f.beginPrograms(firstTurnsTime, map[string]*served{firstPath: first}) })
	ids := make([][]string, len(chats))
	for i, c := range chats {
		all.Go(func() {
			by := &caller{fleet: f, name: "caller-" + c.name}
			defer by.disconnect()
			for range 3 {
				tried, ok := c.turn(f, by, c.program, "And now?", shuffled(home))
				ids[i] = append(ids[i], tried...)
				if ok {
					return
				}
				time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
			}
		})
	}
	all.Wait()
	ran, lost := f.ran(), 0
	for i, c := range chats {
		reached := false
		for _, id := range ids[i] {
			reached = reached || ran[id]
		}
		f.note("driver", "%s: %d tries, reached a replica %v", c.name, len(ids[i]), reached)
		if !reached && len(ids[i]) >= leastTries {
			lost++
		}
	}
	f.note("driver", "LOST: %d of %d turns reached no replica in %d tries or more; %d of %d first turns served", lost, len(chats), leastTries, first.whole, first.sent)
	fmt.Printf("LOST: %d of %d turns reached no replica in %d tries or more; %d of %d first turns served\n", lost, len(chats), leastTries, first.whole, first.sent)
	if 10*first.whole < 9*first.sent || len(chats) == 0 {
		panic("fewer than nine tenths of the first turns were served")
	}
	return lost == 0
}
