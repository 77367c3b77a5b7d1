package experiment_test

import (
	"fmt"
	"testing"

	"damasklatch/internal/experiment"
)

// Guards targets of the design: the p99 latency is no worse than with round robin in any scenario and at least 30% lower
// with uneven or cold targets, and a target never gets more requests at once than it has slots.
func TestBalanceAgainstRoundRobin(t *testing.T) {
	const slots = 4 // slots of a target in every scenario
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rss := experiment.CompareBalancing(seed)
			for nr := 0; nr < len(rss); nr += 2 {
				choice, robin := rss[nr], rss[nr+1]
				t.Logf("%-12s choice p50 %v p99 %v waited %d most %d, round robin p50 %v p99 %v most %d", choice.Scenario,
					choice.P50, choice.P99, choice.Waited, choice.MaxPerTarget, robin.P50, robin.P99, robin.MaxPerTarget)
				bound := robin.P99
				if choice.Scenario == "uneven" || choice.Scenario == "cold" {
					bound = robin.P99 * 7 / 10
				}
				if choice.P99 > bound {
					t.Errorf("%s: p99 is %v, want at most %v", choice.Scenario, choice.P99, bound)
				}
				if choice.MaxPerTarget > slots {
					t.Errorf("%s: %d requests at once at one target, which is more than its slots", choice.Scenario, choice.MaxPerTarget)
				}
			}
		})
	}
}
