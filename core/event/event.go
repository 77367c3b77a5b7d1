package event

import (
	"sync"
	"time"

	"damasklatch/core/id"
)

// Event is an entry of the timeline. Fields that do not apply are empty.
type Event struct {
	Stamp    Stamp       `json:"stamp"`
	VM       id.VM       `json:"vm"`
	Kind     Kind        `json:"kind"`
	Request  id.Request  `json:"request_id,omitempty"`
	Team     id.Team     `json:"team,omitempty"`
	Resource id.Resource `json:"resource,omitempty"`
	Target   id.Target   `json:"target,omitempty"`
	Detail   string      `json:"detail,omitempty"`
}

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	KindStarted          Kind = "started"
	KindStopping         Kind = "stopping"
	KindGeneration       Kind = "generation_in_force"
	KindMemberAlive      Kind = "member_alive"
	KindMemberSuspect    Kind = "member_suspect"
	KindMemberDead       Kind = "member_dead"
	KindMemberLeaving    Kind = "member_leaving"
	KindOwnership        Kind = "ownership_changed"
	KindLoanGranted      Kind = "loan_granted"
	KindLoanReceived     Kind = "loan_received"
	KindRequestAdmitted  Kind = "request_admitted"
	KindRequestForwarded Kind = "request_forwarded"
	KindRequestDone      Kind = "request_done"
	KindRequestNotRun    Kind = "request_not_run"
	KindRequestUnknown   Kind = "request_unknown"
	KindTargetEjected    Kind = "target_ejected"
	KindTargetReturned   Kind = "target_returned"
	KindTargetDraining   Kind = "target_draining"
	KindStoreLost        Kind = "store_lost"
	KindStoreBack        Kind = "store_back"
)

// Recorder keeps the newest events of a process in a ring buffer. Create it with NewRecorder. It is safe for concurrent use.
type Recorder struct {
	vm    id.VM
	clock *Clock

	mu   sync.Mutex
	ring []Event
	next uint64 // number of events recorded so far
}

// NewRecorder returns a recorder for the VM that keeps the newest size events, at least one. It takes the stamps from ck.
func NewRecorder(vm id.VM, ck *Clock, size int) *Recorder {
	return &Recorder{vm: vm, clock: ck, ring: make([]Event, max(size, 1))}
}

// Record stores the event with the VM's name and a new stamp, which it returns.
func (rc *Recorder) Record(now time.Time, ev Event) Stamp {
	ev.Stamp = rc.clock.Now(now)
	ev.VM = rc.vm
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.ring[rc.next%uint64(len(rc.ring))] = ev
	rc.next++
	return ev.Stamp
}

// Events returns the stored events for which keep returns true, oldest first. A nil keep selects all events. keep must not call
// the recorder.
func (rc *Recorder) Events(keep func(Event) bool) []Event {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var first uint64
	if size := uint64(len(rc.ring)); rc.next > size {
		first = rc.next - size
	}
	var evs []Event
	for nr := first; nr < rc.next; nr++ {
		ev := rc.ring[nr%uint64(len(rc.ring))]
		if keep == nil || keep(ev) {
			evs = append(evs, ev)
		}
	}
	return evs
}
