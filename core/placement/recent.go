package placement

import "time"

const (
	// knownTime is the time after a request during which the target probably still knows the object.
	knownTime = 10 * time.Second
	// maxRecentObjects limits the number of objects that are recorded for each target.
	maxRecentObjects = 96
)

// recentObjects records when this VM last sent a request for each object to a target, as far as maxRecentObjects allows. The
// zero value is empty.
type recentObjects struct{ at map[uint64]time.Time }

// add records a request for an object. If there are too many objects, it removes those older than knownTime/2 and then, if that
// is not enough, arbitrary ones.
func (rc *recentObjects) add(now time.Time, object uint64) {
	if rc.at == nil {
		rc.at = make(map[uint64]time.Time)
	}
	rc.at[object] = now
	if len(rc.at) <= maxRecentObjects {
		return
	}
	for old, at := range rc.at {
		if now.Sub(at) > knownTime/2 {
			delete(rc.at, old)
		}
	}
	for old := range rc.at {
		if len(rc.at) <= maxRecentObjects {
			return
		}
		delete(rc.at, old)
	}
}

// contains reports whether there was a request for the object within knownTime.
func (rc *recentObjects) contains(now time.Time, object uint64) bool {
	at, ok := rc.at[object]
	return ok && now.Sub(at) < knownTime
}
