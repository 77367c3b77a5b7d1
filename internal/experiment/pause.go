package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/workload"
)

// PauseScenario describes a pool of which half of the targets ask for a pause at the same moment. Each answers 503 with the remaining
// time until the end of its pause, so that all pauses end together.
type PauseScenario struct {
	VMs   int // as many targets
	Pause time.Duration
	// Concentrated is set if the targets that pause are those of one region and half of those of another, and not half of each region's.
	Concentrated bool
}

// PauseResult holds what callers and targets saw from the beginning of the pauses until pauseAfter after their end.
type PauseResult struct {
	PauseScenario
	Seed     uint64
	Requests int
	InTime   int // successes within the latency objective
	Late     int // successes later than that
	Refused  int
	// MostInPause is the largest number of requests that one VM sent to one target between noticeDelay after its first 503 there and the
	// end of the pause.
	MostInPause int
	// Return holds the requests that arrived at the targets that had paused in each returnStep after the end, relative to the average
	// before the pause.
	Return []float64
	// ReturnTold is the same for the requests of VMs which the target had told about its pause. With many VMs and a short pause, most
	// VMs have sent nothing to most targets meanwhile.
	ReturnTold []float64
	// Told is the fraction of pairs of a VM and a target that paused in which the VM was told.
	Told float64
}

// Parameters of the simulated pauses.
const (
	pauseRegions     = 3
	pauseSlots       = 4
	pauseLoad        = 0.4 // of the capacity of all targets with known objects
	pauseStart       = 5 * time.Second
	pauseAfter       = 3 * time.Second
	pauseObjective   = 400 * time.Millisecond
	pauseTimeout     = 2 * time.Second
	pauseKnown       = 50 * time.Millisecond // service time for known objects, on average
	pauseUnknown     = 3 * pauseKnown
	pauseMemory      = 10 * time.Second // how long a target knows an object
	objectsPerTarget = 12
	pauseAttempts    = 2
	reportEvery      = 250 * time.Millisecond
	noticeDelay      = 500 * time.Millisecond
	returnStep       = 100 * time.Millisecond
	measuredBefore   = 2 * time.Second // time before the pause in which the usual load is measured
)

// PauseScenarios returns the scenarios for a number of VMs.
func PauseScenarios(vms int) []PauseScenario {
	var all []PauseScenario
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		all = append(all, PauseScenario{VMs: vms, Pause: pause}, PauseScenario{VMs: vms, Pause: pause, Concentrated: true})
	}
	return all
}

// pauseVM is a simulated VM.
type pauseVM struct {
	placer *placement.Placer
	budget *placement.RetryBudget
	region id.Region
}

// pauseTarget is a simulated target.
type pauseTarget struct {
	placement.Target
	pauses  bool
	running int
	queue   []func()
	known   map[string]time.Duration // when the target last ran work on an object
	asked   map[int]time.Duration    // when it first answered a VM 503
	inPause map[int]int              // requests of a VM after noticeDelay
	before  map[int]int              // requests of a VM in measuredBefore
	after   map[int][]int            // requests of a VM in each returnStep after the pause
}

// pauseRun is one run of a scenario.
type pauseRun struct {
	sc      PauseScenario
	rnd     *rand.Rand
	begin   time.Time
	now     time.Duration
	events  simEvents
	created int
	vms     []*pauseVM
	targets map[id.Target]*pauseTarget
	result  PauseResult
}

// pauseRequest is a request at a VM.
type pauseRequest struct {
	vm       int
	arrived  time.Duration
	object   string
	work     float64 // in units of the service time
	attempts int
	rq       placement.Request
}

// SimulatePause simulates a scenario.
func SimulatePause(sc PauseScenario, seed uint64) PauseResult {
	pr := &pauseRun{
		sc: sc, rnd: rand.New(rand.NewPCG(seed, 3)), begin: time.Unix(1_800_000_000, 0), targets: map[id.Target]*pauseTarget{},
		result: PauseResult{PauseScenario: sc, Seed: seed},
	}
	var list []placement.Target
	for nr := range sc.VMs {
		region := nr % pauseRegions
		tg := &pauseTarget{
			Target: placement.Target{
				ID: targetName(nr), Pool: "desk", Address: string(targetName(nr)), FailureDomain: id.FailureDomain(fmt.Sprint("fd-", region)),
				Region: regionName(region), Slots: pauseSlots, StartUnixMilli: 1,
			},
			pauses: nr/pauseRegions%2 == 0,
			known:  map[string]time.Duration{}, asked: map[int]time.Duration{}, inPause: map[int]int{},
			before: map[int]int{}, after: map[int][]int{},
		}
		if sc.Concentrated {
			tg.pauses = region == 0 || region == 1 && nr/pauseRegions%2 == 0
		}
		pr.targets[tg.ID] = tg
		list = append(list, tg.Target)
	}
	byRegion := map[id.Region][]id.VM{}
	for nr := range sc.VMs {
		name, region := id.VM(fmt.Sprint("vm-", nr)), regionName(nr%pauseRegions)
		byRegion[region] = append(byRegion[region], name)
		vm := &pauseVM{region: region, budget: placement.NewRetryBudget(pr.begin, 0.2, 10*time.Second), placer: placement.New(placement.Options{
			Self: name, Region: region, FailureDomain: id.FailureDomain(fmt.Sprint("fd-", nr%pauseRegions)),
		})}
		vm.budget.SetSlack(float64(60) / float64(sc.VMs))
		pr.vms = append(pr.vms, vm)
	}
	for _, vm := range pr.vms {
		vm.placer.SetVMs(byRegion)
		vm.placer.SetTargets(pr.begin, list)
	}
	return pr.run()
}

