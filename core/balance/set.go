package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
)

// Target describes a target as configured.
type Target struct {
	Name           id.Target
	Slots          int // requests that the target runs at the same time, from all VMs
	MaxConnections int // connections that the target accepts at most, from all VMs
	Drained        bool
}

// Set holds the targets of one pool and chooses among them. It is safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	rnd        *rand.Rand
	vmIndex    int  // index of this VM among those that share the targets, from 0
	vmCount    int  // number of VMs that share the targets
	hadTargets bool // whether any target was ever configured
	byName     map[id.Target]*target
	targets    []*target
	median     float64   // of the latencies of usable targets, in seconds
	sorted     []float64 // buffer of updateMedian
	// sinceMedian counts the responses since the median was computed.
	sinceMedian int
	changes     []StateChange
}

// New returns an empty set that draws its random choices from the seed.
func New(seed uint64) *Set {
	return &Set{rnd: rand.New(rand.NewPCG(seed, seed)), vmCount: 1, byName: map[id.Target]*target{}}
}

// SetTargets replaces the targets. What is known about a target that remains is kept. Added targets go through a slow
// start, except for those of the first call: after a restart of the VM, the targets are usually warm.
func (st *Set) SetTargets(now time.Time, tgs []Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	next := make(map[id.Target]*target, len(tgs))
	st.targets = st.targets[:0]
	for _, tg := range tgs {
		have, ok := st.byName[tg.Name]
		if !ok {
			have = &target{name: tg.Name}
			if st.hadTargets {
				have.warmupStart = now
			}
		}
		have.slots, have.connections = max(tg.Slots, 1), max(tg.MaxConnections, 1)
		if tg.Drained && !have.drained {
			st.recordChange(have, Draining, "configuration")
		}
		have.drained = tg.Drained
		next[tg.Name] = have
		st.targets = append(st.targets, have)
	}
	st.byName = next
	st.hadTargets = st.hadTargets || len(tgs) > 0
	st.updateSlotLimits()
}

// SetShare sets the number of VMs that share the targets and the index of this VM among them, counted from 0. The slots
// of each target are divided among the VMs so that the shares add up to the number of slots.
func (st *Set) SetShare(index, count int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.vmCount = max(count, 1)
	st.vmIndex = max(index, 0) % st.vmCount
	st.updateSlotLimits()
}

// nameHash returns the same hash in all processes, so that they agree on which VMs get the remainder of a target's slots.
func nameHash(name id.Target) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a, 64 bits
	sum := uint64(offset)
	for i := range len(name) {
		sum = (sum ^ uint64(name[i])) * prime
	}
	return sum
}

// updateSlotLimits divides the slots of each target among the VMs. The remainder goes to VMs selected by the hash of the
// target's name, so that they differ between targets.
func (st *Set) updateSlotLimits() {
	for _, tg := range st.targets {
		tg.slotLimit = tg.slots / st.vmCount
		if rank := (nameHash(tg.name) + uint64(st.vmIndex)) % uint64(st.vmCount); int(rank) < tg.slots%st.vmCount {
			tg.slotLimit++
		}
	}
}

// Pick chooses a target and counts the request as in flight there until Done is called. It does not choose the targets
// to avoid. It returns false if no usable target has a free slot.
func (st *Set) Pick(now time.Time, avoid ...id.Target) (id.Target, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	first := st.drawTarget(now, nil, avoid)
	if first == nil {
		return "", false
	}
	best := first
	if second := st.drawTarget(now, first, avoid); second != nil && st.score(now, second) < st.score(now, first) {
		best = second
	}
	best.ownInFlight++
	return best.name, true
}

// randomDraws is the number of random draws before all targets are searched for a usable one.
const randomDraws = 4

// drawTarget returns a random target that is usable and has a free slot, or nil if there is none. It does not return the
// excluded target and those to avoid.
func (st *Set) drawTarget(now time.Time, exclude *target, avoid []id.Target) *target {
	num := len(st.targets)
	if num == 0 {
		return nil
	}
	usable := func(tg *target) bool {
		return tg != exclude && tg.usable() && tg.ownInFlight < st.currentLimit(now, tg) && !slices.Contains(avoid, tg.name)
	}
	at := 0
	for range randomDraws {
		at = st.rnd.IntN(num)
		if tg := st.targets[at]; usable(tg) {
			return tg
		}
	}
	for i := range num {
		if tg := st.targets[(at+i)%num]; usable(tg) {
			return tg
		}
	}
	return nil
}

// FreeSlots returns the number of requests that this VM may send in addition to those in flight.
func (st *Set) FreeSlots(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	free := 0
	for _, tg := range st.targets {
		if tg.usable() {
			free += max(st.currentLimit(now, tg)-tg.ownInFlight, 0)
		}
	}
	return free
}

// HasUsable reports whether any target is usable, whether or not it has a free slot.
func (st *Set) HasUsable() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.ContainsFunc(st.targets, (*target).usable)
}

// ConnectionLimit returns the number of connections that this VM may have open to the target: an equal share of the
// target's limit, but at least one. It returns zero for an unknown target.
func (st *Set) ConnectionLimit(name id.Target) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	if !ok {
		return 0
	}
	return max(tg.connections/st.vmCount, 1)
}

// Status describes a target for operators.
type Status struct {
	Target    id.Target
	InFlight  int // requests of this VM
	SlotLimit int // this VM's share of the slots
	State     State
	Latency   time.Duration // average; zero if unknown
	Trusted   bool          // whether the load reports of the target are trusted
}

// Status returns the state of all targets.
func (st *Set) Status(now time.Time) []Status {
	st.mu.Lock()
	defer st.mu.Unlock()
	all := make([]Status, 0, len(st.targets))
	for _, tg := range st.targets {
		all = append(all, Status{
			Target: tg.name, InFlight: tg.ownInFlight, SlotLimit: tg.slotLimit, State: tg.state(),
			Latency: time.Duration(tg.latency * float64(time.Second)), Trusted: !now.Before(tg.distrustedUntil),
		})
	}
	return all
}

// MedianLatency returns the median of the average latencies of the targets in use. It is zero while none is known.
func (st *Set) MedianLatency() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Duration(st.median * float64(time.Second))
}
