// Package fixedseed makes the rapid checks of a test binary reproducible.
//
// A test file imports it for its side effect: it sets the flags of rapid. Every check uses seed 1 unless the environment
// variable DAMASKLATCH_SEED sets another one. With the value "random", rapid chooses the seed and prints it on a failure.
// DAMASKLATCH_CHECKS sets the number of runs of each check, and DAMASKLATCH_STEPS the number of steps in each run.
package fixedseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

func init() {
	seed := os.Getenv("DAMASKLATCH_SEED")
	switch seed {
	case "random":
	case "":
		set("rapid.seed", "1")
	default:
		set("rapid.seed", seed)
	}
	if checks := os.Getenv("DAMASKLATCH_CHECKS"); checks != "" {
		set("rapid.checks", checks)
	}
	if steps := os.Getenv("DAMASKLATCH_STEPS"); steps != "" {
		set("rapid.steps", steps)
	}
	// rapid replays a saved fail file in the next run, which would then differ from the first.
	set("rapid.nofailfile", "true")
}

// set sets a flag. It panics if the value is invalid, so that a wrong environment variable is not ignored.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("environment of fixedseed: " + name + ": " + err.Error())
	}
}
