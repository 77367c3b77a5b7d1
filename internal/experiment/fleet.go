package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
	"damasklatch/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
)

// Latencies and intervals of the simulated fleet.
const (
	regionalLatency    = time.Millisecond      // within a region, one way
	interRegionLatency = 35 * time.Millisecond // between regions, one way
	tickInterval       = 100 * time.Millisecond
	// messageOverhead is the estimated size in bytes of the HTTP/1.1 headers of a request or a response.
	messageOverhead = 200
)

// event is a function that runs at a point in simulated time. Events at the same time run in their order of creation.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a min-heap of events by time and order.
type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(nr, ot int) bool {
	if eq[nr].at != eq[ot].at {
		return eq[nr].at < eq[ot].at
	}
	return eq[nr].order < eq[ot].order
}
func (eq eventQueue) Swap(nr, ot int) { eq[nr], eq[ot] = eq[ot], eq[nr] }

// Push implements heap.Interface.
func (eq *eventQueue) Push(ev any) { *eq = append(*eq, ev.(event)) }

// Pop implements heap.Interface.
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

// fleet simulates VMs whose limit ledgers exchange loans.
type fleet struct {
	now    time.Duration
	order  uint64
	events eventQueue
	rng    *rand.Rand
	vms    []*fleetVM
	byID   map[id.VMIncarnation]*fleetVM
}

// fleetVM is a simulated VM.
type fleetVM struct {
	id     id.VMIncarnation
	fd     int // number of the failure domain
	region int // number of the region
	ledger *limit.Ledger
	static map[id.Resource]*limit.Bucket // baseline: equal split over the VMs without loans
	peers  []limit.Peer

	messages, bytes int // sent in requests and replies
}

// newFleet returns a fleet whose VMs own equal fractions of every resource. The VMs are spread evenly over the failure
// domains, and their first ticks are at random times.
func newFleet(seed uint64, regions, fdsPerRegion, vms int, sps []limit.Spec) *fleet {
	fl := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), byID: make(map[id.VMIncarnation]*fleetVM)}
	fds := regions * fdsPerRegion
	ow := limit.OwnedFractions{PPM: unit.Whole / unit.PPM(vms)}
	for nr := range vms {
		fv := &fleetVM{
			id: id.VMIncarnation{VM: id.VM(fmt.Sprintf("vm-%03d", nr)), Incarnation: 1},
			fd: nr % fds, region: nr % fds / fdsPerRegion, static: make(map[id.Resource]*limit.Bucket),
		}
		fv.ledger = limit.New(fv.id, limit.Settings{})
		static := limit.New(fv.id, limit.Settings{})
		for _, lg := range []*limit.Ledger{fv.ledger, static} {
			lg.SetSpecs(fl.clock(), sps)
			lg.SetOwned(fl.clock(), ow)
		}
		for _, sp := range sps {
			fv.static[sp.Resource], _ = static.Bucket(sp.Resource)
		}
		fl.vms = append(fl.vms, fv)
		fl.byID[fv.id] = fv
	}
	for _, fv := range fl.vms {
		fv.peers = fl.peersOf(fv)
		fl.schedule(time.Duration(fl.rng.Int64N(int64(tickInterval))), func() { fl.tick(fv) })
	}
	return fl
}

// peersOf returns all other VMs with their distance from fv.
func (fl *fleet) peersOf(fv *fleetVM) []limit.Peer {
	var prs []limit.Peer
	for _, ot := range fl.vms {
		pr := limit.Peer{ID: ot.id, Distance: limit.OtherRegion}
		switch {
		case ot == fv:
			continue
		case ot.fd == fv.fd:
			pr.Distance = limit.SameFailureDomain
		case ot.region == fv.region:
			pr.Distance = limit.SameRegion
		}
		prs = append(prs, pr)
	}
	return prs
}

