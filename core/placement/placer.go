package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// Initial estimates of the service time, as fractions of the latency objective: for requests on objects that the target
	// knows, and for requests on other objects.
	initialKnownFraction   = 0.4
	initialUnknownFraction = 1.2
	// largeBody is the size in bytes of a request or a usual response from which a request prefers its own region and failure
	// domain, to save bandwidth between them.
	largeBody = 16 << 10
	// minLocalTargets is the number of targets that a failure domain must have to be preferred for large responses: fewer know too
	// few objects.
	minLocalTargets = 3
	// The longest acceptable wait at a target, as a fraction of the latency objective, for urgent and for other requests. The
	// limit for urgent requests is higher, so that they are still accepted when other requests are refused under load.
	urgentWaitFraction = 0.4
	normalWaitFraction = 0.3
	// inTimeFraction is the fraction of the latency objective within which a response must be expected for the request to overflow to
	// a target that does not know its object.
	inTimeFraction = 0.75
	// replicaUtilization and overflowUtilization are the parts of a region's slots that may be busy for requests to go to the second
	// target of their object, and to any target. Work on unknown objects takes so much longer that it makes a busy region busier.
	replicaUtilization  = 0.75
	overflowUtilization = 0.6
	// idleFraction is the fraction of a target's slots up to which it gets requests on objects that it does not know.
	idleFraction = 0.4
	// hedgeMargin is a multiple of the average service time for unknown objects. Requests rarely take longer than this multiple.
	hedgeMargin = 1.6
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter is the time after which a caller is told to retry if no target can be used.
	noTargetRetryAfter = 500 * time.Millisecond
	// shiftRetryAfter is the time after which a caller is told to retry if too many requests would change their region.
	shiftRetryAfter = time.Second
)

// Options describes the VM on which a Placer runs.
type Options struct {
	Self          id.VM
	FailureDomain id.FailureDomain
	Region        id.Region
}

// Placer chooses targets for the requests that arrive at one VM. It is safe for concurrent use.
type Placer struct {
	op Options

	mu          sync.Mutex
	vms         map[id.Region][]id.VM // alive and used by callers
	started     bool
	targets     map[id.Target]*targetState
	byShortHash map[uint32]*targetState // by the low 32 bits of the hash
	pools       map[id.Pool]*pool
	warmups     map[id.Pool]Warmup
	evacuated   map[id.FailureDomain]bool
	notices     map[ProcessID]heldNotice // of the processes that have given one
	selfHash    uint64
	rankBuffer  []rankedTarget
}

// Warmup describes how targets of a pool warm up after their start.
type Warmup struct {
	Period time.Duration // time for which a target is cold
	Rate   float64       // requests a second that a cold target can handle, from all VMs together
}

// pool holds the targets of a pool and what this VM has learned about its work.
type pool struct {
	targets      []*targetState
	local        []*targetState // in the own failure domain
	regions      map[id.Region][]*targetState
	plan         plan
	serviceTimes map[id.Route]*serviceTimes
	demand       demandMeter
	waiting      int // requests that wait in this VM for the end of a pause
	mix          mix
}

// serviceTimes holds moving averages of the time that a target takes for requests of a route: for requests on objects that the
// target knows, for requests on other objects, and for all requests. It also holds that of the size of responses.
type serviceTimes struct {
	known, unknown, mean time.Duration
	responseBytes        float64
}

// New returns a Placer without targets.
func New(op Options) *Placer {
	return &Placer{
		op: op, vms: map[id.Region][]id.VM{op.Region: {op.Self}}, targets: map[id.Target]*targetState{}, pools: map[id.Pool]*pool{},
		warmups: map[id.Pool]Warmup{}, evacuated: map[id.FailureDomain]bool{}, notices: map[ProcessID]heldNotice{},
		selfHash: rendezvous.Hash(string(op.Self)),
	}
}

// SetVMs sets the live VMs of each region that get requests of callers. They share the work for cold targets.
func (pc *Placer) SetVMs(vms map[id.Region][]id.VM) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.vms = vms
}

// SetWarmups replaces the warm-up parameters of all pools.
func (pc *Placer) SetWarmups(all map[id.Pool]Warmup) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.warmups = all
}

