package experiment_test

import (
	"fmt"
	"testing"

	"damasklatch/internal/experiment"
)

// Guards against callers that are sent to VMs whose links they overload while VMs with fast links have room. With the VMs that
// callers are told of, no fewer requests are answered in time than with an even choice among all VMs, and at most one in a hundred
// is late because of a link.
func TestListedVMsCarryTheLoad(t *testing.T) {
	const least = 0.99
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			results := experiment.CompareListing(seed)
			for nr := 0; nr < len(results); nr += 2 {
				listed, all := results[nr], results[nr+1]
				for _, rs := range []experiment.LinkResult{listed, all} {
					t.Logf("%-8s %-6s %3d VMs p50 %v p99 %v in time %.4f", rs.Scenario, rs.Policy, rs.VMs, rs.P50, rs.P99, rs.InTime)
				}
				if listed.InTime < all.InTime || listed.InTime < least {
					t.Errorf("%s: %.4f of the requests are in time with %d listed VMs, %.4f with all %d", listed.Scenario, listed.InTime,
						listed.VMs, all.InTime, all.VMs)
				}
			}
		})
	}
}
