package roster

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
)

// Aggregators returns the aggregators of a failure domain: the VMs with the fastest network links among those that are alive or
// newly registered. VMs with the same view of the fleet choose the same ones. If there are too few of them, a VM that fell silent is
// added.
func (rs *Roster) Aggregators(now time.Time, fd id.FailureDomain) []Peer {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.aggregators(now, fd)
}

func (rs *Roster) aggregators(now time.Time, fd id.FailureDomain) []Peer {
	var candidates, silent []Peer
	if fd == rs.self.FailureDomain {
		candidates = append(candidates, rs.self)
	}
	for _, mb := range rs.members {
		switch {
		case mb.FailureDomain != fd || mb.State.Has(Leaving):
		case mb.Alive(now) || mb.LastSeen.IsZero() && now.Sub(mb.FirstRegistered) < unseenGrace:
			candidates = append(candidates, mb.Peer)
		default:
			silent = append(silent, mb.Peer)
		}
	}
	slices.SortFunc(candidates, compareSpeed)
	if len(candidates) >= aggregatorsPerDomain || len(silent) == 0 {
		return candidates[:min(len(candidates), aggregatorsPerDomain)]
	}
	// There are too few candidates. Each second another silent VM is tried, in case it is running again. It need not be the one that other
	// VMs try.
	slices.SortFunc(silent, compareSpeed)
	turn := int(max(now.Sub(rs.peersSince), 0) / time.Second)
	return append(candidates, silent[turn%len(silent)])
}

// compareSpeed orders the fastest link first, and VMs with equal links by name.
func compareSpeed(aa, bb Peer) int {
	return cmp.Or(cmp.Compare(bb.LinkRate, aa.LinkRate), cmp.Compare(aa.VM, bb.VM))
}

// IsAggregator reports whether this VM is an aggregator of its failure domain.
func (rs *Roster) IsAggregator(now time.Time) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.isAggregator(now)
}

func (rs *Roster) isAggregator(now time.Time) bool {
	return slices.ContainsFunc(rs.aggregators(now, rs.self.FailureDomain), func(pr Peer) bool { return pr.VM == rs.self.VM })
}