// SetTargets replaces the registered targets. What is known about a target is kept unless the target has restarted or its
// address has changed.
func (pc *Placer) SetTargets(now time.Time, targets []Target) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	listed := make(map[id.Target]bool, len(targets))
	for _, tg := range targets {
		listed[tg.ID] = true
		pc.setTarget(now, tg)
	}
	for name := range pc.targets {
		if !listed[name] {
			delete(pc.targets, name)
		}
	}
	pc.forgetNotices(now)
	pc.started = pc.started || len(targets) > 0
	pc.rebuildIndexes()
}

// setTarget adds or updates a target. A target that has restarted or moved to another address starts without history.
func (pc *Placer) setTarget(now time.Time, tg Target) {
	ts := pc.targets[tg.ID]
	if ts == nil || ts.StartUnixMilli != tg.StartUnixMilli || ts.Address != tg.Address {
		ts = &targetState{hash: rendezvous.Hash(string(tg.ID)), evacuated: pc.evacuated[tg.FailureDomain]}
		pc.targets[tg.ID] = ts
	}
	if tg.ColdFor > 0 && tg.ColdFor != ts.ColdFor {
		ts.coldUntil = now.Add(tg.ColdFor)
	}
	ts.Target = tg
	pc.restoreNotice(now, ts)
}

// SetEvacuated replaces the set of evacuated failure domains, whose targets get no requests. When an evacuation ends, the
// targets of the failure domain are treated as cold.
func (pc *Placer) SetEvacuated(now time.Time, domains map[id.FailureDomain]bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, ts := range pc.targets {
		evacuated := domains[ts.FailureDomain]
		if ts.evacuated && !evacuated {
			ts.coldUntil = now.Add(pc.warmups[ts.Pool].Period)
		}
		ts.evacuated = evacuated
	}
	pc.evacuated = domains
}

// rebuildIndexes groups the targets by pool and region and maps their short hashes.
func (pc *Placer) rebuildIndexes() {
	for _, pl := range pc.pools {
		pl.targets, pl.local, pl.regions = nil, nil, map[id.Region][]*targetState{}
	}
	pc.byShortHash = make(map[uint32]*targetState, len(pc.targets))
	for _, ts := range pc.targets {
		pc.byShortHash[uint32(ts.hash)] = ts
		pl := pc.pool(ts.Pool)
		pl.targets = append(pl.targets, ts)
		pl.regions[ts.Region] = append(pl.regions[ts.Region], ts)
		if ts.FailureDomain == pc.op.FailureDomain {
			pl.local = append(pl.local, ts)
		}
	}
}

// pool returns the state of a pool and creates it if necessary.
func (pc *Placer) pool(name id.Pool) *pool {
	pl := pc.pools[name]
	if pl == nil {
		pl = &pool{regions: map[id.Region][]*targetState{}, serviceTimes: map[id.Route]*serviceTimes{}, mix: newMix()}
		pc.pools[name] = pl
	}
	return pl
}

// serviceTimesFor returns the service times of the request's route. They start from fractions of the latency objective.
func (pl *pool) serviceTimesFor(rq *Request) *serviceTimes {
	sv := pl.serviceTimes[rq.Route]
	if sv == nil {
		sv = &serviceTimes{
			known:   time.Duration(initialKnownFraction * float64(rq.Objective)),
			unknown: time.Duration(initialUnknownFraction * float64(rq.Objective)),
			mean:    rq.Objective,
		}
		pl.serviceTimes[rq.Route] = sv
	}
	return sv
}

// CountArrival adds a request to the demand of its pool. It must be called once for each request, not for each attempt.
func (pc *Placer) CountArrival(now time.Time, rq *Request) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pl := pc.pool(rq.Pool)
	bound := pl.boundParts(rq)
	pl.demand.add(pl.serviceTimesFor(rq).mean, bound)
	pl.mix.countArrival(now, bound)
}

// boundParts divides a request that may run only in some regions among them as the plan would, or equally if it gives none a weight.
// It returns nil for a request that may run everywhere.
func (pl *pool) boundParts(rq *Request) map[id.Region]float64 {
	bound := pl.boundRegions(rq)
	if len(bound) == 0 {
		return nil
	}
	parts := pl.plan.boundWeights(func(name id.Region) bool { return slices.Contains(bound, name) })
	if len(parts) > 0 {
		return parts
	}
	for _, name := range bound {
		parts[name] = 1 / float64(len(bound))
	}
	return parts
}

