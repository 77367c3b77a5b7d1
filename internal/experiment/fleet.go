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
	nearLatency  = time.Millisecond      // within a region, one way
	farLatency   = 35 * time.Millisecond // between regions, one way
	tickInterval = 100 * time.Millisecond
	// messageOverhead is the estimated size of the HTTP/1.1 headers of a request or a response.
	messageOverhead = 200
)

// event is something that happens at a moment of simulated time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type agenda []event

func (ag agenda) Len() int { return len(ag) }
func (ag agenda) Less(nr, ot int) bool {
	if ag[nr].at != ag[ot].at {
		return ag[nr].at < ag[ot].at
	}
	return ag[nr].order < ag[ot].order
}
func (ag agenda) Swap(nr, ot int) { ag[nr], ag[ot] = ag[ot], ag[nr] }

// Push implements heap.Interface.
func (ag *agenda) Push(ev any) { *ag = append(*ag, ev.(event)) }

// Pop implements heap.Interface.
func (ag *agenda) Pop() any {
	last := (*ag)[len(*ag)-1]
	*ag = (*ag)[:len(*ag)-1]
	return last
}

// fleet is a simulated fleet of ledgers.
type fleet struct {
	now    time.Duration
	order  uint64
	agenda agenda
	rng    *rand.Rand
	vms    []*fleetVM
	byID   map[id.VMIncarnation]*fleetVM
}

type fleetVM struct {
	id     id.VMIncarnation
	fd     int
	region int
	ledger *limit.Ledger
	static map[id.Resource]*limit.Bucket // equal split without loans
	peers  []limit.Peer

	messages, bytes int // sent, requests and replies
}

// newFleet returns a fleet whose VMs own equal fractions of everything.
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
		fl.at(time.Duration(fl.rng.Int64N(int64(tickInterval))), func() { fl.tick(fv) })
	}
	return fl
}

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

// clock returns the simulated time as the ledgers see it.
func (fl *fleet) clock() time.Time { return time.Unix(1_800_000_000, 0).Add(fl.now) }

func (fl *fleet) at(moment time.Duration, run func()) {
	fl.order++
	heap.Push(&fl.agenda, event{at: moment, order: fl.order, run: run})
}

// runUntil processes the events before the given moment.
func (fl *fleet) runUntil(end time.Duration) {
	for len(fl.agenda) > 0 && fl.agenda[0].at < end {
		ev := heap.Pop(&fl.agenda).(event)
		fl.now = ev.at
		ev.run()
	}
	fl.now = end
}

func (fl *fleet) tick(fv *fleetVM) {
	fl.at(fl.now+tickInterval, func() { fl.tick(fv) })
	for _, rq := range fv.ledger.Tick(fl.clock(), fv.peers) {
		lender := fl.byID[rq.Lender]
		fv.count(requestSize(rq))
		fl.at(fl.now+fl.latency(fv, lender), func() {
			rp := lender.ledger.HandleRequest(fl.clock(), rq)
			lender.count(replySize(rp))
			fl.at(fl.now+fl.latency(fv, lender), func() { fv.ledger.HandleReply(fl.clock(), rp) })
		})
	}
}

func (fl *fleet) latency(fv, ot *fleetVM) time.Duration {
	if fv.region == ot.region {
		return nearLatency
	}
	return farLatency
}

// poisson calls arrive with the mean rate a second, from one moment to another.
func (fl *fleet) poisson(from, to time.Duration, rate float64, arrive func()) {
	if rate <= 0 {
		return
	}
	next := from + time.Duration(-math.Log(1-fl.rng.Float64())/rate*float64(time.Second))
	if next >= to {
		return
	}
	fl.at(next, func() {
		arrive()
		fl.poisson(fl.now, to, rate, arrive)
	})
}

func (fv *fleetVM) count(size int) {
	fv.messages++
	fv.bytes += size + messageOverhead
}

func amountProto(am limit.Amount) *peerpb.Amount {
	return &peerpb.Amount{RateMilli: int64(am.Rate), BurstMilli: int64(am.Burst), TokensMilli: int64(am.Tokens)}
}

func vmProto(vm id.VMIncarnation) *peerpb.VmIncarnation {
	return &peerpb.VmIncarnation{Vm: string(vm.VM), Incarnation: uint64(vm.Incarnation)}
}

// stampSize is the encoded size of the stamp that every message carries.
const stampSize = 13

func requestSize(rq limit.BorrowRequest) int {
	msg := &peerpb.BorrowRequest{Borrower: vmProto(rq.Borrower), Lender: vmProto(rq.Lender)}
	for _, it := range rq.Items {
		msg.Items = append(msg.Items, &peerpb.BorrowItem{
			Resource: string(it.Resource), Sequence: it.Sequence, Held: amountProto(it.Held), Wanted: amountProto(it.Wanted),
		})
	}
	return proto.Size(msg) + stampSize
}

func replySize(rp limit.BorrowReply) int {
	msg := &peerpb.BorrowReply{Lender: vmProto(rp.Lender)}
	for _, gr := range rp.Grants {
		msg.Grants = append(msg.Grants, &peerpb.Grant{
			Resource: string(gr.Resource), Sequence: gr.Sequence, Granted: amountProto(gr.Granted), Spare: amountProto(gr.Spare),
		})
	}
	return proto.Size(msg) + stampSize
}
