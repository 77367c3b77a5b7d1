package limit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
)

// fault is an injected error that the oracle must find.
type fault string

const (
	noFault        fault = ""
	countFromReply fault = "borrower counts the loan duration from the reply"
	useEntryAtOnce fault = "restarted VM uses its entry without waiting"
	acceptAnyReply fault = "borrower accepts replies to earlier items"
	lenderForgets  fault = "lender reuses a lent amount after a second"
	releaseAtOnce  fault = "record entry released without waiting"
)

// modelStart is the local time of a clock without offset at the start of the model.
var modelStart = time.Unix(1_800_000_000, 0)

// model simulates a fleet with a network and a store, and checks it with an oracle. Its times are real time; every VM
// has its own clock.
type model struct {
	fault    fault
	drift    float64 // largest deviation of the rate of a clock from 1
	now      time.Duration
	cfgs     []*config.Effective
	names    []id.Resource
	totals   [][]limit.Spec  // by configuration and resource
	bounds   []limit.Spec    // by resource, see refresh
	inForce  []time.Duration // latest time at which some VM had the configuration in force, -1 for never
	split    *limit.Split
	vms      []*modelVM
	network  []envelope
	records  map[id.FailureDomain]*limit.Record
	storeUp  bool
	loseNext bool              // the response of the next write is lost
	cut      map[[2]id.VM]bool // partitioned pairs
	removed  map[id.VM]bool    // no longer on the platform's list
	budget   []float64
	admitted int
	loans    int // loans received
	broken   string
}

// modelVM is a simulated VM.
type modelVM struct {
	id       id.VMIncarnation
	fd       id.FailureDomain
	address  string
	up       bool
	paused   bool
	leaving  bool
	offset   time.Duration
	rate     float64
	ledger   *limit.Ledger
	cfg      int
	inUse    unit.PPM
	pending  unit.PPM // fraction in the record that the VM may use from ready on
	ready    time.Time
	used     unit.PPM // fraction that was in use before the current release
	releases unit.PPM // fraction to write to the record from release on
	release  time.Time
}

// envelope is a request or a reply in the network.
type envelope struct {
	from, to id.VMIncarnation
	request  *limit.BorrowRequest
	reply    *limit.BorrowReply
}

// local returns the local time of the VM's clock.
func (mv *modelVM) local(now time.Duration) time.Time {
	return modelStart.Add(mv.offset + time.Duration(float64(now)*mv.rate))
}

func (mv *modelVM) running() bool { return mv.up && !mv.paused }

func modelConfig(rate unit.MilliPerSecond, burst unit.Milli, shift unit.MilliPerSecond, slots int) *config.Effective {
	cfg := &config.Effective{
		Regions: []config.Region{{Name: "north", ShiftCap: shift}, {Name: "south", ShiftCap: shift}},
		FailureDomains: []config.FailureDomain{
			{Name: "north-a", Region: "north", EntryVMs: 2}, {Name: "north-b", Region: "north", EntryVMs: 2},
			{Name: "south-a", Region: "south", EntryVMs: 2},
		},
		Sites: []config.Site{{FailureDomain: "north-a", Targets: []config.Target{{Pool: "desk", Slots: slots}}}},
		Links: []config.Link{{From: "north", To: "south", Capacity: 2400}},
	}
	if rate > 0 {
		cfg.Teams = []config.Team{{Name: "salon", Rate: rate, Burst: burst}}
	}
	return cfg
}

func newModel(ft fault, drift float64, seed uint64) *model {
	md := &model{
		fault: ft, drift: drift, storeUp: true, cut: make(map[[2]id.VM]bool), removed: make(map[id.VM]bool),
		records: make(map[id.FailureDomain]*limit.Record),
	}
	md.addConfig(modelConfig(100_000, 40_000, 30_000, 9))
	var fds []id.FailureDomain
	for _, fd := range md.cfgs[0].FailureDomains {
		fds = append(fds, fd.Name)
	}
	md.split = limit.EqualSplit(fds)
	rng := rand.New(rand.NewPCG(seed, 1))
	for nr, fd := range append(append(fds, fds...), fds[0]) {
		md.records[fd] = limit.NewRecord(fd, md.split.FailureDomains[fd])
		mv := &modelVM{fd: fd, address: fmt.Sprintf("10.0.0.%d:1", nr), id: id.VMIncarnation{VM: id.VM(fmt.Sprintf("vm-%d", nr))}}
		md.vms = append(md.vms, mv)
		md.start(mv, rng)
	}
	for _, mv := range md.vms[:len(md.vms)-1] { // the last VM would get what the split lost to rounding
		md.reconcile(mv)
	}
	for md.now = 0; md.now < time.Second; { // fills the buckets
		md.advance(100 * time.Millisecond)
	}
	return md
}

