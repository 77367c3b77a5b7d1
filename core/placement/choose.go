package placement

import (
	"slices"
	"time"

	"damasklatch/core/id"
)

const (
	// minLocalTargets is the number of targets that a failure domain must have to be preferred for large responses: fewer know too
	// few objects.
	minLocalTargets = 3
	// The longest acceptable wait at a target, as a fraction of the latency objective, for urgent and for other requests. The
	// limit for urgent requests is higher, so that they are still accepted when other requests are refused under load.
	urgentWaitFraction = 0.4
	normalWaitFraction = 0.3
	// exceedingWaitFraction is the part of that for requests of teams that have got more than their share of a pool with too little
	// room, so that the others find shorter queues.
	exceedingWaitFraction = 0.75
	// inTimeFraction is the fraction of the latency objective within which a response must be expected for the request to overflow to
	// a target that does not know its object.
	inTimeFraction = 0.75
	// replicaUtilization and overflowUtilization are the parts of a region's slots that may be busy for requests to go to the second
	// target of their object, and to any target. Work on unknown objects takes so much longer that it makes a busy region busier.
	replicaUtilization  = 0.75
	overflowUtilization = 0.6
	// idleFraction is the fraction of a target's slots up to which it gets requests on objects that it does not know.
	idleFraction = 0.4
)

// acceptableWait reports whether a request may be sent to a target where it waits for the given time. The limit does not depend
// on the distance to the target's region, so that requests from distant regions are not refused first.
func acceptableWait(rq *Request, wait time.Duration) bool {
	fraction := urgentWaitFraction
	if !rq.Urgent {
		fraction = normalWaitFraction
	}
	if rq.exceedsShare {
		fraction *= exceedingWaitFraction
	}
	return wait <= 0 || wait < rq.Remaining && wait <= time.Duration(fraction*float64(rq.Objective))
}

// eligible reports whether this VM may send the request to the target now. A target that was tried before is not eligible. A
// cold target is eligible only for the VMs that warm it up, at a limited rate.
func (pc *Placer) eligible(now time.Time, ts *targetState, rq *Request, object uint64) bool {
	if !ts.usable(now) || !pc.openFor(now, ts, object) || slices.Contains(rq.Tried, ts.ID) {
		return false
	}
	if now.Before(ts.coldUntil) {
		return ts.coldPacer.ready(now) && sendsToCold(ts.hash, pc.op.Self, pc.warmingVMs(ts))
	}
	return true
}

// warmingVMs returns the VMs of which some warm up the target: those of its region, or all VMs if there are none. VMs of other
// regions send nothing to a cold target, because each region would use the whole warm-up rate.
func (pc *Placer) warmingVMs(ts *targetState) []id.VM {
	if vms := pc.vms[ts.Region]; len(vms) > 0 {
		return vms
	}
	var all []id.VM
	for _, vms := range pc.vms {
		all = append(all, vms...)
	}
	return all
}

// coldRatePerVM returns the rate in requests a second at which each VM that warms up the target may send to it.
func (pc *Placer) coldRatePerVM(ts *targetState) float64 {
	return pc.warmups[ts.Pool].Rate * coldRateFraction / float64(min(vmsPerColdTarget, max(len(pc.warmingVMs(ts)), 1)))
}

// bestLocal returns the best target in the own failure domain for a request that usually gets a large response and is sent to the own
// region. The targets of each failure domain then learn the objects that are asked for there.
func (pc *Placer) bestLocal(now time.Time, pl *pool, rq *Request, object uint64, region id.Region) (candidate, bool) {
	if region != pc.op.Region || len(pl.local) < minLocalTargets || !pl.hasLargeResponse(rq) {
		return candidate{}, false
	}
	return pc.bestTarget(now, pl, pl.local, rq, object)
}

// hasLargeResponse reports whether requests of the route usually get a large response.
func (pl *pool) hasLargeResponse(rq *Request) bool {
	return pl.serviceTimesFor(rq).responseBytes >= largeBody
}

// candidate is a target that a request may be sent to.
type candidate struct {
	target *targetState
	// known is set if the target probably knows the object: this VM has recently sent it a request for the object, or it is the
	// target to which all VMs send requests for the object first.
	known bool
	wait  time.Duration // estimated wait for a free slot
	cost  time.Duration // wait, service time and penalties
	// acceptable is set if the request may wait so long.
	acceptable bool
}

