package platform

import (
	"net/http"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/store"

	"github.com/gorilla/mux"
)

// controlHandler returns the handler of the control endpoint, through which tests set faults, limits and VMs.
func (sv *Server) controlHandler() http.Handler {
	rt := mux.NewRouter()
	rt.HandleFunc("/fault", sv.postFault).Methods(http.MethodPost)
	rt.HandleFunc("/calls", sv.getCalls).Methods(http.MethodGet)
	rt.HandleFunc("/limits", sv.putLimits).Methods(http.MethodPut)
	rt.HandleFunc("/vms/{vm}", sv.putVM).Methods(http.MethodPut)
	rt.HandleFunc("/vms/{vm}", sv.deleteVM).Methods(http.MethodDelete)
	rt.HandleFunc("/vm_lag", sv.putVMLag).Methods(http.MethodPut)
	return rt
}

func (sv *Server) postFault(wr http.ResponseWriter, rq *http.Request) {
	var fr FaultRequest
	if !readBody(wr, rq, &fr) {
		return
	}
	if err := sv.SetFault(fr); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
	}
}

func (sv *Server) getCalls(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, sv.st.Calls()) }

func (sv *Server) putLimits(wr http.ResponseWriter, rq *http.Request) {
	var lim Limits
	if readBody(wr, rq, &lim) {
		sv.st.SetLimits(lim)
	}
}

func (sv *Server) putVM(wr http.ResponseWriter, rq *http.Request) {
	var rec store.VMRecord
	if !readBody(wr, rq, &rec) {
		return
	}
	rec.VM = id.VM(mux.Vars(rq)["vm"])
	if rec.State == "" {
		rec.State = store.VMLive
	}
	if err := rec.Validate(); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	sv.st.VMList().Set(rec)
}

func (sv *Server) deleteVM(_ http.ResponseWriter, rq *http.Request) {
	sv.st.VMList().Remove(id.VM(mux.Vars(rq)["vm"]))
}

func (sv *Server) putVMLag(wr http.ResponseWriter, rq *http.Request) {
	var body struct {
		LagMS int64 `json:"lag_ms"`
	}
	if readBody(wr, rq, &body) {
		sv.st.VMList().SetLag(time.Duration(body.LagMS) * time.Millisecond)
	}
}

// readBody decodes the JSON body of a request into the given value. If that fails, it responds with status 400 and
// returns false.
func readBody(wr http.ResponseWriter, rq *http.Request, into any) bool {
	if err := decodeJSON(http.MaxBytesReader(wr, rq.Body, store.MaxObjectBytes), into); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
