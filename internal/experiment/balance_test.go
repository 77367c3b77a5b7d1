package experiment_test

import (
	"fmt"
	"testing"

	"damasklatch/internal/experiment"
)

// Guards the stated targets: p99 no worse than round robin in any scenario, at least 30% better with uneven or cold
// targets, and never more requests at a target than it has slots.
func TestBalanceAgainstRoundRobin(t *testing.T) {
	const most = 4 // slots of a target in every scenario
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
					t.Errorf("%s: p99 %v is above %v", choice.Scenario, choice.P99, bound)
				}
				if choice.MaxPerTarget > most {
					t.Errorf("%s: %d requests at one target", choice.Scenario, choice.MaxPerTarget)
				}
			}
		})
	}
}
