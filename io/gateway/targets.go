package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"damasklatch/core/memory"
	"damasklatch/core/placement"
)

// TargetsPath is the path on the metrics address under which a gateway reports its targets.
const TargetsPath = "/v1/targets"

// TargetReport is the JSON form of a target as a gateway sees it.
type TargetReport struct {
	Target        string `json:"target"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	LeftMS        int64  `json:"left_ms,omitempty"` // time until the end of the state
	InFlight      int    `json:"in_flight"`         // requests of this gateway
	Slots         int    `json:"slots"`
	// PacePercent is how long work takes on the target's machine at present, in percent of the usual time.
	PacePercent int `json:"pace_percent"`
}

// targetsHandler responds with a TargetReport for each registered target.
type targetsHandler struct{ placer *placement.Placer }

func (th targetsHandler) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	list := []TargetReport{}
	for _, st := range th.placer.Status(time.Now()) {
		list = append(list, TargetReport{
			Target: string(st.Target), Pool: string(st.Pool), FailureDomain: string(st.FailureDomain), State: string(st.State),
			LeftMS: st.Left.Milliseconds(), InFlight: st.InFlight, Slots: st.Slots, PacePercent: st.Pace.Percent(),
		})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(list) // fails only if the caller has disconnected
}

// stateGauges exports the number of targets in each state, and the memory for bodies.
type stateGauges struct {
	placer  *placement.Placer
	bodies  *memory.Budget
	metrics *Metrics
}

// gaugeInterval is the interval at which stateGauges updates the metrics.
const gaugeInterval = time.Second

// run updates the metrics until the context is canceled.
func (sg *stateGauges) run(ctx context.Context) {
	tk := time.NewTicker(gaugeInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tk.C:
			sg.metrics.setTargets(sg.placer.Status(now))
			sg.metrics.setBodyMemory(sg.bodies.Usage())
		}
	}
}