func regionName(nr int) id.Region { return id.Region(fmt.Sprint("region-", nr)) }

func (pr *pauseRun) clock() time.Time { return pr.begin.Add(pr.now) }

// end returns the end of the pauses.
func (pr *pauseRun) end() time.Duration { return pauseStart + pr.sc.Pause }

// schedule runs a function after the given simulated time.
func (pr *pauseRun) schedule(d time.Duration, do func()) {
	pr.created++
	heap.Push(&pr.events, simEvent{at: pr.now + d, nr: pr.created, do: do})
}

func (pr *pauseRun) run() PauseResult {
	rate := pauseLoad * float64(pr.sc.VMs*pauseSlots) / pauseKnown.Seconds()
	stop := pr.end() + pauseAfter
	var arrive func()
	arrive = func() {
		pr.admit()
		if pr.now < stop {
			pr.schedule(time.Duration(pr.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	pr.schedule(0, arrive)
	pr.schedule(reportEvery, pr.report)
	for len(pr.events) > 0 && pr.now < stop+pauseTimeout {
		ev := heap.Pop(&pr.events).(simEvent)
		pr.now = ev.at
		ev.do()
	}
	pr.finish()
	return pr.result
}

// finish computes the figures of the targets.
func (pr *pauseRun) finish() {
	all, told := newReturnCount(), newReturnCount()
	pausing, asked := 0, 0
	for _, tg := range pr.targets {
		if tg.pauses {
			pausing++
			asked += len(tg.asked)
		}
		for vm := range pr.vms {
			all.add(tg, vm)
			if _, ok := tg.asked[vm]; ok {
				told.add(tg, vm)
			}
		}
	}
	pr.result.Return, pr.result.ReturnTold = all.relative(), told.relative()
	pr.result.Told = float64(asked) / float64(pausing*len(pr.vms))
	for _, tg := range pr.targets {
		for _, num := range tg.inPause {
			pr.result.MostInPause = max(pr.result.MostInPause, num)
		}
	}
}

// returnCount sums the requests of pairs of a VM and a target that pauses.
type returnCount struct {
	before int
	after  []int
}

func newReturnCount() *returnCount { return &returnCount{after: make([]int, pauseAfter/returnStep)} }

func (rc *returnCount) add(tg *pauseTarget, vm int) {
	rc.before += tg.before[vm]
	for step, num := range tg.after[vm] {
		rc.after[step] += num
	}
}

// relative returns the requests in each returnStep after the pause relative to the average before it.
func (rc *returnCount) relative() []float64 {
	usual := float64(max(rc.before, 1)) / float64(measuredBefore/returnStep)
	var list []float64
	for _, num := range rc.after {
		list = append(list, float64(num)/usual)
	}
	return list
}

// report exchanges the demand and the loads of targets between the VMs, and updates their plans.
func (pr *pauseRun) report() {
	demand := map[id.Pool]map[id.Region]workload.Demand{"desk": {}}
	loads := map[uint32]placement.LoadReport{}
	for _, vm := range pr.vms {
		dm := demand["desk"][vm.region]
		dm.Add(vm.placer.Demand(pr.clock())["desk"])
		demand["desk"][vm.region] = dm
		for _, ld := range vm.placer.LoadReports(pr.clock().Add(-reportEvery)) {
			if ld.Total >= loads[ld.Target].Total {
				loads[ld.Target] = ld
			}
		}
	}
	var list []placement.LoadReport
	for _, ld := range loads {
		list = append(list, ld)
	}
	for _, vm := range pr.vms {
		vm.placer.ApplyReports(pr.clock(), list)
		vm.placer.UpdatePlan(pr.clock(), demand)
	}
	pr.schedule(reportEvery, pr.report)
}

// counts reports whether requests that arrived at a time are part of the result.
func (pr *pauseRun) counts(arrived time.Duration) bool {
	return arrived >= pauseStart && arrived < pr.end()+pauseAfter
}

// admit lets a request arrive at a VM.
func (pr *pauseRun) admit() {
	nr := pr.rnd.IntN(len(pr.vms))
	object := fmt.Sprint(pr.rnd.IntN(objectsPerTarget * pr.sc.VMs))
	rq := &pauseRequest{vm: nr, arrived: pr.now, object: object, work: 0.5 + pr.rnd.Float64(), rq: placement.Request{
		Pool: "desk", Route: "read", Object: object, Urgent: true, Objective: pauseObjective, Remaining: pauseTimeout,
	}}
	if pr.counts(rq.arrived) {
		pr.result.Requests++
	}
	pr.vms[nr].placer.CountArrival(pr.clock(), &rq.rq)
	pr.vms[nr].budget.CountRequest(pr.clock(), "desk")
	pr.send(rq)
}

// send sends a request to a target, or refuses it.
func (pr *pauseRun) send(rq *pauseRequest) {
	vm := pr.vms[rq.vm]
	ch, rf := vm.placer.Pick(pr.clock(), &rq.rq)
	if rf != nil {
		pr.refuse(rq)
		return
	}
	rq.attempts++
	rq.rq.Tried = append(rq.rq.Tried, ch.ID)
	sent := pr.now
	delay := regionalLatency
	if ch.Region != vm.region {
		delay = interRegionLatency
	}
	pr.schedule(delay, func() { pr.arrive(rq, &ch, sent, delay) })
}

func (pr *pauseRun) refuse(rq *pauseRequest) {
	if pr.counts(rq.arrived) {
		pr.result.Refused++
	}
}

// arrive handles a request at its target.
func (pr *pauseRun) arrive(rq *pauseRequest, ch *placement.Choice, sent, delay time.Duration) {
	tg := pr.targets[ch.ID]
	pr.countArrival(tg, rq.vm)
	if left := pr.end() - pr.now; tg.pauses && pr.now >= pauseStart && left > 0 {
		asked, ok := tg.asked[rq.vm]
		if !ok {
			tg.asked[rq.vm] = pr.now
		} else if pr.now > asked+noticeDelay {
			tg.inPause[rq.vm]++
		}
		pr.schedule(delay, func() { pr.turnedAway(rq, ch, left) })
		return
	}
	start := func() {
		tg.running++
		service := pauseUnknown
		if at, ok := tg.known[rq.object]; ok && pr.now-at < pauseMemory {
			service = pauseKnown
		}
		tg.known[rq.object] = pr.now
		pr.schedule(time.Duration(rq.work*float64(service)), func() {
			tg.running--
			ld := placement.NewLoad(tg.running, len(tg.queue), pauseSlots)
			if len(tg.queue) > 0 {
				next := tg.queue[0]
				tg.queue = tg.queue[1:]
				next()
			}
			pr.schedule(delay, func() { pr.respond(rq, ch, sent, ld) })
		})
	}
	if tg.running < pauseSlots {
		start()
	} else {
		tg.queue = append(tg.queue, start)
	}
}

// countArrival counts a request that arrives at a target that pauses, before the pause or after it.
func (pr *pauseRun) countArrival(tg *pauseTarget, vm int) {
	switch since := pr.now - pr.end(); {
	case !tg.pauses:
	case pr.now >= pauseStart-measuredBefore && pr.now < pauseStart:
		tg.before[vm]++
	case since >= 0 && since < pauseAfter:
		if tg.after[vm] == nil {
			tg.after[vm] = make([]int, pauseAfter/returnStep)
		}
		tg.after[vm][since/returnStep]++
	}
}

// turnedAway handles a 503 with a pause at the VM.
func (pr *pauseRun) turnedAway(rq *pauseRequest, ch *placement.Choice, left time.Duration) {
	vm := pr.vms[rq.vm]
	vm.placer.HandleNotice(pr.clock(), ch, placement.Notice{Pause: left})
	vm.placer.Done(pr.clock(), ch, "read", placement.Result{Kind: placement.Shed})
	if rq.attempts >= pauseAttempts || !vm.budget.Take(pr.clock(), "desk") {
		pr.refuse(rq)
		return
	}
	pr.send(rq)
}

// respond handles a success at the VM.
func (pr *pauseRun) respond(rq *pauseRequest, ch *placement.Choice, sent time.Duration, ld *placement.Load) {
	pr.vms[rq.vm].placer.Done(pr.clock(), ch, "read", placement.Result{Kind: placement.Succeeded, Latency: pr.now - sent, Load: ld})
	switch took := pr.now - rq.arrived; {
	case !pr.counts(rq.arrived):
	case took <= pauseObjective:
		pr.result.InTime++
	default:
		pr.result.Late++
	}
}
