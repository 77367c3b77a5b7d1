package cli

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"damasklatch/core/id"
	"damasklatch/core/unit"
	"damasklatch/io/peer/peerpb"
)

// fleetStatus is the JSON form of the status of all VMs.
type fleetStatus struct {
	VMs     []vmStatus     `json:"vms"`
	Pools   []poolStatus   `json:"pools"`
	Targets []targetStatus `json:"targets,omitempty"`
}

// poolStatus holds the sums of a pool over the VMs of a failure domain. Pool is empty if no VM of the failure domain
// replied.
type poolStatus struct {
	FailureDomain string `json:"failure_domain"`
	Pool          string `json:"pool"`
	InFlight      int64  `json:"in_flight"`
	FreeSlots     int64  `json:"free_slots"`
	Answered      int    `json:"vms_answered"`
	VMs           int    `json:"vms"`
}

// targetStatus holds the sums of a target over the VMs of its failure domain.
type targetStatus struct {
	Target        string   `json:"target"`
	FailureDomain string   `json:"failure_domain"`
	Pool          string   `json:"pool"`
	States        []string `json:"states"` // the distinct states that the VMs report
	InFlight      int64    `json:"in_flight"`
	Slots         int64    `json:"slots"`
	Answered      int      `json:"vms_answered"`
	VMs           int      `json:"vms"`
}

// statusSums sums the status replies of VMs by pool and by target.
type statusSums struct {
	vms      map[string]int // number of VMs by failure domain
	byPool   map[[2]string]*poolStatus
	byTarget map[string]*targetStatus
}

func newStatusSums() *statusSums {
	return &statusSums{make(map[string]int), make(map[[2]string]*poolStatus), make(map[string]*targetStatus)}
}

// add counts a VM and, if it replied, adds its pools and targets.
func (ds *statusSums) add(domain id.FailureDomain, rp *peerpb.StatusReply, answered bool) {
	fd := string(domain)
	ds.vms[fd]++
	if !answered {
		return
	}
	for _, rs := range rp.GetResources() {
		pool, ok := strings.CutPrefix(rs.GetResource(), "pool/"+fd+"/")
		if !ok {
			continue
		}
		key := [2]string{fd, pool}
		ps := ds.byPool[key]
		if ps == nil {
			ps = &poolStatus{FailureDomain: fd, Pool: pool}
			ds.byPool[key] = ps
		}
		ps.Answered++
		ps.InFlight += rs.GetInFlightMilli() / int64(unit.One)
		ps.FreeSlots += freeSlots(rs)
	}
	for _, tg := range rp.GetTargets() {
		ts := ds.byTarget[tg.GetTarget()]
		if ts == nil {
			ts = &targetStatus{Target: tg.GetTarget(), FailureDomain: fd, Pool: tg.GetPool()}
			ds.byTarget[tg.GetTarget()] = ts
		}
		ts.Answered++
		ts.InFlight += int64(tg.GetInFlight())
		ts.Slots += int64(tg.GetSlots())
		if !slices.Contains(ts.States, tg.GetState()) {
			ts.States = append(ts.States, tg.GetState())
			slices.Sort(ts.States)
		}
	}
}

// pools returns the sums sorted by failure domain and pool.
func (ds *statusSums) pools() []poolStatus {
	var list []poolStatus
	for _, ps := range ds.byPool {
		ps.VMs = ds.vms[ps.FailureDomain]
		list = append(list, *ps)
	}
	for fd, vms := range ds.vms {
		if !slices.ContainsFunc(list, func(ps poolStatus) bool { return ps.FailureDomain == fd }) {
			list = append(list, poolStatus{FailureDomain: fd, VMs: vms})
		}
	}
	slices.SortFunc(list, func(pa, pb poolStatus) int {
		return cmp.Or(cmp.Compare(pa.FailureDomain, pb.FailureDomain), cmp.Compare(pa.Pool, pb.Pool))
	})
	return list
}

// targets returns the sums sorted by target.
func (ds *statusSums) targets() []targetStatus {
	var list []targetStatus
	for _, name := range slices.Sorted(maps.Keys(ds.byTarget)) {
		ts := ds.byTarget[name]
		ts.VMs = ds.vms[ts.FailureDomain]
		list = append(list, *ts)
	}
	return list
}

func (fs *fleetStatus) writeSums(ev *Env) {
	number := func(nr int64) string { return strconv.FormatInt(nr, 10) }
	var pools, targets [][]string
	for _, ps := range fs.Pools {
		row := []string{ps.FailureDomain, ps.Pool, "", "", fmt.Sprintf("%d of %d", ps.Answered, ps.VMs)}
		if ps.Pool != "" {
			row[2], row[3] = number(ps.InFlight), number(ps.FreeSlots)
		}
		pools = append(pools, row)
	}
	for _, ts := range fs.Targets {
		targets = append(targets, []string{
			ts.Target, ts.FailureDomain, ts.Pool, strings.Join(ts.States, ","), number(ts.InFlight), number(ts.Slots),
			fmt.Sprintf("%d of %d", ts.Answered, ts.VMs),
		})
	}
	if len(pools) > 0 {
		fmt.Fprintln(ev.Stdout)
		writeTable(ev.Stdout, []string{"FAILURE DOMAIN", "POOL", "IN FLIGHT", "FREE SLOTS", "VMS ANSWERED"}, pools)
	}
	if len(targets) > 0 {
		fmt.Fprintln(ev.Stdout)
		writeTable(ev.Stdout, []string{"TARGET", "FAILURE DOMAIN", "POOL", "STATE", "IN FLIGHT", "SLOTS", "VMS ANSWERED"}, targets)
	}
}
