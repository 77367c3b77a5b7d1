package allot

import (
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// rateUsed and burstUsed are the parts of a limit that are given out. The rest covers the time in which VMs that were
	// restarted, suspended or cut off see a different fleet than the others.
	rateUsed  = 0.95
	burstUsed = 0.8
	// evenPart of a rate and evenBurst of a burst are divided evenly, so that a VM without recent demand can admit the
	// first requests.
	evenPart  = 0.4
	evenBurst = 0.5
	// smallEven replaces both for teams whose requests are counted by one VM of each region.
	smallEven = 0.1
	// startSeconds of the rate are in the bucket of a VM that has just started.
	startSeconds = 0.3
	// A share grows only when it followed from growthDelay divisions in succession, and shrinks at once: the VMs that give
	// up a share learn of the new demand one status later.
	growthDelay = 2
	// changeDelay replaces it after a VM was restarted, fell silent or was heard again, until all VMs have seen that.
	changeDelay = 10
	// startDivisions is the number of divisions within which a new process hears the others, which already know its share.
	startDivisions = 5
	// The memory of the demand covers memoryRequests requests, within bounds: few requests say little about a rate.
	memoryRequests = 30.0
	leastMemory    = time.Second
	mostMemory     = 8 * time.Second
)

// Limit is the limit of a team over the whole fleet.
type Limit struct {
	Rate  float64 // requests a second; zero means none
	Burst float64 // requests
}

// Report is what another VM that may use shares said of its demand.
type Report struct {
	VM      id.VM
	Process id.Incarnation
	Demand  map[id.Team]float32 // requests a second
	Recent  bool
	// Measuring tells that the process is too young to know its demand.
	Measuring bool
}

// Shares holds this VM's shares of the limits of all teams. It is safe for concurrent use.
type Shares struct {
	slack float64

	mu     sync.Mutex
	teams  map[id.Team]*team
	fleet  map[id.VM]Report // as last divided
	settle int              // divisions until the fleet counts as unchanged
	// divided counts the divisions.
	divided int
	begun   time.Time // when the first limits were set
}

type team struct {
	limit  Limit
	bucket bucket
	share  float64
	size   float64              // of the bucket
	wanted [changeDelay]float64 // the last shares that followed from the reports
	turn   int
	// evenPart and evenBurst are the parts of the limit that are divided evenly.
	evenPart, evenBurst float64
	met                 bool // another VM was heard
	// contact is the share when another VM was last heard. A VM that hears no other keeps at most that.
	contact float64
	demand  float64   // requests a second
	begun   time.Time // when the demand was first measured
	since   time.Time
	count   float64 // requests since
	// parts are the parts of the divided limit that other VMs had when they were last heard.
	parts map[id.VM]float64
}

// New returns shares without teams. The slack is the number of requests by which all VMs together may exceed a burst; it
// is divided evenly and helps teams whose burst is small compared to the number of VMs.
func New(slack float64) *Shares { return &Shares{slack: slack, teams: map[id.Team]*team{}} }

// SetLimits replaces the limits.
func (sh *Shares) SetLimits(now time.Time, limits map[id.Team]Limit) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.begun.IsZero() {
		sh.begun = now
	}
	for name := range sh.teams {
		if _, ok := limits[name]; !ok {
			delete(sh.teams, name)
		}
	}
	for name, lm := range limits {
		tm := sh.teams[name]
		if tm == nil {
			tm = &team{begun: now, since: now, bucket: bucket{last: now}, parts: map[id.VM]float64{}}
			sh.teams[name] = tm
		}
		tm.limit = lm
		tm.apply(now)
	}
}

// Take admits a request of a team, or returns the time after which another one is admitted.
func (sh *Shares) Take(now time.Time, name id.Team) (wait time.Duration, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	tm := sh.teams[name]
	if tm == nil {
		return 0, true
	}
	tm.count++
	if tm.limit.Rate <= 0 {
		return 0, true
	}
	return tm.bucket.take(now)
}

// Restart gives up the shares, as after the start of a process: other VMs may have divided them.
func (sh *Shares) Restart() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, tm := range sh.teams {
		tm.share, tm.contact, tm.met = 0, 0, false
		tm.parts = map[id.VM]float64{}
		tm.bucket.tokens, tm.bucket.rate = 0, 0
	}
}

// Small reports whether the limit of a team is too small to be divided over the VMs of the fleet: its requests are then counted
// by one VM of each region.
func (sh *Shares) Small(name id.Team) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	tm := sh.teams[name]
	return tm != nil && tm.small(len(sh.fleet)+1)
}

func (tm *team) small(vms int) bool {
	return tm.limit.Rate > 0 && tm.limit.Burst < smallPart*float64(vms)
}

// smallPart is the even part of a burst, in requests, below which a team counts as small.
const smallPart = 8.0

// Measuring reports whether the demand was measured for too short a time to be told.
func (sh *Shares) Measuring(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.measuring(now)
}

func (sh *Shares) measuring(now time.Time) bool { return now.Sub(sh.begun) < leastMemory }

