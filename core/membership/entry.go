package membership

import (
	"hash/fnv"
	"time"

	"damasklatch/core/id"
)

// Entry is the description that a VM gives of itself.
type Entry struct {
	ID            id.VMIncarnation
	FailureDomain id.FailureDomain
	PeerAddress   string
	CallerAddress string
	Heartbeat     uint64 // increases with every digest that the VM starts
	Leaving       bool
	Ready         bool            // has a configuration in force
	FreeSlots     map[id.Pool]int // free slots by pool; must not be modified
}

// Key is a 32-bit hash of a VM incarnation. Among 420 VMs the probability that any two share a key is 1 in 50,000. If two
// do, one of them appears alive through the heartbeat of the other until either restarts.
type Key uint32

// KeyOf returns the key of a VM incarnation.
func KeyOf(vi id.VMIncarnation) Key {
	hs := fnv.New32a()
	hs.Write([]byte(vi.String()))
	return Key(hs.Sum32())
}

// Update is the part of an Entry that changes from digest to digest, identified by its key.
type Update struct {
	Key       Key
	Heartbeat uint64
	Age       time.Duration // time since the VM sent the heartbeat, including the delay at every hop
	Leaving   bool
	Ready     bool
	FreeSlots map[id.Pool]int
}

// update returns the update for the entry. age is the time since the VM sent its heartbeat.
func (en *Entry) update(age time.Duration) Update {
	return Update{
		Key: KeyOf(en.ID), Heartbeat: en.Heartbeat, Age: max(age, 0), Leaving: en.Leaving, Ready: en.Ready,
		FreeSlots: en.FreeSlots,
	}
}

// withUpdate returns a copy of the entry with the values of the update.
func (en *Entry) withUpdate(up *Update) Entry {
	next := *en
	next.Heartbeat, next.Leaving, next.Ready, next.FreeSlots = up.Heartbeat, up.Leaving, up.Ready, up.FreeSlots
	return next
}

// newer reports whether en is more recent than ot. Both must describe the same VM.
func (en *Entry) newer(ot *Entry) bool {
	if en.ID.Incarnation != ot.ID.Incarnation {
		return en.ID.Incarnation > ot.ID.Incarnation
	}
	return en.Heartbeat > ot.Heartbeat
}

// rank returns a hash of the VM name. It gives the VMs of a failure domain the same order on every VM.
func rank(vm id.VM) uint64 {
	hs := fnv.New64a()
	hs.Write([]byte(vm))
	return hs.Sum64()
}

// State is the state of a VM from the point of view of another VM.
type State string

// States of a VM. Suspect and Dead follow from the age of its last heartbeat.
const (
	Alive   State = "alive"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Member is an entry with its state.
type Member struct {
	Entry
	State State
}

// Transition is a change of the state of a VM.
type Transition struct {
	ID   id.VMIncarnation
	From State // empty if this incarnation was not known
	To   State
}
