package roster

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/rendezvous"
)

// Peer is a VM as it registered itself.
type Peer struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.FailureDomain
	Region        id.Region
	StatusAddress string // for messages between VMs
	CallerAddress string
	RelayAddress  string  // where it serves what it knows of the store
	LinkRate      float64 // of its network link in Mbit/s; zero means unknown
	// Heartbeat changes while nobody hears the VM: a VM that reaches the store shows there that it is alive.
	Heartbeat uint64
}

// Key names a process of a VM in summaries.
type Key uint32

// KeyOf returns the key of a process.
func KeyOf(vm id.VM, inc id.Incarnation) Key {
	return Key(rendezvous.Mix(rendezvous.Hash(string(vm)) ^ uint64(inc)))
}

// Load is the work in flight at a target as a VM saw it last.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Target uint32   // the low bits of the target's hash
	Total  uint16   // running and waiting requests
}

// State is a set of facts about a VM.
type State uint8

// Facts about a VM.
const (
	Ready       State = 1 << iota // takes requests
	Leaving                       // shuts down
	ReadsStore                    // follows the store itself
	RelaysStore                   // follows a VM that reads the store
)

// Has reports whether a fact holds.
func (st State) Has(fact State) bool { return st&fact != 0 }

// Report is what a VM tells of itself. The encoding names fields by numbers, to keep messages small.
type Report struct {
	VM          id.VM          `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	State       State          `cbor:"3,keyasint,omitempty"`
	Version     id.Generation  `cbor:"4,keyasint"` // of the configuration
	// EvidenceAge is the age, when the report was sent, of the evidence that Version is the newest; negative means none.
	EvidenceAge time.Duration `cbor:"5,keyasint"`
	// Sent is the sender's instant, and Echo the newest one that the receiver sent to it.
	Sent   lease.Instant       `cbor:"6,keyasint"`
	Echo   lease.Instant       `cbor:"7,keyasint,omitempty"`
	EchoOf id.Incarnation      `cbor:"8,keyasint,omitempty"` // of the receiver, which Echo belongs to
	Work   map[id.Pool]float32 `cbor:"9,keyasint,omitempty"` // busy slots that the demand of each pool needs
	Loads  []Load              `cbor:"10,keyasint,omitempty"`
	// Changes are the revisions of the newest change that the sender has seen of each kind of objects.
	Changes map[string]int64 `cbor:"11,keyasint,omitempty"`
}

// Liveness is the last sign of life of a process of a VM.
type Liveness struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	State State
	Age   uint16 // milliseconds
}

// Summary is what a speaker heard from the VMs of its failure domain, itself included.
type Summary struct {
	FailureDomain id.FailureDomain    `cbor:"1,keyasint"`
	Members       []Liveness          `cbor:"2,keyasint"`
	Work          map[id.Pool]float32 `cbor:"3,keyasint,omitempty"` // the sum
	Loads         []Load              `cbor:"4,keyasint,omitempty"`
	Age           time.Duration       `cbor:"5,keyasint,omitempty"` // since it was made
}

// Status is a message between VMs.
type Status struct {
	Report    Report    `cbor:"1,keyasint"`
	Summaries []Summary `cbor:"2,keyasint,omitempty"`
}

// mergeLoads keeps the later entry of each target.
func mergeLoads(into map[uint32]uint16, loads []Load) {
	for _, ld := range loads {
		into[ld.Target] = ld.Total
	}
}

func loadList(loads map[uint32]uint16) []Load {
	list := make([]Load, 0, min(len(loads), maxLoads))
	for tg, total := range loads {
		if len(list) == maxLoads {
			break
		}
		list = append(list, Load{Target: tg, Total: total})
	}
	return list
}

// maxLoads bounds the loads in a summary.
const maxLoads = 256
