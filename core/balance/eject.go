package balance

import (
	"time"

	"damasklatch/core/id"
)

// State tells whether a target is in use.
type State string

// Kinds of changes and states.
const (
	Usable   State = "usable"
	Dead     State = "dead"
	Outlier  State = "outlier"
	Draining State = "draining"
)

// StateChange is a change of the state of a target.
type StateChange struct {
	Target id.Target
	State  State
	Detail string
}

type ejection struct {
	kind  State // empty while in use
	until time.Time
	last  time.Time     // end of the last ejection
	pause time.Duration // length of the last ejection
}

const (
	// leastPause is the time that a dead target stays out of use at least, and outlierPause an outlier. The time
	// doubles, up to mostPause, when the target is ejected again within calm of its return.
	leastPause   = time.Second
	outlierPause = 5 * time.Second
	mostPause    = time.Minute
	calm         = 30 * time.Second

	// An outlier fails at this rate while half of the other targets fail at most at a quarter of it, or is slower than
	// the median by the factor. Fewer samples do not tell.
	outlierFailures = 0.5
	outlierLatency  = 10
	outlierSamples  = 20
)

// TakeChanges returns the changes since the last call.
func (st *Set) TakeChanges() []StateChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	chs := st.changes
	st.changes = nil
	return chs
}

func (st *Set) change(tg *target, kind State, detail string) {
	st.changes = append(st.changes, StateChange{Target: tg.name, State: kind, Detail: detail})
}

func (st *Set) eject(now time.Time, tg *target, kind State, detail string) {
	ej := &tg.ejection
	if ej.kind == Dead || ej.kind == kind {
		return
	}
	least := leastPause
	if kind == Outlier {
		least = outlierPause
	}
	pause := least
	if !ej.last.IsZero() && now.Sub(ej.last) < calm {
		pause = min(max(2*ej.pause, least), mostPause)
	}
	*ej = ejection{kind: kind, until: now.Add(pause), last: ej.last, pause: pause}
	st.change(tg, kind, detail)
	st.setMedian()
}

// checkOutlier ejects a target that is much worse than the others, but never more than half of the pool.
func (st *Set) checkOutlier(now time.Time, tg *target) {
	if tg.ejection.kind != "" || tg.samples < outlierSamples && tg.failureRate < outlierFailures {
		return
	}
	out, healthy := 0, 0
	for _, ot := range st.targets {
		if ot.ejection.kind != "" {
			out++
		} else if ot.failureRate <= outlierFailures/4 {
			healthy++
		}
	}
	if 2*(out+1) > len(st.targets) {
		return
	}
	switch {
	case tg.failureRate >= outlierFailures && 2*healthy >= len(st.targets)-out:
		st.eject(now, tg, Outlier, "failure rate")
	case tg.samples >= outlierSamples && st.median > 0 && tg.latency > outlierLatency*st.median && tg.warmth(now) >= 1:
		st.eject(now, tg, Outlier, "latency")
	}
}

// restore puts a target back into use that answers polls and whose time has passed.
func (st *Set) restore(now time.Time, tg *target) {
	ej := &tg.ejection
	if ej.kind == "" || now.Before(ej.until) {
		return
	}
	st.change(tg, Usable, "answers polls")
	*ej = ejection{last: now, pause: ej.pause}
	tg.warmFrom = now
	tg.failures, tg.failureRate, tg.samples, tg.latency = 0, 0, 0, 0
}
