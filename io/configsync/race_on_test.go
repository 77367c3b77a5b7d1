//go:build race

package configsync

// underRace reports whether the race detector is enabled. The fleet is smaller then, because the runtime of the race
// detector sometimes crashes with the goroutines of 420 VMs ("tsan_rtl.cpp: CHECK failed").
const underRace = true