// clock returns the simulated time as an absolute time.
func (fl *fleet) clock() time.Time { return time.Unix(1_800_000_000, 0).Add(fl.now) }

// schedule runs a function at a simulated time.
func (fl *fleet) schedule(moment time.Duration, run func()) {
	fl.order++
	heap.Push(&fl.events, event{at: moment, order: fl.order, run: run})
}

// runUntil runs all events before end and then sets the simulated time to end.
func (fl *fleet) runUntil(end time.Duration) {
	for len(fl.events) > 0 && fl.events[0].at < end {
		ev := heap.Pop(&fl.events).(event)
		fl.now = ev.at
		ev.run()
	}
	fl.now = end
}

// tick runs the periodic work of a VM's ledger and delivers its borrow requests and the replies after the network
// latency.
func (fl *fleet) tick(fv *fleetVM) {
	fl.schedule(fl.now+tickInterval, func() { fl.tick(fv) })
	for _, rq := range fv.ledger.Tick(fl.clock(), fv.peers) {
		lender := fl.byID[rq.Lender]
		fv.countMessage(requestSize(rq))
		fl.schedule(fl.now+fl.latency(fv, lender), func() {
			rp := lender.ledger.HandleRequest(fl.clock(), rq)
			lender.countMessage(replySize(rp))
			fl.schedule(fl.now+fl.latency(fv, lender), func() { fv.ledger.HandleReply(fl.clock(), rp) })
		})
	}
}

// latency returns the one-way network latency between two VMs.
func (fl *fleet) latency(fv, ot *fleetVM) time.Duration {
	if fv.region == ot.region {
		return regionalLatency
	}
	return interRegionLatency
}

// scheduleArrivals calls arrive as a Poisson process with the given mean rate per second, between two simulated times.
func (fl *fleet) scheduleArrivals(from, to time.Duration, rate float64, arrive func()) {
	if rate <= 0 {
		return
	}
	next := from + time.Duration(-math.Log(1-fl.rng.Float64())/rate*float64(time.Second))
	if next >= to {
		return
	}
	fl.schedule(next, func() {
		arrive()
		fl.scheduleArrivals(fl.now, to, rate, arrive)
	})
}

// countMessage adds a sent message with a body of size bytes.
func (fv *fleetVM) countMessage(size int) {
	fv.messages++
	fv.bytes += size + messageOverhead
}

func amountProto(am limit.Amount) *peerpb.Amount {
	return &peerpb.Amount{RateMilli: int64(am.Rate), BurstMilli: int64(am.Burst), TokensMilli: int64(am.Tokens)}
}

func vmProto(vm id.VMIncarnation) *peerpb.VmIncarnation {
	return &peerpb.VmIncarnation{Vm: string(vm.VM), Incarnation: uint64(vm.Incarnation)}
}

// stampSize is the encoded size in bytes of the stamp in every message.
const stampSize = 13

// requestSize returns the encoded size of a request in bytes.
func requestSize(rq limit.BorrowRequest) int {
	msg := &peerpb.BorrowRequest{Borrower: vmProto(rq.Borrower), Lender: vmProto(rq.Lender)}
	for _, it := range rq.Items {
		msg.Items = append(msg.Items, &peerpb.BorrowItem{
			Resource: string(it.Resource), Sequence: it.Sequence, Held: amountProto(it.Held), Wanted: amountProto(it.Wanted),
		})
	}
	return proto.Size(msg) + stampSize
}

// replySize returns the encoded size of a reply in bytes.
func replySize(rp limit.BorrowReply) int {
	msg := &peerpb.BorrowReply{Lender: vmProto(rp.Lender)}
	for _, gr := range rp.Grants {
		msg.Grants = append(msg.Grants, &peerpb.Grant{
			Resource: string(gr.Resource), Sequence: gr.Sequence, Granted: amountProto(gr.Granted), Spare: amountProto(gr.Spare),
		})
	}
	return proto.Size(msg) + stampSize
}
