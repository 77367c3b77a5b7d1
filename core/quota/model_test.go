package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// The bounds that the users require: within a window, a team gets at most its rate and burst plus this excess, and a
// withdrawn key is served no longer than revokeAfter.
const (
	window         = 5 * time.Second
	overage        = 0.1
	slack          = 20.0
	revokeAfter    = 5 * time.Second
	leaseDuration  = 4 * time.Second
	team           = id.Team("salon_desk")
	step           = 50 * time.Millisecond
	statusInterval = 250 * time.Millisecond
	readInterval   = 800 * time.Millisecond
)

// fleet simulates VMs in failure domains and a store that holds one key. Every fault lasts for a limited time.
type fleet struct {
	rng            *rand.Rand
	now            time.Time
	vms            []*vm
	domains        []id.FailureDomain
	regions        map[id.FailureDomain]id.Region
	rate           float64
	burst          float64
	revoked        time.Time // time of the key's withdrawal; zero before
	storeDownUntil time.Time
	admitted       []time.Time
	refused        int
	violations     []string
	noFaults       bool // whether run injects no faults
	keepKey        bool // the key is never withdrawn
	messages       int
	bytes          int
	countTraffic   bool // whether send counts messages and bytes
	// clocksJump adds jumps of the time of day to the faults. Incarnations are then times of day.
	clocksJump bool
	// pairCutUntil holds until when two VMs don't reach each other. If it is nil, such cuts are not among the faults.
	pairCutUntil map[pair]time.Time
	// unrunOneIn is the number of admitted requests of which one does not run, so that its token is returned; 0 for none.
	unrunOneIn int
}

// vm is a simulated VM. The times that end in Until are the ends of faults.
type vm struct {
	name                id.VM
	domain              id.FailureDomain
	reader              bool
	started             time.Time
	inc                 id.Incarnation // that the process started with; the roster may have raised it since
	registered          id.Incarnation // in the store
	clockOffset         time.Duration  // of the time of day
	fl                  *fleet
	ledger              *quota.Ledger
	lease               *lease.Lease
	roster              *roster.Roster
	knowsRevoked        bool // whether it knows that the key was withdrawn
	suspendedUntil      time.Time
	isolatedUntil       time.Time // reaches no other VM
	domainIsolatedUntil time.Time // its failure domain reaches no other
	storeCutUntil       time.Time // does not reach the store
	nextRead            time.Time
	nextRegistrations   time.Time
	nextHeartbeat       time.Time
	answered            time.Time
	lastStep            time.Time
	borrowBackoffUntil  time.Time
	heartbeat           uint64
	lapses              int64
	nextStatus          time.Time
	nextSummary         time.Time
	inbox               []message
	unrun               []time.Time // when tokens were taken for requests that did not run
}

// message is a status message that arrives at the given time.
type message struct {
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
		VM: mc.name, Incarnation: mc.registered, FailureDomain: mc.domain, Region: mc.fl.regions[mc.domain], Heartbeat: mc.heartbeat,
	}
}

// incarnation returns the incarnation that the process uses.
func (mc *vm) incarnation() id.Incarnation { return mc.roster.Self().Incarnation }

// start starts a new process of the VM. It reads the registered VMs from the store.
func (mc *vm) start() {
	mc.inc++
	if mc.fl.clocksJump {
		mc.inc = id.Incarnation(mc.fl.now.Add(mc.clockOffset).UnixNano())
	}
	mc.registered = mc.inc
	mc.heartbeat, mc.lapses = 0, 0
	mc.started, mc.lastStep, mc.answered = mc.fl.now, mc.fl.now, time.Time{}
	mc.lease = lease.New(func() lease.Instant { return lease.Instant(mc.fl.now.UnixNano()) }, leaseDuration)
	mc.roster = roster.New(mc.peer())
	mc.ledger = quota.New(len(mc.fl.domains), slack)
	mc.ledger.SetLimits(mc.fl.now, map[id.Team]quota.Limit{team: {Rate: mc.fl.rate, Burst: mc.fl.burst}}, mc.coordinates)
	mc.knowsRevoked, mc.inbox, mc.unrun = false, nil, nil
	mc.readRegistrations()
}

