package roster

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/rendezvous"
	"damasklatch/core/workload"
)

// Peer is the registration of a VM in the store.
type Peer struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.FailureDomain
	Region        id.Region
	StatusAddress string  // receives status messages from other VMs
	CallerAddress string  // receives requests from callers
	RelayAddress  string  // serves the objects that the VM has read from the store
	LinkRate      float64 // network bandwidth in Mbit/s, zero if unknown
	// Heartbeat is a counter that the VM increments in the store while Roster.NeedsHeartbeat returns true.
	Heartbeat uint64
}

// Key identifies a process of a VM in summaries. It is a 32-bit hash of the VM name and the incarnation.
type Key uint32

// KeyOf returns the key of the process of a VM with the incarnation inc.
func KeyOf(vm id.VM, inc id.Incarnation) Key {
	return Key(rendezvous.Mix(rendezvous.Hash(string(vm)) ^ uint64(inc)))
}

// Load is the number of requests in flight at a target, as a VM last observed it.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Target uint32   // low 32 bits of the target's hash
	Total  uint16   // running and queued requests
}

// State is a set of flags that describe a VM.
type State uint8

// Flags of a State.
const (
	Ready       State = 1 << iota // accepts requests
	Leaving                       // is shutting down
	ReadsStore                    // watches the store directly
	RelaysStore                   // follows the store through another VM
)

// Has reports whether at least one of the given flags is set.
func (st State) Has(flags State) bool { return st&flags != 0 }

// Report is the state of a VM as it sends it to other VMs. The encoding uses numbers as field names, to keep messages small.
type Report struct {
	VM          id.VM          `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	State       State          `cbor:"3,keyasint,omitempty"`
	Version     id.Generation  `cbor:"4,keyasint"` // generation of the configuration in force
	// EvidenceAge is how old the evidence that Version is the newest generation was when the report was sent. It is negative
	// if there is no evidence.
	EvidenceAge time.Duration `cbor:"5,keyasint"`
	// Sent is the time of sending by the sender's clock. Echo is the newest Sent that the sender has received from the receiver.
	Sent lease.Instant `cbor:"6,keyasint"`
	Echo lease.Instant `cbor:"7,keyasint,omitempty"`
	// EchoOf is the incarnation of the receiver that Echo came from. Without an Echo, it is the highest incarnation of the
	// receiver that the sender knows, and tells a process with a lower one to raise its own.
	EchoOf id.Incarnation      `cbor:"8,keyasint,omitempty"`
	Work   map[id.Pool]float32 `cbor:"9,keyasint,omitempty"` // slots needed for the current demand of each pool
	Loads  []Load              `cbor:"10,keyasint,omitempty"`
	// Changes holds, for each kind of object, the revision of the newest change that the sender has seen.
	Changes map[string]int64 `cbor:"11,keyasint,omitempty"`
	Bound   BoundWork        `cbor:"12,keyasint,omitempty"` // the part of Work that may run only in some regions
	Traffic []Traffic        `cbor:"13,keyasint,omitempty"` // the sender's recent requests
}

// Traffic holds the numbers of recent requests of a pool: all that arrived, those that may run only in some regions, and
// those sent to each region.
type Traffic struct {
	_       struct{} `cbor:",toarray"`
	Pool    id.Pool
	Arrived float32
	Bound   map[id.Region]float32
	Placed  map[id.Region]float32
}

// BoundWork is the work of each pool, in slots, by the region in which it must run.
type BoundWork map[id.Pool]map[id.Region]float32

// add adds the work of another VM.
func (bw BoundWork) add(more BoundWork) {
	for pl, regions := range more {
		if bw[pl] == nil {
			bw[pl] = map[id.Region]float32{}
		}
		for rg, slots := range regions {
			bw[pl][rg] += slots
		}
	}
}

// SetDemand sets the work of the report to the demand for each pool.
func (rp *Report) SetDemand(all map[id.Pool]workload.Demand) {
	rp.Work, rp.Bound = make(map[id.Pool]float32, len(all)), BoundWork{}
	for pl, dm := range all {
		rp.Work[pl] = float32(dm.Slots)
		for rg, slots := range dm.Bound {
			rp.Bound.add(BoundWork{pl: {rg: float32(slots)}})
		}
	}
}

// Liveness is an entry of a Summary: the age of a VM's last sign of life and the state that the VM had then.
type Liveness struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	State State
	Age   uint16 // in milliseconds
}

// Summary combines the reports that an aggregator received from the VMs of its failure domain with its own report.
type Summary struct {
	FailureDomain id.FailureDomain    `cbor:"1,keyasint"`
	Members       []Liveness          `cbor:"2,keyasint"`
	Work          map[id.Pool]float32 `cbor:"3,keyasint,omitempty"` // sum over the VMs, in slots
	Loads         []Load              `cbor:"4,keyasint,omitempty"`
	Age           time.Duration       `cbor:"5,keyasint,omitempty"` // time since the summary was made
	Bound         BoundWork           `cbor:"6,keyasint,omitempty"` // the part of Work that may run only in some regions
	Traffic       []Traffic           `cbor:"7,keyasint,omitempty"` // sum over the VMs
}

// Status is the message that VMs send each other: the sender's report, and from an aggregator also summaries.
type Status struct {
	Report    Report    `cbor:"1,keyasint"`
	Summaries []Summary `cbor:"2,keyasint,omitempty"`
}

// mergeLoads copies loads into the map. They replace the entries of the same targets.
func mergeLoads(into map[uint32]uint16, loads []Load) {
	for _, ld := range loads {
		into[ld.Target] = ld.Total
	}
}

// loadList returns at most maxLoads entries of loads, in no particular order.
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

// maxLoads limits the number of loads in a summary. loadList leaves out arbitrary targets beyond it.
const maxLoads = 256