// addConfig adds a configuration, which becomes the newest.
func (md *model) addConfig(cfg *config.Effective) {
	found := make(map[id.Resource]limit.Spec)
	for _, fd := range cfg.FailureDomains {
		for _, sp := range limit.Specs(cfg, fd.Name) {
			found[sp.Resource] = sp
		}
	}
	if md.names == nil { // the first configuration has all resources
		md.names = slices.Sorted(maps.Keys(found))
		md.budget, md.bounds = make([]float64, len(found)), make([]limit.Spec, len(found))
	}
	totals := make([]limit.Spec, len(md.names))
	for nr, rs := range md.names {
		totals[nr] = found[rs]
	}
	md.cfgs, md.totals = append(md.cfgs, cfg), append(md.totals, totals)
	md.inForce = append(md.inForce, -1)
}

// start starts a new incarnation of the VM.
func (md *model) start(mv *modelVM, rng *rand.Rand) {
	mv.id.Incarnation++
	mv.up, mv.paused, mv.leaving, mv.inUse, mv.pending, mv.releases = true, false, false, 0, 0, 0
	mv.offset = time.Duration(rng.IntN(3600)) * time.Second
	mv.rate = 1 + md.drift*(2*rng.Float64()-1)
	mv.ledger = limit.New(mv.id, limit.Settings{})
	mv.cfg = len(md.cfgs) - 1
	md.refresh()
	mv.ledger.SetSpecs(mv.local(md.now), limit.Specs(md.cfgs[mv.cfg], mv.fd))
}

// configure applies the newest configuration to a VM.
func (md *model) configure(mv *modelVM) {
	mv.cfg = len(md.cfgs) - 1
	md.refresh()
	mv.ledger.SetSpecs(mv.local(md.now), limit.Specs(md.cfgs[mv.cfg], mv.fd))
	mv.ledger.SetOwned(mv.local(md.now), md.split.OwnedFractions(md.cfgs[mv.cfg], mv.fd, mv.inUse))
}

// use sets the fraction that a VM uses.
func (md *model) use(mv *modelVM, ppm unit.PPM) {
	mv.inUse = ppm
	mv.ledger.SetOwned(mv.local(md.now), md.split.OwnedFractions(md.cfgs[mv.cfg], mv.fd, ppm))
}

// reconcile performs the steps of the daemon on the ownership record: join, reclaim or release, wait, then use.
func (md *model) reconcile(mv *modelVM) {
	if !mv.running() || !md.storeUp {
		return
	}
	rc, err := limit.ParseRecord(md.records[mv.fd].Encode())
	if err != nil {
		md.fail("stored record: %v", err)
		return
	}
	gone := func(en limit.Entry) bool { return md.removed[en.VM] }
	self := limit.Entry{VM: mv.id.VM, Incarnation: mv.id.Incarnation, PeerAddress: mv.address}
	var next *limit.Record
	var takenOver bool
	switch en, has := rc.Entry(mv.id); {
	case mv.releases > 0 && (!mv.local(md.now).Before(mv.release) || md.fault == releaseAtOnce):
		next, mv.releases = rc.Release(mv.id, mv.used, mv.releases), 0
	case has && en.PPM >= md.split.JoinFraction(md.cfgs[0], mv.fd):
		next, takenOver = rc.Reclaim(mv.id, gone)
	default:
		next, takenOver = rc.Join(self, md.split.JoinFraction(md.cfgs[0], mv.fd), limit.Proof{BoundAddress: mv.address, Gone: gone})
	}
	if next != rc {
		md.records[mv.fd] = next
		if md.loseNext {
			md.loseNext = false
			return
		}
	} else {
		takenOver = true
	}
	if en, ok := next.Entry(mv.id); ok && en.PPM > max(mv.inUse, mv.pending) && mv.releases == 0 {
		mv.pending, mv.ready = en.PPM, mv.local(md.now)
		if takenOver && md.fault != useEntryAtOnce {
			mv.ready = mv.ready.Add(limit.Settings{}.ReuseAfter())
		}
	}
	md.becomeReady(mv)
}

