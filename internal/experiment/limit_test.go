package experiment_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
	"damasklatch/internal/experiment"
)

// Guards a target of the design: if all requests of a team arrive in one failure domain, at most 0.1% of them are
// refused wrongfully after the first second, in which shares move there. The target is checked for a burst of one second
// of the rate. Smaller bursts miss the target so far, and their figures are only logged.
func TestSkewedTeam(t *testing.T) {
	const rate = 400_000
	for seed := uint64(1); seed <= 8; seed++ {
		for _, burst := range []unit.Milli{rate, rate / 2, rate / 4} {
			results, cost := experiment.SimulateLimits(seed, experiment.CurrentSize, []experiment.TeamLoad{
				{Team: "salon", Rate: rate, Burst: burst, Factor: 0.95, FailureDomains: []int{0}},
			}, 30*time.Second)
			t.Logf("seed=%d burst=%d %v; %v", seed, burst, results[0], cost)
			if burst == rate && results[0].WrongfulFraction() > 0.001 {
				t.Errorf("%.4f%% of the requests were refused wrongfully, the target is at most 0.1%%", 100*results[0].WrongfulFraction())
			}
		}
	}
}

// Guards a target of the design: while one team sends 5 times its rate, every other team is served at least 98% of its
// entitlement.
func TestOneOverloadingTeam(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		results, cost := experiment.SimulateLimits(seed, experiment.CurrentSize, eightTeams(200_000), 30*time.Second)
		t.Logf("seed=%d %v", seed, cost)
		for _, rs := range results {
			t.Log(rs)
			if rs.Team != "team-0" && rs.ServedFraction() < 0.98 {
				t.Errorf("team %s was served %.2f%% of its entitlement, the target is at least 98%%", rs.Team, 100*rs.ServedFraction())
			}
		}
	}
}

// eightTeams returns the loads of one team at 5 times its rate and of seven teams at 90% of their rate. Three of the
// seven send to one region each. The burst is one second of the rate.
func eightTeams(rate unit.MilliPerSecond) []experiment.TeamLoad {
	var lds []experiment.TeamLoad
	for nr := range 8 {
		ld := experiment.TeamLoad{Team: id.Team(fmt.Sprintf("team-%d", nr)), Rate: rate, Burst: unit.Milli(rate), Factor: 0.9}
		switch {
		case nr == 0:
			ld.Factor = 5
		case nr >= 5:
			ld.FailureDomains = []int{2 * (nr - 5), 2*(nr-5) + 1}
		}
		lds = append(lds, ld)
	}
	return lds
}

// Guards against ledger traffic that grows with the fleet: at the design size, a VM may send at most 21 KB/s of control
// traffic. Three teams send all requests to one failure domain each.
func TestCostAtDesignSize(t *testing.T) {
	lds := eightTeams(2_000_000)
	for nr := 5; nr < len(lds); nr++ {
		lds[nr].FailureDomains = []int{nr}
	}
	results, cost := experiment.SimulateLimits(1, experiment.DesignSize, lds, 5*time.Second)
	for _, rs := range results {
		t.Log(rs)
	}
	t.Log(cost)
	if cost.MaxBytes > 21_000 {
		t.Errorf("the busiest VM sends %.0f bytes per second, the target for all control traffic is at most 21000", cost.MaxBytes)
	}
}
