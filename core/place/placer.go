package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// knownPart and unknownPart of the latency objective are first taken for the time of work on an object that the target
	// knows, and on another one.
	knownPart   = 0.4
	unknownPart = 1.2
	// largeBody is the size from which work stays in its failure domain if that has room, because of its bytes.
	largeBody = 16 << 10
	// patience and lesserPatience are the parts of the latency objective for which urgent and other work may wait at a
	// target, so that urgent work finds room when there is little.
	patience       = 0.4
	lesserPatience = 0.3
	// idlePart is the part of its slots up to which a target gets work on objects that it does not know.
	idlePart = 0.4
	// unknownTimes is the multiple of the usual time of work on unknown objects that it rarely exceeds.
	unknownTimes = 1.6
	// leastAfter and mostAfter bound the time after which a refused caller is told to come back.
	leastAfter = 100 * time.Millisecond
	mostAfter  = 2 * time.Second
	// noTargetAfter is that time if a pool has no usable target.
	noTargetAfter = 500 * time.Millisecond
)

// Options of a Placer.
type Options struct {
	Self          id.VM
	FailureDomain id.FailureDomain
	Region        id.Region
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	op Options

	mu       sync.Mutex
	vms      []id.VM // alive, this one included
	started  bool
	nodes    map[id.Target]*node
	short    map[uint32]*node // by the low bits of their hash
	pools    map[id.Pool]*pool
	warmups  map[id.Pool]Warmup
	evacuees map[id.FailureDomain]bool
	ranks    []rankedNode
}

// Warmup is what a cold target of a pool bears.
type Warmup struct {
	Period time.Duration
	Rate   float64 // requests a second, from all VMs
}

// pool is the set of targets of a pool.
type pool struct {
	nodes    []*node
	regions  map[id.Region][]*node
	plan     plan
	services map[id.Route]*service
	arrivals float64 // busy slots that arrived since measured
	since    time.Time
	demand   float64 // busy slots
}

// service is the time that work of a route takes at a target that knows its object, at another one, and on average.
type service struct{ known, unknown, mean time.Duration }

// New returns a Placer without targets.
func New(op Options) *Placer {
	return &Placer{
		op: op, vms: []id.VM{op.Self}, nodes: map[id.Target]*node{}, pools: map[id.Pool]*pool{},
		warmups: map[id.Pool]Warmup{}, evacuees: map[id.FailureDomain]bool{},
	}
}

// SetVMs tells which VMs are alive, this one included.
func (pc *Placer) SetVMs(vms []id.VM) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.vms = vms
}

// SetWarmups tells what cold targets bear.
func (pc *Placer) SetWarmups(all map[id.Pool]Warmup) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.warmups = all
}

// SetTargets replaces the registered targets.
func (pc *Placer) SetTargets(now time.Time, targets []Target) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	listed := make(map[id.Target]bool, len(targets))
	for _, tg := range targets {
		listed[tg.ID] = true
		pc.setTarget(now, tg)
	}
	for name := range pc.nodes {
		if !listed[name] {
			delete(pc.nodes, name)
		}
	}
	pc.started = pc.started || len(targets) > 0
	pc.regroup()
}

func (pc *Placer) setTarget(now time.Time, tg Target) {
	nd := pc.nodes[tg.ID]
	if nd == nil || nd.StartUnixMilli != tg.StartUnixMilli || nd.Address != tg.Address {
		nd = &node{hash: rendezvous.Hash(string(tg.ID)), evacuated: pc.evacuees[tg.FailureDomain]}
		pc.nodes[tg.ID] = nd
	}
	if tg.ColdFor > 0 && tg.ColdFor != nd.ColdFor {
		nd.coldUntil = now.Add(tg.ColdFor)
	}
	nd.Target = tg
}

// SetEvacuated replaces the failure domains whose targets get no work. Their targets are cold when they return.
func (pc *Placer) SetEvacuated(now time.Time, domains map[id.FailureDomain]bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, nd := range pc.nodes {
		out := domains[nd.FailureDomain]
		if nd.evacuated && !out {
			nd.coldUntil = now.Add(pc.warmups[nd.Pool].Period)
		}
		nd.evacuated = out
	}
	pc.evacuees = domains
}

func (pc *Placer) regroup() {
	for _, pl := range pc.pools {
		pl.nodes, pl.regions = nil, map[id.Region][]*node{}
	}
	pc.short = make(map[uint32]*node, len(pc.nodes))
	for _, nd := range pc.nodes {
		pc.short[uint32(nd.hash)] = nd
		pl := pc.pool(nd.Pool)
		pl.nodes = append(pl.nodes, nd)
		pl.regions[nd.Region] = append(pl.regions[nd.Region], nd)
	}
}

func (pc *Placer) pool(name id.Pool) *pool {
	pl := pc.pools[name]
	if pl == nil {
		pl = &pool{regions: map[id.Region][]*node{}, services: map[id.Route]*service{}}
		pc.pools[name] = pl
	}
	return pl
}

// service returns the time that work of a route takes.
func (pl *pool) service(ak *Request) *service {
	sv := pl.services[ak.Route]
	if sv == nil {
		sv = &service{
			known:   time.Duration(knownPart * float64(ak.Objective)),
			unknown: time.Duration(unknownPart * float64(ak.Objective)),
			mean:    ak.Objective,
		}
		pl.services[ak.Route] = sv
	}
	return sv
}

// CountArrival counts a request in the demand of its pool. It is called once for each request.
func (pc *Placer) CountArrival(ak *Request) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pl := pc.pool(ak.Pool)
	pl.arrivals += pl.service(ak).mean.Seconds()
}

