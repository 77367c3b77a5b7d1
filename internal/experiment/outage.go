package experiment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"damasklatch/core/balance"
	"damasklatch/core/id"
)

// OutageMode tells how targets fail.
type OutageMode string

// Failure modes of targets.
const (
	OutageSilent   OutageMode = "silent"   // connections stay open, but the target sends no responses
	OutageRefusing OutageMode = "refusing" // connections are refused
	OutageFailing  OutageMode = "failing"  // every request gets an immediate error response, but polls succeed
)

// OutageResult holds the goodput and the retries during an outage.
type OutageResult struct {
	Mode OutageMode
	// Offered is the load relative to the capacity of the remaining targets.
	Offered float64
	// Goodput is the rate of successful responses relative to the load or to the capacity of the remaining targets,
	// whichever is smaller.
	Goodput float64
	Retries int
	Refused int // requests that got no free slot within maxSlotWait, or found the queue full
	// LastSent is the time from the start of the outage to the last request that was sent to a failed target.
	LastSent time.Duration
}

// Parameters of the simulated outage.
const (
	outageTargets    = 10
	outageLost       = 4
	outageSlots      = 4
	outageVMs        = 2
	outageStart      = 3100 * time.Millisecond // between two polls
	outageDuration   = 10 * time.Second
	pollTimeout      = 500 * time.Millisecond
	firstByteTimeout = 250 * time.Millisecond
	requestTimeout   = 2 * time.Second
	maxAttempts      = 3
	maxSlotWait      = 100 * time.Millisecond
	maxQueued        = 128
)

// SimulateOutages simulates the failure of four of ten targets in each mode, once with a load below and once above the
// capacity of the remaining targets. Requests are idempotent. A request that gets no free slot within maxSlotWait is
// refused, and its caller does not retry.
func SimulateOutages(seed uint64) []OutageResult {
	var all []OutageResult
	for _, mode := range []OutageMode{OutageSilent, OutageRefusing, OutageFailing} {
		for _, offered := range []float64{0.9, 1.5} {
			all = append(all, newOutageRun(mode, offered, seed).run())
		}
	}
	return all
}

// outageVM is a simulated entry VM with a queue of requests that found no free slot.
type outageVM struct {
	set    *balance.Set
	budget balance.RetryBudget
	queue  []*outageRequest
}

// outageRun is one run with one failure mode and load.
type outageRun struct {
	mode      OutageMode
	rnd       *rand.Rand
	begin     time.Time
	now       time.Duration
	events    simEvents
	created   int
	vms       []*outageVM
	lost      map[id.Target]bool
	succeeded int
	result    OutageResult
}

// outageRequest is a request at an entry VM, with the targets that it has tried.
type outageRequest struct {
	vm      *outageVM
	arrived time.Duration
	tried   []id.Target
}

func newOutageRun(mode OutageMode, offered float64, seed uint64) *outageRun {
	or := &outageRun{
		mode: mode, rnd: rand.New(rand.NewPCG(seed, 2)), begin: time.Unix(1_800_000_000, 0), lost: map[id.Target]bool{},
		result: OutageResult{Mode: mode, Offered: offered},
	}
	var tgs []balance.Target
	for nr := range outageTargets {
		name := targetName(nr)
		or.lost[name] = nr < outageLost
		tgs = append(tgs, balance.Target{Name: name, Slots: outageSlots, MaxConnections: 400})
	}
	for nr := range outageVMs {
		vm := &outageVM{set: balance.New(seed + uint64(nr))}
		vm.set.SetShare(nr, outageVMs)
		vm.set.SetTargets(or.begin, tgs)
		or.vms = append(or.vms, vm)
	}
	return or
}

func targetName(nr int) id.Target { return id.Target("t" + strconv.Itoa(nr)) }

// clock returns the simulated time as an absolute time.
func (or *outageRun) clock() time.Time { return or.begin.Add(or.now) }

// schedule runs do after the given simulated time.
func (or *outageRun) schedule(d time.Duration, do func()) {
	or.created++
	heap.Push(&or.events, simEvent{at: or.now + d, nr: or.created, do: do})
}