// readRegistrations updates the roster with the registrations of all VMs.
func (mc *vm) readRegistrations() {
	var peers []roster.Peer
	for _, ot := range mc.fl.vms {
		peers = append(peers, ot.peer())
	}
	mc.roster.SetPeers(mc.fl.now, peers)
}

const (
	// heartbeatInterval is the interval at which a VM that no other VM hears renews its registration.
	heartbeatInterval = 2 * time.Second
	// maxLeaseAge is the age of the lease's evidence above which a VM queries the store itself.
	maxLeaseAge = 3300 * time.Millisecond
)

func (mc *vm) coordinates(team id.Team) bool {
	pr, _ := mc.roster.Coordinator(mc.fl.now, mc.domain, team)
	return pr.VM == mc.name
}

func (mc *vm) running() bool { return !mc.fl.now.Before(mc.suspendedUntil) }

func (mc *vm) reaches(ot *vm) bool {
	now := mc.fl.now
	if mc == ot {
		return true
	}
	if now.Before(mc.fl.pairCutUntil[pairOf(mc, ot)]) {
		return false
	}
	if mc.domain != ot.domain && (now.Before(mc.domainIsolatedUntil) || now.Before(ot.domainIsolatedUntil)) {
		return false
	}
	return !now.Before(mc.isolatedUntil) && !now.Before(ot.isolatedUntil)
}

func (mc *vm) reachesStore() bool {
	return !mc.fl.now.Before(mc.storeCutUntil) && !mc.fl.now.Before(mc.fl.storeDownUntil)
}

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
		mc.receive(&mc.inbox[0].st)
		mc.inbox = mc.inbox[1:]
	}
	mc.returnTokens()
	mc.read()
	if !fl.now.Before(mc.nextStatus) {
		mc.nextStatus = fl.now.Add(statusInterval)
		mc.roster.ForgetSilent(fl.now, mc.roster.HeardByPeer(fl.now, roster.AliveFor) || !mc.answered.IsZero() && fl.now.Sub(mc.answered) < roster.AliveFor)
		if lp := mc.lease.Lapses(); lp != mc.lapses {
			mc.lapses = lp
			mc.ledger.DiscardTokens(fl.now)
			mc.heartbeat++
		}
		mc.ledger.SetCoordinated(fl.now, mc.coordinates)
		mc.sendReports()
	}
}

// read queries the store if this VM is a reader or its evidence is old, and reads the registrations from the store or
// from another VM.
func (mc *vm) read() {
	fl := mc.fl
	age, ok := mc.lease.Age()
	if !fl.now.Before(mc.nextRead) && mc.reachesStore() && (mc.reader || !ok || age > maxLeaseAge) {
		mc.nextRead = fl.now.Add(readInterval)
		mc.knowsRevoked = mc.knowsRevoked || !fl.revoked.IsZero()
		mc.lease.Renew(mc.lease.Now())
		mc.answered = fl.now
	}
	if mc.reachesStore() && !mc.started.Equal(fl.now) {
		mc.registered = mc.incarnation()
	}
	if mc.reachesStore() && mc.roster.NeedsHeartbeat(fl.now) && !fl.now.Before(mc.nextHeartbeat) {
		mc.nextHeartbeat = fl.now.Add(heartbeatInterval)
		mc.heartbeat++
	}
	if fl.now.Before(mc.nextRegistrations) {
		return
	}
	for _, ot := range fl.vms {
		if (ot == mc || ot.reader) && mc.reaches(ot) && ot.running() && ot.reachesStore() {
			mc.nextRegistrations = fl.now.Add(readInterval)
			mc.readRegistrations()
			return
		}
	}
}

func (mc *vm) version() id.Generation {
	if mc.knowsRevoked {
		return 2
	}
	return 1
}

func (mc *vm) receive(st *roster.Status) {
	if mc.roster.Receive(mc.fl.now, st) && st.Report.EchoOf == mc.incarnation() && st.Report.Version == mc.version() {
		mc.lease.RenewFromPeer(st.Report.Echo, st.Report.EvidenceAge)
	}
}

