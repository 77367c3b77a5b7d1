//go:build race

package configsync

// underRace is true if the race detector is on. Its runtime fails a check of its own ("tsan_rtl.cpp: CHECK failed")
// in some runs with the goroutines of 420 VMs, so the fleet is smaller then.
const underRace = true
