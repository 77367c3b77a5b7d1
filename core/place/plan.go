package place

import (
	"math"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// comfortable is the utilization up to which a region keeps its own work.
	comfortable = 0.5
	// planRate is the part of a region's work that may move to other regions in a second. After a change of capacity of
	// capacityChange or more, lossRate holds for lossTime: work has to leave what was lost.
	planRate       = 0.035
	lossRate       = 0.2
	lossTime       = 4 * time.Second
	capacityChange = 0.08
	// idleTime is the time without requests after which a plan may change at once.
	idleTime = 10 * time.Second
	// mostDeviation is the part of a VM's recent requests by which a region may get more than the plan says, and deviationWeight
	// that of one request in it. Objects stay in their regions within it: work on an object that a target does not know takes
	// several times as long.
	mostDeviation   = 0.1
	deviationWeight = 0.01
)

// plan divides the work of one region over the regions.
type plan struct {
	weights  map[id.Region]float64
	excess   map[id.Region]float64 // part of the recent requests that a region got beyond its weight
	at       time.Time
	capacity map[id.Region]float64 // at the last change that counts
	changed  time.Time
	used     time.Time // when there was last demand; zero if there never was
}

// wanted computes the weights for the work of a home region from the capacity and the demand of each region, in slots.
func wanted(home id.Region, capacity, demand map[id.Region]float64) map[id.Region]float64 {
	var sumCapacity, sumDemand float64
	for _, slots := range capacity {
		sumCapacity += slots
	}
	for _, slots := range demand {
		sumDemand += slots
	}
	if sumCapacity <= 0 {
		return map[id.Region]float64{}
	}
	level := max(comfortable, sumDemand/sumCapacity)
	var spare float64
	room := map[id.Region]float64{}
	for name, slots := range capacity {
		room[name] = max(level*slots-demand[name], 0)
		spare += room[name]
	}
	own := demand[home]
	kept := 1.0
	if own > 0 {
		kept = min(level*capacity[home]/own, 1)
	} else if capacity[home] <= 0 {
		kept = 0
	}
	weights := map[id.Region]float64{home: kept}
	for name, slots := range room {
		if name == home {
			continue
		}
		part := capacity[name] / max(sumCapacity-capacity[home], 1)
		if spare > 0 {
			part = slots / spare
		}
		weights[name] = (1 - kept) * part
	}
	return weights
}

// follow moves the weights towards those wanted, as fast as allowed. Regions without capacity lose their weight at once. A
// plan without demand for some time takes the wanted weights.
func (pn *plan) follow(now time.Time, demanded bool, want, capacity map[id.Region]float64) {
	if demanded {
		pn.used = now
	}
	if pn.weights == nil || now.Sub(pn.used) > idleTime {
		pn.weights, pn.excess, pn.at, pn.capacity = want, map[id.Region]float64{}, now, capacity
		return
	}
	pn.noteCapacity(now, capacity)
	rate := planRate
	if now.Sub(pn.changed) < lossTime {
		rate = lossRate
	}
	step := rate * min(now.Sub(pn.at).Seconds(), 1)
	pn.at = now
	var moved float64
	for name := range union(pn.weights, want) {
		moved += max(want[name]-pn.weights[name], 0)
	}
	part := 1.0
	if moved > step {
		part = step / moved
	}
	next := map[id.Region]float64{}
	var sum float64
	for name := range union(pn.weights, want) {
		if capacity[name] <= 0 {
			continue
		}
		next[name] = pn.weights[name] + part*(want[name]-pn.weights[name])
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

// noteCapacity notes when the capacity of a region has changed much.
func (pn *plan) noteCapacity(now time.Time, capacity map[id.Region]float64) {
	for name := range union(pn.capacity, capacity) {
		old := pn.capacity[name]
		if math.Abs(capacity[name]-old) >= capacityChange*max(old, capacity[name]) {
			pn.changed, pn.capacity = now, capacity
			return
		}
	}
}

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

// choose picks the region of a request: the one that its object hashes to, unless that one would get too much beyond the plan.
// Requests without an object go where the plan is furthest behind.
func (pn *plan) choose(object uint64, named bool, usable func(id.Region) bool) (id.Region, bool) {
	var sum float64
	names := make([]id.Region, 0, len(pn.weights))
	for name, weight := range pn.weights {
		if weight > 0 && usable(name) {
			names = append(names, name)
			sum += weight
		}
	}
	if sum <= 0 {
		return "", false
	}
	var preferred, behind id.Region
	best := -1.0
	for _, name := range names {
		// Weighted rendezvous hashing: the object keeps its region while the weights stay.
		unit := (float64(rendezvous.Mix(object^rendezvous.Hash(string(name)))>>11) + 0.5) / (1 << 53)
		if score := pn.weights[name] / sum / -logUnit(unit); score > best {
			best, preferred = score, name
		}
		if behind == "" || pn.excess[name] < pn.excess[behind] {
			behind = name
		}
	}
	if !named || pn.excess[preferred] > mostDeviation {
		preferred = behind
	}
	for _, name := range names {
		got := 0.0
		if name == preferred {
			got = 1
		}
		pn.excess[name] += deviationWeight * (got - pn.weights[name]/sum - pn.excess[name])
	}
	return preferred, true
}
