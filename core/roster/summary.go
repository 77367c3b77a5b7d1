package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/workload"
)

// receivedSummary is a summary from an aggregator and the time at which it was made.
type receivedSummary struct {
	sm Summary
	at time.Time // by this VM's clock
}

// recent reports whether the summary counts as current.
func (rv *receivedSummary) recent(now time.Time) bool { return now.Sub(rv.at) < summaryLifetime }

// addSummary stores a summary if it is newer than the stored one of its sender, and updates the VMs that it lists.
func (rs *Roster) addSummary(now time.Time, aggregator id.VM, sm Summary) {
	made := now.Add(-max(sm.Age, 0))
	if rs.summaries[sm.FailureDomain] == nil {
		rs.summaries[sm.FailureDomain] = map[id.VM]receivedSummary{}
	}
	if made.After(rs.summaries[sm.FailureDomain][aggregator].at) {
		rs.summaries[sm.FailureDomain][aggregator] = receivedSummary{sm, made}
	}
	for _, lv := range sm.Members {
		mb := rs.byKey[lv.Key]
		if mb == nil || mb.FailureDomain != sm.FailureDomain {
			continue
		}
		if at := made.Add(-time.Duration(lv.Age) * time.Millisecond); at.After(mb.LastSeen) {
			mb.LastSeen, mb.State = at, lv.State
		}
	}
}

// RecordLoads adds loads that this VM has observed itself to its next summary.
func (rs *Roster) RecordLoads(loads []Load) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	mergeLoads(rs.loads, loads)
}

// RegionDemand is the demand that arrives in each region, by pool.
type RegionDemand map[id.Region]map[id.Pool]workload.Demand

// Add adds the demand of a VM or of a failure domain to that of a region.
func (rd RegionDemand) Add(rg id.Region, all map[id.Pool]workload.Demand) {
	if rd[rg] == nil {
		rd[rg] = map[id.Pool]workload.Demand{}
	}
	for pl, more := range all {
		dm := rd[rg][pl]
		dm.Add(more)
		rd[rg][pl] = dm
	}
}

// ByPool returns the demand by pool and region. Regions without demand for a pool are included with zero, as long as they are
// known.
func (rd RegionDemand) ByPool() map[id.Pool]map[id.Region]workload.Demand {
	all := map[id.Pool]map[id.Region]workload.Demand{}
	for _, pools := range rd {
		for pl := range pools {
			all[pl] = make(map[id.Region]workload.Demand, len(rd))
		}
	}
	for pl, regions := range all {
		for rg, pools := range rd {
			regions[rg] = pools[pl]
		}
	}
	return all
}

// demandOf returns reported work as demand for each pool.
func demandOf(work map[id.Pool]float32, bound BoundWork) map[id.Pool]workload.Demand {
	all := make(map[id.Pool]workload.Demand, len(work))
	for pl, slots := range work {
		dm := workload.Demand{Slots: float64(slots)}
		for rg, part := range bound[pl] {
			dm.AddBound(rg, float64(part))
		}
		all[pl] = dm
	}
	return all
}

// Demand returns the demand that arrives at other VMs. If own is true, the figures of this VM's failure domain come from the
// summary of another VM and include the demand of this VM. A region that no VM has reported is missing.
func (rs *Roster) Demand(now time.Time, regionOf map[id.FailureDomain]id.Region) (all RegionDemand, own bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	all = RegionDemand{}
	for fd, received := range rs.summaries {
		best, ok := mostComplete(now, received)
		if !ok || fd == rs.self.FailureDomain && rs.isAggregator(now) {
			continue
		}
		own = own || fd == rs.self.FailureDomain
		all.Add(regionOf[fd], demandOf(best.sm.Work, best.sm.Bound))
	}
	if own {
		return all, true
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == rs.self.FailureDomain && mb.ReportsDirectly(now) {
			all.Add(mb.Region, demandOf(mb.LastReport.Work, mb.LastReport.Bound))
		}
	}
	return all, false
}

