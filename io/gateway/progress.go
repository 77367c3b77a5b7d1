package gateway

import (
	"time"

	"damasklatch/io/objects"
)

// maxStall is the longest time for which a watch may lack a change that other VMs have seen before it is restarted.
const maxStall = 700 * time.Millisecond

// watchProgress compares the changes that the watch of a kind has delivered with those that other VMs have seen.
type watchProgress struct {
	known     objects.Revision // all changes up to this one are known
	announced objects.Revision // newest change that another VM has seen
	since     time.Time        // start of the wait for announced changes
}

// announce records the newest change that another VM has seen.
func (pg *watchProgress) announce(now time.Time, rev objects.Revision) {
	if rev <= pg.announced || rev <= pg.known {
		return
	}
	if pg.announced <= pg.known {
		pg.since = now
	}
	pg.announced = rev
}

// advance records that all changes up to a revision are known. If later changes were announced, the wait for them starts now.
func (pg *watchProgress) advance(now time.Time, rev objects.Revision) {
	if rev > pg.known {
		pg.known, pg.since = rev, now
	}
}

// stalled reports whether the watch has lacked announced changes for maxStall without any progress. If so, the wait starts
// again.
func (pg *watchProgress) stalled(now time.Time) bool {
	if pg.announced <= pg.known || now.Sub(pg.since) < maxStall {
		return false
	}
	pg.since = now
	return true
}
