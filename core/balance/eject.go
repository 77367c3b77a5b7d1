package balance

import (
	"time"

	"damasklatch/core/id"
)

// State is the state of a target.
type State string

// States of a target. Only usable targets get new requests.
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

// ejection is the current or last ejection of a target. The zero value is that of a target that was never ejected.
type ejection struct {
	state    State // empty while in use
	endsAt   time.Time
	lastEnd  time.Time     // end of the last ejection
	duration time.Duration // length of the last ejection
}

const (
	// minDeadTime and minOutlierTime are the shortest ejections of a dead target and of an outlier. If the target is
	// ejected again within repeatWindow of its return, the time doubles, up to maxEjection.
	minDeadTime    = time.Second
	minOutlierTime = 5 * time.Second
	maxEjection    = time.Minute
	repeatWindow   = 30 * time.Second

	// A target is an outlier if its failure rate is at least outlierFailureRate while at least half of the targets in use
	// fail at no more than a quarter of it, or if its latency exceeds the median by the factor outlierLatencyRatio. The
	// latency counts only after minOutlierSamples responses.
	outlierFailureRate  = 0.5
	outlierLatencyRatio = 10
	minOutlierSamples   = 20
)

// TakeChanges returns the state changes since the last call and forgets them.
func (st *Set) TakeChanges() []StateChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	chs := st.changes
	st.changes = nil
	return chs
}

func (st *Set) recordChange(tg *target, kind State, detail string) {
	st.changes = append(st.changes, StateChange{Target: tg.name, State: kind, Detail: detail})
}

// eject takes a target out of use, unless it is ejected for the same reason or as dead already.
func (st *Set) eject(now time.Time, tg *target, kind State, detail string) {
	ej := &tg.ejection
	if ej.state == Dead || ej.state == kind {
		return
	}
	least := minDeadTime
	if kind == Outlier {
		least = minOutlierTime
	}
	pause := least
	if !ej.lastEnd.IsZero() && now.Sub(ej.lastEnd) < repeatWindow {
		pause = min(max(2*ej.duration, least), maxEjection)
	}
	*ej = ejection{state: kind, endsAt: now.Add(pause), lastEnd: ej.lastEnd, duration: pause}
	st.recordChange(tg, kind, detail)
	st.updateMedian()
}

// checkOutlier ejects the target if it is an outlier, unless more than half of the pool would then be ejected.
func (st *Set) checkOutlier(now time.Time, tg *target) {
	if tg.ejection.state != "" || tg.samples < minOutlierSamples && tg.failureRate < outlierFailureRate {
		return
	}
	ejected, healthy := 0, 0
	for _, ot := range st.targets {
		if ot.ejection.state != "" {
			ejected++
		} else if ot.failureRate <= outlierFailureRate/4 {
			healthy++
		}
	}
	if 2*(ejected+1) > len(st.targets) {
		return
	}
	switch {
	case tg.failureRate >= outlierFailureRate && 2*healthy >= len(st.targets)-ejected:
		st.eject(now, tg, Outlier, "failure rate")
	case tg.samples >= minOutlierSamples && st.median > 0 && tg.latency > outlierLatencyRatio*st.median && tg.warmup(now) >= 1:
		st.eject(now, tg, Outlier, "latency")
	}
}

// restore puts a target that answers polls back into use if its ejection time has passed. The target starts without
// history and with a slow start.
func (st *Set) restore(now time.Time, tg *target) {
	ej := &tg.ejection
	if ej.state == "" || now.Before(ej.endsAt) {
		return
	}
	st.recordChange(tg, Usable, "answers polls")
	*ej = ejection{lastEnd: now, duration: ej.duration}
	tg.warmupStart = now
	tg.consecutiveFailures, tg.failureRate, tg.samples, tg.latency = 0, 0, 0, 0
}
