package gateway

import (
	"time"

	"damasklatch/io/objects"
)

// behindFor is the time after which a watch is renewed that misses changes which other VMs have seen.
const behindFor = 700 * time.Millisecond

// progress tells how far a watch of one kind of objects has come, compared to what other VMs have seen.
type progress struct {
	covered   objects.Revision // up to which all changes are known
	announced objects.Revision // of the newest change that another VM has seen
	since     time.Time        // when the oldest change was announced that is not covered
}

// announce notes the newest change that another VM has seen.
func (pg *progress) announce(now time.Time, rev objects.Revision) {
	if rev <= pg.announced || rev <= pg.covered {
		return
	}
	if pg.announced <= pg.covered {
		pg.since = now
	}
	pg.announced = rev
}

// cover notes that all changes up to a revision are known. Changes that were announced beyond it count as announced now.
func (pg *progress) cover(now time.Time, rev objects.Revision) {
	if rev > pg.covered {
		pg.covered, pg.since = rev, now
	}
}

// behind reports whether the watch has made no progress for some time although there are changes. It then starts to wait
// again.
func (pg *progress) behind(now time.Time) bool {
	if pg.announced <= pg.covered || now.Sub(pg.since) < behindFor {
		return false
	}
	pg.since = now
	return true
}
