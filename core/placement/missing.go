package placement

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

// significantMissing is the part of a region's slots that must be missing before the region counts as one that lacks slots.
const significantMissing = 0.08

// lacksSlots reports whether a significant part of the slots that are registered for the pool in a region is missing because targets
// there pause, return from a pause, or leave.
func (pl *pool) lacksSlots(now time.Time, region id.Region) bool {
	var all, missing float64
	for _, ts := range pl.regions[region] {
		slots := float64(ts.Slots)
		all += slots
		if ts.leaving {
			missing += slots
		} else {
			missing += slots * (1 - ts.returned(now))
		}
	}
	return missing > 0 && missing >= significantMissing*all
}

// pickElsewhere chooses a target in another region for a request that is refused in a region which lacks slots. The plan moves work to
// other regions too, but only a limited part in a second, and the request would be refused meanwhile. Regions that lack slots
// themselves are left out: their targets do not know the object, and the work would displace that of their own. It returns the refusal
// if no region has a target with an acceptable wait.
func (pc *Placer) pickElsewhere(now time.Time, pl *pool, rq *Request, object uint64, rf *Refusal) (Choice, *Refusal) {
	if rf.Reason != Full || !pl.lacksSlots(now, rf.Region) {
		return Choice{}, rf
	}
	var others []id.Region
	for name := range pl.regions {
		if name != rf.Region && !pl.lacksSlots(now, name) && pc.regionUsable(now, pl, rq, object, name) {
			others = append(others, name)
		}
	}
	// The order differs between objects, so that the work is spread over the regions.
	rank := func(name id.Region) uint64 { return rendezvous.Mix(object ^ rendezvous.Hash(string(name))) }
	slices.SortFunc(others, func(aa, bb id.Region) int { return cmp.Compare(rank(aa), rank(bb)) })
	for _, name := range others {
		if ch, refused := pc.pickInRegion(now, pl, rq, object, name); refused == nil {
			return ch, nil
		}
	}
	return Choice{}, rf
}
