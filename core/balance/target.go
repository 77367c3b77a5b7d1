package balance

import (
	"slices"
	"time"

	"damasklatch/core/id"
)

const (
	// slowStartTime is the time in which the share of a cold target grows to its full size. The share starts from the
	// fraction minWarmup, so that the target gets requests that warm its caches.
	slowStartTime = 10 * time.Second
	minWarmup     = 0.1

	// latencyWeight is the weight of a new observation in the average latency.
	latencyWeight = 0.1
	// failureWeight is the weight of a new observation in the average rate of failures.
	failureWeight = 0.1
	// latencyHalfLife is the time without responses in which the difference of a target's latency to the median halves, so
	// that a target that gets few requests because it was slow is tried again.
	latencyHalfLife = 5 * time.Second
	// The score uses the ratio of a target's latency to the median, limited to this range.
	minLatencyRatio, maxLatencyRatio = 0.25, 8
	// medianInterval is the number of responses after which the median is computed again.
	medianInterval = 16
	// failurePenalty is the weight of the failure rate in the score. It keeps a target that fails fast, and so has few
	// requests in flight, from getting most requests.
	failurePenalty = 20
)

// target holds what this VM knows about a target.
type target struct {
	name        id.Target
	slots       int
	slotLimit   int // this VM's share of the slots
	connections int
	drained     bool // by the configuration
	draining    bool // as the target reports
	warmupStart time.Time

	ownInFlight int // requests of this VM in flight

	// From the last report: requests of other VMs and of all VMs, in flight and queued at the target.
	othersInFlight int
	reportedTotal  int
	// The smallest number of requests of this VM in flight since the last poll was sent, and between the last two polls. A
	// report may lag by up to one poll interval, so it is compared with both.
	minOwnSincePoll, minOwnPreviousPoll int

	latency     float64 // average in seconds, zero if unknown
	samples     int
	latencyAt   time.Time
	failureRate float64

	consecutiveFailures int
	lastSuccess         time.Time
	ejection            ejection
	contradictions      int // consecutive contradictions between reports and observations
	distrustedUntil     time.Time
}

// usable reports whether the target may get new requests.
func (tg *target) usable() bool { return !tg.drained && !tg.draining && tg.ejection.state == "" }

func (tg *target) state() State {
	switch {
	case tg.ejection.state != "":
		return tg.ejection.state
	case tg.drained || tg.draining:
		return Draining
	}
	return Usable
}

// warmup returns the fraction of its share that a target may get during slow start, from minWarmup to 1.
func (tg *target) warmup(now time.Time) float64 {
	if tg.warmupStart.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(tg.warmupStart))/float64(slowStartTime), minWarmup), 1)
}

// currentLimit returns how many requests of this VM may be in flight at the target now.
func (st *Set) currentLimit(now time.Time, tg *target) int {
	if wm := tg.warmup(now); wm < 1 && tg.slotLimit > 0 {
		return max(int(float64(tg.slotLimit)*wm), 1)
	}
	return tg.slotLimit
}

// score rates a target; lower is better. It is the load relative to the slots, times the square of the latency relative to
// the median, times a penalty for failures. The square keeps most requests away from slow targets while fast targets have
// free slots, because a target with free slots has the same latency at any load.
func (st *Set) score(now time.Time, tg *target) float64 {
	others := tg.othersInFlight
	if now.Before(tg.distrustedUntil) {
		// Reports of the target are not trusted at present, so every other VM is assumed to send as much as this one.
		others = tg.ownInFlight * (st.vmCount - 1)
	}
	load := float64(tg.ownInFlight+others+1) / float64(tg.slots)
	ratio := 1.0
	if st.median > 0 && tg.latency > 0 {
		ratio = min(max(st.decayedLatency(now, tg)/st.median, minLatencyRatio), maxLatencyRatio)
	}
	return load * ratio * ratio * (1 + failurePenalty*tg.failureRate) / tg.warmup(now)
}

// decayedLatency returns the average latency of a target in seconds. It approaches the median while there are no responses.
func (st *Set) decayedLatency(now time.Time, tg *target) float64 {
	ago := now.Sub(tg.latencyAt)
	if ago <= 0 {
		return tg.latency
	}
	keep := float64(latencyHalfLife) / float64(latencyHalfLife+ago)
	return st.median + (tg.latency-st.median)*keep
}

// updateMedian computes the median latency of the targets that are in use.
func (st *Set) updateMedian() {
	all := st.sorted[:0]
	for _, tg := range st.targets {
		if tg.latency > 0 && tg.ejection.state == "" {
			all = append(all, tg.latency)
		}
	}
	st.sorted, st.sinceMedian = all, 0
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	st.median = all[(len(all)-1)/2]
}
