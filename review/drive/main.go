//go:build review

// Command drive plays the cases of the second review. It starts a platform store and workers as stand-ins, and gateways as
// processes of their own, all on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds the time of a case.
const playLimit = 100 * time.Second

// playCase plays a case and reports whether the rule was broken.
type playCase func(en *environment) (broken bool, err error)

var cases = map[string]playCase{
	"early-answer":      playEarlyAnswer,
	"empty-segment":     playEmptySegment,
	"stop-while-paused": playStopWhilePaused,
	"ready-headers":     playReadyHeaders,
	"two-coordinators":  playTwoCoordinators,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drive CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	en, err := newEnvironment(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer en.close()
	guard := time.AfterFunc(playLimit, func() { en.abandon("the case took too long") })
	defer guard.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go en.abandonOn(stop)
	broken, err := play(en)
	switch {
	case err != nil:
		en.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		en.note("result: the rule was broken")
		return exitBroken
	}
	en.note("result: the rule held")
	return exitHeld
}
