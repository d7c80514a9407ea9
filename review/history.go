package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// longTurns and longInput are the turns of a long chat before the fault and the bytes that each brings, shortTurns and
	// shortInput those of a short one.
	longChats, longTurns, longInput    = 4, 17, 16000
	shortChats, shortTurns, shortInput = 12, 4, 600
	// allDown is how long all boxes are down, recoveryTime the time after which all is served again, and lastWindow the part
	// of it in which other turns show that.
	allDown, recoveryTime, lastWindow = 1200 * time.Millisecond, 12 * time.Second, 4 * time.Second
	// askInterval is the time between two programs that go on from the same turn.
	askInterval = 500 * time.Millisecond
)

// chat is a program with one line of turns.
type chat struct {
	name, program, session string
	// last is the id of the latest turn that got a whole answer, and bytes the length of its chain.
	last  string
	bytes int
	long  bool
	// path is that of the chat's route.
	path string
}

// turn sends one turn of the program, which goes on from the chat's latest turn, and reports whether it was answered
// completely. It returns the ids of all attempts.
func (c *chat) turn(f *fleet, by *caller, program string, input string, boxes []*box) (ids []string, ok bool) {
	prompt := c.bytes + len(input)
	replies := by.call(request{
		method: http.MethodPost, path: c.path + "4b", body: input, budget: turnBudget, retries: 1,
		header: map[string]string{
			headerProgram: program, headerSession: program + "a1", headerPrevious: c.last, headerModel: "m", headerLeft: fmt.Sprint(chatLeft.Milliseconds()),
			headerBudget: fmt.Sprint(tokenBudget), headerUsage: fmt.Sprintf("%d,%d", prompt, mostTokens), headerPrefix: fmt.Sprintf("5c1e07a2:%d,%s:%d", min(prompt, 512), program, max(1, prompt-512)),
		},
	}, boxes)
	for _, got := range replies {
		ids = append(ids, got.id)
	}
	got := replies[len(replies)-1]
	if !got.succeeded() {
		return ids, false
	}
	if program == c.program {
		c.last = got.id
		c.bytes = prompt
		for n := range modelEvents {
			c.bytes += len(eventText(got.id, n)) + 1
		}
	}
	return ids, true
}

