//go:build !race

package configsync

// underRace reports whether the race detector is enabled.
const underRace = false
