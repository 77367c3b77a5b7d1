package experiment_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"damasklatch/internal/experiment"
)

// pausesFile makes TestPauses simulate all fleet sizes with several seeds and write the results there.
var pausesFile = flag.String("experiment.pauses", "", "`file` for the results of all simulated pauses, as JSON; empty runs a few")

// Each makes TestPausesPlot draw the results that -experiment.pauses has written, with the present code and with an earlier one.
var (
	pausesPlot   = flag.String("experiment.plot", "", "`file` for the plot of simulated pauses")
	pausesNow    = flag.String("experiment.now", "", "`file` with the results of the present code")
	pausesBefore = flag.String("experiment.before", "", "`file` with the results of an earlier code")
)

// TestPausesPlot draws the plot of docs/MEASUREMENTS.md if its flags are given.
func TestPausesPlot(t *testing.T) {
	if *pausesPlot == "" {
		t.Skip("no -experiment.plot")
	}
	series := map[string][]experiment.PauseResult{}
	for name, file := range map[string]string{"before": *pausesBefore, "now": *pausesNow} {
		src, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var list []experiment.PauseResult
		if err := json.Unmarshal(src, &list); err != nil {
			t.Fatal(err)
		}
		series[name] = list
	}
	if err := experiment.PlotPauses(*pausesPlot, []string{"before", "now"}, series); err != nil {
		t.Fatal(err)
	}
}

// Guards against a burst of all VMs onto targets at the end of their pause, and against requests during it: BUDGET of the platform
// allows two between half a second after a 503 and the end of the pause.
func TestPauses(t *testing.T) {
	const (
		maxInPause = 2
		// maxFirstReturn bounds the load of the first 100 ms after the pause from VMs that knew of it, relative to their load before,
		// on average over the seeds.
		maxFirstReturn = 0.6
	)
	sizes, seeds := []int{10}, []uint64{1, 2, 3}
	if *pausesFile != "" {
		sizes = []int{10, 58, 195}
	}
	var all []experiment.PauseResult
	for _, vms := range sizes {
		for _, sc := range experiment.PauseScenarios(vms) {
			first := 0.0
			for _, seed := range seeds {
				rs := experiment.SimulatePause(sc, seed)
				all = append(all, rs)
				name := fmt.Sprintf("%d VMs, pause %s, concentrated %t, seed %d", vms, sc.Pause, sc.Concentrated, seed)
				share := func(num int) float64 { return 100 * float64(num) / float64(rs.Requests) }
				t.Logf("%s: %d requests, %.2f%% in time, %.2f%% late, %.2f%% refused; first 100 ms of the return %.2f, of VMs that were told %.2f "+
					"(%.2f of them); most in a pause %d", name, rs.Requests, share(rs.InTime), share(rs.Late), share(rs.Refused), rs.Return[0],
					rs.ReturnTold[0], rs.Told, rs.MostInPause)
				if rs.MostInPause > maxInPause {
					t.Errorf("%s: %d requests during a pause, want %d at most", name, rs.MostInPause, maxInPause)
				}
				first += rs.ReturnTold[0] / float64(len(seeds))
			}
			if first > maxFirstReturn {
				t.Errorf("%d VMs, pause %s, concentrated %t: %.2f of the load returns in the first 100 ms, want %.2f at most", vms, sc.Pause,
					sc.Concentrated, first, maxFirstReturn)
			}
		}
	}
	if *pausesFile == "" {
		return
	}
	src, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*pausesFile, src, 0o644); err != nil {
		t.Fatal(err)
	}
}
