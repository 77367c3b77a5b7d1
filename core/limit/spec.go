package limit

import (
	"maps"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Kind is the way in which a resource is limited.
type Kind string

// Kinds of resources.
const (
	KindBucket Kind = "bucket" // rate and burst
	KindSlots  Kind = "slots"  // units in use at the same time
)

// Scope is the set of VMs that divide the total of a resource.
type Scope string

// Scopes of resources.
const (
	ScopeFleet         Scope = "fleet"
	ScopeRegion        Scope = "region"
	ScopeFailureDomain Scope = "failure_domain"
	ScopeLink          Scope = "link" // the VMs of both regions of a link
)

// Spec is the total of one resource. A resource of KindBucket has Rate and Burst, one of KindSlots has Slots, and one
// of ScopeLink also has the regions From and To.
type Spec struct {
	Resource id.Resource
	Kind     Kind
	Scope    Scope
	Rate     unit.MilliPerSecond
	Burst    unit.Milli
	Slots    unit.Milli
	From, To id.Region
}

// OwnedFractions holds the fraction of the fleet's limits that a VM owns, and the fractions of its failure domain, of
// its region and of each region. Within a scope smaller than the fleet, a VM owns PPM divided by the fraction of that
// scope.
type OwnedFractions struct {
	PPM              unit.PPM
	FailureDomainPPM unit.PPM
	RegionPPM        unit.PPM
	Regions          map[id.Region]unit.PPM
}

// Equal reports whether all fractions of ow and ot are equal.
func (ow OwnedFractions) Equal(ot OwnedFractions) bool {
	return ow.PPM == ot.PPM && ow.FailureDomainPPM == ot.FailureDomainPPM && ow.RegionPPM == ot.RegionPPM &&
		maps.Equal(ow.Regions, ot.Regions)
}

// scopeFraction returns the fraction of the VMs among which a resource is divided.
func (ow OwnedFractions) scopeFraction(sp Spec) unit.PPM {
	switch sp.Scope {
	case ScopeFailureDomain:
		return ow.FailureDomainPPM
	case ScopeRegion:
		return ow.RegionPPM
	case ScopeLink:
		return ow.Regions[sp.From] + ow.Regions[sp.To]
	default:
		return unit.Whole
	}
}

// burstWindow determines the burst of link and shift limits, for which the configuration has only a rate: the burst
// is what accrues in this time. With a larger burst, the use in a window of one second could exceed the limit
// noticeably.
const burstWindow = 100 * time.Millisecond

// TeamResource returns the name of a team's bucket.
func TeamResource(tm id.Team) id.Resource { return id.Resource("team/" + string(tm)) }

// PoolResource returns the name of the slots of a pool in a failure domain.
func PoolResource(fd id.FailureDomain, pl id.Pool) id.Resource {
	return id.Resource("pool/" + string(fd) + "/" + string(pl))
}

// RegionResource returns the name of the slots of a region.
func RegionResource(rg id.Region) id.Resource { return id.Resource("region/" + string(rg)) }

// ShiftResource returns the name of the bucket of requests that a region takes over from other regions.
func ShiftResource(rg id.Region) id.Resource { return id.Resource("shift/" + string(rg)) }

// LinkResource returns the name of the bucket of bytes on the link between two regions, in one direction.
func LinkResource(from, to id.Region) id.Resource {
	return id.Resource("link/" + string(from) + "/" + string(to))
}

// Specs returns every resource that a VM of the failure domain may use: all teams, the pools of the failure domain,
// its region, the shift cap of its region, and the links that start or end in its region. For a failure domain that
// is not in the configuration it returns only the teams.
func Specs(cfg *config.Effective, fd id.FailureDomain) []Spec {
	var sps []Spec
	for _, tm := range cfg.Teams {
		sps = append(sps, Spec{
			Resource: TeamResource(tm.Name), Kind: KindBucket, Scope: ScopeFleet, Rate: tm.Rate, Burst: tm.Burst,
		})
	}
	sps = append(sps, poolSpecs(cfg, fd)...)
	rg, ok := regionOf(cfg, fd)
	if !ok {
		return sps
	}
	sps = append(sps, regionSpecs(cfg, rg)...)
	return append(sps, linkSpecs(cfg, rg.Name)...)
}

// poolSpecs returns the slots of each pool that has a target in the failure domain, in the order of the targets. A
// pool whose targets are all drained is included with zero slots.
func poolSpecs(cfg *config.Effective, fd id.FailureDomain) []Spec {
	var sps []Spec
	index := make(map[id.Pool]int)
	for _, st := range cfg.Sites {
		if st.FailureDomain != fd {
			continue
		}
		for _, tg := range st.Targets {
			nr, ok := index[tg.Pool]
			if !ok {
				nr = len(sps)
				index[tg.Pool] = nr
				sps = append(sps, Spec{
					Resource: PoolResource(fd, tg.Pool), Kind: KindSlots, Scope: ScopeFailureDomain,
				})
			}
			if !tg.Drained {
				sps[nr].Slots += unit.Milli(tg.Slots) * unit.One
			}
		}
	}
	return sps
}

// regionSpecs returns the slots and the shift limit of a region. Without a configured capacity, the region has the
// slots of its targets that are not drained.
func regionSpecs(cfg *config.Effective, rg config.Region) []Spec {
	capacity := unit.Milli(rg.Capacity) * unit.One
	if rg.Capacity == 0 {
		capacity = regionSlots(cfg, rg.Name)
	}
	shift := Spec{Resource: ShiftResource(rg.Name), Kind: KindBucket, Scope: ScopeRegion, Rate: rg.ShiftCap}
	if rg.ShiftCap > 0 {
		// One request for each VM, so that a VM with an average fraction can admit a request without a loan.
		shift.Burst = max(rg.ShiftCap.Over(burstWindow), unit.Milli(regionVMs(cfg, rg.Name))*unit.One)
	}
	return []Spec{
		{Resource: RegionResource(rg.Name), Kind: KindSlots, Scope: ScopeRegion, Slots: capacity},
		shift,
	}
}

// linkSpecs returns the links that start or end in a region. The link from A to B carries requests from callers whose
// home is A to the VMs of B, and responses from the VMs of A to callers whose home is B. The VMs of both regions
// therefore divide it.
func linkSpecs(cfg *config.Effective, rg id.Region) []Spec {
	var sps []Spec
	for _, lk := range cfg.Links {
		if lk.From == lk.To || lk.From != rg && lk.To != rg {
			continue
		}
		rate := unit.MilliPerSecond(lk.Capacity.BytesPerSecond()) * unit.MilliPerSecond(unit.One)
		sps = append(sps, Spec{
			Resource: LinkResource(lk.From, lk.To), Kind: KindBucket, Scope: ScopeLink,
			Rate: rate, Burst: rate.Over(burstWindow), From: lk.From, To: lk.To,
		})
	}
	return sps
}

// regionOf returns the region of a failure domain, and false if the configuration lacks either.
func regionOf(cfg *config.Effective, fd id.FailureDomain) (config.Region, bool) {
	for _, fdm := range cfg.FailureDomains {
		if fdm.Name != fd {
			continue
		}
		for _, rg := range cfg.Regions {
			if rg.Name == fdm.Region {
				return rg, true
			}
		}
	}
	return config.Region{}, false
}

// failureDomainsIn returns the failure domains of a region.
func failureDomainsIn(cfg *config.Effective, rg id.Region) map[id.FailureDomain]config.FailureDomain {
	fds := make(map[id.FailureDomain]config.FailureDomain)
	for _, fd := range cfg.FailureDomains {
		if fd.Region == rg {
			fds[fd.Name] = fd
		}
	}
	return fds
}

// regionSlots returns the number of slots of all targets in a region that are not drained.
func regionSlots(cfg *config.Effective, rg id.Region) unit.Milli {
	fds := failureDomainsIn(cfg, rg)
	var sum unit.Milli
	for _, st := range cfg.Sites {
		if _, ok := fds[st.FailureDomain]; !ok {
			continue
		}
		for _, tg := range st.Targets {
			if !tg.Drained {
				sum += unit.Milli(tg.Slots) * unit.One
			}
		}
	}
	return sum
}

// regionVMs returns the configured number of entry VMs in a region.
func regionVMs(cfg *config.Effective, rg id.Region) int {
	var sum int
	for _, fd := range failureDomainsIn(cfg, rg) {
		sum += fd.EntryVMs
	}
	return sum
}
