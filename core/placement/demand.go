package placement

import (
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/workload"
)

const (
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 3 * time.Second
	// minDemandInterval is the shortest time between two updates of the moving average.
	minDemandInterval = 50 * time.Millisecond
	// settleTime is the time after the first request for which the plan does not follow the measured demand yet. It is longer
	// than reports take from one region to another.
	settleTime = time.Second
	// minDemand is the smallest demand of a pool, in busy slots, that the plan takes into account. Below it, equal demand of
	// all regions is assumed.
	minDemand = 0.5
	// assumedUse is the utilization that is assumed for a pool while its demand is unknown.
	assumedUse = 0.5
)

// demandMeter measures the demand for a pool that arrives at this VM.
type demandMeter struct {
	arrived    workload.Demand // service time in seconds of the requests that arrived since measuredAt
	startedAt  time.Time
	measuredAt time.Time
	average    workload.Demand
}

// add counts a request with the given service time. Bound holds the parts of it that count for the regions in which it may run, and
// is empty if it may run in any region.
func (dm *demandMeter) add(service time.Duration, bound map[id.Region]float64) {
	work := service.Seconds()
	dm.arrived.Slots += work
	for name, part := range bound {
		dm.arrived.AddBound(name, part*work)
	}
}

// update adds the work that arrived since the last update to the moving average. Until demandTimeConstant has passed since the
// start, it averages over the time since the start, so that the first figures are not too low.
func (dm *demandMeter) update(now time.Time) {
	if dm.measuredAt.IsZero() {
		if dm.arrived.Slots > 0 {
			dm.arrived, dm.startedAt, dm.measuredAt = workload.Demand{}, now, now
		}
		return
	}
	passed := now.Sub(dm.measuredAt)
	if passed < minDemandInterval {
		return
	}
	weight := passed.Seconds() / min(now.Sub(dm.startedAt), demandTimeConstant).Seconds()
	moveAverage(&dm.average, &dm.arrived, passed, min(weight, 1))
	dm.arrived, dm.measuredAt = workload.Demand{}, now
}

// settled reports whether requests have arrived for long enough that the demand of all regions is known. Shortly after a start of
// this VM, the reports of other VMs may be missing or, if they have also just started, too low. A plan made from them would keep
// too much work in a small region.
func (dm *demandMeter) settled(now time.Time) bool {
	return !dm.startedAt.IsZero() && now.Sub(dm.startedAt) >= settleTime
}

// moveAverage moves an average by the given weight towards the rate of the work that arrived in a time.
func moveAverage(average, arrived *workload.Demand, passed time.Duration, weight float64) {
	next := workload.Demand{Slots: average.Slots + weight*(arrived.Slots/passed.Seconds()-average.Slots)}
	for name, slots := range average.Bound {
		next.AddBound(name, (1-weight)*slots)
	}
	for name, work := range arrived.Bound {
		next.AddBound(name, weight*work/passed.Seconds())
	}
	*average = next
}

// Demand returns the demand that arrives at this VM for each pool that has any.
func (pc *Placer) Demand(now time.Time) map[id.Pool]workload.Demand {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	all := make(map[id.Pool]workload.Demand, len(pc.pools))
	for name, pl := range pc.pools {
		pl.demand.update(now)
		if pl.demand.average.Slots > 0 {
			all[name] = pl.demand.average.Clone()
		}
	}
	return all
}

// boundRegions returns the regions of the pool that the request may run in, sorted by name, or none if it may run in all.
func (pl *pool) boundRegions(rq *Request) []id.Region {
	if rq.Allowed == nil {
		return nil
	}
	var list []id.Region
	for name := range pl.regions {
		if rq.Allowed(name) {
			list = append(list, name)
		}
	}
	if len(list) == len(pl.regions) {
		return nil
	}
	slices.Sort(list)
	return list
}

// UpdatePlan moves the region weights of each pool towards the weights computed from the demand that arrives in each region.
// UpdatePlan is meant to be called several times a second.
func (pc *Placer) UpdatePlan(now time.Time, demand map[id.Pool]map[id.Region]workload.Demand) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for name, pl := range pc.pools {
		capacity := pl.capacity(now)
		if len(capacity) == 0 {
			continue
		}
		traffic := pl.mix.region(now, len(pc.vms[pc.op.Region]))
		need := demand[name]
		settled := pl.demand.settled(now)
		if sumOfSlots(need) < minDemand || !settled {
			need = assumedDemand(capacity)
			need[pc.op.Region] = withBoundOf(need[pc.op.Region], traffic)
		}
		if !settled {
			pl.plan.weights = nil // there is no earlier traffic of which parts could change region
		}
		want := desiredWeights(pc.op.Region, newRegionLoads(capacity, need))
		all := withBound(want, boundParts(need[pc.op.Region]))
		pl.plan.moveTowards(now, pl.demand.average.Slots >= minDemand, all, capacity)
		bound := pl.mix.limit(traffic, pl.plan.weights)
		if traffic.Arrived < minJudged {
			bound = boundParts(need[pc.op.Region])
		}
		pl.plan.setMovable(want, bound)
	}
}

// capacity returns the number of slots of the pool by region, without targets that get no new requests for now. Of a target that
// returns from a pause, the slots count in proportion to the requests that it may get.
func (pl *pool) capacity(now time.Time) map[id.Region]float64 {
	all := map[id.Region]float64{}
	for _, ts := range pl.targets {
		if !ts.closed(now) {
			all[ts.Region] += float64(ts.Slots) * ts.returned(now)
		}
	}
	return all
}

// sumOfSlots returns the demand of all regions.
func sumOfSlots(all map[id.Region]workload.Demand) float64 {
	var sum float64
	for _, dm := range all {
		sum += dm.Slots
	}
	return sum
}

// assumedDemand returns an equal demand for each region. It is used while the actual demand is unknown or negligible.
func assumedDemand(capacity map[id.Region]float64) map[id.Region]workload.Demand {
	var sum float64
	for _, slots := range capacity {
		sum += slots
	}
	need := map[id.Region]workload.Demand{}
	for name := range capacity {
		need[name] = workload.Demand{Slots: assumedUse * sum / float64(len(capacity))}
	}
	return need
}

// withBoundOf returns demand of which the same parts are bound as of the traffic.
func withBoundOf(demand workload.Demand, tr Traffic) workload.Demand {
	for name, num := range tr.Bound {
		demand.AddBound(name, demand.Slots*num/max(tr.Arrived, 1))
	}
	return demand
}
