package experiment_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/internal/experiment"
)

// Guards targets of the design for retries: while targets have failed, the goodput is at least 90% of the load or of the
// capacity of the remaining targets, whichever is smaller, and a failed target gets no requests after 2 s.
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
					t.Errorf("%s: a failed target still got a request after %v", rs.Mode, rs.LastSent)
				}
			}
		})
	}
}
