package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// LinkScenario describes the VMs of a region and the requests that its callers send through them.
type LinkScenario struct {
	Name       string
	Fast, Slow int     // number of VMs with each kind of link
	PerSecond  float64 // requests
}

// LinkResult holds what the callers of a region get with one choice of VMs.
type LinkResult struct {
	Scenario string
	Policy   string // "listed" for the VMs that roster.ListForCallers names, or "all" for an even choice among all
	VMs      int    // that callers use
	P50, P99 time.Duration
	InTime   float64 // fraction of the requests that are answered within linkObjective
}

// Parameters of the simulated requests and links.
const (
	fastLink = 200.0 // Mbit/s
	slowLink = 10.0
	// One request in largeOneIn has a large response.
	largeOneIn    = 12
	smallResponse = 2 << 10 // bytes
	largeResponse = 90 << 10
	targetTime    = 250 * time.Millisecond // until the target has responded
	linkObjective = 400 * time.Millisecond
	linkRequests  = 20_000
)

// LinkScenarios returns regions of fleets of 10, 58 and 195 VMs. In the two larger ones most VMs have slow links.
func LinkScenarios() []LinkScenario {
	return []LinkScenario{
		{Name: "10 VMs", Fast: 4, PerSecond: 150},
		{Name: "58 VMs", Fast: 4, Slow: 15, PerSecond: 700},
		{Name: "195 VMs", Fast: 9, Slow: 56, PerSecond: 2500},
	}
}

// CompareListing runs every scenario with the VMs that callers are told of and with all VMs, and returns the two results of each
// scenario in this order. Both policies see the same arrivals and responses.
func CompareListing(seed uint64) []LinkResult {
	var all []LinkResult
	for _, sc := range LinkScenarios() {
		vms := sc.vms()
		all = append(all, sc.run("listed", seed, roster.ListForCallers(vms)), sc.run("all", seed, vms))
	}
	return all
}

// vms returns the VMs of the region, in two failure domains.
func (sc LinkScenario) vms() []roster.Peer {
	var list []roster.Peer
	for nr := range sc.Fast + sc.Slow {
		rate := fastLink
		if nr >= sc.Fast {
			rate = slowLink
		}
		list = append(list, roster.Peer{
			CallerAddress: fmt.Sprint(nr), FailureDomain: id.FailureDomain(fmt.Sprint("domain-", nr%2)), LinkRate: rate,
		})
	}
	return list
}

// link is the state of a VM's link in one direction: responses follow one another.
type link struct{ busyUntil time.Duration }

// send returns the time at which a response that arrives at the link at a time has passed it.
func (lk *link) send(at time.Duration, bytes int, rate float64) time.Duration {
	const bitsPerByte, perMbit = 8, 1e6
	took := time.Duration(float64(bytes) * bitsPerByte / (rate * perMbit) * float64(time.Second))
	lk.busyUntil = max(lk.busyUntil, at) + took
	return lk.busyUntil
}

// run sends the requests of the scenario through VMs that each caller chooses evenly. A response passes the VM's link twice: from
// the target, and to the caller.
func (sc LinkScenario) run(policy string, seed uint64, vms []roster.Peer) LinkResult {
	rng := rand.New(rand.NewPCG(seed, uint64(len(sc.Name))))
	in, out := make([]link, len(vms)), make([]link, len(vms))
	var took []time.Duration
	var now time.Duration
	inTime := 0
	for range linkRequests {
		now += time.Duration(rng.ExpFloat64() / sc.PerSecond * float64(time.Second))
		bytes := smallResponse
		if rng.IntN(largeOneIn) == 0 {
			bytes = largeResponse
		}
		nr := int(rng.Float64() * float64(len(vms)))
		received := in[nr].send(now+targetTime, bytes, vms[nr].LinkRate)
		latency := out[nr].send(received, bytes, vms[nr].LinkRate) - now
		took = append(took, latency)
		if latency <= linkObjective {
			inTime++
		}
	}
	slices.Sort(took)
	return LinkResult{
		Scenario: sc.Name, Policy: policy, VMs: len(vms), P50: took[len(took)/2], P99: took[len(took)*99/100],
		InTime: float64(inTime) / linkRequests,
	}
}