// Pick chooses a target and counts the request there. Done must follow.
func (pc *Placer) Pick(now time.Time, ak *Request) (Choice, *Refusal) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pl := pc.pool(ak.Pool)
	object := rendezvous.Hash(string(ak.Route), ak.Object)
	if ak.Size >= largeBody && pc.usableRegion(now, pl, ak, pc.op.Region) {
		// Large bodies leave the region only if it is full, because of their bytes.
		if ch, rf := pc.pickIn(now, pl, ak, object, pc.op.Region); rf == nil {
			return ch, nil
		}
	}
	region, ok := pc.region(now, pl, ak, object)
	if !ok {
		return Choice{}, &Refusal{Reason: NoTarget, RetryAfter: noTargetAfter}
	}
	return pc.pickIn(now, pl, ak, object, region)
}

// pickIn chooses a target of a region.
func (pc *Placer) pickIn(now time.Time, pl *pool, ak *Request, object uint64, region id.Region) (Choice, *Refusal) {
	of, ok := pc.cheapest(now, pl, pl.regions[region], ak, object)
	nd, wait := of.node, of.wait
	if !ok {
		return Choice{}, &Refusal{Reason: NoTarget, RetryAfter: noTargetAfter, Region: region}
	}
	ch := Choice{
		Target: nd.Target, ExpectedWait: wait, HedgeDelay: silence(pl.service(ak), wait, ak.Remaining), InFlight: int(nd.inFlight(now)), KnowsObject: of.known, object: object,
	}
	if !worthWaiting(ak, wait) {
		return Choice{}, &Refusal{Reason: Full, RetryAfter: min(max(wait/2, leastAfter), mostAfter), Region: region, Best: ch}
	}
	if now.Before(nd.coldUntil) {
		nd.warm.take(now, pc.coldRate(nd))
	}
	nd.own++
	nd.seen.note(now, object)
	return ch, nil
}

// silence returns the time after which a target without an answer counts as silent: longer than work on an object that it does
// not know takes, but early enough for another target that knows the object. Work that only waits or takes long is not sent
// twice, because a second run takes the room of another request.
func silence(sv *service, wait, left time.Duration) time.Duration {
	usual := wait + time.Duration(unknownTimes*float64(sv.unknown))
	return max(min(usual, left-sv.known), left/3)
}

// worthWaiting reports whether a request should be sent although it waits at its target. The bound is the same for callers
// of all regions, so that those with a longer way are not refused first.
func worthWaiting(ak *Request, wait time.Duration) bool {
	part := patience
	if !ak.Urgent {
		part = lesserPatience
	}
	return wait <= 0 || wait < ak.Remaining && wait <= time.Duration(part*float64(ak.Objective))
}

func (pc *Placer) region(now time.Time, pl *pool, ak *Request, object uint64) (id.Region, bool) {
	usable := func(name id.Region) bool { return pc.usableRegion(now, pl, ak, name) }
	if pl.plan.weights != nil {
		if name, ok := pl.plan.choose(object, ak.Object != "", usable); ok {
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

func (pc *Placer) usableRegion(now time.Time, pl *pool, ak *Request, name id.Region) bool {
	if ak.Allowed != nil && !ak.Allowed(name) {
		return false
	}
	return slices.ContainsFunc(pl.regions[name], func(nd *node) bool { return pc.candidate(now, nd, ak) })
}

func (pc *Placer) candidate(now time.Time, nd *node, ak *Request) bool {
	if !nd.usable(now) || slices.Contains(ak.Tried, nd.ID) {
		return false
	}
	if now.Before(nd.coldUntil) {
		return nd.warm.ready(now) && owns(nd.hash, pc.op.Self, pc.vms)
	}
	return true
}

func (pc *Placer) coldRate(nd *node) float64 {
	return pc.warmups[nd.Pool].Rate * coldRateUsed / float64(min(coldOwners, max(len(pc.vms), 1)))
}

// offer is a target for a request.
type offer struct {
	node *node
	// known tells that the target probably knows the object: it has handled it for this VM, or it is the one to which all VMs
	// send it.
	known bool
	wait  time.Duration
	cost  time.Duration
}

// cheapest returns the target that would finish the request first, and false if there is none. Among targets that do not know
// the object, only those with much room count: the work takes several times as long there, and spreading it under load would
// keep all targets from knowing their objects.
func (pc *Placer) cheapest(now time.Time, pl *pool, nodes []*node, ak *Request, object uint64) (best offer, ok bool) {
	sv := pl.service(ak)
	local := ak.Size >= largeBody
	pc.ranks = ranked(nodes, object, pc.ranks)
	first := true
	for _, rk := range pc.ranks {
		nd := rk.node
		// All VMs send an object to the first target that can be used, so that one is taken to know it.
		steady := first && nd.usable(now)
		first = first && !steady
		if !pc.candidate(now, nd, ak) {
			continue
		}
		of := offer{node: nd, wait: nd.wait(now, sv.known)}
		of.known = (steady || nd.seen.has(now, object)) && !now.Before(nd.coldUntil)
		took := sv.unknown
		if of.known {
			took = sv.known
		} else if !steady && nd.inFlight(now)+1 > idlePart*float64(nd.Slots) {
			continue
		}
		of.cost = of.wait + took + time.Duration(nd.failureRate*float64(ak.Objective))
		if local && nd.FailureDomain != pc.op.FailureDomain {
			of.cost += ak.Objective / 2
		}
		if !ok || of.cost < best.cost {
			best, ok = of, true
		}
	}
	return best, ok
}

// logUnit returns the natural logarithm of a number between 0 and 1.
func logUnit(unit float64) float64 { return math.Log(unit) }
