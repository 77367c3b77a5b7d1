package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
)

// Target describes a target as the configuration has it.
type Target struct {
	Name           id.Target
	Slots          int // requests that it runs at once, for all VMs together
	MaxConnections int // most connections that it accepts from all VMs together
	Drained        bool
}

// Set is the choice among the targets of one pool. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	index   int // number of this VM among those that share the targets
	of      int // how many VMs share the targets
	known   bool
	byName  map[id.Target]*target
	targets []*target
	median  float64 // of the latencies of usable targets, in seconds
	sorted  []float64
	// sinceMedian counts the responses since the median was computed.
	sinceMedian int
	changes     []StateChange
}

// New returns an empty set that draws its random choices from the seed.
func New(seed uint64) *Set {
	return &Set{rnd: rand.New(rand.NewPCG(seed, seed)), of: 1, byName: map[id.Target]*target{}}
}

// SetTargets sets the targets. Targets that stay keep what is known about them. Those that are added later start
// slowly; those of the first call do not, because a restarted VM meets targets that are warm.
func (st *Set) SetTargets(now time.Time, tgs []Target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	next := make(map[id.Target]*target, len(tgs))
	st.targets = st.targets[:0]
	for _, tg := range tgs {
		have, ok := st.byName[tg.Name]
		if !ok {
			have = &target{name: tg.Name}
			if st.known {
				have.warmFrom = now
			}
		}
		have.slots, have.connections = max(tg.Slots, 1), max(tg.MaxConnections, 1)
		if tg.Drained && !have.drained {
			st.change(have, Draining, "configuration")
		}
		have.drained = tg.Drained
		next[tg.Name] = have
		st.targets = append(st.targets, have)
	}
	st.byName = next
	st.known = st.known || len(tgs) > 0
	st.setCaps()
}

// SetShare tells that this VM is number index, from 0, of the given number of VMs that share the targets. The slots
// of each target are divided among them so that the parts add up to its slots.
func (st *Set) SetShare(index, of int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.of = max(of, 1)
	st.index = max(index, 0) % st.of
	st.setCaps()
}

// nameHash is the same in all processes, so that they agree on who gets the remainder of a target's slots.
func nameHash(name id.Target) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a, 64 bits
	sum := uint64(offset)
	for i := range len(name) {
		sum = (sum ^ uint64(name[i])) * prime
	}
	return sum
}

func (st *Set) setCaps() {
	for _, tg := range st.targets {
		tg.cap = tg.slots / st.of
		if rank := (nameHash(tg.name) + uint64(st.index)) % uint64(st.of); int(rank) < tg.slots%st.of {
			tg.cap++
		}
	}
}

// Pick chooses a target and counts the request as in flight there until Done. It leaves out the targets to avoid,
// and returns false if no usable target has a free slot.
func (st *Set) Pick(now time.Time, avoid ...id.Target) (id.Target, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	first := st.draw(now, nil, avoid)
	if first == nil {
		return "", false
	}
	best := first
	if second := st.draw(now, first, avoid); second != nil && st.score(now, second) < st.score(now, first) {
		best = second
	}
	best.own++
	return best.name, true
}

// drawTries bounds the random draws before all targets are searched for one that can be used.
const drawTries = 4

func (st *Set) draw(now time.Time, not *target, avoid []id.Target) *target {
	num := len(st.targets)
	if num == 0 {
		return nil
	}
	usable := func(tg *target) bool {
		return tg != not && tg.usable() && tg.own < st.room(now, tg) && !slices.Contains(avoid, tg.name)
	}
	at := 0
	for range drawTries {
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

// FreeSlots returns the number of requests that this VM may send at once in addition to those in flight.
func (st *Set) FreeSlots(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	free := 0
	for _, tg := range st.targets {
		if tg.usable() {
			free += max(st.room(now, tg)-tg.own, 0)
		}
	}
	return free
}

// HasUsable reports whether any target may get work when it has a free slot.
func (st *Set) HasUsable() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.ContainsFunc(st.targets, (*target).usable)
}

// ConnectionLimit returns the number of connections that this VM may have open to the target at once. The budgets of all
// VMs that share the target add up to its limit.
func (st *Set) ConnectionLimit(name id.Target) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	tg, ok := st.byName[name]
	if !ok {
		return 0
	}
	return max(tg.connections/st.of, 1)
}

// Status describes a target for operators.
type Status struct {
	Target    id.Target
	InFlight  int // own requests
	SlotLimit int // own share of the slots
	State     State
	Latency   time.Duration
	Trusted   bool
}

// Status returns the state of all targets.
func (st *Set) Status(now time.Time) []Status {
	st.mu.Lock()
	defer st.mu.Unlock()
	all := make([]Status, 0, len(st.targets))
	for _, tg := range st.targets {
		all = append(all, Status{
			Target: tg.name, InFlight: tg.own, SlotLimit: tg.cap, State: tg.state(),
			Latency: time.Duration(tg.latency * float64(time.Second)), Trusted: !now.Before(tg.distrustedUntil),
		})
	}
	return all
}

// MedianLatency returns the median of the average latencies of the targets, zero if it is unknown.
func (st *Set) MedianLatency() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Duration(st.median * float64(time.Second))
}
