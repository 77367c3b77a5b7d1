package target

import (
	"encoding/json"
	"net/http"
	"time"

	"damasklatch/core/id"
	"damasklatch/internal/logfield"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// Behavior names a state or fault that a Command sets at a target.
type Behavior string

// Behaviors that POST /control accepts.
const (
	Drain      Behavior = "drain"       // report draining in GET /load and continue to serve
	Active     Behavior = "active"      // end Drain
	Crash      Behavior = "crash"       // close the listener and all connections; restart after for_ms if it is set
	Return     Behavior = "return"      // restart after Crash, with a cold start
	Silence    Behavior = "silence"     // open connections stay open but receive and send nothing; new connections work
	Truncate   Behavior = "truncate"    // close the connection after half of the body, for the next count responses
	Sick       Behavior = "sick"        // respond to GET /healthz with 503
	Well       Behavior = "well"        // end Sick
	LoadTrue   Behavior = "load_true"   // GET /load reports the load of Options.LoadLag ago
	LoadFrozen Behavior = "load_frozen" // GET /load repeats the last report
	LoadIdle   Behavior = "load_idle"   // GET /load reports no requests
	LoadFull   Behavior = "load_full"   // GET /load reports that all slots are in use
	Slow       Behavior = "slow"        // multiply service times by factor
)

// Command is the JSON body of POST /control.
type Command struct {
	Target   id.Target `json:"target"`
	Behavior Behavior  `json:"behavior"`
	ForMs    int64     `json:"for_ms,omitempty"` // for Crash: downtime in milliseconds; zero stays down until Return
	Count    int       `json:"count,omitempty"`  // for Truncate: number of responses; values below 1 count as 1
	Factor   float64   `json:"factor,omitempty"` // for Slow: factor of the service time, above zero; 1 ends Slow
}

// maxCommandBytes limits the body of POST /control.
const maxCommandBytes = 64 << 10

// controlHandler returns the handler of the control endpoint.
func (ps *Process) controlHandler() http.Handler {
	rt := mux.NewRouter()
	rt.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }).
		Methods(http.MethodGet)
	rt.HandleFunc("/control", ps.serveControl).Methods(http.MethodPost)
	rt.HandleFunc("/records", ps.serveRecords).Methods(http.MethodGet)
	return rt
}

// serveControl applies the command in the request body.
func (ps *Process) serveControl(w http.ResponseWriter, r *http.Request) {
	var cm Command
	dc := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	dc.DisallowUnknownFields()
	if err := dc.Decode(&cm); err != nil {
		http.Error(w, "decode command: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := ps.Apply(cm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveRecords responds with all records, one JSON object per line.
func (ps *Process) serveRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	en := json.NewEncoder(w)
	for _, rec := range ps.records.All() {
		if err := en.Encode(rec); err != nil {
			return
		}
	}
}

// Apply applies a command. It returns an error if the target or the behavior is unknown, if the factor of Slow is not
// above zero, or if the target is in a state that does not allow the command. It may be called from any goroutine.
func (ps *Process) Apply(cm Command) error {
	tg, ok := ps.targets[cm.Target]
	if !ok {
		return errors.Errorf("target %q is not served by this process", cm.Target)
	}
	if err := tg.apply(cm); err != nil {
		return err
	}
	ps.op.Log.Info("command applied", logfield.Target, cm.Target, "behavior", cm.Behavior)
	return nil
}

// apply applies a command to this target.
func (tg *Target) apply(cm Command) error {
	switch cm.Behavior {
	case Drain, Active:
		tg.setDraining(cm.Behavior == Drain)
	case Crash:
		return tg.crash(time.Duration(cm.ForMs) * time.Millisecond)
	case Return:
		return tg.start()
	case Silence:
		return tg.silence()
	case Truncate:
		tg.truncationsLeft.Store(int64(max(cm.Count, 1)))
	case Sick, Well:
		tg.sick.Store(cm.Behavior == Sick)
	case LoadTrue, LoadFrozen, LoadIdle, LoadFull:
		tg.loadReporter.setMode(cm.Behavior)
	case Slow:
		if cm.Factor <= 0 {
			return errors.Errorf("behavior %q requires a factor above zero", cm.Behavior)
		}
		tg.serviceTimes.setFactor(cm.Factor)
	default:
		return errors.Errorf("unknown behavior %q", cm.Behavior)
	}
	return nil
}
