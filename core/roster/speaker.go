package roster

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
)

// Speakers returns the VMs that speak for a failure domain: those with the fastest links out of those that are alive or may be.
// All VMs that see the same fleet choose the same ones.
func (rs *Roster) Speakers(now time.Time, fd id.FailureDomain) []Peer {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.speakers(now, fd)
}

func (rs *Roster) speakers(now time.Time, fd id.FailureDomain) []Peer {
	var likely, others []Peer
	if fd == rs.self.FailureDomain {
		likely = append(likely, rs.self)
	}
	for _, mb := range rs.members {
		switch {
		case mb.FailureDomain != fd || mb.State.Has(Leaving):
		case mb.Alive(now) || mb.Heard.IsZero() && now.Sub(mb.Known) < trialTime:
			likely = append(likely, mb.Peer)
		default:
			others = append(others, mb.Peer)
		}
	}
	slices.SortFunc(likely, bySpeed)
	if len(likely) >= speakersEach || len(others) == 0 {
		return likely[:min(len(likely), speakersEach)]
	}
	// One of those that fell silent is tried in turn, in case all of them returned.
	slices.SortFunc(others, bySpeed)
	return append(likely, others[int(now.Unix())%len(others)])
}

func bySpeed(aa, bb Peer) int {
	return cmp.Or(cmp.Compare(bb.LinkRate, aa.LinkRate), cmp.Compare(aa.VM, bb.VM))
}

// Speaks reports whether this VM speaks for its failure domain.
func (rs *Roster) Speaks(now time.Time) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.speaks(now)
}

func (rs *Roster) speaks(now time.Time) bool {
	return slices.ContainsFunc(rs.speakers(now, rs.self.FailureDomain), func(pr Peer) bool { return pr.VM == rs.self.VM })
}
