package roster

import (
	"math/rand/v2"
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// AliveFor is how long a VM counts as alive after its last sign of life.
	AliveFor = 2 * time.Second
	// ForgetAfter is how long after its last sign of life a VM may still admit requests under the limits. By then its lease
	// of the configuration has ended. It could only have renewed the lease in a way that would have shown it to be alive.
	ForgetAfter = 7 * time.Second
	// aggregatorsPerDomain is the number of aggregators of a failure domain. Two, so that one may fail.
	aggregatorsPerDomain = 2
	// unseenGrace is how long after its registration is first seen a VM may be chosen as aggregator without a sign of life.
	unseenGrace = 1500 * time.Millisecond
	// summaryLifetime is how long the demand in a summary counts as current.
	summaryLifetime = 3 * time.Second
)

// Member is another VM as this VM knows it.
type Member struct {
	Peer
	State State
	// LastSeen is the time of the last sign of life, from a report of the VM or from a summary. It is zero if there was none.
	LastSeen time.Time
	// LastReport is the newest report received from the VM itself, and LastReportAt the time at which it was received.
	LastReport   Report
	LastReportAt time.Time
	// FirstRegistered is when this VM first learned of the process, and LastRegistered is when it last saw the process's
	// registration appear or its heartbeat increase.
	LastRegistered, FirstRegistered time.Time
	heartbeatSeen                   bool // the heartbeat of the registration has increased
	expired                         bool // silent for ForgetAfter, so it no longer admits requests under the limits
	// OutdatedAt is when a sign of life of a process with a lower incarnation was last seen: of an earlier process, delayed, or of a
	// later one that started after the clock of the VM had jumped back.
	OutdatedAt           time.Time
	outdatedRegistration registrationVersion // last seen registration with a lower incarnation
}

// registrationVersion identifies a state of a registration.
type registrationVersion struct {
	inc       id.Incarnation
	heartbeat uint64
}

// key returns the key of the process in summaries.
func (mb *Member) key() Key { return KeyOf(mb.VM, mb.Incarnation) }

// Alive reports whether the VM gave a sign of life within AliveFor.
func (mb *Member) Alive(now time.Time) bool { return within(now, mb.LastSeen, AliveFor) }

// ReportsDirectly reports whether a report came from the VM itself within AliveFor.
func (mb *Member) ReportsDirectly(now time.Time) bool { return within(now, mb.LastReportAt, AliveFor) }

// within reports whether less than dur has passed from at to now. A zero at means never.
func within(now, at time.Time, dur time.Duration) bool { return !at.IsZero() && now.Sub(at) < dur }

// RunsOutdated reports whether a process of the VM with a lower incarnation gave a sign of life within dur.
func (mb *Member) RunsOutdated(now time.Time, dur time.Duration) bool {
	return within(now, mb.OutdatedAt, dur)
}

// isSilent reports whether no process of the VM gave a sign of life, and no change of its registration was seen, for ForgetAfter.
func (mb *Member) isSilent(now time.Time) bool {
	return !within(now, mb.LastSeen, ForgetAfter) && !within(now, mb.LastRegistered, ForgetAfter) && !within(now, mb.OutdatedAt, ForgetAfter)
}

// Roster is the list of the other VMs of the fleet. Create it with New. It is safe for concurrent use.
type Roster struct {
	mu        sync.RWMutex
	self      Peer
	members   map[id.VM]*Member
	byKey     map[Key]*Member
	summaries map[id.FailureDomain]map[id.VM]receivedSummary
	loads     map[uint32]uint16 // by target, collected since the last summary
	leaving   bool
	// unregistered holds the VMs whose registration this VM does not know, and when each was last heard and not leaving. A VM that is cut
	// off from the store does not get the registrations of VMs that started later.
	unregistered map[id.VM]time.Time
	// connectedSince is the time since which this VM has been able to receive signs of life of the others.
	connectedSince time.Time
	peersSince     time.Time // when the first list of peers was set
}

// New returns an empty roster of the VM self.
func New(self Peer) *Roster {
	return &Roster{
		self: self, members: map[id.VM]*Member{}, byKey: map[Key]*Member{},
		summaries: map[id.FailureDomain]map[id.VM]receivedSummary{}, loads: map[uint32]uint16{}, unregistered: map[id.VM]time.Time{},
	}
}

// Self returns the registration of this VM, without its heartbeat.
func (rs *Roster) Self() Peer {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.self
}

// incarnationSpread is the range of the random part by which an incarnation is raised. Two processes that raise theirs above the
// same one must not get the same, because an incarnation identifies a process.
const incarnationSpread = 1 << 20