// mostComplete returns the summary that lists the most VMs among those made within summaryLifetime. It reports false if there is
// none.
func mostComplete(now time.Time, all map[id.VM]receivedSummary) (receivedSummary, bool) {
	var best receivedSummary
	var from id.VM
	for name, rv := range all {
		if !rv.recent(now) {
			continue
		}
		more := cmp.Or(cmp.Compare(len(rv.sm.Members), len(best.sm.Members)), cmp.Compare(from, name))
		if best.at.IsZero() || more > 0 {
			best, from = rv, name
		}
	}
	return best, !best.at.IsZero()
}

// Summary returns the summary of this VM's failure domain, made from its own report and the recent reports of the other VMs. The
// loads collected since the last call are moved into it.
func (rs *Roster) Summary(now time.Time, own *Report) Summary {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	sm := Summary{FailureDomain: rs.self.FailureDomain, Work: map[id.Pool]float32{}, Bound: BoundWork{}}
	sm.Members = append(sm.Members, Liveness{Key: KeyOf(rs.self.VM, rs.self.Incarnation), State: own.State})
	add := func(rp *Report) {
		for pl, slots := range rp.Work {
			sm.Work[pl] += slots
		}
		sm.Bound.add(rp.Bound)
		sm.Traffic = addTraffic(sm.Traffic, rp.Traffic)
	}
	add(own)
	for _, mb := range rs.members {
		if mb.FailureDomain != rs.self.FailureDomain || !mb.ReportsDirectly(now) {
			continue
		}
		age := min(now.Sub(mb.LastReportAt).Milliseconds(), math.MaxUint16)
		sm.Members = append(sm.Members, Liveness{Key: mb.key(), State: mb.State, Age: uint16(age)})
		add(&mb.LastReport)
	}
	sm.Loads = loadList(rs.loads)
	clear(rs.loads)
	return sm
}

// UnheardBy returns the recent summaries of a peer's failure domain that tell the peer of VMs which it doesn't hear itself, and which
// this VM doesn't report to it either. VMs of a failure domain that have lost only each other learn in this way that the other ones still
// count requests.
func (rs *Roster) UnheardBy(now time.Time, peer id.VM) []Summary {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	mb := rs.members[peer]
	if mb == nil {
		return nil
	}
	received := rs.summaries[mb.FailureDomain]
	heard := map[Key]bool{}
	if latest, ok := received[peer]; ok && latest.recent(now) {
		latest.sm.addKeys(heard)
	} else if mb.FailureDomain == rs.self.FailureDomain {
		rs.addDirectKeys(now, heard)
	} else {
		return nil
	}
	var list []Summary
	for _, rv := range received {
		if rv.recent(now) && rv.sm.listsOther(heard) {
			rv.sm.Age = now.Sub(rv.at)
			list = append(list, rv.sm)
		}
	}
	slices.SortFunc(list, func(sm, ot Summary) int { return cmp.Compare(sm.Age, ot.Age) })
	return list
}

// addDirectKeys adds the keys of this VM and of the VMs of its failure domain that report to it.
func (rs *Roster) addDirectKeys(now time.Time, keys map[Key]bool) {
	keys[KeyOf(rs.self.VM, rs.self.Incarnation)] = true
	for _, mb := range rs.members {
		if mb.FailureDomain == rs.self.FailureDomain && mb.ReportsDirectly(now) {
			keys[mb.key()] = true
		}
	}
}

// addKeys adds the keys of the VMs that the summary lists.
func (sm *Summary) addKeys(keys map[Key]bool) {
	for _, lv := range sm.Members {
		keys[lv.Key] = true
	}
}

// listsOther reports whether the summary lists a VM that is not among the given ones.
func (sm *Summary) listsOther(keys map[Key]bool) bool {
	return slices.ContainsFunc(sm.Members, func(lv Liveness) bool { return !keys[lv.Key] })
}

// Summaries returns the most complete recent summary of each of the other failure domains, with its present age.
func (rs *Roster) Summaries(now time.Time) []Summary {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	var list []Summary
	for fd, all := range rs.summaries {
		if fd == rs.self.FailureDomain {
			continue
		}
		if rv, ok := mostComplete(now, all); ok {
			rv.sm.Age = now.Sub(rv.at)
			list = append(list, rv.sm)
		}
	}
	return list
}
