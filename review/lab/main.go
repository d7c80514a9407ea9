// Lab plays the cases of the review: it starts boxes as processes of their own, with stand-ins of the store, the replicas
// and the clients, and judges what clients and replicas see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// cases holds the cases by name. Each returns what breaks the rule, or an error if it could not run.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"copied-chain":   copiedChain,
	"odd-entry":      oddEntry,
	"stored-history": storedHistory,
	"full-store":     fullStore,
	"long-searches":  longSearches,
}

func main() {
	os.Exit(play())
}

// play plays the case that the arguments name and returns the exit code: lab CASE RECORD BINARY.
func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD BINARY")
		return notRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = out.Close() }()
	rec := &record{start: time.Now(), out: out}
	binary, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f, err := newFleet(rec, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.close()
	done := make(chan int, 1)
	go func() { done <- judge(f, rec) }()
	select {
	case code := <-done:
		return code
	case <-stop:
		return notRun
	case <-time.After(115 * time.Second):
		rec.log("the case took too long")
		return notRun
	}
}

func judge(f *fleet, rec *record) int {
	trouble := os.Getenv("TROUBLE") != "0"
	found, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	}
	for _, line := range found {
		rec.log("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(found) > 0 {
		return broken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return held
}