// sendReports sends reports and summaries to the same VMs as the gateway does.
func (mc *vm) sendReports() {
	fl := mc.fl
	age, ok := mc.lease.Age()
	if !ok {
		age = -1
	}
	st := roster.Status{Report: roster.Report{
		VM: mc.name, Incarnation: mc.incarnation(), Version: mc.version(), EvidenceAge: age, Sent: mc.lease.Now(), State: roster.Ready,
	}}
	var own, all []roster.Summary
	if !fl.now.Before(mc.nextSummary) {
		mc.nextSummary = fl.now.Add(2 * statusInterval)
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
		if own != nil {
			summaries = slices.Concat(summaries, mc.roster.UnheardBy(fl.now, to))
		}
		st.Summaries, st.Report.Echo, st.Report.EchoOf = summaries, 0, 0
		if rp := direct[to]; rp != nil {
			st.Report.Echo, st.Report.EchoOf = rp.Sent, rp.Incarnation
		}
		mc.send(to, st)
	}
	for nr := range members {
		if mb := &members[nr]; mb.RunsOutdated(fl.now, 2*statusInterval) {
			sent[mb.VM] = true
			st.Summaries, st.Report.Echo, st.Report.EchoOf = nil, 0, mb.Incarnation
			mc.send(mb.VM, st)
		}
	}
	var forFellows []roster.Summary
	if mc.roster.IsAggregator(fl.now) {
		forFellows = own
	}
	for _, pr := range mc.roster.Aggregators(fl.now, mc.domain) {
		send(pr.VM, forFellows)
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

// send delivers a message after a random delay. It loses one message in twenty.
func (mc *vm) send(to id.VM, st roster.Status) {
	fl := mc.fl
	for _, ot := range fl.vms {
		if ot.name != to {
			continue
		}
		if fl.countTraffic {
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
		ot.inbox = append(ot.inbox, message{fl.now.Add(delay), st})
	}
}

// request sends a request to a VM and records whether it is admitted.
func (fl *fleet) request(mc *vm) {
	if !mc.running() || !mc.lease.Valid() || mc.knowsRevoked {
		return
	}
	if !fl.revoked.IsZero() && fl.now.Sub(fl.revoked) > revokeAfter {
		fl.violations = append(fl.violations, fmt.Sprintf("%s serves the key %s after its withdrawal", mc.name, fl.now.Sub(fl.revoked)))
	}
	if !mc.take() {
		fl.refused++
		return
	}
	if fl.unrunOneIn > 0 && fl.rng.IntN(fl.unrunOneIn) == 0 {
		mc.unrun = append(mc.unrun, fl.now)
		return
	}
	fl.admitted = append(fl.admitted, fl.now)
}

// returnTokens returns the tokens of the requests that did not run, each after a random time.
func (mc *vm) returnTokens() {
	kept := mc.unrun[:0]
	for _, taken := range mc.unrun {
		if mc.fl.rng.IntN(3) == 0 {
			mc.ledger.Return(mc.fl.now, taken, team)
		} else {
			kept = append(kept, taken)
		}
	}
	mc.unrun = kept
}

// take asks the coordinator for a token. A VM whose tokens are used up borrows from other failure domains.
func (mc *vm) take() bool {
	now := mc.fl.now
	decision, _ := mc.ledger.Take(now, team)
	if decision == quota.Admitted {
		return true
	}
	if decision == quota.NotCoordinator {
		if ot := mc.coordinator(mc.domain); ot != nil && ot != mc {
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
	decision, _ = mc.ledger.Take(now, team)
	return decision == quota.Admitted
}

// coordinator returns the VM that this VM regards as the coordinator of a failure domain, or nil if it can't be
// reached.
func (mc *vm) coordinator(fd id.FailureDomain) *vm {
	pr, alive := mc.roster.Coordinator(mc.fl.now, fd, team)
	for _, ot := range mc.fl.vms {
		if ot.name == pr.VM && alive && ot.running() && mc.reaches(ot) {
			return ot
		}
	}
	return nil
}

// borrow asks the coordinators of the other failure domains for loans and reports whether it got any. One reply in
// twenty is lost.
func (mc *vm) borrow() bool {
	now := mc.fl.now
	if now.Before(mc.borrowBackoffUntil) {
		return false
	}
	sum := 0
	for _, fd := range mc.fl.domains {
		if fd == mc.domain {
			continue
		}
		if ot := mc.coordinator(fd); ot != nil {
			tokens, _, _ := ot.ledger.Lend(now, team, mc.ledger.TokensToBorrow(now, team))
			if mc.fl.rng.IntN(20) > 0 {
				mc.ledger.AddLoan(now, team, tokens)
				sum += tokens
			}
		}
	}
	if sum == 0 {
		mc.borrowBackoffUntil = now.Add(statusInterval)
	}
	return sum > 0
}

// maxInWindow returns the largest number of requests admitted in any window.
func (fl *fleet) maxInWindow() int {
	most, from := 0, 0
	for to := range fl.admitted {
		for fl.admitted[to].Sub(fl.admitted[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// allowed returns the largest number of requests that may be admitted in a window.
func (fl *fleet) allowed() float64 {
	return (fl.rate*window.Seconds()+fl.burst)*(1+overage) + slack
}

// fault starts a random fault: the suspension of a VM, the isolation of a VM or a failure domain, an outage of the
// store for one VM or all, or the restart of one VM or all.
func (fl *fleet) fault() {
	if fl.clocksJump && fl.rng.IntN(2) == 0 {
		fl.jumpClock()
		return
	}
	if fl.pairCutUntil != nil && fl.rng.IntN(2) == 0 {
		fl.cutPair()
		return
	}
	until := fl.now.Add(time.Duration(fl.rng.IntN(9000)) * time.Millisecond)
	mc := fl.vms[fl.rng.IntN(len(fl.vms))]
	switch fl.rng.IntN(8) {
	case 0:
		mc.suspendedUntil = until
	case 1:
		mc.isolatedUntil = until
	case 2:
		mc.storeCutUntil = until
	case 3:
		fl.storeDownUntil = until
	case 4:
		mc.start()
	case 5:
		mc.isolatedUntil, mc.storeCutUntil = until, until
	case 6:
		for _, ot := range fl.vms {
			ot.start()
		}
	case 7:
		for _, ot := range fl.vms {
			if ot.domain == mc.domain {
				ot.domainIsolatedUntil = until
			}
		}
	}
}

// jumpClock changes the time of day of a VM by seconds, or sets it right. Mostly, its process is restarted as well.
func (fl *fleet) jumpClock() {
	mc := fl.vms[fl.rng.IntN(len(fl.vms))]
	mc.clockOffset = 0
	if fl.rng.IntN(2) == 0 {
		mc.clockOffset = time.Duration(fl.rng.IntN(40_000)-20_000) * time.Millisecond
	}
	if fl.rng.IntN(4) > 0 {
		mc.start()
	}
}

// cutPair cuts the connection between two VMs of a failure domain.
func (fl *fleet) cutPair() {
	mc := fl.vms[fl.rng.IntN(len(fl.vms))]
	ot := fl.vms[fl.rng.IntN(len(fl.vms))]
	if mc.domain == ot.domain {
		fl.pairCutUntil[pairOf(mc, ot)] = fl.now.Add(time.Duration(fl.rng.IntN(maxPairCut)) * time.Millisecond)
	}
}

// pair is two VMs in the order of their names.
type pair [2]id.VM

func pairOf(mc, ot *vm) pair { return pair{min(mc.name, ot.name), max(mc.name, ot.name)} }

// maxPairCut is the longest time for which two VMs lose only each other, in milliseconds.
const maxPairCut = 30_000

// run simulates the given number of steps with random faults. Most requests go to one VM, which changes over time, at
// several times the rate of the limit.
func (fl *fleet) run(steps int) {
	hot := fl.vms[0]
	for nr := range steps {
		fl.now = fl.now.Add(step)
		if !fl.noFaults && fl.rng.IntN(60) == 0 {
			fl.fault()
		}
		if fl.rng.IntN(40) == 0 {
			hot = fl.vms[fl.rng.IntN(len(fl.vms))]
		}
		if nr == steps*2/3 && !fl.keepKey {
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

// newRandomFleet returns a fleet of random size with a random limit.
func newRandomFleet(rt *rapid.T) *fleet {
	seed := rapid.Uint64().Draw(rt, "seed")
	rng := rand.New(rand.NewPCG(seed, seed))
	rate := float64(rapid.IntRange(10, 200).Draw(rt, "rate"))
	return newFleet(rng, rapid.IntRange(2, 12).Draw(rt, "vms"), rate, rate)
}

// Guards against a key that is served too long after its withdrawal while VMs are suspended, isolated from each other
// or from the store, or restarted, or while the store is down.
func TestFleetRefusesRevokedKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newRandomFleet(rt)
		fl.run(800)
		if len(fl.violations) > 0 {
			rt.Fatal(fl.violations[0])
		}
	})
}

// Guards against a team that exceeds its limit under the same faults.
func TestFleetKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newRandomFleet(rt)
		fl.keepKey, fl.unrunOneIn = true, 5
		fl.run(800)
		fl.checkLimit(rt)
	})
}

// Guards against two coordinators of a team in a failure domain, so that the team exceeds its limit, after the time of day of a VM
// has jumped back: its process then starts with a lower incarnation than the one before.
func TestFleetKeepsLimitsWithJumpingClocks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newRandomFleet(rt)
		fl.keepKey, fl.unrunOneIn, fl.clocksJump = true, 5, true
		fl.run(800)
		fl.checkLimit(rt)
	})
}

// Guards against two coordinators of a team in a failure domain after two of its VMs have lost only each other: both still reach the
// store and the other VMs, so neither stops counting.
func TestFleetKeepsLimitsWithCutPairs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newRandomFleet(rt)
		fl.keepKey, fl.unrunOneIn, fl.pairCutUntil = true, 5, map[pair]time.Time{}
		fl.run(800)
		fl.checkLimit(rt)
	})
}

