package lookup

import (
	"net/netip"

	"damasklatch/core/id"
)

// MaxEntries is the largest number of VMs that a look-up returns.
const MaxEntries = 4

// Limits on the VMs in one result. They spread the result over failure domains and reserve one entry for another region,
// so that a caller with a cached result still has a VM to try if a failure domain is lost or a region is full.
const (
	maxPerFailureDomain = 2
	maxHomeRegion       = MaxEntries - 1
	maxFullHomeRegion   = 1 // for a home region without free slots; it is still tried first, because its reports lag
)

// Pick appends to dst the VMs that a caller at addr should try for the route, best first, at most MaxEntries of them.
// The sequence number rotates the VMs of a failure domain, so that successive look-ups spread over them. It does not
// allocate if dst has the capacity.
//
// VMs of the home region come first, beginning with the home failure domain. VMs of other regions follow in order of
// latency; they admit such requests only within their shift cap. Failure domains with free slots come before those
// without, but a home region without any free slot still gets the first entry. Drained failure domains and those without
// a usable target for the route are left out.
func (tb *Table) Pick(vw *View, addr netip.Addr, rt id.Route, seq uint64, dst []*VM) []*VM {
	pool, ok := tb.routes[rt]
	if !ok || len(tb.sites) == 0 {
		return dst
	}
	home := &tb.domains[tb.homeDomain(addr)]
	pk := picker{tb: tb, vw: vw, pool: pool, seq: seq, dst: dst, start: len(dst)}
	own, others := tb.splitRegions(home)
	pk.add(own, true, maxHomeRegion)
	if len(pk.dst) == pk.start {
		pk.add(own, false, maxFullHomeRegion)
	}
	pk.add(others, true, MaxEntries)
	pk.add(own, false, MaxEntries)
	pk.add(others, false, MaxEntries)
	return pk.dst
}

// splitRegions divides the failure domains, ordered by distance, into those of the home region and the others.
func (tb *Table) splitRegions(home *domain) (own, others []int) {
	nr := 0
	for nr < len(home.byDistance) && tb.domains[home.byDistance[nr]].region == home.region {
		nr++
	}
	return home.byDistance[:nr], home.byDistance[nr:]
}

// picker collects the VMs of one result.
type picker struct {
	tb    *Table
	vw    *View
	pool  id.Pool
	seq   uint64
	dst   []*VM
	start int
}

// add appends VMs of the failure domains that report free slots, or of those that report none, as hasFree tells. It stops
// when the result has limit VMs.
func (pk *picker) add(domains []int, hasFree bool, limit int) {
	for _, nr := range domains {
		if len(pk.dst)-pk.start >= limit {
			return
		}
		dm := &pk.tb.domains[nr]
		if !dm.usable || !dm.pools[pk.pool] {
			continue
		}
		dv := pk.vw.domains[dm.name]
		if dv == nil || (dv.free[pk.pool] > 0) != hasFree {
			continue
		}
		for kt := range min(maxPerFailureDomain, len(dv.vms)) {
			vm := dv.vms[(pk.seq+uint64(kt))%uint64(len(dv.vms))]
			if len(pk.dst)-pk.start >= limit {
				return
			}
			if !pk.isPicked(vm) {
				pk.dst = append(pk.dst, vm)
			}
		}
	}
}

// isPicked reports whether the VM is in the result already.
func (pk *picker) isPicked(vm *VM) bool {
	for _, ot := range pk.dst[pk.start:] {
		if ot == vm {
			return true
		}
	}
	return false
}
