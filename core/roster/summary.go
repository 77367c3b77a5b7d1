package roster

import (
	"cmp"
	"math"
	"time"

	"damasklatch/core/id"
)

// receivedSummary is a summary from an aggregator and the time at which it was made.
type receivedSummary struct {
	sm Summary
	at time.Time // by this VM's clock
}

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

// SlotDemand returns the number of slots that the demand of other VMs needs, by region and pool. If own is true, the figures of
// this VM's failure domain come from the summary of another VM and include the demand of this VM.
func (rs *Roster) SlotDemand(now time.Time, regionOf map[id.FailureDomain]id.Region) (work map[id.Region]map[id.Pool]float64, own bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	work = map[id.Region]map[id.Pool]float64{}
	add := func(rg id.Region, more map[id.Pool]float32) {
		if work[rg] == nil {
			work[rg] = map[id.Pool]float64{}
		}
		for pl, slots := range more {
			work[rg][pl] += float64(slots)
		}
	}
	for fd, all := range rs.summaries {
		best, ok := mostComplete(now, all)
		if !ok || fd == rs.self.FailureDomain && rs.isAggregator(now) {
			continue
		}
		own = own || fd == rs.self.FailureDomain
		add(regionOf[fd], best.sm.Work)
	}
	if own {
		return work, true
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == rs.self.FailureDomain && mb.ReportsDirectly(now) {
			add(mb.Region, mb.LastReport.Work)
		}
	}
	return work, false
}

// mostComplete returns the summary that lists the most VMs among those made within summaryLifetime. It reports false if there is
// none.
func mostComplete(now time.Time, all map[id.VM]receivedSummary) (receivedSummary, bool) {
	var best receivedSummary
	var from id.VM
	for name, rv := range all {
		if now.Sub(rv.at) >= summaryLifetime {
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
	sm := Summary{FailureDomain: rs.self.FailureDomain, Work: map[id.Pool]float32{}}
	sm.Members = append(sm.Members, Liveness{Key: KeyOf(rs.self.VM, rs.self.Incarnation), State: own.State})
	add := func(work map[id.Pool]float32) {
		for pl, slots := range work {
			sm.Work[pl] += slots
		}
	}
	add(own.Work)
	for _, mb := range rs.members {
		if mb.FailureDomain != rs.self.FailureDomain || !mb.ReportsDirectly(now) {
			continue
		}
		age := min(now.Sub(mb.LastReportAt).Milliseconds(), math.MaxUint16)
		sm.Members = append(sm.Members, Liveness{Key: KeyOf(mb.VM, mb.Incarnation), State: mb.State, Age: uint16(age)})
		add(mb.LastReport.Work)
	}
	sm.Loads = loadList(rs.loads)
	clear(rs.loads)
	return sm
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
