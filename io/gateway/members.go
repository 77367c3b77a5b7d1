package gateway

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

// applyStatus applies the report of another VM to the roster, the placer, the lease and the watches.
func (ct *Controller) applyStatus(ms statusEvent) {
	rp := &ms.st.Report
	if rp.VM == ct.self.VM {
		return
	}
	accepted := ct.Roster.Receive(ms.at, ms.st)
	ct.checkIncarnation()
	if !accepted {
		return
	}
	ct.applyLoads(ms.at, rp.Loads)
	for nr := range ms.st.Summaries {
		ct.applyLoads(ms.at, ms.st.Summaries[nr].Loads)
	}
	if rp.EchoOf == ct.incarnation && rp.Version == ct.version {
		ct.Lease.RenewFromPeer(rp.Echo, rp.EvidenceAge)
	}
	ct.noteVersion(ms.at, rp)
	for name, rev := range rp.Changes {
		if pg := ct.progress[objects.Kind(name)]; pg != nil {
			pg.announce(ms.at, objects.Revision(rev))
		}
	}
}

// checkIncarnation renews the registration in the store if the roster has raised the incarnation of this VM.
func (ct *Controller) checkIncarnation() {
	inc := ct.Roster.Self().Incarnation
	if inc == ct.incarnation {
		return
	}
	ct.Log.Warn("incarnation was raised: an earlier process of this VM had a higher one, so the clock has jumped back",
		"incarnation", uint64(inc), "before", uint64(ct.incarnation))
	ct.incarnation = inc
	ct.renewRegistration()
}

func (ct *Controller) applyLoads(now time.Time, loads []roster.Load) {
	reports := make([]placement.LoadReport, len(loads))
	for nr, ld := range loads {
		reports[nr] = placement.LoadReport{Target: ld.Target, Total: ld.Total}
	}
	ct.Placer.ApplyReports(now, reports)
}

// updateMembers tells the placer which VMs are alive, and decides whether this VM reads the store on behalf of others.
func (ct *Controller) updateMembers(now time.Time, members []roster.Member) {
	alive := map[id.Region][]roster.Peer{ct.self.Region: {ct.self}}
	num := 1
	for nr := range members {
		mb := &members[nr]
		if !mb.Alive(now) || mb.State.Has(roster.Leaving) {
			continue
		}
		num++
		alive[mb.Region] = append(alive[mb.Region], mb.Peer)
	}
	ct.Placer.SetVMs(vmsForCallers(alive))
	ct.Budget.SetSlack(ct.Settings.RetrySlack / float64(num))
	ct.isReader.Store(slices.Contains(chooseReaders(ct.candidates(now)), ct.self.VM))
	ct.updateSource(now, members)
}

// vmsForCallers returns the VMs of each region that callers are told to use. The others get too few requests to warm up targets.
func vmsForCallers(alive map[id.Region][]roster.Peer) map[id.Region][]id.VM {
	names := make(map[id.Region][]id.VM, len(alive))
	for rg, peers := range alive {
		for _, pr := range roster.ListForCallers(peers) {
			names[rg] = append(names[rg], pr.VM)
		}
	}
	return names
}

// candidates returns the aggregators of all failure domains, sorted by name.
func (ct *Controller) candidates(now time.Time) []candidate {
	var all []candidate
	for fd, rg := range ct.Settings.Regions {
		for _, pr := range ct.Roster.Aggregators(now, fd) {
			all = append(all, candidate{pr.VM, rg, pr.LinkRate})
		}
	}
	slices.SortFunc(all, func(aa, bb candidate) int { return cmp.Compare(aa.name, bb.name) })
	return all
}

// updateCoordinated decides for which teams this VM counts the requests of its failure domain. If the lease has lapsed,
// another VM may have become the coordinator meanwhile. The VM then discards its tokens and renews its registration.
func (ct *Controller) updateCoordinated(now time.Time) {
	if lapses := ct.Lease.Lapses(); lapses != ct.lapses {
		ct.lapses = lapses
		ct.Log.Info("lease of the configuration was regained, limits are counted from zero", "lapses", lapses)
		ct.Ledger.DiscardTokens(now)
		ct.renewRegistration()
	}
	ct.Ledger.SetCoordinated(now, ct.isCoordinator)
}

