package placement

import (
	"math"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
	"damasklatch/core/workload"
)

const (
	// localUtilization is the utilization of a region up to which it keeps all its own work.
	localUtilization = 0.5
	// shiftRate is the fraction of a region's requests that may move between regions in a second.
	shiftRate = 0.03
	// minMovable is the smallest weight of movable requests in a region that should get none.
	minMovable = 0.03
	// planIdleTime is the time without demand after which the weights may change in one step.
	planIdleTime = 10 * time.Second
	// maxExcess is the fraction of a VM's recent requests that a region may get in addition to its weight. Within this limit,
	// an object stays in its region even if the plan would send it elsewhere, because work on an object that a target does
	// not know takes several times as long. excessWeight is the weight of one request in the moving average.
	maxExcess    = 0.1
	excessWeight = 0.01
)

// plan determines which fraction of the requests of the VM's own region goes to which region.
type plan struct {
	weights map[id.Region]float64 // of all requests, those included that may run only in some regions
	movable map[id.Region]float64 // of the requests that may run in every region
	excess  map[id.Region]float64 // fraction of the recent movable requests minus their weight; negative below it

	updatedAt    time.Time
	lastDemandAt time.Time // zero if there was no demand yet
}

// regionLoad is the capacity of a region and the demand for it, in slots.
type regionLoad struct {
	capacity float64
	movable  float64 // demand that arrives in the region and may run in every region
	bound    float64 // demand of all regions that may run only in this one
}

// newRegionLoads combines the capacity of each region with the demand that arrives in each region.
func newRegionLoads(capacity map[id.Region]float64, demand map[id.Region]workload.Demand) map[id.Region]regionLoad {
	all := make(map[id.Region]regionLoad, len(capacity))
	for name, slots := range capacity {
		all[name] = regionLoad{capacity: slots}
	}
	for name, dm := range demand {
		ld := all[name]
		ld.movable += dm.Movable()
		all[name] = ld
		for region, slots := range dm.Bound {
			ld := all[region]
			ld.bound += slots
			all[region] = ld
		}
	}
	return all
}

// targetUtilization returns the utilization up to which regions take movable work: localUtilization, or the utilization that all
// regions reach together if that is higher. Regions that bound work alone loads further take none and are left out.
func targetUtilization(all map[id.Region]regionLoad) float64 {
	utilization := localUtilization
	for range all {
		var capacity, demand float64
		for _, ld := range all {
			demand += ld.movable
			if ld.bound < utilization*ld.capacity {
				capacity += ld.capacity
				demand += ld.bound
			}
		}
		if capacity <= 0 || demand <= utilization*capacity {
			return utilization
		}
		utilization = demand / capacity
	}
	return utilization
}

// room returns the demand that the region can take besides its bound demand, up to a utilization.
func (ld regionLoad) room(utilization float64) float64 {
	return max(utilization*ld.capacity-ld.bound, 0)
}

// desiredWeights computes the weights for the movable work of the home region. The home region keeps its work up to the target
// utilization. The rest is divided among the other regions in proportion to what they can take besides their own work.
func desiredWeights(home id.Region, all map[id.Region]regionLoad) map[id.Region]float64 {
	var sumCapacity, sumSpare float64
	utilization := targetUtilization(all)
	spare := map[id.Region]float64{}
	for name, ld := range all {
		sumCapacity += ld.capacity
		if name != home {
			spare[name] = max(ld.room(utilization)-ld.movable, 0)
			sumSpare += spare[name]
		}
	}
	if sumCapacity <= 0 {
		return map[id.Region]float64{}
	}
	own := all[home]
	kept := 1.0
	switch {
	case own.movable > 0:
		kept = min(own.room(utilization)/own.movable, 1)
	case own.capacity <= 0:
		kept = 0
	}
	weights := map[id.Region]float64{home: kept}
	for name, slots := range spare {
		fraction := all[name].capacity / max(sumCapacity-own.capacity, 1)
		if sumSpare > 0 {
			fraction = slots / sumSpare
		}
		weights[name] = (1 - kept) * fraction
	}
	return weights
}

// moveTowards moves the weights towards the desired weights, limited by the shift rate. Regions without capacity lose their
// weight at once. A new plan and one without demand for planIdleTime take the desired weights at once.
func (pn *plan) moveTowards(now time.Time, demanded bool, want, capacity map[id.Region]float64) {
	if demanded {
		pn.lastDemandAt = now
	}
	if pn.weights == nil || now.Sub(pn.lastDemandAt) > planIdleTime {
		pn.weights, pn.excess, pn.updatedAt = want, map[id.Region]float64{}, now
		return
	}
	step := shiftRate * min(now.Sub(pn.updatedAt).Seconds(), 1)
	pn.updatedAt = now
	var distance float64
	for name := range union(pn.weights, want) {
		distance += max(want[name]-pn.weights[name], 0)
	}
	fraction := 1.0
	if distance > step {
		fraction = step / distance
	}
	next := map[id.Region]float64{}
	var sum float64
	for name := range union(pn.weights, want) {
		if capacity[name] <= 0 {
			continue
		}
		next[name] = pn.weights[name] + fraction*(want[name]-pn.weights[name])
		sum += next[name]
	}
	if sum <= 0 {
		pn.weights = want
		return
	}
	for name := range next {
		next[name] /= sum
	}
	pn.weights = next
}

