// Probe plays a case of the review: it starts a small deployment on loopback addresses and its stand-ins, sends
// requests as the pages say, and checks one rule on what clients and replicas have seen.
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
	held    = 0
	broken  = 1
	notRun  = 2
	topTime = 118 * time.Second
)

// cases holds the cases by name. Each returns the breaches of the rule.
var cases = map[string]func(record *recorder, trouble bool) (breaches []string, err error){
	"copies": copies,
	"budget": budgets,
	"claims": claims,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD BINARY")
		os.Exit(notRun)
	}
	var err error
	if program, err = filepath.Abs(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	record := &recorder{out: out, start: time.Now()}
	os.Exit(play(record, os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// play plays the case and returns the exit code.
func play(record *recorder, name string, trouble bool) int {
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		breaches, err := cases[name](record, trouble)
		done <- result{breaches, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var got result
	select {
	case got = <-done:
	case <-stop:
		got.err = fmt.Errorf("interrupted")
	case <-time.After(topTime):
		got.err = fmt.Errorf("not finished in time")
	}
	closeFleets()
	if got.err != nil {
		record.note("not run: %v", got.err)
		fmt.Println("not run:", got.err)
		return notRun
	}
	for _, breach := range got.breaches {
		record.note("BROKEN: %s", breach)
		fmt.Println("BROKEN:", breach)
	}
	if len(got.breaches) > 0 {
		return broken
	}
	record.note("held")
	fmt.Println("held")
	return held
}