// Demand returns the recent demand of each team at this VM.
func (sh *Shares) Demand(now time.Time) map[id.Team]float32 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	all := map[id.Team]float32{}
	for name, tm := range sh.teams {
		tm.observe(now)
		if demand := tm.known(now); demand > leastDemand {
			all[name] = float32(demand)
		}
	}
	return all
}

const (
	leastDemand = 0.05 // requests a second
	// leastObserved is the shortest time over which a rate is measured.
	leastObserved = 50 * time.Millisecond
)

// known returns the demand, or zero as long as it was measured for too short a time.
func (tm *team) known(now time.Time) float64 {
	if now.Sub(tm.begun) < leastMemory {
		return 0
	}
	return tm.demand
}

func (tm *team) observe(now time.Time) {
	passed := now.Sub(tm.since)
	if passed < leastObserved {
		return
	}
	memory := mostMemory
	if tm.demand > 0 {
		memory = min(max(time.Duration(memoryRequests/tm.demand*float64(time.Second)), leastMemory), mostMemory)
	}
	memory = min(memory, now.Sub(tm.begun))
	part := min(passed.Seconds()/memory.Seconds(), 1)
	tm.demand += part * (tm.count/passed.Seconds() - tm.demand)
	tm.count, tm.since = 0, now
}

// Divide sets the shares from the reports of all other VMs that may use shares.
func (sh *Shares) Divide(now time.Time, others []Report) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.noteFleet(others)
	delay := growthDelay
	if sh.settle > 0 {
		delay = changeDelay
	}
	for name, tm := range sh.teams {
		tm.observe(now)
		tm.evenPart, tm.evenBurst = evenPart, evenBurst
		if tm.small(len(others) + 1) {
			tm.evenPart, tm.evenBurst = smallEven, smallEven
		}
		tm.divide(self{name: name, demand: tm.known(now), measuring: sh.measuring(now)}, others, delay)
		tm.size = tm.burst(len(others)+1) + sh.slack/float64(len(others)+1)
		tm.apply(now)
	}
}

// noteFleet notes whether the other VMs have changed.
func (sh *Shares) noteFleet(others []Report) {
	sh.settle = max(sh.settle-1, 0)
	changed := len(others) != len(sh.fleet)
	next := make(map[id.VM]Report, len(others))
	for _, rp := range others {
		old, ok := sh.fleet[rp.VM]
		changed = changed || !ok || old.Process != rp.Process || old.Recent != rp.Recent
		next[rp.VM] = rp
	}
	sh.divided++
	if changed && sh.divided > startDivisions {
		sh.settle = changeDelay
	}
	sh.fleet = next
}

// self is what this VM knows of its own demand for a team.
type self struct {
	name      id.Team
	demand    float64
	measuring bool
}

// divide gives each VM an even part, and divides the rest by demand. A VM that is silent keeps its part, one that does not know
// its demand yet gets an even one, and the others divide what remains.
func (tm *team) divide(me self, others []Report, delay int) {
	even := 1 / float64(len(others)+1)
	parts := make(map[id.VM]float64, len(others))
	kept, sum, recent, dividing := 0.0, me.demand, 1, 1
	for _, rp := range others {
		if rp.Recent {
			recent++
		}
		if rp.Recent && !rp.Measuring {
			sum += float64(rp.Demand[me.name])
			dividing++
			continue
		}
		part, known := tm.parts[rp.VM]
		if !known || rp.Recent {
			part = even
		}
		parts[rp.VM] = part
		kept += part
	}
	rest := max(1-kept, 0)
	part := func(demand float64) float64 {
		if sum > leastDemand {
			return rest * demand / sum
		}
		return rest / float64(dividing)
	}
	for _, rp := range others {
		if rp.Recent && !rp.Measuring {
			parts[rp.VM] = part(float64(rp.Demand[me.name]))
		}
	}
	own := part(me.demand)
	if me.measuring {
		own = min(even, rest)
	}
	tm.met = tm.met || recent > 1
	if !tm.met && len(others) > 0 {
		own = 0 // no other VM knows this process yet, so what they left to it is unknown
	}
	share := tm.evenPart*even + (1-tm.evenPart)*own
	if tm.share == 0 {
		tm.bucket.tokens = tm.limit.Rate * share * startSeconds
		for nr := range tm.wanted {
			tm.wanted[nr] = share
		}
	}
	tm.wanted[tm.turn] = share
	tm.share, tm.parts = share, parts
	for nr := range delay {
		tm.share = min(tm.share, tm.wanted[(tm.turn+changeDelay-nr)%changeDelay])
	}
	tm.turn = (tm.turn + 1) % changeDelay
	switch {
	case recent > 1 || len(others) == 0:
		tm.contact = tm.share
	default:
		tm.share = min(tm.share, max(tm.contact, tm.evenPart*even))
		tm.contact = min(tm.contact, tm.share)
	}
}

// burst returns the size of the bucket of one of so many VMs, without slack.
func (tm *team) burst(vms int) float64 {
	return burstUsed * tm.limit.Burst * (tm.evenBurst/float64(vms) + (1-tm.evenBurst)*tm.share)
}

func (tm *team) apply(now time.Time) { tm.bucket.set(now, tm.share*tm.limit.Rate*rateUsed, tm.size) }
