package roster

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
)

// Aggregators returns the VMs that speak for a failure domain: those with the fastest links out of those that are alive or may be.
// All VMs that see the same fleet choose the same ones.
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
	slices.SortFunc(likely, bySpeed)
	if len(likely) >= aggregatorsPerDomain || len(others) == 0 {
		return likely[:min(len(likely), aggregatorsPerDomain)]
	}
	// One of those that fell silent is tried in turn, in case all of them returned.
	slices.SortFunc(others, bySpeed)
	return append(likely, others[int(now.Unix())%len(others)])
}

func bySpeed(aa, bb Peer) int {
	return cmp.Or(cmp.Compare(bb.LinkRate, aa.LinkRate), cmp.Compare(aa.VM, bb.VM))
}

// IsAggregator reports whether this VM speaks for its failure domain.
func (rs *Roster) IsAggregator(now time.Time) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.isAggregator(now)
}

func (rs *Roster) isAggregator(now time.Time) bool {
	return slices.ContainsFunc(rs.aggregators(now, rs.self.FailureDomain), func(pr Peer) bool { return pr.VM == rs.self.VM })
}