// boundParts returns the parts of a region's demand that may run only in some regions.
func boundParts(demand workload.Demand) map[id.Region]float64 {
	parts := map[id.Region]float64{}
	if demand.Slots <= 0 {
		return parts
	}
	for name, slots := range demand.Bound {
		parts[name] = min(slots/demand.Slots, 1)
	}
	return parts
}

// withBound returns the weights of all requests from those of the movable ones and the parts of the bound ones.
func withBound(movable, bound map[id.Region]float64) map[id.Region]float64 {
	rest := 1.0
	for _, part := range bound {
		rest -= part
	}
	all := make(map[id.Region]float64, len(movable))
	for name := range union(movable, bound) {
		all[name] = bound[name] + max(rest, 0)*movable[name]
	}
	return all
}

// setMovable derives the weights of the movable requests: what the bound ones leave of the weights of all. So movable requests make
// up for bound ones that become more or fewer. A region that the plan wants to have no movable requests gets none for a small rest,
// because no target there knows their objects.
func (pn *plan) setMovable(want, bound map[id.Region]float64) {
	pn.movable = map[id.Region]float64{}
	var sum float64
	for name, weight := range pn.weights {
		rest := max(weight-bound[name], 0)
		if want[name] <= 0 && rest < minMovable {
			rest = 0
		}
		pn.movable[name] = rest
		sum += rest
	}
	if sum <= 0 {
		pn.movable = want
	}
}

// union returns the set of regions that are in either map.
func union(aa, bb map[id.Region]float64) map[id.Region]bool {
	all := make(map[id.Region]bool, len(aa)+len(bb))
	for name := range aa {
		all[name] = true
	}
	for name := range bb {
		all[name] = true
	}
	return all
}

// chooseRegion chooses the region of a movable request among the usable regions, as far as possible among those that have not
// exceeded their weight. A request with an object (named is true) goes to the region that the object hashes to, unless that region
// has exceeded its weight by more than maxExcess. Other requests go to the region that is furthest below its weight.
func (pn *plan) chooseRegion(object uint64, named bool, usable func(id.Region) bool, exceeded map[id.Region]bool) (id.Region, bool) {
	weights := positive(pn.movable, func(name id.Region) bool { return usable(name) && !exceeded[name] })
	if len(weights) == 0 {
		weights = positive(pn.weights, func(name id.Region) bool { return usable(name) && !exceeded[name] })
	}
	if len(weights) == 0 {
		weights = positive(pn.weights, usable)
	}
	if len(weights) == 0 {
		return "", false
	}
	preferred := hashRegion(object, weights)
	if !named || pn.excess[preferred] > maxExcess {
		for name := range weights {
			if pn.excess[name] < pn.excess[preferred] {
				preferred = name
			}
		}
	}
	for name, weight := range weights {
		got := 0.0
		if name == preferred {
			got = 1
		}
		pn.excess[name] += excessWeight * (got - weight - pn.excess[name])
	}
	return preferred, true
}

// boundWeights returns the weights of the usable regions for requests that may run only in some regions. They go to the same regions
// as movable ones if they can.
func (pn *plan) boundWeights(usable func(id.Region) bool) map[id.Region]float64 {
	if weights := positive(pn.movable, usable); len(weights) > 0 {
		return weights
	}
	return positive(pn.weights, usable)
}

// chooseBound chooses the region of a request that may run only in some regions.
func (pn *plan) chooseBound(object uint64, usable func(id.Region) bool) (id.Region, bool) {
	weights := pn.boundWeights(usable)
	return hashRegion(object, weights), len(weights) > 0
}

// positive returns the positive weights of the usable regions, scaled to a sum of one.
func positive(weights map[id.Region]float64, usable func(id.Region) bool) map[id.Region]float64 {
	var sum float64
	all := make(map[id.Region]float64, len(weights))
	for name, weight := range weights {
		if weight > 0 && usable(name) {
			all[name] = weight
			sum += weight
		}
	}
	for name := range all {
		all[name] /= sum
	}
	return all
}

// hashRegion chooses a region by weighted rendezvous hashing: an object keeps its region as long as the weights do not change.
func hashRegion(object uint64, weights map[id.Region]float64) id.Region {
	var preferred id.Region
	best := -1.0
	for name, weight := range weights {
		unit := unitOf(rendezvous.Mix(object ^ rendezvous.Hash(string(name))))
		if score := weight / -logUnit(unit); score > best {
			best, preferred = score, name
		}
	}
	return preferred
}

// unitOf maps a hash to a number in (0, 1).
func unitOf(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// logUnit returns the natural logarithm of a number in (0, 1).
func logUnit(unit float64) float64 { return math.Log(unit) }
