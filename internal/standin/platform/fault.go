package platform

import "time"

// WatchFault selects how watches fail.
type WatchFault string

// Faults of watches.
const (
	WatchNormal WatchFault = ""       // watches work
	WatchSilent WatchFault = "silent" // a watch never returns, not even at the end of its wait
	WatchEmpty  WatchFault = "empty"  // a watch returns at the end of its wait and reports no changes
)

// MaxStale is the greatest age of the state that a stale read can return. The store keeps earlier states for this
// long.
const MaxStale = 10 * time.Minute

// EveryCall is the value of LoseAnswers and LoseRequests with which all writes are lost, without a limit on their
// number.
const EveryCall = -1

// Faults are the faults that are injected. With the zero value, the store works normally.
type Faults struct {
	Refuse       bool          // the HTTP server refuses connections; in memory, it has the effect of Down
	Down         bool          // every call fails as unavailable and has no effect
	Silent       bool          // calls do not reach the store and get no response
	DelayBefore  time.Duration // time from the arrival of a call until it takes effect
	DelayAfter   time.Duration // time from the effect of a call until its response
	LoseRequests int           // how many of the next writes are lost before they take effect, or EveryCall
	LoseAnswers  int           // how many of the next writes take effect but get no response, or EveryCall
	Reset        bool          // lost calls fail at once with a closed connection, in place of a timeout
	StaleBy      time.Duration // age of the state that get, list and watch see, at most MaxStale
	Watch        WatchFault
}

// combine returns the faults that affect a call when both fa and ot are set. The counts of lost writes are not
// combined; those of fa stay.
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

// decrement consumes one of a count of lost writes and reports whether the count was not zero. EveryCall is never
// used up.
func decrement(count *int) bool {
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}
