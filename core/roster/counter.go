package roster

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

// Heard reports whether another VM has heard this one within a time.
func (rs *Roster) Heard(now time.Time, dur time.Duration) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, mb := range rs.members {
		if mb.Direct.EchoOf == rs.self.Incarnation && within(now, mb.DirectAt, dur) {
			return true
		}
	}
	return false
}

// Beats reports whether this VM should show in the store that it is alive: nobody hears it, or another VM of its failure domain
// shows itself there that is not heard.
func (rs *Roster) Beats(now time.Time) bool {
	heard := rs.Heard(now, AliveFor)
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, mb := range rs.members {
		if !heard && !mb.forgotten {
			return true
		}
		if mb.FailureDomain == rs.self.FailureDomain && !mb.Alive(now) && mb.beats && within(now, mb.Shown, ForgetAfter) {
			return true
		}
	}
	return false
}

// Touch notes whether this VM has run all the time and reached the store or another VM. It forgets those of whom it has seen no
// sign of life for ForgetAfter, although it would have.
func (rs *Roster) Touch(now time.Time, reached bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !reached {
		rs.touched = now
	}
	for _, mb := range rs.members {
		mb.forgotten = mb.silent(now) && (mb.forgotten || now.Sub(rs.touched) >= ForgetAfter)
	}
}

// Leave tells that this VM shuts down. Another one counts in its place.
func (rs *Roster) Leave() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.leaving = true
}

// Counter returns the VM that counts the requests of a team in a failure domain, and whether it is alive. A silent VM keeps the
// right to count for ForgetAfter; one that shuts down gives it up.
func (rs *Roster) Counter(now time.Time, fd id.FailureDomain, team id.Team) (counter Peer, alive bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.counter(now, fd, team)
}

func (rs *Roster) counter(now time.Time, fd id.FailureDomain, team id.Team) (counter Peer, alive bool) {
	key := rendezvous.Hash(string(team))
	var most uint64
	consider := func(pr Peer, up bool) {
		if weight := rendezvous.Weight(key, pr.VM); counter.VM == "" || weight > most {
			counter, alive, most = pr, up, weight
		}
	}
	if fd == rs.self.FailureDomain && !rs.leaving {
		consider(rs.self, true)
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == fd && !mb.forgotten && !mb.State.Has(Leaving) {
			consider(mb.Peer, mb.Alive(now))
		}
	}
	return counter, alive
}
