package entry

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/core/id"
	"damasklatch/core/lookup"
	"damasklatch/io/inbound"
)

// lookupResponse is the body of the response to a lookup.
type lookupResponse struct {
	Generation id.Generation `json:"generation"`
	TTLMs      int64         `json:"ttl_ms"`
	Entries    []lookupEntry `json:"entries"`
}

type lookupEntry struct {
	VM            id.VM            `json:"vm"`
	Address       string           `json:"address"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Ticket        string           `json:"ticket"`
}

// errorBody is the body of the response to a failed lookup or a refused request.
type errorBody struct {
	Error string `json:"error"`
}

// lookupBuffers holds the slices that one lookup needs, so that they can be reused.
type lookupBuffers struct {
	vms     []*lookup.VM
	entries []lookupEntry
}

var lookupBuffersPool = sync.Pool{New: func() any {
	return &lookupBuffers{vms: make([]*lookup.VM, 0, lookup.MaxEntries), entries: make([]lookupEntry, 0, lookup.MaxEntries)}
}}

// serveLookup handles GET /v1/lookup?route=<name>&client=<ip>.
func (sv *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	vw := sv.state.Load()
	if !vw.Ready || vw.Lookup == nil || vw.View == nil {
		sv.refuseLookup(w, r, http.StatusServiceUnavailable, "not ready: "+vw.NotReadyReason)
		return
	}
	query := r.URL.Query()
	route := id.Route(query.Get("route"))
	if !vw.routes[route] {
		sv.refuseLookup(w, r, http.StatusNotFound, "route is unknown")
		return
	}
	client := query.Get("client")
	if client == "" {
		client = hostOf(r.RemoteAddr)
	}
	addr, err := netip.ParseAddr(client)
	if err != nil {
		sv.refuseLookup(w, r, http.StatusBadRequest, "client is not an IP address")
		return
	}
	sc := lookupBuffersPool.Get().(*lookupBuffers)
	defer lookupBuffersPool.Put(sc)
	sc.vms = vw.Lookup.Pick(vw.View, addr, route, sv.seq.Add(1), sc.vms[:0])
	if len(sc.vms) == 0 {
		sv.refuseLookup(w, r, http.StatusServiceUnavailable, "no entry VM can take the route")
		return
	}
	home, _ := vw.Lookup.HomeSite(addr)
	sc.entries = sv.appendEntries(sc.entries[:0], sc.vms, home, time.Now().Add(vw.ticketLifetime))
	sv.mt.lookups.Inc(1)
	writeJSON(w, r, http.StatusOK, lookupResponse{
		Generation: vw.Config.Generation, TTLMs: vw.lookupTTL.Milliseconds(), Entries: sc.entries,
	})
}

// appendEntries appends an entry for each VM, each with its own ticket.
func (sv *Server) appendEntries(dst []lookupEntry, vms []*lookup.VM, home id.Site, expiry time.Time) []lookupEntry {
	for _, vm := range vms {
		tk := sv.op.Signer.Encode(dedup.Ticket{Process: vm.ID, Expiry: expiry, HomeSite: home, Request: newRequestID()})
		dst = append(dst, lookupEntry{
			VM: vm.ID.VM, Address: vm.CallerAddress, FailureDomain: vm.FailureDomain, Ticket: tk,
		})
	}
	return dst
}

func (sv *Server) refuseLookup(w http.ResponseWriter, r *http.Request, status int, text string) {
	sv.mt.lookupsRefused.Inc(1)
	if status == http.StatusServiceUnavailable {
		w.Header()["Retry-After"] = []string{"1"}
	}
	writeJSON(w, r, status, errorBody{Error: text})
}

var contentJSON = []string{"application/json"}

// writeJSON writes a response with val as JSON. It encodes into memory first, so that the response has a Content-Length
// and is sent in one packet.
func writeJSON(w http.ResponseWriter, r *http.Request, status int, val any) {
	src, err := json.Marshal(val)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	hd := w.Header()
	hd["Content-Type"] = contentJSON
	hd["Content-Length"] = []string{strconv.Itoa(len(src))}
	announceClose(w, r)
	w.WriteHeader(status)
	w.Write(src)
}

// announceClose tells the caller that its connection will be closed after the response, if that is so. It is called immediately before
// the response is written, because the VM may have begun to leave while the request ran.
func announceClose(w http.ResponseWriter, r *http.Request) {
	if inbound.AnnounceClose(r) {
		w.Header()["Connection"] = []string{"close"}
	}
}

// newRequestID returns a random ID. It must be unique but need not be secret, because the ticket is authenticated.
func newRequestID() id.Request {
	var raw [16]byte
	for i, half := range [2]uint64{rand.Uint64(), rand.Uint64()} {
		for j := range 8 {
			raw[8*i+j] = byte(half >> (8 * j))
		}
	}
	var text [32]byte
	hex.Encode(text[:], raw[:])
	return id.Request(text[:])
}
