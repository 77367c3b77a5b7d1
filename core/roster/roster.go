package roster

import (
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
)

// Peer is a VM as it registered itself.
type Peer struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.FailureDomain
	Region        id.Region
	StatusAddress string // for status messages
	CallerAddress string
	// Beat changes while the VM misses others: a VM that reaches the store shows there that it is alive.
	Beat uint64
}

// Load is the work in flight at a target as a VM saw it last.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Target uint32   // the low bits of the target's hash
	Total  uint16   // running and waiting requests
}

// Status is what a VM tells the others. The encoding names fields by numbers, to keep messages small.
type Status struct {
	VM            id.VM            `cbor:"1,keyasint"`
	Incarnation   id.Incarnation   `cbor:"2,keyasint"`
	FailureDomain id.FailureDomain `cbor:"3,keyasint"`
	Region        id.Region        `cbor:"4,keyasint"`
	CallerAddress string           `cbor:"5,keyasint"`
	Ready         bool             `cbor:"6,keyasint,omitempty"`
	Leaving       bool             `cbor:"7,keyasint,omitempty"`
	Version       id.Generation    `cbor:"8,keyasint"` // of the configuration
	// EvidenceAge is the age, when the status was sent, of the evidence that Version is the newest; negative means none.
	EvidenceAge time.Duration `cbor:"9,keyasint"`
	// Sent is the sender's instant, and Echo the newest one that the receiver sent to it.
	Sent   lease.Instant       `cbor:"10,keyasint"`
	Echo   lease.Instant       `cbor:"11,keyasint,omitempty"`
	EchoOf id.Incarnation      `cbor:"16,keyasint,omitempty"` // of the receiver, which Echo belongs to
	Demand map[id.Team]float32 `cbor:"12,keyasint,omitempty"` // requests a second
	// Measuring tells that Demand is not known yet.
	Measuring bool                `cbor:"19,keyasint,omitempty"`
	Work      map[id.Pool]float32 `cbor:"13,keyasint,omitempty"` // busy slots that the demand of each pool needs
	Loads     []Load              `cbor:"14,keyasint,omitempty"`
	// RelayAddress is where the sender serves what it reads from the store; empty if it does not read it often.
	RelayAddress string `cbor:"18,keyasint,omitempty"`
	// LinkRate is the rate of the sender's network link in Mbit/s; zero means unknown.
	LinkRate float64 `cbor:"20,keyasint,omitempty"`
	// Silent are the VMs that the sender knows and has not heard lately.
	Silent []id.VM `cbor:"17,keyasint,omitempty"`
	// Changes are the revisions of the newest change that the sender has seen of each kind of objects.
	Changes map[string]int64 `cbor:"15,keyasint,omitempty"`
}

// Member is another VM.
type Member struct {
	Peer
	Status Status
	Heard  time.Time // of the newest status; zero if none
	// Shown is the time at which its registration was last seen to change.
	Shown time.Time
}

const (
	// AliveFor is the time after its last status during which a VM counts as alive.
	AliveFor = 2 * time.Second
	// ForgetAfter is the time after the last sign of life after which a VM uses no share of a limit any more: its lease
	// of the configuration has ended, unless it renewed it in a way that would have shown it to be alive.
	ForgetAfter = 7 * time.Second
)

// Roster is the list of the other VMs. It is safe for concurrent use.
type Roster struct {
	mu      sync.RWMutex
	self    id.VM
	members map[id.VM]*Member
}

// New returns an empty roster.
func New(self id.VM) *Roster { return &Roster{self: self, members: map[id.VM]*Member{}} }

// SetPeers takes the list of registered VMs.
func (rs *Roster) SetPeers(now time.Time, peers []Peer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	listed := map[id.VM]bool{}
	for _, pr := range peers {
		if pr.VM == rs.self {
			continue
		}
		listed[pr.VM] = true
		mb := rs.members[pr.VM]
		switch {
		case mb == nil || pr.Incarnation > mb.Incarnation:
			// What an earlier process said no longer holds.
			rs.members[pr.VM] = &Member{Peer: pr, Shown: now}
		case pr.Incarnation == mb.Incarnation && pr.Beat > mb.Beat:
			mb.Beat, mb.Shown = pr.Beat, now
		}
	}
	for name, mb := range rs.members {
		if !listed[name] && mb.Heard.IsZero() {
			delete(rs.members, name)
		}
	}
}

// Hear takes a status. It reports false if the status is older than what is known.
func (rs *Roster) Hear(now time.Time, from string, st Status) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	mb := rs.members[st.VM]
	if mb == nil || st.Incarnation > mb.Incarnation {
		mb = &Member{Peer: Peer{Incarnation: st.Incarnation}, Shown: now}
		rs.members[st.VM] = mb
	}
	if st.Incarnation < mb.Incarnation || st.Incarnation == mb.Status.Incarnation && st.Sent <= mb.Status.Sent {
		return false
	}
	mb.Peer = Peer{
		VM: st.VM, Incarnation: st.Incarnation, FailureDomain: st.FailureDomain, Region: st.Region,
		StatusAddress: from, CallerAddress: st.CallerAddress, Beat: mb.Beat,
	}
	mb.Status, mb.Heard = st, now
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

// Alive reports whether a member was heard of recently.
func (mb *Member) Alive(now time.Time) bool {
	return mb.HeardWithin(now, AliveFor)
}

// HeardWithin reports whether the newest status of a member came less than a given time ago.
func (mb *Member) HeardWithin(now time.Time, dur time.Duration) bool {
	return !mb.Heard.IsZero() && now.Sub(mb.Heard) < dur
}

// Owners returns the other VMs that may use shares of limits. A silent VM is one of them for ForgetAfter, and for as long as
// its registration changes or any VM that is heard still hears it.
func (rs *Roster) Owners(now time.Time) []Member {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	var list []Member
	for name, mb := range rs.members {
		if mb.shown(now) || rs.heardByOthers(now, name) {
			list = append(list, *mb)
		}
	}
	return list
}

// shown reports whether there was a sign of life from the VM itself.
func (mb *Member) shown(now time.Time) bool {
	return !mb.Heard.IsZero() && now.Sub(mb.Heard) < ForgetAfter || now.Sub(mb.Shown) < ForgetAfter
}

func (rs *Roster) heardByOthers(now time.Time, name id.VM) bool {
	for ot, mb := range rs.members {
		if ot != name && mb.Alive(now) && !slices.Contains(mb.Status.Silent, name) {
			return true
		}
	}
	return false
}

// Silent returns the VMs that were not heard lately.
func (rs *Roster) Silent(now time.Time) []id.VM {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	var list []id.VM
	for name, mb := range rs.members {
		if !mb.Alive(now) {
			list = append(list, name)
		}
	}
	return list
}

// Misses reports whether a VM that may use shares of limits was not heard lately, or has not heard this VM.
func (rs *Roster) Misses(now time.Time) bool {
	for _, mb := range rs.Owners(now) {
		if !mb.Alive(now) || slices.Contains(mb.Status.Silent, rs.self) {
			return true
		}
	}
	return false
}
