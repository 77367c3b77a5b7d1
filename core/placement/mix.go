package placement

import (
	"math"
	"time"

	"damasklatch/core/id"
)

const (
	// mixWindow is the time over which the regions' parts of the requests are compared with the plan, and arrivalWindow the time
	// over which arrivals are counted, to see soon that there are more bound requests.
	mixWindow     = 2 * time.Second
	arrivalWindow = 500 * time.Millisecond
	// maxDeviation is how far a region's part of the requests may exceed its weight. Together with what the weights move in
	// mixWindow and with chance, it stays below the part of requests that may change region.
	maxDeviation = 0.03
	// maxCorrection is how far the part of the bound requests is lowered to make up for those that were sent too many before.
	maxCorrection = 0.06
	// boundChance and movableChance are the multiples of the standard deviation that a region's part of a VM's requests may exceed
	// that, before bound requests are refused and movable ones go elsewhere. arrivalChance is the same for the bound requests
	// that arrive in the whole region.
	boundChance   = 1.0
	movableChance = 0.25
	arrivalChance = 2
	// minJudged is the number of requests below which their mix is left to chance.
	minJudged = 40
	// trafficLifetime is the age from which the reported traffic of the region is no longer used.
	trafficLifetime = 1500 * time.Millisecond
)

// Traffic is what VMs have recently received and sent for a pool. The VMs report these counts and not what they deduce from them,
// so all VMs of a region come to the same result.
type Traffic struct {
	Arrived float64               // requests in arrivalWindow
	Bound   map[id.Region]float64 // those of Arrived that may run only in some regions, by these regions
	Placed  map[id.Region]float64 // requests sent to each region in mixWindow
}

// Add adds the traffic of other VMs.
func (tr *Traffic) Add(more Traffic) {
	tr.Arrived += more.Arrived
	tr.Bound = addCounts(tr.Bound, more.Bound, 1)
	tr.Placed = addCounts(tr.Placed, more.Placed, 1)
}

// scaled returns the traffic multiplied by a factor.
func (tr *Traffic) scaled(factor float64) Traffic {
	return Traffic{
		Arrived: factor * tr.Arrived, Bound: addCounts(nil, tr.Bound, factor), Placed: addCounts(nil, tr.Placed, factor),
	}
}

// addCounts adds the multiplied counts to those of sum, and returns it.
func addCounts(sum, more map[id.Region]float64, factor float64) map[id.Region]float64 {
	if sum == nil {
		sum = make(map[id.Region]float64, len(more))
	}
	for name, num := range more {
		sum[name] += factor * num
	}
	return sum
}

// total returns the sum of all counts.
func total(counts map[id.Region]float64) float64 {
	var sum float64
	for _, num := range counts {
		sum += num
	}
	return sum
}

// counterBuckets is the number of buckets of a counter.
const counterBuckets = 10

// counter counts requests by region within a sliding window.
type counter struct {
	window  time.Duration
	start   time.Time
	newest  int64 // number of the newest bucket, counted from the start
	buckets [counterBuckets]map[id.Region]float64
	sums    map[id.Region]float64 // over the window
}

// advance removes the buckets that have left the window.
func (cn *counter) advance(now time.Time) {
	if cn.start.IsZero() {
		cn.start, cn.sums = now, map[id.Region]float64{}
	}
	nr := int64(now.Sub(cn.start) / (cn.window / counterBuckets))
	for cn.newest = max(cn.newest, nr-counterBuckets); cn.newest < nr; {
		cn.newest++
		old := cn.buckets[cn.newest%counterBuckets]
		for name, num := range old {
			cn.sums[name] = max(cn.sums[name]-num, 0)
		}
		clear(old)
	}
}

// add counts a part of a request.
func (cn *counter) add(now time.Time, region id.Region, part float64) {
	cn.advance(now)
	at := cn.newest % counterBuckets
	if cn.buckets[at] == nil {
		cn.buckets[at] = map[id.Region]float64{}
	}
	cn.buckets[at][region] += part
	cn.sums[region] += part
}

// counts returns the counts in the window. The map is valid until the next call.
func (cn *counter) counts(now time.Time) map[id.Region]float64 {
	cn.advance(now)
	return cn.sums
}

// mix holds the recent traffic of a pool: of this VM, and of all VMs of its region according to their reports.
type mix struct {
	arrived, placed counter // arrived has the movable requests under an empty name

	reported   Traffic
	reportedAt time.Time

	admitted map[id.Region]float64 // part of the bound requests that is sent to their region
	credit   map[id.Region]float64 // bound requests that may be sent
}

// newMix returns a mix without requests.
func newMix() mix {
	return mix{arrived: counter{window: arrivalWindow}, placed: counter{window: mixWindow}}
}

