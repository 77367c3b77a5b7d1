package experiment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"damasklatch/core/balance"
	"damasklatch/core/id"
)

// BalanceScenario describes the targets and the load of one comparison of load-aware target choice with round robin.
type BalanceScenario struct {
	Name       string
	Targets    int
	Slots      int // of each target
	VMs        int
	Load       float64 // offered load relative to the capacity of the targets when all are warm
	Slow       int     // number of targets whose service time is multiplied by SlowFactor
	SlowFactor float64
	Cold       int // number of targets that join at the start and whose first requests take ColdFactor times as long
	ColdFactor float64
	ReportIdle int // number of targets that always report no load
	ReportFull int // number of targets that always report that all slots are in use
	Requests   int
}

// BalanceResult holds the latencies of one scenario under one policy.
type BalanceResult struct {
	Scenario     string
	Policy       string // "choice" for load-aware target choice, or "round_robin"
	P50          time.Duration
	P99          time.Duration
	Waited       int // requests that had to wait at an entry VM for a free slot
	MaxPerTarget int // maximum number of running and queued requests at one target
}

// BalanceScenarios returns the scenarios for which the design states targets: a pool of 30 workers with 4 slots each,
// shared by two VMs.
func BalanceScenarios() []BalanceScenario {
	base := BalanceScenario{Targets: 30, Slots: 4, VMs: 2, Load: 0.7, SlowFactor: 1, ColdFactor: 1, Requests: 20_000}
	even, uneven, cold, lying := base, base, base, base
	even.Name = "even"
	uneven.Name, uneven.Slow, uneven.SlowFactor, uneven.Load = "uneven", 10, 2, 0.5
	cold.Name, cold.Cold, cold.ColdFactor, cold.Load = "cold", 6, 5, 0.5
	lying.Name, lying.ReportIdle, lying.ReportFull = "misreporting", 4, 2
	return []BalanceScenario{even, uneven, cold, lying}
}

// CompareBalancing runs every scenario with load-aware target choice and with round robin, and returns the two results of
// each scenario in this order. Both policies see the same arrivals and the same work for each request.
func CompareBalancing(seed uint64) []BalanceResult {
	var all []BalanceResult
	for _, sc := range BalanceScenarios() {
		all = append(all, newBalanceRun(sc, seed, true).run(), newBalanceRun(sc, seed, false).run())
	}
	return all
}

// Parameters of the simulated targets and network.
const (
	meanService  = 10 * time.Millisecond
	oneWayDelay  = 500 * time.Microsecond
	pollInterval = 500 * time.Millisecond
	// coldRequests is the number of requests after which a cold target is warm.
	coldRequests = 200
	maxWork      = 8 // maximum work of a request, in units of meanService
	// contention is the fraction of the service time that each other running request adds.
	contention = 0.15
)

// simRequest is a request and its times since the start of the simulation.
type simRequest struct {
	arrived time.Duration
	started time.Duration
	vm      int
	work    float64 // in units of meanService
	target  int
}

// simTarget is a simulated target.
type simTarget struct {
	name       id.Target
	factor     float64
	cold       bool
	reportIdle bool
	reportFull bool
	running    int
	served     int
	queue      []*simRequest
}

// simVM is a simulated entry VM.
type simVM struct {
	set     *balance.Set
	next    int           // target of the next request under round robin
	waiting []*simRequest // requests that found no free slot, in order of arrival
}

// balanceRun is one run of a scenario with one policy.
type balanceRun struct {
	sc        BalanceScenario
	useChoice bool
	rnd       *rand.Rand
	begin     time.Time
	now       time.Duration
	events    simEvents
	created   int
	targets   []*simTarget
	vms       []*simVM
	names     map[id.Target]int
	latencies []time.Duration
	result    BalanceResult
}

// newBalanceRun returns a run with target choice, or with round robin if choice is false.
func newBalanceRun(sc BalanceScenario, seed uint64, choice bool) *balanceRun {
	br := &balanceRun{
		sc: sc, useChoice: choice, rnd: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1_800_000_000, 0),
		names:  map[id.Target]int{},
		result: BalanceResult{Scenario: sc.Name, Policy: "round_robin"},
	}
	if choice {
		br.result.Policy = "choice"
	}
	var warm, all []balance.Target
	for nr := range sc.Targets {
		tg := &simTarget{name: targetName(nr), factor: 1}
		switch {
		case nr < sc.Slow:
			tg.factor = sc.SlowFactor
		case nr < sc.Slow+sc.Cold:
			tg.cold = true
		case nr < sc.Slow+sc.Cold+sc.ReportIdle:
			tg.reportIdle = true
		case nr < sc.Slow+sc.Cold+sc.ReportIdle+sc.ReportFull:
			tg.reportFull = true
		}
		br.targets = append(br.targets, tg)
		br.names[tg.name] = nr
		bt := balance.Target{Name: tg.name, Slots: sc.Slots, MaxConnections: 400}
		all = append(all, bt)
		if !tg.cold {
			warm = append(warm, bt)
		}
	}
	for nr := range sc.VMs {
		vm := &simVM{set: balance.New(seed + uint64(nr)), next: br.rnd.IntN(sc.Targets)}
		vm.set.SetShare(nr, sc.VMs)
		// The cold targets are added in a second call, because they join after the others.
		vm.set.SetTargets(br.begin, warm)
		vm.set.SetTargets(br.begin, all)
		br.vms = append(br.vms, vm)
	}
	return br
}

// capacity returns the requests per second that all targets can serve when they are warm.
func (br *balanceRun) capacity() float64 {
	var sum float64
	for _, tg := range br.targets {
		sum += float64(br.sc.Slots) / (1 + contention*float64(br.sc.Slots-1)) / tg.factor / meanService.Seconds()
	}
	return sum
}

