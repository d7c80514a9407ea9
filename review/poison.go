package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// poisonRounds is the number of requests under which replicas end, and poisonSends how often each is sent, poisonPause
	// apart.
	poisonRounds, poisonSends = 10, 10
	poisonPause               = 150 * time.Millisecond
	// poisonReplicas is enough for all of them.
	poisonReplicas = poisonRounds * poisonSends
	// poisonText is what makes a replica end in the middle of its answer.
	poisonText = "poison"
	// poisonBound is the number of replicas that the project lets end under one request (docs/decisions/0018).
	poisonBound = 3
)

func init() { cases["poison"] = poisonedRequests }

// poisonedRequests is a trial for issue 47, not a case, as no rule of the pages bounds what it counts: on how many replicas a
// request runs that ends each of them, if its caller sends it again and again with new ids.
func poisonedRequests(f *fleet) bool {
	f.startStore()
	putRoutes(f, 3)
	for n := range poisonReplicas {
		f.startReplica(replicaSettings{Service: "agent-models", Zone: zones[n%len(zones)], Slots: modelSlots, Events: modelEvents, GapMillis: modelGapMillis, EndsOn: poisonText})
	}
	f.startBoxes()
	by, held := &caller{fleet: f, name: "caller"}, true
	for round := range poisonRounds {
		var ids []string
		for send := range poisonSends {
			program := fmt.Sprintf("%06x", round*poisonSends+send)
			got := by.call(request{
				method: http.MethodPost, path: firstPath + "4b", body: fmt.Sprintf("%s %d", poisonText, round), budget: turnBudget,
				header: map[string]string{headerProgram: program, headerSession: program + "a1", headerModel: "m", headerBudget: fmt.Sprint(tokenBudget), headerUsage: fmt.Sprintf("100,%d", mostTokens)},
			}, shuffled(f.boxes))
			ids = append(ids, got[0].id)
			time.Sleep(poisonPause)
		}
		ran, runs := f.ran(), 0
		for _, id := range ids {
			if ran[id] {
				runs++
			}
		}
		fmt.Printf("request %d: ran on %d replicas in %d sends\n", round, runs, poisonSends)
		held = held && runs <= poisonBound
	}
	return held
}
