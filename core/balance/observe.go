package balance

import (
	"time"

	"damasklatch/core/id"
)

// ResultKind classifies the outcome of a request at a target.
type ResultKind string

// Outcomes of a request.
const (
	Success  ResultKind = "success"   // a response below 500
	Failed   ResultKind = "failed"    // a response of 500 or above
	Refused  ResultKind = "refused"   // the target refused to run the request
	Broken   ResultKind = "broken"    // no connection could be made, or it broke
	TimedOut ResultKind = "timed_out" // no response in time
	Dropped  ResultKind = "dropped"   // canceled by the caller; this says nothing about the target
)

// Result is the outcome of a request at a target.
type Result struct {
	Kind    ResultKind
	Started time.Time
	Latency time.Duration // to the first byte of the response
}

// Load is the load that a target reports.
type Load struct {
	InFlight int
	Slots    int
	Queued   int
	Draining bool
}

const (
	// deadFailures is the number of consecutive failures after which a target is ejected as dead.
	deadFailures = 2
	// maxContradictions is the number of consecutive contradictions after which reports are not trusted for distrustTime.
	maxContradictions = 2
	distrustTime      = 10 * time.Second
	// pollTolerance is the difference between a report and the requests of this VM that is not a contradiction. Requests
	// may be in transit while the target composes the report.
	pollTolerance = 1
)

// Done records the outcome of a request. It must be called once for each target that Pick returned.
func (st *Set) Done(now time.Time, name id.Target, rs Result) {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	if !ok {
		return
	}
	tg.ownInFlight = max(tg.ownInFlight-1, 0)
	tg.minOwnSincePoll = min(tg.minOwnSincePoll, tg.ownInFlight)
	switch rs.Kind {
	case Success:
		st.recordSuccess(now, tg, rs)
	case Failed:
		tg.lastSuccess, tg.consecutiveFailures = now, 0
		tg.failureRate += failureWeight * (1 - tg.failureRate)
	case Refused:
		tg.lastSuccess, tg.consecutiveFailures = now, 0
		if tg.reportedTotal < tg.slots {
			st.recordContradiction(now, tg)
		}
	case Broken:
		tg.failureRate += failureWeight * (1 - tg.failureRate)
		st.recordFailure(now, tg)
	case TimedOut:
		tg.failureRate += failureWeight * (1 - tg.failureRate)
		// A target that has responded to any request since this one started is slow, not dead.
		if !tg.lastSuccess.After(rs.Started) {
			st.recordFailure(now, tg)
		}
	case Dropped:
	}
	st.checkOutlier(now, tg)
}

// recordSuccess updates the failure rate and the average latency of a target after a successful request.
func (st *Set) recordSuccess(now time.Time, tg *target, rs Result) {
	tg.lastSuccess, tg.consecutiveFailures = now, 0
	tg.failureRate -= failureWeight * tg.failureRate
	lat := rs.Latency.Seconds()
	if tg.samples == 0 {
		tg.latency = lat
	} else {
		tg.latency += latencyWeight * (lat - tg.latency)
	}
	tg.samples++
	tg.latencyAt = now
	if st.sinceMedian++; st.median == 0 || st.sinceMedian >= medianInterval {
		st.updateMedian()
	}
}

// recordFailure counts a failure and ejects the target as dead after deadFailures consecutive ones.
func (st *Set) recordFailure(now time.Time, tg *target) {
	tg.consecutiveFailures++
	if tg.consecutiveFailures >= deadFailures {
		st.eject(now, tg, Dead, "failures in succession")
	}
}

// recordContradiction records that a load report contradicts what this VM has observed.
func (st *Set) recordContradiction(now time.Time, tg *target) {
	tg.contradictions++
	if tg.contradictions >= maxContradictions {
		tg.distrustedUntil = now.Add(distrustTime)
	}
}

// ObserveLoad applies the load that a response of the target carries.
func (st *Set) ObserveLoad(_ time.Time, name id.Target, ld Load) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if tg, ok := st.byName[name]; ok {
		tg.setLoad(ld, tg.ownInFlight)
	}
}

// setLoad applies a report. own is the number of requests of this VM that were in flight when the report was made.
func (tg *target) setLoad(ld Load, own int) {
	tg.reportedTotal = ld.InFlight + ld.Queued
	// The other VMs can't have more requests in flight than their share of the slots, whatever the target reports.
	tg.othersInFlight = min(max(tg.reportedTotal-own, 0), tg.slots-tg.slotLimit)
}

// PollSent records that a poll for its load is being sent to the target.
func (st *Set) PollSent(name id.Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if tg, ok := st.byName[name]; ok {
		tg.minOwnPreviousPoll, tg.minOwnSincePoll = tg.minOwnSincePoll, tg.ownInFlight
	}
}

// PollAnswered applies the load that a healthy target returned to a poll. It ends the ejection of the target if its time
// has passed.
func (st *Set) PollAnswered(now time.Time, name id.Target, ld Load) {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	if !ok {
		return
	}
	if ld.InFlight+ld.Queued+pollTolerance < min(tg.minOwnSincePoll, tg.minOwnPreviousPoll) {
		st.recordContradiction(now, tg)
	} else if !now.Before(tg.distrustedUntil) {
		tg.contradictions = 0
	}
	tg.setLoad(ld, tg.ownInFlight)
	if ld.Draining && !tg.draining {
		st.recordChange(tg, Draining, "reported load")
	}
	tg.draining = ld.Draining
	st.restore(now, tg)
}

// PollFailed records that the target did not answer the poll sent at the given time or reported that it is not healthy.
func (st *Set) PollFailed(now, sent time.Time, name id.Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	// A response since the poll was sent takes precedence, because the health and load endpoints lag behind.
	if ok && !tg.lastSuccess.After(sent) {
		st.eject(now, tg, Dead, "failed poll")
	}
}
