package roster

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

// HeardByPeer reports whether another VM has heard this one within a time.
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

// NeedsHeartbeat reports whether this VM should show in the store that it is alive: nobody hears it, or another VM of its failure domain
// shows itself there that is not heard.
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

// ForgetSilent notes whether this VM has run all the time and reached the store or another VM. It forgets those of whom it has seen no
// sign of life for ForgetAfter, although it would have.
func (rs *Roster) ForgetSilent(now time.Time, reached bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !reached {
		rs.connectedSince = now
	}
	for _, mb := range rs.members {
		mb.expired = mb.isSilent(now) && (mb.expired || now.Sub(rs.connectedSince) >= ForgetAfter)
	}
}

// SetLeaving tells that this VM shuts down. Another one counts in its place.
func (rs *Roster) SetLeaving() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.leaving = true
}

// Coordinator returns the VM that counts the requests of a team in a failure domain, and whether it is alive. A silent VM keeps the
// right to count for ForgetAfter; one that shuts down gives it up.
func (rs *Roster) Coordinator(now time.Time, fd id.FailureDomain, team id.Team) (coordinator Peer, alive bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.coordinator(now, fd, team)
}

func (rs *Roster) coordinator(now time.Time, fd id.FailureDomain, team id.Team) (coordinator Peer, alive bool) {
	key := rendezvous.Hash(string(team))
	var most uint64
	consider := func(pr Peer, up bool) {
		if weight := rendezvous.Weight(key, pr.VM); coordinator.VM == "" || weight > most {
			coordinator, alive, most = pr, up, weight
		}
	}
	if fd == rs.self.FailureDomain && !rs.leaving {
		consider(rs.self, true)
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == fd && !mb.expired && !mb.State.Has(Leaving) {
			consider(mb.Peer, mb.Alive(now))
		}
	}
	return coordinator, alive
}
