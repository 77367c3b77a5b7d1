package roster

import (
	"cmp"
	"slices"

	"damasklatch/core/id"
)

// minListed is the smallest number of VMs of a region that callers are told to use, if the region has so many.
const minListed = 3

// ListForCallers returns the VMs of a region that callers should use, sorted by address. Callers choose evenly among them, so the
// VM with the slowest link limits the traffic that all of them can carry together. The VMs with the slowest links are left out if
// the others can carry more without them: requests through a slow link would queue behind large responses. At least minListed VMs
// are returned and at least one of each failure domain, so that callers have another VM if one is lost.
func ListForCallers(region []Peer) []Peer {
	list := slices.Clone(region)
	slices.SortFunc(list, func(aa, bb Peer) int {
		return cmp.Or(cmp.Compare(bb.LinkRate, aa.LinkRate), cmp.Compare(aa.CallerAddress, bb.CallerAddress))
	})
	list = list[:countToList(list)]
	slices.SortFunc(list, func(aa, bb Peer) int { return cmp.Compare(aa.CallerAddress, bb.CallerAddress) })
	return list
}

// countToList returns how many of the VMs, which are sorted by descending link rate, callers should use.
func countToList(list []Peer) int {
	if len(list) == 0 || list[len(list)-1].LinkRate <= 0 {
		return len(list)
	}
	best, most := len(list), 0.0
	for num := leastToList(list); num <= len(list); num++ {
		if carried := float64(num) * list[num-1].LinkRate; carried >= most {
			best, most = num, carried
		}
	}
	return best
}

// leastToList returns the number of VMs at the front of the list that has minListed VMs and one of each failure domain.
func leastToList(list []Peer) int {
	domains := map[id.FailureDomain]bool{}
	least := min(minListed, len(list))
	for nr, pr := range list {
		if !domains[pr.FailureDomain] {
			domains[pr.FailureDomain] = true
			least = max(least, nr+1)
		}
	}
	return least
}