func (md *model) reconcileAll() {
	for _, mv := range md.vms {
		md.reconcile(mv)
	}
}

// becomeReady uses the pending fraction after the waiting time.
func (md *model) becomeReady(mv *modelVM) {
	if mv.pending > mv.inUse && !mv.local(md.now).Before(mv.ready) {
		md.use(mv, mv.pending)
		mv.pending = 0
	}
}

// startRelease lowers the use of a VM; reconcile writes the record after the waiting time.
func (md *model) startRelease(mv *modelVM) {
	if mv.running() && mv.inUse > 100_000 && mv.pending == 0 && mv.releases == 0 {
		mv.used = mv.inUse
		mv.releases, mv.release = mv.inUse/2, mv.local(md.now).Add(limit.Settings{}.ReuseAfter())
		md.use(mv, mv.releases)
	}
}

func (md *model) peers(mv *modelVM) []limit.Peer {
	var prs []limit.Peer
	for _, ot := range md.vms {
		if ot.id.VM != mv.id.VM {
			ds := limit.OtherRegion
			if ot.fd == mv.fd {
				ds = limit.SameFailureDomain
			}
			prs = append(prs, limit.Peer{ID: ot.id, Distance: ds})
		}
	}
	return prs
}

func (md *model) send(rqs []limit.BorrowRequest) {
	for _, rq := range rqs {
		md.network = append(md.network, envelope{from: rq.Borrower, to: rq.Lender, request: &rq})
	}
}

func (md *model) tick(mv *modelVM) {
	if mv.running() {
		md.becomeReady(mv)
		md.send(mv.ledger.Tick(mv.local(md.now), md.peers(mv)))
	}
}

func (md *model) byName(vm id.VM) *modelVM {
	nr := slices.IndexFunc(md.vms, func(mv *modelVM) bool { return mv.id.VM == vm })
	return md.vms[nr]
}

// deliver delivers message nr. With keep, a duplicate stays in the network.
func (md *model) deliver(nr int, keep bool) {
	en := md.network[nr]
	mv := md.byName(en.to.VM)
	if mv.up && mv.paused {
		return
	}
	if !keep {
		md.network = slices.Delete(md.network, nr, nr+1)
	}
	if !mv.up || md.cut[pairOf(en.from.VM, en.to.VM)] {
		return
	}
	if en.request != nil {
		rp := mv.ledger.HandleRequest(mv.local(md.now), *en.request)
		if md.fault == lenderForgets {
			mv.ledger.ForgetAt(en.from, mv.local(md.now).Add(time.Second))
		}
		md.network = append(md.network, envelope{from: rp.Lender, to: en.from, reply: &rp})
		return
	}
	if mv.id != en.to {
		return // a reply can reach only the process that sent the request
	}
	md.receive(mv, *en.reply)
}

// receive delivers a reply and injects the faults of borrowers.
func (md *model) receive(mv *modelVM, rp limit.BorrowReply) {
	for range mv.ledger.Acceptable(mv.local(md.now), rp) {
		md.loans++
	}
	if md.fault == acceptAnyReply {
		mv.ledger.AcceptAny(rp)
	}
	mv.ledger.HandleReply(mv.local(md.now), rp)
	if md.fault == countFromReply {
		mv.ledger.CountFromReply(mv.local(md.now), rp.Lender)
	}
}

func pairOf(vm, ot id.VM) [2]id.VM { return [2]id.VM{min(vm, ot), max(vm, ot)} }

// take takes n from the bucket of a VM that runs.
func (md *model) take(mv *modelVM, rs id.Resource, n unit.Milli) {
	if !mv.running() {
		return
	}
	if bk, ok := mv.ledger.Bucket(rs); ok && bk.Take(mv.local(md.now), n) {
		md.admitted++
		md.budget[slices.Index(md.names, rs)] -= float64(n)
	}
}

// acquire takes or releases a slot, and checks the limit of the slots.
func (md *model) acquire(mv *modelVM, rs id.Resource, release bool) {
	sl, ok := mv.ledger.Slots(rs)
	if !ok || !mv.running() {
		return
	}
	inUse := slotsInUse(mv, rs)
	if release && inUse > 0 {
		sl.Release()
	}
	if !release && sl.Acquire() && inUse+unit.One > sl.Limit() {
		md.fail("%s: %d milli-slots in use, limit %d", mv.id, inUse+unit.One, sl.Limit())
	}
}