// raiseIncarnation raises the incarnation of this VM above that of an earlier process, which is higher if the clock of the VM has
// jumped back since. Other VMs ignore a process with a lower incarnation than the highest that they know.
func (rs *Roster) raiseIncarnation(known id.Incarnation) {
	if known > rs.self.Incarnation {
		rs.self.Incarnation = known + 1 + id.Incarnation(rand.Uint64N(incarnationSpread))
	}
}

// SetPeers replaces the list of registered VMs. A VM that is no longer registered stays in the roster if it ever gave a sign of
// life. A registration of this VM with a higher incarnation raises that of this process.
func (rs *Roster) SetPeers(now time.Time, peers []Peer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.peersSince.IsZero() {
		rs.peersSince = now
	}
	listed := map[id.VM]bool{}
	for _, pr := range peers {
		if pr.VM == rs.self.VM {
			rs.raiseIncarnation(pr.Incarnation)
			continue
		}
		listed[pr.VM] = true
		delete(rs.unregistered, pr.VM)
		mb := rs.members[pr.VM]
		switch {
		case mb == nil || pr.Incarnation > mb.Incarnation:
			rs.put(&Member{Peer: pr, LastRegistered: now, FirstRegistered: now}) // discards the state of the earlier process
		case pr.Incarnation == mb.Incarnation:
			if pr.Heartbeat > mb.Heartbeat {
				mb.LastRegistered, mb.heartbeatSeen = now, true
			}
			mb.Peer = pr // Receive may have created mb with the addresses of the earlier process
		default:
			mb.noteOutdated(now, pr)
		}
	}
	for name, mb := range rs.members {
		if !listed[name] && mb.LastSeen.IsZero() {
			rs.drop(mb)
		}
	}
}

// noteOutdated records a registration with a lower incarnation, if it has changed.
func (mb *Member) noteOutdated(now time.Time, pr Peer) {
	rv := registrationVersion{pr.Incarnation, pr.Heartbeat}
	if rv != mb.outdatedRegistration {
		mb.outdatedRegistration, mb.OutdatedAt = rv, now
	}
}

// put adds a member. It replaces an earlier process of the same VM.
func (rs *Roster) put(mb *Member) {
	if old := rs.members[mb.VM]; old != nil {
		rs.drop(old)
	}
	rs.members[mb.VM], rs.byKey[mb.key()] = mb, mb
}

func (rs *Roster) drop(mb *Member) {
	delete(rs.members, mb.VM)
	delete(rs.byKey, mb.key())
}

// Receive processes a message that arrived at the time now. It ignores the message and returns false if the sender is not
// registered, if a process of the sender with a higher incarnation is known, or if a newer message has already been received. A
// message to a process of this VM with a higher incarnation raises that of this process.
func (rs *Roster) Receive(now time.Time, st *Status) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rp := &st.Report
	mb := rs.members[rp.VM]
	if mb != nil {
		rs.raiseIncarnation(rp.EchoOf)
	}
	if mb != nil && rp.Incarnation < mb.Incarnation {
		mb.OutdatedAt = now
	}
	if mb != nil && rp.Incarnation > mb.Incarnation {
		pr := mb.Peer
		pr.Incarnation, pr.Heartbeat = rp.Incarnation, 0
		mb = &Member{Peer: pr, LastRegistered: now, FirstRegistered: now}
		rs.put(mb)
	}
	if mb == nil && rp.VM != rs.self.VM {
		rs.noteUnregistered(now, rp)
	}
	if mb == nil || rp.Incarnation != mb.Incarnation || rp.Sent <= mb.LastReport.Sent {
		return false
	}
	mb.LastReport, mb.LastReportAt, mb.LastSeen, mb.State = *rp, now, now, rp.State
	mergeLoads(rs.loads, rp.Loads)
	for _, sm := range st.Summaries {
		rs.addSummary(now, rp.VM, sm)
	}
	return true
}

// noteUnregistered records a report of a VM whose registration is not known, and forgets those that were not heard for AliveFor.
func (rs *Roster) noteUnregistered(now time.Time, rp *Report) {
	for name, at := range rs.unregistered {
		if !within(now, at, AliveFor) {
			delete(rs.unregistered, name)
		}
	}
	if rp.State.Has(Leaving) {
		delete(rs.unregistered, rp.VM)
		return
	}
	rs.unregistered[rp.VM] = now
}

// Member returns a copy of the entry of a VM, and false if there is none.
func (rs *Roster) Member(name id.VM) (Member, bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	mb, ok := rs.members[name]
	if !ok {
		return Member{}, false
	}
	return *mb, true
}

// Members returns copies of all entries, in no particular order.
func (rs *Roster) Members() []Member {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	list := make([]Member, 0, len(rs.members))
	for _, mb := range rs.members {
		list = append(list, *mb)
	}
	return list
}
