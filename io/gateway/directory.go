package gateway

import (
	"slices"
	"strings"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// maxEntries is the maximum number of addresses in the response to a look-up.
const maxEntries = 64

// directory holds the addresses of the VMs that callers should use.
type directory struct {
	all     []string // of all regions, sorted
	regions map[id.Region][]string
}

// newDirectory returns the directory for the VMs that are ready.
func newDirectory(ready []roster.Peer) *directory {
	byRegion := map[id.Region][]roster.Peer{}
	for _, pr := range ready {
		byRegion[pr.Region] = append(byRegion[pr.Region], pr)
	}
	dr := &directory{regions: make(map[id.Region][]string, len(byRegion))}
	for rg, peers := range byRegion {
		for _, pr := range roster.ListForCallers(peers) {
			dr.regions[rg] = append(dr.regions[rg], pr.CallerAddress)
		}
		dr.all = append(dr.all, dr.regions[rg]...)
	}
	slices.SortFunc(dr.all, strings.Compare)
	return dr
}

// entries returns the addresses of the VMs in the region of the caller, or of all regions if there are none in the region.
func (dr *directory) entries(rg id.Region) []string {
	list := dr.regions[rg]
	if len(list) == 0 {
		list = dr.all
	}
	return list[:min(len(list), maxEntries)]
}