// isCoordinator reports whether this VM counts the requests of a team in its failure domain.
func (ct *Controller) isCoordinator(team id.Team) bool {
	pr, _ := ct.Roster.Coordinator(time.Now(), ct.self.FailureDomain, team)
	return ct.loaded[ct.Adapter.Kinds().VMs] && pr.VM == ct.self.VM
}

// updatePlan passes the demand for slots by pool and region to the placer.
func (ct *Controller) updatePlan(now time.Time) {
	regions, own := ct.Roster.Demand(now, ct.Settings.Regions)
	if mine := ct.Placer.Demand(now); !own {
		regions.Add(ct.self.Region, mine)
	}
	traffic, own := ct.Roster.RegionTraffic(now, ct.Settings.Regions)
	all := placedTraffic(traffic)
	if !own {
		for name, mine := range ct.Placer.Traffic(now) {
			sum := all[name]
			sum.Add(mine)
			all[name] = sum
		}
	}
	ct.Placer.SetRegionTraffic(now, all)
	ct.Placer.UpdatePlan(now, regions.ByPool())
}

// reportedTraffic returns the recent requests of this VM as it reports them.
func reportedTraffic(all map[id.Pool]placement.Traffic) []roster.Traffic {
	list := make([]roster.Traffic, 0, len(all))
	for name, tr := range all {
		list = append(list, roster.Traffic{
			Pool: name, Arrived: float32(tr.Arrived), Bound: convertCounts[float32](tr.Bound), Placed: convertCounts[float32](tr.Placed),
		})
	}
	return list
}

// placedTraffic returns reported requests by pool, for the placer.
func placedTraffic(list []roster.Traffic) map[id.Pool]placement.Traffic {
	all := make(map[id.Pool]placement.Traffic, len(list))
	for nr := range list {
		tr := &list[nr]
		all[tr.Pool] = placement.Traffic{
			Arrived: float64(tr.Arrived), Bound: convertCounts[float64](tr.Bound), Placed: convertCounts[float64](tr.Placed),
		}
	}
	return all
}

func convertCounts[To, From float32 | float64](counts map[id.Region]From) map[id.Region]To {
	all := make(map[id.Region]To, len(counts))
	for name, num := range counts {
		all[name] = To(num)
	}
	return all
}

// updateReady decides whether this VM is ready for requests, and updates the directory for look-ups.
func (ct *Controller) updateReady(now time.Time, members []roster.Member) {
	ks := ct.Adapter.Kinds()
	known := ct.version > 0 && ct.loaded[ks.Targets] && ct.loaded[ks.Evacuations] && ct.loaded[ks.VMs]
	if known && (ct.allAlive(now, members) || now.Sub(ct.started) > peerWaitTime) && !ct.ready.Swap(true) {
		ct.Log.Info("gateway is ready for requests", "version", uint64(ct.version), "after_ms", now.Sub(ct.started).Milliseconds())
	}
	var ready []roster.Peer
	if ct.Ready() {
		ready = append(ready, ct.self)
	}
	for nr := range members {
		mb := &members[nr]
		if mb.Alive(now) && mb.State.Has(roster.Ready) && !mb.State.Has(roster.Leaving) {
			ready = append(ready, mb.Peer)
		}
	}
	ct.lookup.Store(newDirectory(ready))
}

func (ct *Controller) allAlive(now time.Time, members []roster.Member) bool {
	for nr := range members {
		if !members[nr].Alive(now) {
			return false
		}
	}
	return len(members) > 0
}

// Entries implements Directory. It returns no addresses before the first update of the directory.
func (ct *Controller) Entries(_ id.FailureDomain, rg id.Region) ([]string, time.Duration) {
	dr := ct.lookup.Load()
	if dr == nil {
		return nil, lookupTTL
	}
	return dr.entries(rg), lookupTTL
}