// Guards against a team that exceeds its limit without faults, while its load moves between VMs and messages are lost
// and delayed.
func TestFleetWithoutFaultsKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newRandomFleet(rt)
		fl.keepKey, fl.noFaults, fl.unrunOneIn = true, true, 5
		fl.run(800)
		fl.checkLimit(rt)
	})
}

// Guards against three cases in which overlapping faults let a team exceed its limit: VMs lose contact before the
// demand is known, a VM is isolated just after the start of the fleet, and VMs return after the others have removed
// them.
func TestFleetKeepsLimitsCases(t *testing.T) {
	for _, seed := range []uint64{94, 235, 382, 462, 1049, 1073, 1190, 2310, 2331, 3205, 3216, 3232, 3273, 3492, 110371} {
		rng := rand.New(rand.NewPCG(seed, seed))
		rate := float64(10 + rng.IntN(190))
		fl := newFleet(rng, 2+rng.IntN(11), rate, rate)
		fl.keepKey = true
		fl.run(800)
		if most := float64(fl.maxInWindow()); most > fl.allowed() {
			t.Errorf("seed %d: %g requests within %s, at most %g allowed", seed, most, window, fl.allowed())
		}
	}
}

func (fl *fleet) checkLimit(rt *rapid.T) {
	if most := float64(fl.maxInWindow()); most > fl.allowed() {
		rt.Fatalf("%g requests within %s, at most %g allowed", most, window, fl.allowed())
	}
}

// Guards against shares that do not follow the demand. A team below its limit must not be refused more often than
// with a fixed equal share at each VM, even if each VM receives few of its requests. If most requests arrive at one
// VM, the refusals must be at most a fifth.
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

// equalShare is a token bucket with a fixed rate and a burst of one second of that rate.
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

// Guards against a restart of all VMs after which each VM admits a full burst, or after which nothing is admitted.
func TestLimitAfterRestartOfAllVMs(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	fl := newFleetOf(rng, 6, 3, 60, 60)
	fl.keepKey, fl.noFaults = true, true // an outage of the store would leave the VMs without a lease
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
		t.Fatalf("%g requests admitted in the first %g s after all VMs were restarted", num, passed)
	}
}
