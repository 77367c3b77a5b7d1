package store

import (
	"context"
	"time"

	"damasklatch/core/id"
)

// Version is a store-wide revision. Zero means that the object does not exist.
type Version uint64

// MaxObjectBytes is the maximum size of a value in the platform store.
const MaxObjectBytes = 1 << 20

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Info describes a stored object without its value. Size is in bytes.
type Info struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Size    int     `json:"size"`
}

// Change is one change of an object that a watch reports.
type Change struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRecord is an entry of the platform's list of VMs. The list lags: it may still show a VM that is gone, but never
// omits a VM that exists.
type VMRecord struct {
	VM            id.VM            `json:"vm"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	PeerAddress   string           `json:"peer_address"`
	CallerAddress string           `json:"caller_address"`
	State         VMState          `json:"state"`
}

// Store is the interface of the platform store. All errors are of type *Error. Implementations must be safe for concurrent
// use.
type Store interface {
	// Get returns an object, or an *Error of kind NotFound. The read may be stale.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object has the expected version, and returns the new version. Expected version zero
	// means that the object must not exist. An error of kind Unknown means that the write may have taken effect.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the object if it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the objects whose keys begin with prefix, and the revision of the list.
	List(ctx context.Context, prefix string) ([]Info, Version, error)
	// Watch waits until an object whose key begins with prefix has changed after the given revision, at most for the
	// duration wait. It returns the changes, none if the wait ended, and the revision up to which it reports.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VMRecord, error)
}