// Pick chooses a target for an attempt of the request and counts the attempt as in flight there. The caller must call Done when
// the attempt ends. If no target can take the request, Pick returns a refusal instead and nothing is counted.
func (pc *Placer) Pick(now time.Time, rq *Request) (Choice, *Refusal) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pl := pc.pool(rq.Pool)
	ch, rf := pc.pick(now, pl, rq)
	if len(rq.Tried) > 0 {
		return ch, rf
	}
	switch {
	case rf == nil:
		pl.mix.placed.add(now, ch.Region, 1)
	case rf.Reason == Full:
		// It counts, too. Otherwise movable requests would be sent to the full region, to make up for those refused there.
		pl.mix.placed.add(now, rf.Region, 1)
	}
	return ch, rf
}

func (pc *Placer) pick(now time.Time, pl *pool, rq *Request) (Choice, *Refusal) {
	object := rq.objectHash()
	var exceeded map[id.Region]bool
	bound := len(pl.boundRegions(rq)) > 0
	if len(rq.Tried) == 0 {
		chance := movableChance
		if bound {
			chance = boundChance
		}
		exceeded = pl.mix.exceeded(now, pl.plan.weights, chance)
	}
	if (rq.Size >= largeBody || pl.hasLargeResponse(rq)) && !exceeded[pc.op.Region] && pc.regionUsable(now, pl, rq, object, pc.op.Region) {
		// A large request leaves the region only if the region is full, to save bandwidth between regions.
		if ch, rf := pc.pickInRegion(now, pl, rq, object, pc.op.Region); rf == nil {
			return ch, nil
		}
	}
	region, ok := pc.chooseRegion(now, pl, rq, object, exceeded)
	if !ok {
		return Choice{}, pc.noTarget(now, pl, rq, object, "")
	}
	if len(rq.Tried) == 0 && bound && (exceeded[region] || !pl.mix.admit(region)) {
		return Choice{}, &Refusal{Reason: Shift, RetryAfter: shiftRetryAfter, Region: region}
	}
	ch, rf := pc.pickInRegion(now, pl, rq, object, region)
	if rf != nil {
		return pc.pickElsewhere(now, pl, rq, object, rf)
	}
	return ch, nil
}

// pickInRegion chooses a target in the given region.
func (pc *Placer) pickInRegion(now time.Time, pl *pool, rq *Request, object uint64, region id.Region) (Choice, *Refusal) {
	cd, ok := pc.bestLocal(now, pl, rq, object, region)
	if !ok || !cd.acceptable {
		cd, ok = pc.bestTarget(now, pl, pl.regions[region], rq, object)
	}
	ts, wait := cd.target, cd.wait
	if !ok {
		return Choice{}, pc.noTarget(now, pl, rq, object, region)
	}
	ch := Choice{
		Target: ts.Target, ExpectedWait: wait, HedgeDelay: hedgeDelay(pl.serviceTimesFor(rq), wait, rq.Remaining),
		InFlight: int(ts.inFlight(now)), KnowsObject: cd.known, Cold: now.Before(ts.coldUntil), object: object,
	}
	if !cd.acceptable {
		return Choice{}, &Refusal{Reason: Full, RetryAfter: min(max(wait/2, minRetryAfter), maxRetryAfter), Region: region, Best: ch}
	}
	if ch.Cold {
		ts.coldPacer.take(now, pc.coldRatePerVM(ts))
	}
	ts.ownInFlight++
	ts.recent.add(now, object)
	return ch, nil
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

// hedgeDelay returns the time after which a request without a response may also be sent to a second target. It is longer than
// the target usually takes for an object that it does not know, because a second run of a request that is only slow takes
// capacity from other requests. It leaves enough of the remaining time for a second target that knows the object, but is at
// least a third of the remaining time.
func hedgeDelay(sv *serviceTimes, wait, remaining time.Duration) time.Duration {
	usual := wait + time.Duration(hedgeMargin*float64(sv.unknown))
	return max(min(usual, remaining-sv.known), remaining/3)
}

// acceptableWait reports whether a request may be sent to a target where it waits for the given time. The limit does not depend
// on the distance to the target's region, so that requests from distant regions are not refused first.
func acceptableWait(rq *Request, wait time.Duration) bool {
	fraction := urgentWaitFraction
	if !rq.Urgent {
		fraction = normalWaitFraction
	}
	return wait <= 0 || wait < rq.Remaining && wait <= time.Duration(fraction*float64(rq.Objective))
}

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

// unitOf maps a hash to a number in (0, 1).
func unitOf(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// logUnit returns the natural logarithm of a number in (0, 1).
func logUnit(unit float64) float64 { return math.Log(unit) }
