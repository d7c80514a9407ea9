// Command review-standin holds the stand-ins and the drivers of the review's scripts: the platform's store, replicas, and
// callers that start boxes as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a case. It is below the 120 s that a script may take.
const maxRunTime = 115 * time.Second

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin store|replica|case ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "store":
		serveStore(os.Args[2])
	case "replica":
		serveReplica(os.Args[2])
	case "case":
		os.Exit(runCase(os.Args[2], os.Args[3]))
	}
}

// cases holds the drivers by the number of their case; each adds itself. A driver returns whether the rule held.
var cases = map[string]func(f *fleet) bool{}

// runCase runs a case, whose record goes to the folder, and ends all processes that it started.
func runCase(number, folder string) int {
	run, ok := cases[number]
	if !ok {
		return exitNotRun
	}
	f, err := newFleet(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot prepare the case:", err)
		return exitNotRun
	}
	result := make(chan int, 1)
	go func() { result <- f.outcome(run) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	code := exitNotRun
	select {
	case code = <-result:
	case <-signals:
	case <-time.After(maxRunTime):
		fmt.Fprintln(os.Stderr, "the case did not end in time")
	}
	f.close()
	return code
}
