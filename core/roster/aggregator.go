package roster

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
)

// Aggregators returns the aggregators of a failure domain: the VMs with the fastest network links among those that are alive or
// newly registered. If there are too few of them, a VM that fell silent is added. All VMs with the same view of the fleet choose
// the same aggregators.
func (rs *Roster) Aggregators(now time.Time, fd id.FailureDomain) []Peer {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.aggregators(now, fd)
}

func (rs *Roster) aggregators(now time.Time, fd id.FailureDomain) []Peer {
	var likely, others []Peer
	if fd == rs.self.FailureDomain {
		likely = append(likely, rs.self)
	}
	for _, mb := range rs.members {
		switch {
		case mb.FailureDomain != fd || mb.State.Has(Leaving):
		case mb.Alive(now) || mb.LastSeen.IsZero() && now.Sub(mb.FirstRegistered) < unseenGrace:
			likely = append(likely, mb.Peer)
		default:
			others = append(others, mb.Peer)
		}
	}
	slices.SortFunc(likely, compareSpeed)
	if len(likely) >= aggregatorsPerDomain || len(others) == 0 {
		return likely[:min(len(likely), aggregatorsPerDomain)]
	}
	// Too few VMs are heard. Each second another silent VM is tried, because it may run again.
	slices.SortFunc(others, compareSpeed)
	return append(likely, others[int(now.Unix())%len(others)])
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