// better reports whether a request should rather go to this target than to another one. A target with an acceptable wait comes
// before one without: even if it does not know the object, the response there is better than a refusal.
func (cd *candidate) better(ot *candidate) bool {
	if cd.acceptable != ot.acceptable {
		return cd.acceptable
	}
	return cd.cost < ot.cost
}

// spread tells which targets may get a request on an object that they do not know.
type spread struct {
	replicas int     // number of targets at the front of the object's ranking that may if they have a free slot
	fraction float64 // any other target may if less than this fraction of its slots is busy
}

var (
	// affineSpread keeps objects at the targets that know them.
	affineSpread = spread{replicas: 1, fraction: idleFraction}
	// replicaSpread adds the second target of each object, which knows it as well after the first time.
	replicaSpread = spread{replicas: 2, fraction: idleFraction}
	// overflowSpread adds all targets with a free slot.
	overflowSpread = spread{replicas: 2, fraction: 1}
)

// bestTarget returns the eligible target with the lowest cost among those with an acceptable wait, or among all if there is none
// with one. It returns false if no target is eligible.
//
// Apart from the preferred target, those that do not know the object are considered only if most of their slots are free: the work
// takes several times as long there, and spreading objects over all targets under load would displace the objects that the targets
// know. If a request would be refused otherwise, the second target of the object is also considered if it has a free slot. All VMs
// choose the same one, so that few objects are displaced. At last, all targets with a free slot are considered if the response there
// would be in time and the region is not busy.
func (pc *Placer) bestTarget(now time.Time, pl *pool, targets []*targetState, rq *Request, object uint64) (best candidate, ok bool) {
	sv := pl.serviceTimesFor(rq)
	pc.rankBuffer = rankByHash(targets, object, pc.rankBuffer)
	best, ok = pc.bestRanked(now, rq, object, sv, affineSpread)
	if ok && best.acceptable {
		return best, true
	}
	used := utilization(now, targets)
	if used > replicaUtilization {
		return best, ok
	}
	if other, found := pc.bestRanked(now, rq, object, sv, replicaSpread); found && other.acceptable {
		return other, true
	}
	if sv.unknown > time.Duration(inTimeFraction*float64(rq.Objective)) || used > overflowUtilization {
		return best, ok
	}
	if other, found := pc.bestRanked(now, rq, object, sv, overflowSpread); found && other.acceptable {
		return other, true
	}
	return best, ok
}

// bestRanked returns the best of the targets in rankBuffer, within a spread.
func (pc *Placer) bestRanked(now time.Time, rq *Request, object uint64, sv *serviceTimes, sp spread) (best candidate, ok bool) {
	rank := 0 // number of usable targets seen
	for _, rk := range pc.rankBuffer {
		ts := rk.target
		if ts.usable(now) && pc.openFor(now, ts, object) {
			rank++
		}
		if !pc.eligible(now, ts, rq, object) {
			continue
		}
		// All VMs prefer the first usable target in the ranking for an object, so it is assumed to know the object. While a target
		// returns from a pause, some VMs prefer the next one, which served the object during the pause.
		preferred := rank == 1
		cd := candidate{target: ts, wait: ts.expectedWait(now, sv.known)}
		cd.known = (preferred || ts.recent.contains(now, object)) && !now.Before(ts.coldUntil)
		usual := sv.unknown
		if cd.known {
			usual = sv.known
		} else if !preferred && !sp.allows(rank, ts.inFlight(now)+1, float64(ts.Slots)) {
			continue
		}
		service := ts.pace.estimate(now).of(usual)
		cd.cost = cd.wait + service + time.Duration(ts.failureRate*float64(rq.Objective))
		if rq.Size >= largeBody && ts.FailureDomain != pc.op.FailureDomain {
			cd.cost += rq.Objective / 2
		}
		cd.acceptable = acceptableWait(rq, cd.wait)
		if !ok || cd.better(&best) {
			best, ok = cd, true
		}
	}
	return best, ok
}

// allows reports whether the target with a rank may get a request on an object that it does not know, if so many of its slots are busy
// then.
func (sp spread) allows(rank int, busy, slots float64) bool {
	return busy <= sp.fraction*slots || rank <= sp.replicas && busy <= slots
}

// utilization returns the part of the targets' slots that are estimated to be busy, of those that get requests.
func utilization(now time.Time, targets []*targetState) float64 {
	var busy, slots float64
	for _, ts := range targets {
		if ts.usable(now) {
			slots += float64(ts.Slots)
			busy += min(ts.inFlight(now), float64(ts.Slots))
		}
	}
	if slots <= 0 {
		return 1
	}
	return busy / slots
}
