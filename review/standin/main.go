//go:build review

// Command review-standin plays one case of the review. It starts daemons as separate processes and serves the platform's
// store, the workers and the clients itself, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"strconv"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case couldn't run
)

// cases holds the function of each case by its number. It returns the violations of the rule that it saw.
var cases = map[string]func(*rig) []string{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rg, err := newRig(record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := rg.run(run)
	rg.close()
	if err != nil {
		rg.note("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for nr, text := range broken {
		if nr < 10 {
			fmt.Println(text)
		}
	}
	rg.note("violations: %d, trouble: %s", len(broken), strconv.FormatBool(trouble))
	fmt.Printf("violations: %d\n", len(broken))
	rg.flush()
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
