package gateway

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/allot"
	"damasklatch/core/id"
	"damasklatch/core/place"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

func (ct *Control) takeStatus(ms statusMsg) {
	st := &ms.st
	if st.VM == ct.self.VM || !ct.roster.Hear(ms.at, ms.from, ms.st) {
		return
	}
	reports := make([]place.Report, len(st.Loads))
	for nr, ld := range st.Loads {
		reports[nr] = place.Report{Target: ld.Target, Total: ld.Total}
	}
	ct.Placer.Reported(ms.at, reports)
	if st.EchoOf == ct.self.Incarnation && st.Version == ct.version {
		ct.Lease.Relay(st.Echo, st.EvidenceAge)
	}
	for name, rev := range st.Changes {
		if pg := ct.progress[objects.Kind(name)]; pg != nil {
			pg.announce(ms.at, objects.Revision(rev))
		}
	}
}

// setAlive tells the placer which VMs are alive, and decides whether this one reads the store for the others.
func (ct *Control) setAlive(now time.Time, members []roster.Member) {
	vms := []candidate{{ct.self.VM, ct.Settings.LinkRate}}
	nb := &neighbors{names: []id.VM{ct.self.VM}, addresses: map[id.VM]string{}}
	for nr := range members {
		mb := &members[nr]
		if !mb.Alive(now) || mb.Status.Leaving {
			continue
		}
		vms = append(vms, candidate{mb.VM, mb.Status.LinkRate})
		if mb.Region == ct.self.Region {
			nb.names = append(nb.names, mb.VM)
			nb.addresses[mb.VM] = mb.StatusAddress
		}
	}
	ct.Limiter.region.Store(nb)
	slices.SortFunc(vms, func(aa, bb candidate) int { return cmp.Compare(aa.name, bb.name) })
	names := make([]id.VM, len(vms))
	for nr, vm := range vms {
		names[nr] = vm.name
	}
	ct.Placer.SetVMs(names)
	ct.Budget.SetSlack(ct.Settings.RetrySlack / float64(len(vms)))
	ct.reader.Store(slices.Contains(chooseReaders(vms), ct.self.VM))
	ct.setSource(now, members)
}

// divide sets the shares of limits. After the lease had ended, other VMs may have divided the shares of this one, so it gives
// them up and shows itself in the store.
func (ct *Control) divide(now time.Time) {
	if lapses := ct.Lease.Lapses(); lapses != ct.lapses {
		ct.lapses = lapses
		ct.Log.Info("lease of the configuration was regained, shares of limits start again", "lapses", lapses)
		ct.Shares.Restart()
		ct.showSelf()
	}
	recent := time.Duration(recentPeriods * float64(ct.period))
	var others []allot.Report
	for _, mb := range ct.roster.Owners(now) {
		others = append(others, allot.Report{
			VM: mb.VM, Process: mb.Incarnation, Demand: mb.Status.Demand, Recent: mb.HeardWithin(now, recent),
			Measuring: mb.Status.Measuring,
		})
	}
	ct.Shares.Divide(now, others)
}

func (ct *Control) plan(now time.Time, members []roster.Member) {
	demand := map[id.Pool]map[id.Region]float64{}
	add := func(rg id.Region, work map[id.Pool]float32) {
		for pl, slots := range work {
			if demand[pl] == nil {
				demand[pl] = map[id.Region]float64{}
			}
			demand[pl][rg] += float64(slots)
		}
	}
	add(ct.self.Region, ct.Placer.Demand(now))
	for nr := range members {
		if members[nr].Alive(now) {
			add(members[nr].Region, members[nr].Status.Work)
		}
	}
	ct.Placer.Plan(now, demand)
}

// setReady decides whether callers may use this VM, and renews the list for look-ups.
func (ct *Control) setReady(now time.Time, members []roster.Member) {
	ks := ct.Adapter.Kinds()
	known := ct.version > 0 && ct.listed[ks.Targets] && ct.listed[ks.Evacuations] && ct.listed[ks.VMs]
	if known && (ct.heardAll(now, members) || now.Sub(ct.started) > helloTime) && !ct.ready.Swap(true) {
		ct.Log.Info("ready for requests", "version", uint64(ct.version), "after_ms", now.Sub(ct.started).Milliseconds())
	}
	dr := &directory{}
	if ct.Ready() {
		dr.vms = append(dr.vms, entryOf(ct.self))
	}
	for nr := range members {
		mb := &members[nr]
		if mb.Alive(now) && mb.Status.Ready && !mb.Status.Leaving {
			dr.vms = append(dr.vms, entryOf(mb.Peer))
		}
	}
	slices.SortFunc(dr.vms, func(aa, bb entry) int { return cmp.Compare(aa.address, bb.address) })
	ct.lookup.Store(dr)
}

func (ct *Control) heardAll(now time.Time, members []roster.Member) bool {
	for nr := range members {
		if !members[nr].Alive(now) {
			return false
		}
	}
	return len(members) > 0
}

// tellOthers sends this VM's status to all others.
func (ct *Control) tellOthers(now time.Time, members []roster.Member) {
	ct.nextTell = now.Add(statusEvery)
	st := ct.status()
	for nr := range members {
		mb := &members[nr]
		if quiet := now.Sub(mb.Heard); !mb.Heard.IsZero() && quiet > forgetVM {
			continue
		}
		st.Echo, st.EchoOf = mb.Status.Sent, mb.Status.Incarnation
		if err := ct.send(mb.StatusAddress, st); err != nil {
			ct.Log.Debug("status not sent", "peer", string(mb.VM), "error", err.Error())
		}
	}
}

func (ct *Control) status() *roster.Status {
	now := time.Now()
	age, ok := ct.Lease.Age()
	if !ok {
		age = -1
	}
	st := &roster.Status{
		VM: ct.self.VM, Incarnation: ct.self.Incarnation, FailureDomain: ct.self.FailureDomain, Region: ct.self.Region,
		CallerAddress: ct.self.CallerAddress, Ready: ct.Ready(), Leaving: ct.leaving.Load(), Version: ct.version,
		EvidenceAge: age, Sent: ct.Lease.Now(), Demand: ct.Shares.Demand(now), Work: ct.Placer.Demand(now),
		LinkRate: ct.Settings.LinkRate, Measuring: ct.Shares.Measuring(now), Silent: ct.roster.Silent(now), Changes: make(map[string]int64, len(ct.changes)),
	}
	if ct.follows() {
		st.RelayAddress = ct.Settings.MetricsAddress
	}
	for kind, rev := range ct.changes {
		st.Changes[string(kind)] = int64(rev)
	}
	for _, rp := range ct.Placer.Reports(ct.lastState) {
		st.Loads = append(st.Loads, roster.Load{Target: rp.Target, Total: rp.Total})
	}
	ct.lastState = now
	return st
}

// Entries implements Directory.
func (ct *Control) Entries(fd id.FailureDomain, rg id.Region) ([]string, time.Duration) {
	dr := ct.lookup.Load()
	if dr == nil {
		return nil, lookupTTL
	}
	return dr.entries(fd, rg), lookupTTL
}
