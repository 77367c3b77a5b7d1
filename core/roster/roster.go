package roster

import (
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// AliveFor is the time after its last sign of life during which a VM counts as alive.
	AliveFor = 2 * time.Second
	// ForgetAfter is the time after the last sign of life after which a VM uses no limit any more: its lease of the
	// configuration has ended, unless it renewed it in a way that would have shown it to be alive.
	ForgetAfter = 7 * time.Second
	// aggregatorsPerDomain is the number of speakers of a failure domain, so that one may be lost.
	aggregatorsPerDomain = 2
	// unseenGrace is the time for which a VM that was never heard may be taken for a speaker.
	unseenGrace = 1500 * time.Millisecond
	// summaryLifetime is the time for which the work in a summary is taken for the present one.
	summaryLifetime = 3 * time.Second
)

// Member is another VM.
type Member struct {
	Peer
	State State
	// LastSeen is the time of its last sign of life, heard from itself or from a speaker; zero if none.
	LastSeen time.Time
	// LastReport is the last report from the VM itself, and DirectAt the time at which it came.
	LastReport   Report
	LastReportAt time.Time
	// LastRegistered is the time at which its registration was last seen to change, FirstRegistered that at which it was first seen.
	LastRegistered, FirstRegistered time.Time
	heartbeatSeen                   bool // the registration has changed since it was first seen
	expired                         bool // it uses no limit any more
}

// Alive reports whether there was a sign of life recently.
func (mb *Member) Alive(now time.Time) bool { return within(now, mb.LastSeen, AliveFor) }

// ReportsDirectly reports whether the VM itself was heard recently.
func (mb *Member) ReportsDirectly(now time.Time) bool { return within(now, mb.LastReportAt, AliveFor) }

func within(now, at time.Time, dur time.Duration) bool { return !at.IsZero() && now.Sub(at) < dur }

// isSilent reports whether there was no sign of life for so long that the VM uses no limit any more.
func (mb *Member) isSilent(now time.Time) bool {
	return !within(now, mb.LastSeen, ForgetAfter) && !within(now, mb.LastRegistered, ForgetAfter)
}

// Roster is the list of the other VMs. It is safe for concurrent use.
type Roster struct {
	mu        sync.RWMutex
	self      Peer
	members   map[id.VM]*Member
	byKey     map[Key]*Member
	summaries map[id.FailureDomain]map[id.VM]receivedSummary
	loads     map[uint32]uint16 // heard since the last summary
	leaving   bool
	// connectedSince is the time since which this VM would have seen signs of life of others.
	connectedSince time.Time
}

// New returns an empty roster.
func New(self Peer) *Roster {
	return &Roster{
		self: self, members: map[id.VM]*Member{}, byKey: map[Key]*Member{},
		summaries: map[id.FailureDomain]map[id.VM]receivedSummary{}, loads: map[uint32]uint16{},
	}
}

// SetPeers takes the list of registered VMs.
func (rs *Roster) SetPeers(now time.Time, peers []Peer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	listed := map[id.VM]bool{}
	for _, pr := range peers {
		if pr.VM == rs.self.VM {
			continue
		}
		listed[pr.VM] = true
		mb := rs.members[pr.VM]
		switch {
		case mb == nil || pr.Incarnation > mb.Incarnation:
			rs.put(&Member{Peer: pr, LastRegistered: now, FirstRegistered: now}) // what an earlier process said no longer holds
		case pr.Incarnation == mb.Incarnation:
			if pr.Heartbeat > mb.Heartbeat {
				mb.LastRegistered, mb.heartbeatSeen = now, true
			}
			mb.Peer = pr // the process may have been heard at the addresses of the one before
		}
	}
	for name, mb := range rs.members {
		if !listed[name] && mb.LastSeen.IsZero() {
			rs.drop(mb)
		}
	}
}

func (rs *Roster) put(mb *Member) {
	if old := rs.members[mb.VM]; old != nil {
		rs.drop(old)
	}
	rs.members[mb.VM], rs.byKey[KeyOf(mb.VM, mb.Incarnation)] = mb, mb
}

func (rs *Roster) drop(mb *Member) {
	delete(rs.members, mb.VM)
	delete(rs.byKey, KeyOf(mb.VM, mb.Incarnation))
}

// Receive takes a message. It reports false if it is older than what is known, or comes from a VM that is not registered.
func (rs *Roster) Receive(now time.Time, st *Status) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rp := &st.Report
	mb := rs.members[rp.VM]
	if mb != nil && rp.Incarnation > mb.Incarnation {
		pr := mb.Peer
		pr.Incarnation, pr.Heartbeat = rp.Incarnation, 0
		mb = &Member{Peer: pr, LastRegistered: now, FirstRegistered: now}
		rs.put(mb)
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

// Members returns all other VMs.
func (rs *Roster) Members() []Member {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	list := make([]Member, 0, len(rs.members))
	for _, mb := range rs.members {
		list = append(list, *mb)
	}
	return list
}
