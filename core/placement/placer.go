package placement

import (
	"slices"
	"sync"
	"time"

	"damasklatch/core/fairness"
	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// largeBody is the size in bytes of a request or a usual response from which a request prefers its own region and failure
	// domain, to save bandwidth between them.
	largeBody = 16 << 10
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
	shares       fairness.Meter[id.Team]
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
	rq.exceedsShare = pl.shares.Exceeds(now, rq.Team)
	ch, rf := pc.pick(now, pl, rq)
	if len(rq.Tried) > 0 {
		return ch, rf
	}
	if rf == nil || rf.Reason == Full {
		pl.shares.Record(now, rq.Team, rq.Weight, pl.serviceTimesFor(rq).mean, rf == nil)
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
		InFlight: int(ts.inFlight(now)), KnowsObject: cd.known, Cold: now.Before(ts.coldUntil), Pace: ts.pace.estimate(now), object: object,
	}
	if !cd.acceptable {
		return Choice{}, &Refusal{Reason: Full, RetryAfter: min(max(wait/2, minRetryAfter), maxRetryAfter), Region: region, Best: ch, ExceedsShare: rq.exceedsShare}
	}
	if ch.Cold {
		ts.coldPacer.take(now, pc.coldRatePerVM(ts))
	}
	ts.ownInFlight++
	ts.recent.add(now, object)
	return ch, nil
}

// hedgeDelay returns the time after which a request without a response may also be sent to a second target. It is longer than
// the target usually takes for an object that it does not know, because a second run of a request that is only slow takes
// capacity from other requests. It leaves enough of the remaining time for a second target that knows the object, but is at
// least a third of the remaining time.
func hedgeDelay(sv *serviceTimes, wait, remaining time.Duration) time.Duration {
	usual := wait + time.Duration(hedgeMargin*float64(sv.unknown))
	return max(min(usual, remaining-sv.known), remaining/3)
}
