package roster

import (
	"time"

	"damasklatch/core/id"
)

// addTraffic adds the requests of other VMs, pool by pool.
func addTraffic(sum, more []Traffic) []Traffic {
	for nr := range more {
		tr := &more[nr]
		at := indexOfPool(sum, tr.Pool)
		if at < 0 {
			at = len(sum)
			sum = append(sum, Traffic{Pool: tr.Pool, Bound: map[id.Region]float32{}, Placed: map[id.Region]float32{}})
		}
		sum[at].Arrived += tr.Arrived
		for name, num := range tr.Bound {
			sum[at].Bound[name] += num
		}
		for name, num := range tr.Placed {
			sum[at].Placed[name] += num
		}
	}
	return sum
}

func indexOfPool(list []Traffic, pool id.Pool) int {
	for nr := range list {
		if list[nr].Pool == pool {
			return nr
		}
	}
	return -1
}

// RegionTraffic returns the recent requests of the VMs of this VM's region. If own is true, the figures of this VM's failure domain
// come from the summary of another VM and include the requests of this VM.
func (rs *Roster) RegionTraffic(now time.Time, regionOf map[id.FailureDomain]id.Region) (all []Traffic, own bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for fd, received := range rs.summaries {
		best, ok := mostComplete(now, received)
		if !ok || regionOf[fd] != rs.self.Region || fd == rs.self.FailureDomain && rs.isAggregator(now) {
			continue
		}
		own = own || fd == rs.self.FailureDomain
		all = addTraffic(all, best.sm.Traffic)
	}
	if own {
		return all, true
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == rs.self.FailureDomain && mb.ReportsDirectly(now) {
			all = addTraffic(all, mb.LastReport.Traffic)
		}
	}
	return all, false
}
