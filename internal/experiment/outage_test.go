package experiment_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/internal/experiment"
)

// Guards the stated target for retries: goodput during an outage of targets is at least 90% of what the remaining ones
// can carry, whether the load is below or above that, and a dead target gets no work after 2 s.
func TestGoodputDuringOutage(t *testing.T) {
	const least, deadAfter = 0.9, 2 * time.Second
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			for _, rs := range experiment.SimulateOutages(seed) {
				t.Logf("%-8s offered %.1f goodput %.3f retries %d refused %d, last sent after %v", rs.Mode, rs.Offered,
					rs.Goodput, rs.Retries, rs.Refused, rs.LastSent)
				if rs.Goodput < least {
					t.Errorf("%s, offered %.1f: goodput %.3f is below %.1f", rs.Mode, rs.Offered, rs.Goodput, least)
				}
				if rs.Mode != experiment.OutageFailing && rs.LastSent > deadAfter {
					t.Errorf("%s: a dead target got work after %v", rs.Mode, rs.LastSent)
				}
			}
		})
	}
}
