package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/quota"
	"damasklatch/core/roster"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// The bounds that the users state: within a window, a team gets its rate and burst with this excess at most, and a
// withdrawn key is served no longer than this.
const (
	window      = 5 * time.Second
	overage     = 0.1
	slack       = 20.0
	revokeAfter = 5 * time.Second
	leaseLife   = 4 * time.Second
	team        = id.Team("salon_desk")
	step        = 50 * time.Millisecond
	statusEvery = 250 * time.Millisecond
	readEvery   = 800 * time.Millisecond
)

// fleet is a fleet of VMs in failure domains, with a store that holds one key. Every fault lasts for some time.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	vms      []*vm
	domains  []id.FailureDomain
	regions  map[id.FailureDomain]id.Region
	rate     float64
	burst    float64
	revoked  time.Time // of the key; zero before
	down     time.Time // until when the store is down
	admitted []time.Time
	refused  int
	late     []string
	calm     bool // no faults
	keep     bool // the key is never withdrawn
	messages int
	bytes    int
	count    bool // messages and bytes
}

type vm struct {
	name      id.VM
	domain    id.FailureDomain
	reader    bool
	started   time.Time
	inc       id.Incarnation
	fl        *fleet
	ledger    *quota.Ledger
	lease     *lease.Lease
	roster    *roster.Roster
	knows     bool // that the key was withdrawn
	suspended time.Time
	alone     time.Time // until when it reaches no other VM
	island    time.Time // until when its failure domain reaches no other
	cut       time.Time // until when it does not reach the store
	nextRead  time.Time
	nextSeen  time.Time
	nextBeat  time.Time
	answered  time.Time
	lastStep  time.Time
	dryUntil  time.Time
	beat      uint64
	lapses    int64
	nextState time.Time
	nextSum   time.Time
	inbox     []letter
}

type letter struct {
	at time.Time
	st roster.Status
}

func newFleet(rng *rand.Rand, vms int, rate, burst float64) *fleet {
	return newFleetOf(rng, vms, 1+rng.IntN(min(vms, 6)), rate, burst)
}

func newFleetOf(rng *rand.Rand, vms, domains int, rate, burst float64) *fleet {
	fl := &fleet{rng: rng, now: time.Unix(1_800_000_000, 0), rate: rate, burst: burst, regions: map[id.FailureDomain]id.Region{}}
	for nr := range domains {
		name := id.FailureDomain(fmt.Sprint("domain-", nr))
		fl.domains = append(fl.domains, name)
		fl.regions[name] = id.Region(fmt.Sprint("region-", nr%3))
	}
	for nr := range vms {
		fl.vms = append(fl.vms, &vm{
			name: id.VM(fmt.Sprint("vm-", nr)), domain: fl.domains[nr%domains], reader: nr < 3, fl: fl,
		})
	}
	for _, mc := range fl.vms {
		mc.start()
	}
	return fl
}

func (mc *vm) peer() roster.Peer {
	return roster.Peer{
		VM: mc.name, Incarnation: mc.inc, FailureDomain: mc.domain, Region: mc.fl.regions[mc.domain], Heartbeat: mc.beat,
	}
}

// start is a new process of the VM, which knows the registered VMs from the store.
func (mc *vm) start() {
	mc.inc++
	mc.beat, mc.lapses = 0, 0
	mc.started, mc.lastStep, mc.answered = mc.fl.now, mc.fl.now, time.Time{}
	mc.lease = lease.New(func() lease.Instant { return lease.Instant(mc.fl.now.UnixNano()) }, leaseLife)
	mc.roster = roster.New(mc.peer())
	mc.ledger = quota.New(len(mc.fl.domains), slack)
	mc.ledger.SetLimits(mc.fl.now, map[id.Team]quota.Limit{team: {Rate: mc.fl.rate, Burst: mc.fl.burst}}, mc.counts)
	mc.knows, mc.inbox = false, nil
	mc.seePeers()
}

