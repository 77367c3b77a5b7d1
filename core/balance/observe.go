package balance

import (
	"time"

	"damasklatch/core/id"
)

// ResultKind classifies the end of a request at a target.
type ResultKind string

// Kinds of results.
const (
	Success  ResultKind = "success"   // a response below 500
	Failed   ResultKind = "failed"    // a response of 500 or above
	Refused  ResultKind = "refused"   // the target refused to run it
	Broken   ResultKind = "broken"    // no connection, or it broke
	TimedOut ResultKind = "timed_out" // no response in time
	Dropped  ResultKind = "dropped"   // canceled by the caller, says nothing about the target
)

// Result is the end of a request at a target.
type Result struct {
	Kind    ResultKind
	Started time.Time
	Latency time.Duration // to the first byte of the response
}

// Load is a report of a target.
type Load struct {
	InFlight int
	Slots    int
	Queued   int
	Draining bool
}

const (
	// deadFailures is the number of failures in succession after which a target counts as dead.
	deadFailures = 2
	// strikeLimit is the number of contradictions in succession after which reports are distrusted, for distrustFor.
	strikeLimit = 2
	distrustFor = 10 * time.Second
	// pollSlack allows for requests that are on the way to the target or back while it composes a report.
	pollSlack = 1
)

// Done ends a request that Pick has counted.
func (st *Set) Done(now time.Time, name id.Target, rs Result) {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	if !ok {
		return
	}
	tg.own = max(tg.own-1, 0)
	tg.pollLow = min(tg.pollLow, tg.own)
	switch rs.Kind {
	case Success:
		st.succeeded(now, tg, rs)
	case Failed:
		tg.lastSuccess, tg.failures = now, 0
		tg.failureRate += failureWeight * (1 - tg.failureRate)
	case Refused:
		tg.lastSuccess, tg.failures = now, 0
		if tg.reported < tg.slots {
			st.strike(now, tg)
		}
	case Broken:
		tg.failureRate += failureWeight * (1 - tg.failureRate)
		st.failed(now, tg)
	case TimedOut:
		tg.failureRate += failureWeight * (1 - tg.failureRate)
		// A target that has responded to another request meanwhile is slow, not dead.
		if !tg.lastSuccess.After(rs.Started) {
			st.failed(now, tg)
		}
	case Dropped:
	}
	st.checkOutlier(now, tg)
}

func (st *Set) succeeded(now time.Time, tg *target, rs Result) {
	tg.lastSuccess, tg.failures = now, 0
	tg.failureRate -= failureWeight * tg.failureRate
	lat := rs.Latency.Seconds()
	if tg.samples == 0 {
		tg.latency = lat
	} else {
		tg.latency += latencyWeight * (lat - tg.latency)
	}
	tg.samples++
	tg.latencyAt = now
	if st.sinceMedian++; st.median == 0 || st.sinceMedian >= medianEvery {
		st.setMedian()
	}
}

func (st *Set) failed(now time.Time, tg *target) {
	tg.failures++
	if tg.failures >= deadFailures {
		st.eject(now, tg, Dead, "failures in succession")
	}
}

// strike notes that a report contradicts what was observed.
func (st *Set) strike(now time.Time, tg *target) {
	tg.strikes++
	if tg.strikes >= strikeLimit {
		tg.distrustedUntil = now.Add(distrustFor)
	}
}

// ObserveLoad takes the load that a response of the target carries.
func (st *Set) ObserveLoad(_ time.Time, name id.Target, ld Load) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if tg, ok := st.byName[name]; ok {
		tg.setLoad(ld, tg.own)
	}
}

// setLoad takes a report that was made when the given number of own requests was in flight.
func (tg *target) setLoad(ld Load, own int) {
	tg.reported = ld.InFlight + ld.Queued
	// The other VMs have no more than their share of the slots in flight, whatever the target claims.
	tg.others = min(max(tg.reported-own, 0), tg.slots-tg.cap)
}

// PollSent notes that the target is being asked for its load.
func (st *Set) PollSent(name id.Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if tg, ok := st.byName[name]; ok {
		tg.pollLowBefore, tg.pollLow = tg.pollLow, tg.own
	}
}

// PollAnswered takes the answer of a healthy target to a poll.
func (st *Set) PollAnswered(now time.Time, name id.Target, ld Load) {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	if !ok {
		return
	}
	if ld.InFlight+ld.Queued+pollSlack < min(tg.pollLow, tg.pollLowBefore) {
		st.strike(now, tg)
	} else if !now.Before(tg.distrustedUntil) {
		tg.strikes = 0
	}
	tg.setLoad(ld, tg.own)
	if ld.Draining && !tg.draining {
		st.change(tg, Draining, "reported load")
	}
	tg.draining = ld.Draining
	st.restore(now, tg)
}

// PollFailed notes that the target did not answer the poll sent at the given time, or that it says it is not healthy.
func (st *Set) PollFailed(now, sent time.Time, name id.Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	// Responses to requests outweigh a poll, because the endpoints for health and load lag.
	if ok && !tg.lastSuccess.After(sent) {
		st.eject(now, tg, Dead, "failed poll")
	}
}