// countArrival counts a request. Bound holds the parts of it that count for the regions in which it may run, and is empty if it may
// run in any region.
func (mx *mix) countArrival(now time.Time, bound map[id.Region]float64) {
	if len(bound) == 0 {
		mx.arrived.add(now, "", 1)
	}
	for name, part := range bound {
		mx.arrived.add(now, name, part)
	}
}

// own returns the traffic of this VM.
func (mx *mix) own(now time.Time) Traffic {
	tr := Traffic{Bound: addCounts(nil, mx.arrived.counts(now), 1), Placed: addCounts(nil, mx.placed.counts(now), 1)}
	tr.Arrived = total(tr.Bound)
	delete(tr.Bound, "")
	return tr
}

// region returns the traffic of all VMs of the region. Of the reported sum, this VM's part is replaced by its present traffic.
func (mx *mix) region(now time.Time, vms int) Traffic {
	tr := mx.own(now)
	if vms > 1 && now.Sub(mx.reportedAt) <= trafficLifetime {
		tr.Add(mx.reported.scaled(float64(vms-1) / float64(vms)))
	}
	return tr
}

// exceeded returns the regions whose part of this VM's requests exceeds their weight by more than maxDeviation and the given multiple
// of the standard deviation of the part. Without weights there are none.
func (mx *mix) exceeded(now time.Time, weights map[id.Region]float64, chance float64) map[id.Region]bool {
	counts := mx.placed.counts(now)
	sum := total(counts)
	if weights == nil || sum < minJudged {
		return nil
	}
	over := map[id.Region]bool{}
	for name, num := range counts {
		limit := min(weights[name]+maxDeviation, 1)
		if num+1 > limit*(sum+1)+chance*deviation(limit, sum) {
			over[name] = true
		}
	}
	return over
}

// deviation returns the standard deviation of the number of requests of a kind among num requests, of which they are the given part.
func deviation(part, num float64) float64 { return math.Sqrt(part * (1 - part) * num) }

// limit decides which part of the bound requests may be sent to their region, so that its part of all requests stays within
// maxDeviation of its weight. It returns the parts of the bound requests among those that remain. Bound requests come before movable
// ones: they are refused only if there are more of them than the weight allows without any movable ones.
func (mx *mix) limit(tr Traffic, weights map[id.Region]float64) map[id.Region]float64 {
	mx.admitted = map[id.Region]float64{}
	bound := addCounts(nil, tr.Bound, 1)
	rest := tr.Arrived
	for name, num := range tr.Bound {
		most := tr.mostBound(weights[name])
		if tr.Arrived < minJudged || most >= 1 || num <= most*tr.Arrived {
			continue
		}
		most = max(most-tr.excess(name, weights[name]), 0)
		part := min(most/(1-most)*(tr.Arrived-num)/num, 1)
		bound[name] = part * num
		rest -= (1 - part) * num
		mx.admitted[name] = part
	}
	for name := range bound {
		bound[name] /= max(rest, 1)
	}
	return bound
}

// mostBound returns the largest part of the arrivals that may be bound to a region of the given weight.
func (tr *Traffic) mostBound(weight float64) float64 {
	most := min(weight+maxDeviation/2, 1)
	return most + arrivalChance*deviation(most, tr.Arrived)/max(tr.Arrived, 1)
}

// excess returns how far the region's part of the requests that were sent is beyond maxDeviation of its weight, but not more than
// maxCorrection.
func (tr *Traffic) excess(name id.Region, weight float64) float64 {
	sum := total(tr.Placed)
	if sum < minJudged {
		return 0
	}
	return min(max(tr.Placed[name]/sum-weight-maxDeviation, 0), maxCorrection)
}

// admit reports whether a bound request may be sent to the region.
func (mx *mix) admit(region id.Region) bool {
	part, ok := mx.admitted[region]
	if !ok || part >= 1 {
		return true
	}
	if mx.credit == nil {
		mx.credit = map[id.Region]float64{}
	}
	mx.credit[region] += part
	if mx.credit[region] < 1 {
		return false
	}
	mx.credit[region]--
	return true
}

// Traffic returns the recent traffic of this VM.
func (pc *Placer) Traffic(now time.Time) map[id.Pool]Traffic {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	all := map[id.Pool]Traffic{}
	for name, pl := range pc.pools {
		if tr := pl.mix.own(now); tr.Arrived > 0 || len(tr.Placed) > 0 {
			all[name] = tr
		}
	}
	return all
}

// SetRegionTraffic sets the recent traffic of all VMs of this VM's region.
func (pc *Placer) SetRegionTraffic(now time.Time, all map[id.Pool]Traffic) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for name, tr := range all {
		mx := &pc.pool(name).mix
		mx.reported, mx.reportedAt = tr, now
	}
}
