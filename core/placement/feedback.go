package placement

import (
	"math"
	"time"

	"damasklatch/core/id"
)

const (
	failureWeight = 0.15 // weight of one result in the moving average of the failure rate
	serviceWeight = 0.1  // weight of one response in the moving averages of the service time and of the size
	// An ejected target is out of use for minEjection, doubled for each consecutive failure (the first included), but for
	// maxEjection at most.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// breaksToEject is the number of consecutive broken connections after which a target is ejected.
	breaksToEject = 3
)

// Done records the result of an attempt. It must be called once for each choice that Pick returned. A result is ignored if the
// target has been removed, or another process has its name, since the choice.
func (pc *Placer) Done(now time.Time, ch *Choice, route id.Route, rs Result) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	ts := pc.targets[ch.ID]
	if ts == nil || ts.process() != ch.process() {
		return
	}
	ts.ownInFlight = max(ts.ownInFlight-1, 0)
	if total, ok := rs.Load.total(); ok {
		ts.setReported(now, total)
		ts.directReportAt = now
	}
	if rs.Load != nil {
		ts.pace.observe(now, rs.Load.Pace)
	}
	switch rs.Kind {
	case Succeeded:
		pc.recordSuccess(ts, route, rs)
	case Failed:
		ts.consecutiveFailures, ts.probing = 0, false
		ts.failureRate += failureWeight * (1 - ts.failureRate)
	case Shed:
		ts.failureRate += failureWeight * (1 - ts.failureRate)
		if _, ok := rs.Load.total(); !ok {
			ts.setReported(now, 2*ts.Slots+ts.ownInFlight)
		}
	case Misplaced:
		ts.misplaced = true
	case Unreached:
		ts.eject(now)
	case Broken:
		ts.failureRate += failureWeight * (1 - ts.failureRate)
		if ts.consecutiveFailures++; ts.consecutiveFailures >= breaksToEject {
			ts.eject(now)
		}
	case Dropped, Withdrawn:
		ts.probing = ts.probing && ts.consecutiveFailures > 0
	}
}

// recordSuccess updates the failure rate of the target and the service times of the route. Requests that had to wait at the
// target are left out of the service times. The times for known and unknown objects are those at the usual pace.
func (pc *Placer) recordSuccess(ts *targetState, route id.Route, rs Result) {
	ts.consecutiveFailures, ts.probing = 0, false
	ts.failureRate -= failureWeight * ts.failureRate
	sv := pc.pool(ts.Pool).serviceTimes[route]
	if sv == nil {
		return
	}
	sv.responseBytes += serviceWeight * (float64(rs.Bytes) - sv.responseBytes)
	if rs.Load.queued() {
		return
	}
	usual := rs.Latency
	if rs.Load != nil {
		usual = rs.Load.Pace.usual(rs.Latency)
	}
	sv.observe(usual)
	sv.mean += time.Duration(serviceWeight * float64(rs.Latency-sv.mean))
}

// eject takes the target out of use for a time that doubles with each consecutive failure. After that time, the target gets one
// request at a time until one succeeds.
func (ts *targetState) eject(now time.Time) {
	ts.consecutiveFailures++
	pause := min(minEjection<<min(ts.consecutiveFailures, 5), maxEjection)
	ts.ejectedUntil, ts.probing = now.Add(pause), true
}

// ApplyReports applies the target loads that another VM reports. A report is ignored if the last report of the target is not
// older than staleReport.
func (pc *Placer) ApplyReports(now time.Time, loads []LoadReport) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, rp := range loads {
		if ts := pc.byShortHash[rp.Target]; ts != nil && now.Sub(ts.reportedAt) > staleReport {
			ts.setReported(now, int(rp.Total))
		}
	}
}

// LoadReport is the load of a target as VMs report it to each other.
type LoadReport struct {
	Target uint32 // low 32 bits of the hash of the target's name
	Total  uint16 // requests running and waiting at the target, from all VMs
}

// staleReport is the age above which the last report of a target is replaced by a report from another VM.
const staleReport = 300 * time.Millisecond

// LoadReports returns the loads of the targets that have reported to this VM directly since the given time.
func (pc *Placer) LoadReports(since time.Time) []LoadReport {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	var all []LoadReport
	for _, ts := range pc.targets {
		if ts.directReportAt.After(since) {
			total := min(ts.ownInFlight+int(ts.othersInFlight+0.5), math.MaxUint16)
			all = append(all, LoadReport{Target: uint32(ts.hash), Total: uint16(total)})
		}
	}
	return all
}

// CountUsable returns the number of targets that can be sent requests at present.
func (pc *Placer) CountUsable(now time.Time) int {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	num := 0
	for _, ts := range pc.targets {
		if ts.usable(now) {
			num++
		}
	}
	return num
}
