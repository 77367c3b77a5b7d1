package member

import (
	"hash/fnv"
	"time"

	"damasklatch/core/id"
)

// Entry is what a VM tells about itself.
type Entry struct {
	ID            id.VMIncarnation
	FailureDomain id.FailureDomain
	PeerAddress   string
	CallerAddress string
	Heartbeat     uint64 // increases with every digest of the VM itself
	Leaving       bool
	Ready         bool            // has a configuration in force
	FreeSlots     map[id.Pool]int // treated as immutable
}

// Key is a short hash of a VM incarnation. With 420 VMs the chance that any two share a key is 1 in 50,000; then one
// of them looks alive through the heartbeat of the other until either restarts.
type Key uint32

// KeyOf returns the key of a VM incarnation.
func KeyOf(vi id.VMIncarnation) Key {
	hs := fnv.New32a()
	hs.Write([]byte(vi.String()))
	return Key(hs.Sum32())
}

// Update is what changes about a VM from digest to digest.
type Update struct {
	Key       Key
	Heartbeat uint64
	Age       time.Duration // since the VM sent the heartbeat, with the delays of every hop added up
	Leaving   bool
	Ready     bool
	FreeSlots map[id.Pool]int
}

func (en *Entry) update(age time.Duration) Update {
	return Update{
		Key: KeyOf(en.ID), Heartbeat: en.Heartbeat, Age: max(age, 0), Leaving: en.Leaving, Ready: en.Ready,
		FreeSlots: en.FreeSlots,
	}
}

// withUpdate returns the entry brought up to date by the news.
func (en *Entry) withUpdate(nw *Update) Entry {
	next := *en
	next.Heartbeat, next.Leaving, next.Ready, next.FreeSlots = nw.Heartbeat, nw.Leaving, nw.Ready, nw.FreeSlots
	return next
}

// newer reports whether en holds later news than ot about the same VM.
func (en *Entry) newer(ot *Entry) bool {
	if en.ID.Incarnation != ot.ID.Incarnation {
		return en.ID.Incarnation > ot.ID.Incarnation
	}
	return en.Heartbeat > ot.Heartbeat
}

// rank orders the VMs of a failure domain in the same way on every VM.
func rank(vm id.VM) uint64 {
	hs := fnv.New64a()
	hs.Write([]byte(vm))
	return hs.Sum64()
}

// State is the state of a VM as seen by another.
type State string

// States of a VM.
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

// Transition reports that the state of a VM changed.
type Transition struct {
	ID   id.VMIncarnation
	From State // empty for a VM not known before
	To   State
}
