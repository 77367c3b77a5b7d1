package balance

import (
	"slices"
	"time"

	"damasklatch/core/id"
)

const (
	// slowStart is the time over which a cold target gets its full share. The least part gives it the requests that
	// warm its caches.
	slowStart      = 10 * time.Second
	slowStartLeast = 0.1

	// latencyWeight is the weight of a new observation in the average latency.
	latencyWeight = 0.1
	// failureWeight is the weight of a new observation in the average rate of failures.
	failureWeight = 0.1
	// latencyHalfLife lets a target that gets little work because it was slow be tried again.
	latencyHalfLife = 5 * time.Second
	// ratios of a target's latency to the median that the score takes into account.
	leastRatio, mostRatio = 0.25, 8
	// medianEvery is the number of responses after which the median is computed again.
	medianEvery = 16
	// failurePenalty outweighs the attraction of a target that fails fast and therefore has nothing in flight.
	failurePenalty = 20
)

type target struct {
	name        id.Target
	slots       int
	cap         int // own share of the slots
	connections int
	drained     bool // by the configuration
	draining    bool // as the target reports
	warmFrom    time.Time

	own int // own requests in flight

	// The last report: requests of other VMs in flight and queued there.
	others   int
	reported int
	// Least own requests in flight since the last poll was sent, and between the one before and the last. A report that
	// lags by up to a period of the polls is compared with both.
	pollLow, pollLowBefore int

	latency     float64 // average in seconds, zero if unknown
	samples     int
	latencyAt   time.Time
	failureRate float64

	failures        int // in succession
	lastSuccess     time.Time
	ejection        ejection
	strikes         int // contradictions of reports in succession
	distrustedUntil time.Time
}

func (tg *target) usable() bool { return !tg.drained && !tg.draining && tg.ejection.kind == "" }

func (tg *target) state() State {
	switch {
	case tg.ejection.kind != "":
		return tg.ejection.kind
	case tg.drained || tg.draining:
		return Draining
	}
	return Usable
}

// warmth returns how far a cold target may take part, from slowStartLeast to 1.
func (tg *target) warmth(now time.Time) float64 {
	if tg.warmFrom.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(tg.warmFrom))/float64(slowStart), slowStartLeast), 1)
}

// room returns how many own requests may be in flight at the target.
func (st *Set) room(now time.Time, tg *target) int {
	if wm := tg.warmth(now); wm < 1 && tg.cap > 0 {
		return max(int(float64(tg.cap)*wm), 1)
	}
	return tg.cap
}

// score is lower for better targets: load relative to slots, times the square of latency relative to the median. The
// square keeps most work from slow targets while fast ones have free slots, where latency does not depend on load.
func (st *Set) score(now time.Time, tg *target) float64 {
	others := tg.others
	if now.Before(tg.distrustedUntil) {
		// Without a report that can be trusted, the other VMs are assumed to send as much as this one.
		others = tg.own * (st.of - 1)
	}
	load := float64(tg.own+others+1) / float64(tg.slots)
	ratio := 1.0
	if st.median > 0 && tg.latency > 0 {
		ratio = min(max(st.decayed(now, tg)/st.median, leastRatio), mostRatio)
	}
	return load * ratio * ratio * (1 + failurePenalty*tg.failureRate) / tg.warmth(now)
}

// decayed returns the latency of a target, which approaches the median while there are no observations.
func (st *Set) decayed(now time.Time, tg *target) float64 {
	ago := now.Sub(tg.latencyAt)
	if ago <= 0 {
		return tg.latency
	}
	keep := float64(latencyHalfLife) / float64(latencyHalfLife+ago)
	return st.median + (tg.latency-st.median)*keep
}

// setMedian computes the median latency of the targets that are in use.
func (st *Set) setMedian() {
	all := st.sorted[:0]
	for _, tg := range st.targets {
		if tg.latency > 0 && tg.ejection.kind == "" {
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