// run simulates all requests of the scenario and returns their latencies.
func (br *balanceRun) run() BalanceResult {
	rate := br.capacity() * br.sc.Load
	var at time.Duration
	for range br.sc.Requests {
		at += time.Duration(br.rnd.ExpFloat64() / rate * float64(time.Second))
		rq := &simRequest{arrived: at, vm: br.rnd.IntN(br.sc.VMs), work: min(br.rnd.ExpFloat64(), maxWork)}
		br.schedule(at, func() { br.dispatch(rq) })
	}
	for poll := time.Duration(0); poll < at; poll += pollInterval {
		br.schedule(poll, br.poll)
	}
	for len(br.events) > 0 {
		ev := heap.Pop(&br.events).(simEvent)
		br.now = ev.at
		ev.do()
	}
	slices.Sort(br.latencies)
	br.result.P50 = br.latencies[len(br.latencies)/2]
	br.result.P99 = br.latencies[len(br.latencies)*99/100]
	return br.result
}

// clock returns the simulated time as an absolute time.
func (br *balanceRun) clock() time.Time { return br.begin.Add(br.now) }

// dispatch sends a request to a target, or queues it at the entry VM if no target has a free slot.
func (br *balanceRun) dispatch(rq *simRequest) {
	vm := br.vms[rq.vm]
	rq.target = vm.next
	if br.useChoice {
		name, ok := vm.set.Pick(br.clock())
		if !ok {
			br.result.Waited++
			vm.waiting = append(vm.waiting, rq)
			return
		}
		rq.target = br.names[name]
	}
	vm.next = (vm.next + 1) % len(br.targets)
	rq.started = br.now
	br.schedule(br.now+oneWayDelay, func() { br.enqueue(rq) })
}

// enqueue handles the arrival of a request at its target.
func (br *balanceRun) enqueue(rq *simRequest) {
	tg := br.targets[rq.target]
	tg.queue = append(tg.queue, rq)
	br.result.MaxPerTarget = max(br.result.MaxPerTarget, tg.running+len(tg.queue))
	br.serve(tg)
}

// serve starts queued requests of a target while it has free slots.
func (br *balanceRun) serve(tg *simTarget) {
	for tg.running < br.sc.Slots && len(tg.queue) > 0 {
		rq := tg.queue[0]
		tg.queue = tg.queue[1:]
		factor := tg.factor * (1 + contention*float64(tg.running))
		tg.running++
		if tg.cold && tg.served < coldRequests {
			factor *= 1 + (br.sc.ColdFactor-1)*(1-float64(tg.served)/coldRequests)
		}
		tg.served++
		took := time.Duration(rq.work * factor * float64(meanService))
		br.schedule(br.now+took, func() {
			ld := br.load(tg)
			tg.running--
			br.serve(tg)
			br.schedule(br.now+oneWayDelay, func() { br.respond(rq, tg, ld) })
		})
	}
}

// load returns the load that a target reports.
func (br *balanceRun) load(tg *simTarget) balance.Load {
	ld := balance.Load{InFlight: tg.running, Slots: br.sc.Slots, Queued: len(tg.queue)}
	switch {
	case tg.reportIdle:
		ld.InFlight, ld.Queued = 0, 0
	case tg.reportFull:
		ld.InFlight = br.sc.Slots
	}
	return ld
}

// respond handles a response at the entry VM and sends the request that has waited longest.
func (br *balanceRun) respond(rq *simRequest, tg *simTarget, ld balance.Load) {
	br.latencies = append(br.latencies, br.now-rq.arrived)
	if !br.useChoice {
		return
	}
	vm := br.vms[rq.vm]
	vm.set.ObserveLoad(br.clock(), tg.name, ld)
	vm.set.Done(br.clock(), tg.name, balance.Result{
		Kind: balance.Success, Started: br.begin.Add(rq.started), Latency: br.now - rq.started,
	})
	if len(vm.waiting) > 0 {
		next := vm.waiting[0]
		vm.waiting = vm.waiting[1:]
		br.dispatch(next)
	}
}

// poll asks all targets for their load on behalf of every VM. Round robin does not use the load.
func (br *balanceRun) poll() {
	if !br.useChoice {
		return
	}
	for _, vm := range br.vms {
		for _, tg := range br.targets {
			vm.set.PollSent(tg.name)
			br.schedule(br.now+oneWayDelay, func() {
				ld := br.load(tg)
				br.schedule(br.now+oneWayDelay, func() { vm.set.PollAnswered(br.clock(), tg.name, ld) })
			})
		}
	}
}

// simEvent is a function that runs at a point in simulated time.
type simEvent struct {
	at time.Duration
	nr int
	do func()
}

func (br *balanceRun) schedule(at time.Duration, do func()) {
	br.created++
	heap.Push(&br.events, simEvent{at: at, nr: br.created, do: do})
}

// simEvents is a min-heap of events by time. Events at the same time run in their order of creation.
type simEvents []simEvent

func (se simEvents) Len() int      { return len(se) }
func (se simEvents) Swap(i, j int) { se[i], se[j] = se[j], se[i] }
func (se simEvents) Less(i, j int) bool {
	return se[i].at < se[j].at || se[i].at == se[j].at && se[i].nr < se[j].nr
}

// Push implements heap.Interface.
func (se *simEvents) Push(x any) { *se = append(*se, x.(simEvent)) }

// Pop implements heap.Interface.
func (se *simEvents) Pop() any {
	old := *se
	ev := old[len(old)-1]
	old[len(old)-1] = simEvent{}
	*se = old[:len(old)-1]
	return ev
}