// seePeers reads the registrations.
func (mc *vm) seePeers() {
	var peers []roster.Peer
	for _, ot := range mc.fl.vms {
		peers = append(peers, ot.peer())
	}
	mc.roster.SetPeers(mc.fl.now, peers)
}

const (
	// beats is the period in which a VM that nobody hears renews its registration.
	beats = 2 * time.Second
	// oldLease is the age of the lease from which a VM asks the store itself.
	oldLease = 3300 * time.Millisecond
)

func (mc *vm) counts(team id.Team) bool {
	pr, _ := mc.roster.Coordinator(mc.fl.now, mc.domain, team)
	return pr.VM == mc.name
}

func (mc *vm) running() bool { return !mc.fl.now.Before(mc.suspended) }

func (mc *vm) reaches(ot *vm) bool {
	now := mc.fl.now
	if mc == ot {
		return true
	}
	if mc.domain != ot.domain && (now.Before(mc.island) || now.Before(ot.island)) {
		return false
	}
	return !now.Before(mc.alone) && !now.Before(ot.alone)
}

func (mc *vm) reachesStore() bool { return !mc.fl.now.Before(mc.cut) && !mc.fl.now.Before(mc.fl.down) }

func (mc *vm) step() {
	fl := mc.fl
	if !mc.running() {
		return
	}
	if fl.now.Sub(mc.lastStep) > time.Second {
		mc.roster.ForgetSilent(fl.now, false)
	}
	mc.lastStep = fl.now
	for len(mc.inbox) > 0 && !mc.inbox[0].at.After(fl.now) {
		mc.hear(&mc.inbox[0].st)
		mc.inbox = mc.inbox[1:]
	}
	mc.read()
	if !fl.now.Before(mc.nextState) {
		mc.nextState = fl.now.Add(statusEvery)
		mc.roster.ForgetSilent(fl.now, mc.roster.HeardByPeer(fl.now, roster.AliveFor) || !mc.answered.IsZero() && fl.now.Sub(mc.answered) < roster.AliveFor)
		if lp := mc.lease.Lapses(); lp != mc.lapses {
			mc.lapses = lp
			mc.ledger.DiscardTokens(fl.now)
			mc.beat++
		}
		mc.ledger.SetCoordinated(fl.now, mc.counts)
		mc.tell()
	}
}

// read asks the store, if this VM is a reader or its lease is old, and sees the registrations from the store or another VM.
func (mc *vm) read() {
	fl := mc.fl
	age, ok := mc.lease.Age()
	if !fl.now.Before(mc.nextRead) && mc.reachesStore() && (mc.reader || !ok || age > oldLease) {
		mc.nextRead = fl.now.Add(readEvery)
		mc.knows = mc.knows || !fl.revoked.IsZero()
		mc.lease.Renew(mc.lease.Now())
		mc.answered = fl.now
	}
	if mc.reachesStore() && mc.roster.NeedsHeartbeat(fl.now) && !fl.now.Before(mc.nextBeat) {
		mc.nextBeat = fl.now.Add(beats)
		mc.beat++
	}
	if fl.now.Before(mc.nextSeen) {
		return
	}
	for _, ot := range fl.vms {
		if (ot == mc || ot.reader) && mc.reaches(ot) && ot.running() && ot.reachesStore() {
			mc.nextSeen = fl.now.Add(readEvery)
			mc.seePeers()
			return
		}
	}
}

func (mc *vm) version() id.Generation {
	if mc.knows {
		return 2
	}
	return 1
}

func (mc *vm) hear(st *roster.Status) {
	if mc.roster.Receive(mc.fl.now, st) && st.Report.EchoOf == mc.inc && st.Report.Version == mc.version() {
		mc.lease.RenewFromPeer(st.Report.Echo, st.Report.EvidenceAge)
	}
}

