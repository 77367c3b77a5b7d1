package placement

import (
	"slices"
	"time"

	"damasklatch/core/id"
)

// chooseRegion chooses a region according to the plan. Without a plan, or if the plan has no usable region, it chooses the own
// region if that is usable, and otherwise an arbitrary usable region.
func (pc *Placer) chooseRegion(now time.Time, pl *pool, rq *Request, object uint64, exceeded map[id.Region]bool) (id.Region, bool) {
	usable := func(name id.Region) bool { return pc.regionUsable(now, pl, rq, object, name) }
	if pl.plan.weights != nil {
		if name, ok := pl.followPlan(rq, object, usable, exceeded); ok {
			return name, true
		}
	}
	if usable(pc.op.Region) {
		return pc.op.Region, true
	}
	for name := range pl.regions {
		if usable(name) {
			return name, true
		}
	}
	return "", false
}

// followPlan chooses a region by the weights of the plan, as far as possible one that has not exceeded its weight.
func (pl *pool) followPlan(rq *Request, object uint64, usable func(id.Region) bool, exceeded map[id.Region]bool) (id.Region, bool) {
	if len(pl.boundRegions(rq)) == 0 {
		return pl.plan.chooseRegion(object, rq.Object != "", usable, exceeded)
	}
	open := func(name id.Region) bool { return usable(name) && !exceeded[name] }
	if name, ok := pl.plan.chooseBound(object, open); ok {
		return name, true
	}
	return pl.plan.chooseBound(object, usable)
}

// regionUsable reports whether the request may be sent to the region and an eligible target exists there.
func (pc *Placer) regionUsable(now time.Time, pl *pool, rq *Request, object uint64, name id.Region) bool {
	if rq.Allowed != nil && !rq.Allowed(name) {
		return false
	}
	return slices.ContainsFunc(pl.regions[name], func(ts *targetState) bool { return pc.eligible(now, ts, rq, object) })
}
