package gateway

import (
	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// maxEntries is the maximum number of addresses in the response to a look-up.
const maxEntries = 64

// directory lists the VMs that callers may use, sorted by address.
type directory struct{ vms []entry }

type entry struct {
	address string
	domain  id.FailureDomain
	region  id.Region
}

func newEntry(pr roster.Peer) entry { return entry{pr.CallerAddress, pr.FailureDomain, pr.Region} }

// entries returns the VMs in the region of the caller, or all VMs if there are none in the region.
func (dr *directory) entries(_ id.FailureDomain, rg id.Region) []string {
	var list []string
	for _, en := range dr.vms {
		if en.region == rg {
			list = append(list, en.address)
		}
	}
	if len(list) == 0 {
		for _, en := range dr.vms {
			list = append(list, en.address)
		}
	}
	return list[:min(len(list), maxEntries)]
}