func slotsInUse(mv *modelVM, rs id.Resource) unit.Milli {
	for _, st := range mv.ledger.Status(modelStart) {
		if st.Resource == rs {
			return st.InFlight
		}
	}
	return 0
}

// advance moves the real time forward and refills the budgets of the oracle.
func (md *model) advance(by time.Duration) {
	md.refresh()
	for nr, total := range md.bounds {
		filled := md.budget[nr] + float64(total.Rate)*(1+md.drift)*by.Seconds()
		md.budget[nr] = min(filled, float64(total.Burst))
	}
	md.now += by
	md.check()
}

// refresh computes an upper bound for each resource: the largest total in any configuration that is in force at some
// VM, or was in force so recently that loans granted under it may still count.
func (md *model) refresh() {
	for _, mv := range md.vms {
		if mv.up {
			md.inForce[mv.cfg] = md.now
		}
	}
	grace := time.Duration(float64(limit.Settings{}.ReuseAfter()) / (1 - md.drift))
	clear(md.bounds)
	for nr, totals := range md.totals {
		if md.inForce[nr] < 0 || md.now-md.inForce[nr] > grace {
			continue
		}
		for nr, sp := range totals {
			bd := &md.bounds[nr]
			bd.Rate, bd.Burst, bd.Slots = max(sp.Rate, bd.Rate), max(sp.Burst, bd.Burst), max(sp.Slots, bd.Slots)
		}
	}
}

// check is the oracle. It compares the totals with the sums over all VMs and over the messages that would still be
// accepted. The budget of a resource is a token bucket over the whole fleet that starts empty, like the buckets of
// the VMs. It becomes negative exactly if the fleet admitted more than rate*t + burst in some window of length t. The
// VMs' tokens must not exceed the budget, because they could be used at once.
func (md *model) check() {
	sums, slots := md.inMessages(), make([]unit.Milli, len(md.names))
	for _, mv := range md.vms {
		for nr, rs := range md.names {
			if bk, ok := mv.ledger.Bucket(rs); ok && mv.up {
				addTo(&sums[nr], bk.Peek(mv.local(md.now)))
			}
			if sl, ok := mv.ledger.Slots(rs); ok && mv.up {
				slots[nr] += sl.Limit()
			}
		}
	}
	// The tolerance of a thousandth of a token for each VM covers the rounding of the local clocks.
	slack := float64(len(md.vms))
	for nr, bd := range md.bounds {
		switch sum := sums[nr]; {
		case sum.Rate > bd.Rate, sum.Burst > bd.Burst, sum.Tokens > bd.Burst:
			md.fail("%s: usable %+v, total rate %d burst %d", md.names[nr], sum, bd.Rate, bd.Burst)
		case float64(sum.Tokens) > md.budget[nr]+slack, md.budget[nr] < -slack:
			md.fail("%s: %d tokens usable, %f in the budget", md.names[nr], sum.Tokens, md.budget[nr])
		case slots[nr] > bd.Slots:
			md.fail("%s: %d milli-slots usable, total %d", md.names[nr], slots[nr], bd.Slots)
		}
	}
}

func addTo(sum *limit.Amount, am limit.Amount) {
	sum.Rate, sum.Burst, sum.Tokens = sum.Rate+am.Rate, sum.Burst+am.Burst, sum.Tokens+am.Tokens
}

// inMessages returns by how much replies in the network would raise the usable amounts. Duplicates are counted once.
func (md *model) inMessages() []limit.Amount {
	sums := make([]limit.Amount, len(md.names))
	seen := make(map[[2]id.VMIncarnation]map[id.Resource]bool)
	for _, en := range md.network {
		mv := md.byName(en.to.VM)
		if en.reply == nil || !mv.up || mv.id != en.to {
			continue
		}
		for rs, am := range mv.ledger.Acceptable(mv.local(md.now), *en.reply) {
			key := [2]id.VMIncarnation{en.from, en.to}
			if seen[key] == nil {
				seen[key] = make(map[id.Resource]bool)
			}
			if !seen[key][rs] {
				seen[key][rs] = true
				addTo(&sums[slices.Index(md.names, rs)], am)
			}
		}
	}
	return sums
}

// fail records the first violation.
func (md *model) fail(format string, args ...any) {
	if md.broken == "" {
		md.broken = fmt.Sprintf("at %v: ", md.now) + fmt.Sprintf(format, args...)
	}
}