// tell sends reports and summaries as a VM does.
func (mc *vm) tell() {
	fl := mc.fl
	age, ok := mc.lease.Age()
	if !ok {
		age = -1
	}
	st := roster.Status{Report: roster.Report{
		VM: mc.name, Incarnation: mc.inc, Version: mc.version(), EvidenceAge: age, Sent: mc.lease.Now(), State: roster.Ready,
	}}
	var own, all []roster.Summary
	if !fl.now.Before(mc.nextSum) {
		mc.nextSum = fl.now.Add(2 * statusEvery)
		own = []roster.Summary{mc.roster.Summary(fl.now, &st.Report)}
		all = append(mc.roster.Summaries(fl.now), own...)
	}
	members := mc.roster.Members()
	direct := make(map[id.VM]*roster.Report, len(members))
	for nr := range members {
		if members[nr].ReportsDirectly(fl.now) {
			direct[members[nr].VM] = &members[nr].LastReport
		}
	}
	sent := map[id.VM]bool{mc.name: true}
	send := func(to id.VM, summaries []roster.Summary) {
		if sent[to] {
			return
		}
		sent[to] = true
		st.Summaries, st.Report.Echo, st.Report.EchoOf = summaries, 0, 0
		if rp := direct[to]; rp != nil {
			st.Report.Echo, st.Report.EchoOf = rp.Sent, rp.Incarnation
		}
		mc.send(to, st)
	}
	for _, pr := range mc.roster.Aggregators(fl.now, mc.domain) {
		send(pr.VM, nil)
	}
	for nr := range members {
		if members[nr].FailureDomain == mc.domain && direct[members[nr].VM] != nil {
			send(members[nr].VM, all)
		}
	}
	if !mc.roster.IsAggregator(fl.now) {
		return
	}
	for _, fd := range fl.domains {
		for _, pr := range mc.roster.Aggregators(fl.now, fd) {
			send(pr.VM, own)
		}
	}
}

// send loses one message in twenty and delays the others.
func (mc *vm) send(to id.VM, st roster.Status) {
	fl := mc.fl
	for _, ot := range fl.vms {
		if ot.name != to {
			continue
		}
		if fl.count {
			src, err := cbor.Marshal(st)
			if err != nil {
				panic(err)
			}
			fl.messages, fl.bytes = fl.messages+1, fl.bytes+len(src)
		}
		if !mc.reaches(ot) || fl.rng.IntN(20) == 0 {
			return
		}
		delay := time.Duration(fl.rng.IntN(120)) * time.Millisecond
		ot.inbox = append(ot.inbox, letter{fl.now.Add(delay), st})
	}
}

// request sends a request to a VM.
func (fl *fleet) request(mc *vm) {
	if !mc.running() || !mc.lease.Valid() || mc.knows {
		return
	}
	if !fl.revoked.IsZero() && fl.now.Sub(fl.revoked) > revokeAfter {
		fl.late = append(fl.late, fmt.Sprintf("%s serves the key %s after it was withdrawn", mc.name, fl.now.Sub(fl.revoked)))
	}
	if mc.take() {
		fl.admitted = append(fl.admitted, fl.now)
		return
	}
	fl.refused++
}

// take asks the VM that counts, which borrows if it is short.
func (mc *vm) take() bool {
	now := mc.fl.now
	verdict, _ := mc.ledger.Take(now, team)
	if verdict == quota.Admitted {
		return true
	}
	if verdict == quota.NotCoordinator {
		if ot := mc.counter(mc.domain); ot != nil && ot != mc {
			tokens, _, counting := ot.ledger.Lend(now, team, 1)
			if counting && tokens == 0 && ot.borrow() {
				tokens, _, _ = ot.ledger.Lend(now, team, 1)
			}
			if counting {
				return tokens > 0
			}
		}
	}
	if !mc.borrow() {
		return false
	}
	verdict, _ = mc.ledger.Take(now, team)
	return verdict == quota.Admitted
}

