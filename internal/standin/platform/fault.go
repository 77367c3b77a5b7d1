package platform

import "time"

// WatchFault tells how watches fail.
type WatchFault string

// Faults of watches.
const (
	WatchNormal  WatchFault = ""       // no fault
	WatchSilent WatchFault = "silent" // a watch never answers, not even at the end of its wait
	WatchEmpty  WatchFault = "empty"  // a watch answers at the end of its wait, and skips the changes
)

// MaxStale is the age up to which the store remembers earlier states for stale reads.
const MaxStale = 10 * time.Minute

// EveryCall is the count of LoseAnswers and LoseRequests that never runs out.
const EveryCall = -1

// Faults are the faults in force. The zero value is a store that works.
type Faults struct {
	Refuse       bool          // connections are refused
	Down         bool          // every call is answered with "unavailable" and has no effect
	Silent       bool          // calls are lost on the way to the store and get no answer
	DelayBefore  time.Duration // time from the arrival of a call to its effect
	DelayAfter   time.Duration // time from the effect of a call to its answer
	LoseRequests int           // number of writes that are lost before they take effect, or EveryCall
	LoseAnswers  int           // number of writes that take effect and get no answer, or EveryCall
	Reset        bool          // a lost call ends at once with a closed connection, otherwise it waits in vain
	StaleBy      time.Duration // get, list and watch see the state of that long ago, at most MaxStale
	Watch        WatchFault
}

// combine returns the faults that a call meets when both fa combine ot are in force. Counts are not combined.
func (fa Faults) combine(ot Faults) Faults {
	fa.Refuse = fa.Refuse || ot.Refuse
	fa.Down = fa.Down || ot.Down
	fa.Silent = fa.Silent || ot.Silent
	fa.DelayBefore = max(fa.DelayBefore, ot.DelayBefore)
	fa.DelayAfter = max(fa.DelayAfter, ot.DelayAfter)
	fa.Reset = fa.Reset || ot.Reset
	fa.StaleBy = min(max(fa.StaleBy, ot.StaleBy), MaxStale)
	if fa.Watch == WatchNormal {
		fa.Watch = ot.Watch
	}
	return fa
}

// decrement uses up one of a count of lost calls.
func decrement(count *int) bool {
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}
