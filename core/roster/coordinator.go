package roster

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

// HeardByPeer reports whether a report received within the last dur shows that its sender heard from this process. A report
// shows that by an echo of this process's incarnation.
func (rs *Roster) HeardByPeer(now time.Time, dur time.Duration) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, mb := range rs.members {
		if mb.LastReport.EchoOf == rs.self.Incarnation && within(now, mb.LastReportAt, dur) {
			return true
		}
	}
	return false
}

// NeedsHeartbeat reports whether this VM should raise the heartbeat counter of its registration in the store. It should if no
// other VM hears it. It also should if another VM of its failure domain gives no sign of life except heartbeats in the store.
func (rs *Roster) NeedsHeartbeat(now time.Time) bool {
	heard := rs.HeardByPeer(now, AliveFor)
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, mb := range rs.members {
		if !heard && !mb.expired {
			return true
		}
		if mb.FailureDomain == rs.self.FailureDomain && !mb.Alive(now) && mb.heartbeatSeen && within(now, mb.LastRegistered, ForgetAfter) {
			return true
		}
	}
	return false
}

// ForgetSilent marks the VMs that gave no sign of life for ForgetAfter as expired. It must be called regularly. connected tells
// whether this VM ran without a pause and reached the store or another VM. A VM expires only after connected has been true for
// ForgetAfter, because a VM that is itself cut off misses the signs of life of the others.
func (rs *Roster) ForgetSilent(now time.Time, connected bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !connected {
		rs.connectedSince = now
	}
	for _, mb := range rs.members {
		mb.expired = mb.isSilent(now) && (mb.expired || now.Sub(rs.connectedSince) >= ForgetAfter)
	}
}

// SetLeaving records that this VM is shutting down. Coordinator then no longer chooses it. The call cannot be undone.
func (rs *Roster) SetLeaving() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.leaving = true
}

// Coordinator returns the VM that counts the requests of a team in a failure domain, and whether that VM is alive. VMs with the
// same view of the fleet choose the same coordinator, by rendezvous hashing. A silent VM stays coordinator for ForgetAfter: it
// may still be counting, and two coordinators would let the team exceed its limit. For the same reason a VM whose registration is not
// known is considered for the own failure domain while it is heard. It may belong to another one, but only for as long as this VM lacks
// changes of the store. A VM that is shutting down is not chosen. If the failure domain has no VM to choose, the returned Peer is zero
// and alive is false.
func (rs *Roster) Coordinator(now time.Time, fd id.FailureDomain, team id.Team) (coordinator Peer, alive bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.coordinator(now, fd, team)
}

func (rs *Roster) coordinator(now time.Time, fd id.FailureDomain, team id.Team) (coordinator Peer, alive bool) {
	key := rendezvous.Hash(string(team))
	var highest uint64
	consider := func(pr Peer, up bool) {
		if weight := rendezvous.Weight(key, pr.VM); coordinator.VM == "" || weight > highest {
			coordinator, alive, highest = pr, up, weight
		}
	}
	if fd == rs.self.FailureDomain && !rs.leaving {
		consider(rs.self, true)
	}
	for name, at := range rs.unregistered {
		if fd == rs.self.FailureDomain && within(now, at, AliveFor) {
			consider(Peer{VM: name, FailureDomain: fd}, false)
		}
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == fd && !mb.expired && !mb.State.Has(Leaving) {
			consider(mb.Peer, mb.Alive(now))
		}
	}
	return coordinator, alive
}