// counter returns the VM that this one takes for the one that counts in a failure domain, if it can be asked.
func (mc *vm) counter(fd id.FailureDomain) *vm {
	pr, alive := mc.roster.Coordinator(mc.fl.now, fd, team)
	for _, ot := range mc.fl.vms {
		if ot.name == pr.VM && alive && ot.running() && mc.reaches(ot) {
			return ot
		}
	}
	return nil
}

func (mc *vm) borrow() bool {
	now := mc.fl.now
	if now.Before(mc.dryUntil) {
		return false
	}
	sum := 0
	for _, fd := range mc.fl.domains {
		if fd == mc.domain {
			continue
		}
		if ot := mc.counter(fd); ot != nil {
			tokens, _, _ := ot.ledger.Lend(now, team, mc.ledger.TokensToBorrow(now, team))
			if mc.fl.rng.IntN(20) > 0 {
				mc.ledger.AddLoan(now, team, tokens)
				sum += tokens
			}
		}
	}
	if sum == 0 {
		mc.dryUntil = now.Add(statusEvery)
	}
	return sum > 0
}

// worst returns the largest number of requests in a window.
func (fl *fleet) worst() int {
	most, from := 0, 0
	for to := range fl.admitted {
		for fl.admitted[to].Sub(fl.admitted[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (fl *fleet) allowed() float64 {
	return (fl.rate*window.Seconds()+fl.burst)*(1+overage) + slack
}

// fault draws a fault: suspension, cuts of a VM or a failure domain, an outage of the store, kills of one or all.
func (fl *fleet) fault() {
	lasts := fl.now.Add(time.Duration(fl.rng.IntN(9000)) * time.Millisecond)
	mc := fl.vms[fl.rng.IntN(len(fl.vms))]
	switch fl.rng.IntN(8) {
	case 0:
		mc.suspended = lasts
	case 1:
		mc.alone = lasts
	case 2:
		mc.cut = lasts
	case 3:
		fl.down = lasts
	case 4:
		mc.start()
	case 5:
		mc.alone, mc.cut = lasts, lasts
	case 6:
		for _, ot := range fl.vms {
			ot.start()
		}
	case 7:
		for _, ot := range fl.vms {
			if ot.domain == mc.domain {
				ot.island = lasts
			}
		}
	}
}

// run sends several times the rate to a few VMs, which change, while faults strike.
func (fl *fleet) run(steps int) {
	hot := fl.vms[0]
	for nr := range steps {
		fl.now = fl.now.Add(step)
		if !fl.calm && fl.rng.IntN(60) == 0 {
			fl.fault()
		}
		if fl.rng.IntN(40) == 0 {
			hot = fl.vms[fl.rng.IntN(len(fl.vms))]
		}
		if nr == steps*2/3 && !fl.keep {
			fl.revoked = fl.now
		}
		for _, mc := range fl.vms {
			mc.step()
		}
		for range int(4*fl.rate*step.Seconds()) + fl.rng.IntN(2) {
			fl.request(hot)
			fl.request(fl.vms[fl.rng.IntN(len(fl.vms))])
		}
	}
}

// runRandom runs a fleet of random size with a random limit.
func runRandom(rt *rapid.T) *fleet {
	seed := rapid.Uint64().Draw(rt, "seed")
	rng := rand.New(rand.NewPCG(seed, seed))
	rate := float64(rapid.IntRange(10, 200).Draw(rt, "rate"))
	return newFleet(rng, rapid.IntRange(2, 12).Draw(rt, "vms"), rate, rate)
}

// Guards against a key that is served too long while VMs are suspended, cut off from each other or from the store, restarted
// one by one or all at once, and the store is down.
func TestFleetRefusesRevokedKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := runRandom(rt)
		fl.run(800)
		if len(fl.late) > 0 {
			rt.Fatal(fl.late[0])
		}
	})
}

// Guards against a team that gets more than its limit under the same faults.
func TestFleetKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := runRandom(rt)
		fl.keep = true
		fl.run(800)
		fl.checkLimit(rt)
	})
}

