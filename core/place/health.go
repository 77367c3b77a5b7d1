package place

import (
	"math"
	"time"

	"damasklatch/core/id"
)

const (
	failureWeight = 0.15 // of one result in the failure rate
	serviceWeight = 0.1  // of one response in the service time
	// A target that can't be reached is out of use for leastEjection, doubled with each failure up to mostEjection.
	leastEjection = 500 * time.Millisecond
	mostEjection  = 8 * time.Second
	// brokenInRow connections that broke in succession eject a target.
	brokenInRow = 3
)

// Done ends an attempt that Pick has counted.
func (pc *Placer) Done(now time.Time, ch *Choice, route id.Route, rs Result) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	nd := pc.nodes[ch.ID]
	if nd == nil || nd.StartUnixMilli != ch.StartUnixMilli {
		return
	}
	nd.own = max(nd.own-1, 0)
	if rs.Load != nil {
		nd.report(now, rs.Load.Running+rs.Load.Waiting)
		nd.ownReportAt = now
	}
	switch rs.Kind {
	case Succeeded:
		pc.succeeded(nd, route, rs)
	case Failed:
		nd.failures, nd.trial = 0, false
		nd.failureRate += failureWeight * (1 - nd.failureRate)
	case Shed:
		nd.failureRate += failureWeight * (1 - nd.failureRate)
		if rs.Load == nil {
			nd.report(now, 2*nd.Slots+nd.own)
		}
	case Misplaced:
		nd.gone = true
	case Unreached:
		nd.eject(now)
	case Broken:
		nd.failureRate += failureWeight * (1 - nd.failureRate)
		if nd.failures++; nd.failures >= brokenInRow {
			nd.eject(now)
		}
	case Dropped:
		nd.trial = nd.trial && nd.failures > 0
	}
}

func (pc *Placer) succeeded(nd *node, route id.Route, rs Result) {
	nd.failures, nd.trial = 0, false
	nd.failureRate -= failureWeight * nd.failureRate
	sv := pc.pool(nd.Pool).services[route]
	if sv == nil || rs.Load != nil && rs.Load.Waiting > 0 {
		return
	}
	sv.learn(rs.Latency)
	sv.mean += time.Duration(serviceWeight * float64(rs.Latency-sv.mean))
}

// learn takes the time of one piece of work. Whether the target knew the object shows in the time: a VM does not see what the
// others sent there, and a target that all of them use knows nothing at first.
func (sv *service) learn(took time.Duration) {
	mean := &sv.known
	if took > (sv.known+sv.unknown)/2 {
		mean = &sv.unknown
	}
	*mean += time.Duration(serviceWeight * float64(took-*mean))
}

func (nd *node) eject(now time.Time) {
	nd.failures++
	pause := min(leastEjection<<min(nd.failures, 5), mostEjection)
	nd.ejectedUntil, nd.trial = now.Add(pause), true
}

// ApplyReports takes the loads of targets that another VM has seen.
func (pc *Placer) ApplyReports(now time.Time, loads []LoadReport) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, rp := range loads {
		if nd := pc.short[rp.Target]; nd != nil && now.Sub(nd.reportAt) > staleReport {
			nd.report(now, int(rp.Total))
		}
	}
}

// LoadReport is the number of requests at a target. The target is named by the low bits of its hash.
type LoadReport struct {
	Target uint32
	Total  uint16
}

// staleReport is the age from which a report of another VM replaces an own one.
const staleReport = 300 * time.Millisecond

// demandHalfLife is the memory of the demand.
const demandHalfLife = 3 * time.Second

// Demand returns the busy slots that the requests at this VM need in each pool.
func (pc *Placer) Demand(now time.Time) map[id.Pool]float32 {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	all := make(map[id.Pool]float32, len(pc.pools))
	for name, pl := range pc.pools {
		pl.observe(now)
		if pl.demand > 0 {
			all[name] = float32(pl.demand)
		}
	}
	return all
}

func (pl *pool) observe(now time.Time) {
	if pl.since.IsZero() {
		pl.since = now
		return
	}
	passed := now.Sub(pl.since)
	if passed < 50*time.Millisecond {
		return
	}
	rate := pl.arrivals / passed.Seconds()
	pl.demand += min(passed.Seconds()/demandHalfLife.Seconds(), 1) * (rate - pl.demand)
	pl.arrivals, pl.since = 0, now
}

// UpdatePlan moves the division of work over regions towards what the demand of all regions asks for.
func (pc *Placer) UpdatePlan(now time.Time, demand map[id.Pool]map[id.Region]float64) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for name, pl := range pc.pools {
		capacity := map[id.Region]float64{}
		for _, nd := range pl.nodes {
			if !nd.Draining && !nd.evacuated && !nd.gone {
				capacity[nd.Region] += float64(nd.Slots)
			}
		}
		need := demand[name]
		if sumOf(need) < leastDemand {
			need = prior(capacity)
		}
		if len(capacity) > 0 {
			pl.plan.follow(now, pl.demand >= leastDemand, wanted(pc.op.Region, capacity, need), capacity)
		}
	}
}

// leastDemand is the demand of a pool, in busy slots, below which it says nothing.
const leastDemand = 0.5

func sumOf(all map[id.Region]float64) float64 {
	var sum float64
	for _, val := range all {
		sum += val
	}
	return sum
}

// prior assumes equal demand of all regions before any is known.
func prior(capacity map[id.Region]float64) map[id.Region]float64 {
	const assumedUse = 0.5
	need := map[id.Region]float64{}
	for name := range capacity {
		need[name] = assumedUse * sumOf(capacity) / float64(len(capacity))
	}
	return need
}

// LoadReports returns the work at each target whose own report is not older than the given time.
func (pc *Placer) LoadReports(since time.Time) []LoadReport {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	var all []LoadReport
	for _, nd := range pc.nodes {
		if nd.ownReportAt.After(since) {
			total := min(nd.own+int(nd.others+0.5), math.MaxUint16)
			all = append(all, LoadReport{Target: uint32(nd.hash), Total: uint16(total)})
		}
	}
	return all
}

// CountUsable returns the number of targets that may get work.
func (pc *Placer) CountUsable(now time.Time) int {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	num := 0
	for _, nd := range pc.nodes {
		if nd.usable(now) {
			num++
		}
	}
	return num
}
