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

// OutageMode is the way in which targets fail.
type OutageMode string

// Ways in which targets fail.
const (
	OutageSilent   OutageMode = "silent"   // connections stay open, nothing is answered
	OutageRefusing OutageMode = "refusing" // connections are refused
	OutageFailing  OutageMode = "failing"  // every request is answered at once with an error, polls succeed
)

// OutageResult is the goodput during an outage.
type OutageResult struct {
	Mode OutageMode
	// Offered is the load relative to what the remaining targets can carry.
	Offered float64
	// Goodput is the rate of successful responses relative to the smaller of the load and what the remaining targets
	// can carry.
	Goodput float64
	Retries int
	Refused int // requests that found no free slot in time
	// LastSent is the time from the start of the outage to the last request that was sent to a lost target.
	LastSent time.Duration
}

const (
	outageTargets = 10
	outageLost    = 4
	outageSlots   = 4
	outageVMs     = 2
	outageAt      = 3100 * time.Millisecond // between two polls
	outageFor     = 10 * time.Second
	pollTimeout   = 500 * time.Millisecond
	firstByte     = 250 * time.Millisecond
	deadline      = 2 * time.Second
	attempts      = 3
	slotWait      = 100 * time.Millisecond
	mostWaiting   = 128
)

// SimulateOutages lets four of ten targets fail in each mode, with a load below and one above what the remaining ones can carry.
// Requests are idempotent. One that finds no free slot within slotWait is refused, and the caller does not try again.
func SimulateOutages(seed uint64) []OutageResult {
	var all []OutageResult
	for _, mode := range []OutageMode{OutageSilent, OutageRefusing, OutageFailing} {
		for _, offered := range []float64{0.9, 1.5} {
			all = append(all, newOutageRun(mode, offered, seed).run())
		}
	}
	return all
}

type outageVM struct {
	set    *balance.Set
	budget balance.RetryBudget
	line   []*outageRequest
}

type outageRun struct {
	mode    OutageMode
	rnd     *rand.Rand
	begin   time.Time
	now     time.Duration
	events  simEvents
	created int
	vms     []*outageVM
	lost    map[id.Target]bool
	good    int
	result  OutageResult
}

// outageRequest is a request at an entry VM.
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

func (or *outageRun) clock() time.Time { return or.begin.Add(or.now) }

func (or *outageRun) after(d time.Duration, do func()) {
	or.created++
	heap.Push(&or.events, simEvent{at: or.now + d, nr: or.created, do: do})
}

func (or *outageRun) run() OutageResult {
	carry := float64((outageTargets-outageLost)*outageSlots) / (meanService + 2*oneWay).Seconds()
	rate := carry * or.result.Offered
	end := outageAt + outageFor
	var arrive func()
	arrive = func() {
		or.admit(&outageRequest{vm: or.vms[or.rnd.IntN(outageVMs)], arrived: or.now})
		or.after(time.Duration(or.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	or.after(0, arrive)
	for _, vm := range or.vms {
		for nr := range outageTargets {
			or.after(0, func() { or.poll(vm, targetName(nr)) })
		}
	}
	for or.now < end {
		ev := heap.Pop(&or.events).(simEvent)
		or.now = ev.at
		ev.do()
	}
	or.result.Goodput = float64(or.good) / outageFor.Seconds() / min(rate, carry)
	return or.result
}

func (or *outageRun) down(name id.Target) bool { return or.now >= outageAt && or.lost[name] }

func (or *outageRun) poll(vm *outageVM, name id.Target) {
	sent := or.now
	vm.set.PollSent(name)
	switch {
	case !or.down(name) || or.mode == OutageFailing:
		or.after(2*oneWay, func() { vm.set.PollAnswered(or.clock(), name, balance.Load{Slots: outageSlots}) })
	case or.mode == OutageRefusing:
		or.after(2*oneWay, func() { vm.set.PollFailed(or.clock(), or.begin.Add(sent), name) })
	default:
		or.after(pollTimeout, func() { vm.set.PollFailed(or.clock(), or.begin.Add(sent), name) })
	}
	or.after(pollEvery, func() { or.poll(vm, name) })
}

// admit sends a request, or lets it wait for a slot behind those that came before.
func (or *outageRun) admit(rq *outageRequest) {
	rq.vm.budget.CountRequest()
	switch {
	case len(rq.vm.line) == 0 && or.send(rq):
	case len(rq.vm.line) >= mostWaiting:
		or.result.Refused++
	default:
		rq.vm.line = append(rq.vm.line, rq)
		or.after(slotWait, func() {
			if at := slices.Index(rq.vm.line, rq); at >= 0 {
				rq.vm.line = slices.Delete(rq.vm.line, at, at+1)
				or.result.Refused++
			}
		})
	}
}

func (or *outageRun) wake(vm *outageVM) {
	for len(vm.line) > 0 && or.send(vm.line[0]) {
		vm.line = vm.line[1:]
	}
}

// send sends a request to a target and reports whether one had a free slot.
func (or *outageRun) send(rq *outageRequest) bool {
	name, ok := rq.vm.set.Pick(or.clock(), rq.tried...)
	if !ok {
		return false
	}
	or.attempt(rq, name)
	return true
}

func (or *outageRun) attempt(rq *outageRequest, name id.Target) {
	rq.tried = append(rq.tried, name)
	started := or.now
	if or.down(name) {
		or.result.LastSent = or.now - outageAt
	}
	// end ends the attempt once, with or without another one.
	ended := false
	end := func(kind balance.ResultKind, retry bool) {
		if ended {
			return
		}
		ended = true
		rq.vm.set.Done(or.clock(), name, balance.Result{Kind: kind, Started: or.begin.Add(started), Latency: or.now - started})
		if kind == balance.Success && or.now >= outageAt {
			or.good++
		}
		if retry {
			or.result.Retries++
			or.send(rq)
		}
		or.wake(rq.vm)
	}
	mayRetry := func() bool { return len(rq.tried) < attempts && rq.vm.budget.Take() }
	switch {
	case !or.down(name):
		work := time.Duration(min(or.rnd.ExpFloat64(), slowestWork) * float64(meanService))
		or.after(work+2*oneWay, func() {
			if !or.down(name) {
				end(balance.Success, false)
			}
		})
	case or.mode == OutageRefusing:
		or.after(2*oneWay, func() { end(balance.Broken, mayRetry()) })
	case or.mode == OutageFailing:
		or.after(2*oneWay, func() { end(balance.Failed, false) })
	}
	or.after(firstByte, func() {
		if !ended && mayRetry() {
			end(balance.TimedOut, true)
		}
	})
	or.after(deadline, func() { end(balance.TimedOut, false) })
}
