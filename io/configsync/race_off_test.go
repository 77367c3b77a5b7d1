//go:build !race

package configsync

// underRace is true if the race detector is on.
const underRace = false