// Guards against a team that gets more than its limit while its load moves between VMs and messages are lost and delayed.
func TestCalmFleetKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := runRandom(rt)
		fl.keep, fl.calm = true, true
		fl.run(800)
		fl.checkLimit(rt)
	})
}

// Guards against three ways in which overlapping faults let a team exceed its limit: VMs that lose each other while demand is
// barely measured, a VM that is cut off just after the start of the fleet, and VMs that return after the others have
// forgotten them.
func TestFleetKeepsLimitsCases(t *testing.T) {
	for _, seed := range []uint64{94, 235, 382, 462, 1049, 1073, 1190, 2310, 2331, 3205, 3216, 3232, 3273, 3492, 110371} {
		rng := rand.New(rand.NewPCG(seed, seed))
		rate := float64(10 + rng.IntN(190))
		fl := newFleet(rng, 2+rng.IntN(11), rate, rate)
		fl.keep = true
		fl.run(800)
		if most := float64(fl.worst()); most > fl.allowed() {
			t.Errorf("seed %d: %g requests within %s, allowed are %g", seed, most, window, fl.allowed())
		}
	}
}

func (fl *fleet) checkLimit(rt *rapid.T) {
	if most := float64(fl.worst()); most > fl.allowed() {
		rt.Fatalf("%g requests within %s, allowed are %g", most, window, fl.allowed())
	}
}

// Guards against parts of limits that don't follow the demand: a team below its limit must not be refused more often than with an
// equal share of the limit at each VM, also if each VM sees few of its requests, and far less often if most of them arrive at
// one VM.
func TestSharesFollowDemand(t *testing.T) {
	for _, hot := range []float64{0, 0.8} {
		rng := rand.New(rand.NewPCG(7, 7))
		fl := newFleet(rng, 11, 25, 25)
		static := make([]equalShare, len(fl.vms))
		refused, refusedStatic := 0, 0
		for nr := range 2400 {
			fl.now = fl.now.Add(step)
			for _, mc := range fl.vms {
				mc.step()
			}
			if nr < 100 || rng.Float64() > 17*step.Seconds() {
				continue
			}
			at := 0
			if rng.Float64() >= hot {
				at = rng.IntN(len(fl.vms))
			}
			before := len(fl.admitted)
			fl.request(fl.vms[at])
			refused += 1 - (len(fl.admitted) - before)
			if !static[at].take(fl.now, 25.0/11) {
				refusedStatic++
			}
		}
		if refused > refusedStatic || hot > 0 && 5*refused > refusedStatic {
			t.Errorf("%g of the demand at one VM: %d requests refused, %d with equal shares", hot, refused, refusedStatic)
		}
	}
}

// equalShare is a token bucket with a fixed share of a rate, and a burst of one second.
type equalShare struct {
	tokens float64
	at     time.Time
}

func (es *equalShare) take(now time.Time, rate float64) bool {
	es.tokens = min(es.tokens+rate*now.Sub(es.at).Seconds(), rate)
	es.at = now
	if es.tokens < 1 {
		return false
	}
	es.tokens--
	return true
}

// Guards against a restart of all VMs that either admits a burst at each of them or nothing at all.
func TestShareAfterRestartOfAll(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	fl := newFleetOf(rng, 6, 3, 60, 60)
	fl.keep, fl.calm = true, true // an outage of the store would leave the VMs without a lease
	fl.run(200)
	fl.admitted = nil
	for _, mc := range fl.vms {
		mc.start()
	}
	begin := fl.now
	for range 40 {
		fl.now = fl.now.Add(step)
		for _, mc := range fl.vms {
			mc.step()
			for range 3 {
				fl.request(mc)
			}
		}
	}
	num := float64(len(fl.admitted))
	passed := fl.now.Sub(begin).Seconds()
	if num < 0.6*60*passed || num > fl.allowed() {
		t.Fatalf("%g requests admitted in %g s after all VMs were restarted", num, passed)
	}
}
