package daemon

import (
	"slices"
	"sync/atomic"

	"damasklatch/core/id"
	"damasklatch/core/membership"
	"damasklatch/io/configsync"
	"damasklatch/io/peer"
)

// ConfigHolders lists the VMs from which the follower can fetch the configuration. The control goroutine replaces the
// list while the follower reads it.
type ConfigHolders struct {
	cs   *peer.Clients
	list atomic.Pointer[[]holder]
}

type holder struct {
	vm         id.VM
	address    string
	generation id.Generation
}

// NewConfigHolders returns an empty list. The VMs on it are called through the clients.
func NewConfigHolders(cs *peer.Clients) *ConfigHolders { return &ConfigHolders{cs: cs} }

// Holders implements configsync.Peers.
func (hs *ConfigHolders) Holders(gen id.Generation) []configsync.Holder {
	list := hs.list.Load()
	if list == nil {
		return nil
	}
	var out []configsync.Holder
	for _, hd := range *list {
		if hd.generation >= gen {
			out = append(out, configsync.Holder{VM: hd.vm, Client: hs.cs.ForAddress(hd.address)})
		}
	}
	return out
}

// updateConfigHolders publishes the VMs that are not dead with the generations that their digests reported. VMs of the
// same failure domain come first.
func (ct *Controller) updateConfigHolders() {
	var list []holder
	for _, mb := range ct.Members.Members() {
		if mb.State == membership.Dead {
			delete(ct.generations, mb.ID.VM)
			continue
		}
		list = append(list, holder{vm: mb.ID.VM, address: mb.PeerAddress, generation: ct.generations[mb.ID.VM]})
	}
	remoteness := func(hd holder) int {
		if ct.sameDomain(hd.vm) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(hd, ot holder) int { return remoteness(hd) - remoteness(ot) })
	ct.ConfigHolders.list.Store(&list)
}
