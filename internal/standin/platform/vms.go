package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/store"
)

// VMList is the platform's list of VMs. It shows a new VM at once, but a removal or the state "leaving" only after
// the lag. A removed VM may therefore still be listed, but a live VM is never missing. VMList is safe for concurrent
// use.
type VMList struct {
	mu  sync.Mutex
	lag time.Duration
	vms map[id.VM]*listedVM
}

// listedVM is an entry of the list, with the times at which the VM was set to "leaving" and removed. The zero time
// means that this has not happened.
type listedVM struct {
	record  store.VMRecord
	leaving time.Time
	removed time.Time
}

// NewVMList returns an empty list that shows removals after the given lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, vms: make(map[id.VM]*listedVM)}
}

// SetLag changes the lag. The new lag also applies to removals that the list does not show yet.
func (vl *VMList) SetLag(lag time.Duration) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.lag = lag
}

// Set adds a VM or replaces its entry, which cancels an earlier removal.
func (vl *VMList) Set(rec store.VMRecord) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	lv := &listedVM{record: rec}
	if rec.State == store.VMLeaving {
		if old, ok := vl.vms[rec.VM]; ok && !old.leaving.IsZero() {
			lv.leaving = old.leaving
		} else {
			lv.leaving = time.Now()
		}
	}
	vl.vms[rec.VM] = lv
}

// Remove removes a VM. The VM stays listed until the lag has passed.
func (vl *VMList) Remove(vm id.VM) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	if lv, ok := vl.vms[vm]; ok && lv.removed.IsZero() {
		lv.removed = time.Now()
	}
}

// Records returns the VMs that the platform shows now, ordered by name.
func (vl *VMList) Records() []store.VMRecord {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	shown := time.Now().Add(-vl.lag)
	recs := make([]store.VMRecord, 0, len(vl.vms))
	for _, lv := range vl.vms {
		if !lv.removed.IsZero() && !lv.removed.After(shown) {
			continue
		}
		rec := lv.record
		rec.State = store.VMLive
		if !lv.leaving.IsZero() && !lv.leaving.After(shown) {
			rec.State = store.VMLeaving
		}
		recs = append(recs, rec)
	}
	slices.SortFunc(recs, func(rec, ot store.VMRecord) int { return cmp.Compare(rec.VM, ot.VM) })
	return recs
}