// run simulates the requests until the end of the outage and returns the result.
func (or *outageRun) run() OutageResult {
	capacity := float64((outageTargets-outageLost)*outageSlots) / (meanService + 2*oneWayDelay).Seconds()
	rate := capacity * or.result.Offered
	end := outageStart + outageDuration
	var arrive func()
	arrive = func() {
		or.admit(&outageRequest{vm: or.vms[or.rnd.IntN(outageVMs)], arrived: or.now})
		or.schedule(time.Duration(or.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	or.schedule(0, arrive)
	for _, vm := range or.vms {
		for nr := range outageTargets {
			or.schedule(0, func() { or.poll(vm, targetName(nr)) })
		}
	}
	for or.now < end {
		ev := heap.Pop(&or.events).(simEvent)
		or.now = ev.at
		ev.do()
	}
	or.result.Goodput = float64(or.succeeded) / outageDuration.Seconds() / min(rate, capacity)
	return or.result
}

// isDown reports whether a target has failed by now.
func (or *outageRun) isDown(name id.Target) bool { return or.now >= outageStart && or.lost[name] }

// poll asks a target for its load, and does so again after pollInterval.
func (or *outageRun) poll(vm *outageVM, name id.Target) {
	sent := or.now
	vm.set.PollSent(name)
	switch {
	case !or.isDown(name) || or.mode == OutageFailing:
		or.schedule(2*oneWayDelay, func() { vm.set.PollAnswered(or.clock(), name, balance.Load{Slots: outageSlots}) })
	case or.mode == OutageRefusing:
		or.schedule(2*oneWayDelay, func() { vm.set.PollFailed(or.clock(), or.begin.Add(sent), name) })
	default:
		or.schedule(pollTimeout, func() { vm.set.PollFailed(or.clock(), or.begin.Add(sent), name) })
	}
	or.schedule(pollInterval, func() { or.poll(vm, name) })
}

// admit sends a request, queues it behind earlier requests if no target has a free slot, or refuses it if the queue is
// full.
func (or *outageRun) admit(rq *outageRequest) {
	rq.vm.budget.CountRequest()
	switch {
	case len(rq.vm.queue) == 0 && or.send(rq):
	case len(rq.vm.queue) >= maxQueued:
		or.result.Refused++
	default:
		rq.vm.queue = append(rq.vm.queue, rq)
		or.schedule(maxSlotWait, func() {
			if at := slices.Index(rq.vm.queue, rq); at >= 0 {
				rq.vm.queue = slices.Delete(rq.vm.queue, at, at+1)
				or.result.Refused++
			}
		})
	}
}

// sendQueued sends queued requests of a VM while targets have free slots.
func (or *outageRun) sendQueued(vm *outageVM) {
	for len(vm.queue) > 0 && or.send(vm.queue[0]) {
		vm.queue = vm.queue[1:]
	}
}

// send sends a request to a target that it has not tried yet. It reports whether such a target had a free slot.
func (or *outageRun) send(rq *outageRequest) bool {
	name, ok := rq.vm.set.Pick(or.clock(), rq.tried...)
	if !ok {
		return false
	}
	or.attempt(rq, name)
	return true
}

// attempt sends a request to a target. It retries at another target if the connection is refused or if there is no
// response within firstByteTimeout, as far as maxAttempts and the retry budget allow.
func (or *outageRun) attempt(rq *outageRequest, name id.Target) {
	rq.tried = append(rq.tried, name)
	started := or.now
	if or.isDown(name) {
		or.result.LastSent = or.now - outageStart
	}
	// finish ends the attempt and starts a retry if retry is set. Only the first call has an effect.
	ended := false
	finish := func(kind balance.ResultKind, retry bool) {
		if ended {
			return
		}
		ended = true
		rq.vm.set.Done(or.clock(), name, balance.Result{Kind: kind, Started: or.begin.Add(started), Latency: or.now - started})
		if kind == balance.Success && or.now >= outageStart {
			or.succeeded++
		}
		if retry {
			or.result.Retries++
			or.send(rq)
		}
		or.sendQueued(rq.vm)
	}
	mayRetry := func() bool { return len(rq.tried) < maxAttempts && rq.vm.budget.Take() }
	switch {
	case !or.isDown(name):
		work := time.Duration(min(or.rnd.ExpFloat64(), maxWork) * float64(meanService))
		or.schedule(work+2*oneWayDelay, func() {
			if !or.isDown(name) {
				finish(balance.Success, false)
			}
		})
	case or.mode == OutageRefusing:
		or.schedule(2*oneWayDelay, func() { finish(balance.Broken, mayRetry()) })
	case or.mode == OutageFailing:
		or.schedule(2*oneWayDelay, func() { finish(balance.Failed, false) })
	}
	or.schedule(firstByteTimeout, func() {
		if !ended && mayRetry() {
			finish(balance.TimedOut, true)
		}
	})
	or.schedule(requestTimeout, func() { finish(balance.TimedOut, false) })
}