// converse has the first turns of a chat. A turn that fails is sent again, no more than twice.
func (c *chat) converse(f *fleet, turns, input int) {
	by := &caller{fleet: f, name: "caller-" + c.name}
	defer by.disconnect()
	boxes := shuffled(f.boxes)
	for n := range turns {
		text := strings.Repeat(fmt.Sprintf("%s says %d. ", c.name, n+1), input)[:input]
		answered := false
		for range 3 {
			if _, answered = c.turn(f, by, c.program, text, boxes); answered {
				break
			}
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		if !answered {
			panic(fmt.Sprintf("chat %s: turn %d was not answered before the fault", c.name, n+1))
		}
	}
}

func shuffled(boxes []*box) []*box {
	out := append([]*box{}, boxes...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// attempt is a turn after the fault.
type attempt struct {
	at     time.Time
	ids    []string
	served bool
}

func init() { cases["3"] = longHistory }

// longHistory shows whether programs can go on from the turns of earlier ones after all boxes were killed.
func longHistory(f *fleet) bool {
	f.startWithModels()
	chats := haveChats(f)
	if f.trouble {
		putRoutes(f, 9)
		f.note("driver", "all boxes are killed")
		for _, b := range f.boxes {
			b.proc.kill()
		}
		time.Sleep(allDown)
		for _, b := range f.boxes {
			f.startBox(b)
		}
	}
	f.note("driver", "all boxes run")
	back := time.Now()
	byChat, others := goOn(f, chats, back)
	return f.judge(chats, byChat, others, back)
}

// haveChats has the turns before the fault. It ends once each of them got a whole answer.
func haveChats(f *fleet) []*chat {
	var chats []*chat
	var all sync.WaitGroup
	failed := make(chan any, longChats+shortChats)
	for n := range longChats + shortChats {
		c := &chat{name: fmt.Sprintf("chat-%d", n+1), program: fmt.Sprintf("%06x", rand.IntN(1<<24)), long: n < longChats, path: firstPath}
		chats = append(chats, c)
		all.Go(func() {
			defer func() {
				if cause := recover(); cause != nil {
					failed <- cause
				}
			}()
			if c.long {
				c.converse(f, longTurns, longInput)
			} else {
				c.converse(f, shortTurns, shortInput)
			}
			f.note("driver", "%s got whole answers; its chain ends with %s and has %d bytes", c.name, c.last, c.bytes)
		})
	}
	all.Wait()
	if len(failed) > 0 {
		panic(<-failed)
	}
	return chats
}

// goOn lets programs go on from the last turn of each chat, and others begin, until recoveryTime is over. After a fault these
// are new programs; without one, the chats go on themselves.
func goOn(f *fleet, chats []*chat, back time.Time) (byChat map[*chat][]attempt, others []attempt) {
	byChat = map[*chat][]attempt{}
	var mu sync.Mutex
	var all sync.WaitGroup
	ask := func(c *chat, own bool) {
		program := fmt.Sprintf("%06x", rand.IntN(1<<24))
		if own {
			program = c.program
		}
		by := &caller{fleet: f, name: "later-" + c.name}
		defer by.disconnect()
		got := attempt{at: time.Now()}
		copied := *c // the later turns of other programs don't change the chat
		got.ids, got.served = copied.turn(f, by, program, "What became of it?", shuffled(f.boxes))
		mu.Lock()
		defer mu.Unlock()
		if c.last != "" {
			byChat[c] = append(byChat[c], got)
		} else {
			others = append(others, got)
		}
	}
	for time.Since(back) < recoveryTime {
		for _, c := range chats {
			all.Go(func() { ask(c, !f.trouble && c.long) })
		}
		all.Go(func() { ask(&chat{name: "new", path: firstPath}, false) })
		time.Sleep(askInterval)
	}
	all.Wait()
	return byChat, others
}

// judge checks the rule LOST for the turns after the fault: each chain that got whole answers before must reach a replica
// within recoveryTime, if four fifths of the other turns are served in the last 4 s of it.
func (f *fleet) judge(chats []*chat, byChat map[*chat][]attempt, others []attempt, back time.Time) bool {
	ran := f.ran()
	var lost []*chat
	for _, c := range chats {
		tries, reached := 0, 0
		for _, a := range byChat[c] {
			for _, id := range a.ids {
				tries++
				if ran[id] {
					reached++
				}
			}
		}
		f.note("driver", "%s, %d bytes: %d of %d tries to go on reached a replica", c.name, c.bytes, reached, tries)
		if reached == 0 {
			lost = append(lost, c)
		}
	}
	isLost := map[*chat]bool{}
	for _, c := range lost {
		isLost[c] = true
	}
	for c, all := range byChat {
		if !isLost[c] {
			others = append(others, all...)
		}
	}
	late, served := 0, 0
	for _, a := range others {
		if a.at.Sub(back) >= recoveryTime-lastWindow {
			late++
			if a.served {
				served++
			}
		}
	}
	f.note("driver", "LOST: %d of %d chains reached no replica; %d of %d other turns in the last 4 s were served", len(lost), len(chats), served, late)
	fmt.Printf("LOST: %d of %d chains reached no replica; %d of %d other turns in the last 4 s were served\n", len(lost), len(chats), served, late)
	if 5*served < 4*late {
		panic("fewer than four fifths of the other turns were served")
	}
	return len(lost) == 0
}

// ran returns the ids of the requests that a replica has run, according to the record.
func (f *fleet) ran() map[string]bool {
	file, err := os.Open(f.record.Name())
	must(err)
	defer func() { _ = file.Close() }()
	ran := map[string]bool{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 3 && fields[2] == "runs" {
			ran[fields[3]] = true
		}
	}
	return ran
}
