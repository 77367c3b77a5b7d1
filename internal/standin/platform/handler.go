package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damasklatch/io/store"

	"github.com/gorilla/mux"
)

// maxWatchWait is the longest wait that a client may request for a watch.
const maxWatchWait = time.Minute

// dataHandler returns the handler of the store protocol, which section 12 of docs/design.md specifies.
func (sv *Server) dataHandler() http.Handler {
	rt := mux.NewRouter().SkipClean(true)
	rt.HandleFunc("/v1/objects/{key:.+}", sv.get).Methods(http.MethodGet)
	rt.HandleFunc("/v1/objects/{key:.+}", sv.put).Methods(http.MethodPut)
	rt.HandleFunc("/v1/objects/{key:.+}", sv.delete).Methods(http.MethodDelete)
	rt.HandleFunc("/v1/list", sv.list).Methods(http.MethodGet)
	rt.HandleFunc("/v1/watch", sv.watch).Methods(http.MethodGet)
	rt.HandleFunc("/v1/vms", sv.listVMs).Methods(http.MethodGet)
	return rt
}

func (sv *Server) get(wr http.ResponseWriter, rq *http.Request) {
	obj, err := sv.client(rq.RemoteAddr).Get(rq.Context(), mux.Vars(rq)["key"])
	if err != nil {
		writeError(wr, err)
		return
	}
	wr.Header().Set("ETag", etag(obj.Version))
	wr.Header().Set("Content-Type", "application/octet-stream")
	wr.Write(obj.Value)
}

func (sv *Server) put(wr http.ResponseWriter, rq *http.Request) {
	key := mux.Vars(rq)["key"]
	if !store.ValidKey(key) {
		http.Error(wr, fmt.Sprintf("key %q is not valid", key), http.StatusBadRequest)
		return
	}
	expected, ok := parseCondition(wr, rq)
	if !ok {
		return
	}
	// Reads one byte more than the limit, so that the store detects a value that is too large.
	value, err := io.ReadAll(io.LimitReader(rq.Body, store.MaxObjectBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler) // the client has disconnected; nothing was written
	}
	vs, err := sv.client(rq.RemoteAddr).Put(rq.Context(), key, value, expected)
	if err != nil {
		writeError(wr, err)
		return
	}
	wr.Header().Set("ETag", etag(vs))
}

func (sv *Server) delete(wr http.ResponseWriter, rq *http.Request) {
	expected, ok := parseCondition(wr, rq)
	if !ok {
		return
	}
	if err := sv.client(rq.RemoteAddr).Delete(rq.Context(), mux.Vars(rq)["key"], expected); err != nil {
		writeError(wr, err)
	}
}

func (sv *Server) list(wr http.ResponseWriter, rq *http.Request) {
	infos, revision, err := sv.client(rq.RemoteAddr).List(rq.Context(), rq.FormValue("prefix"))
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, map[string]any{"revision": revision, "objects": append([]store.Info{}, infos...)})
}

func (sv *Server) watch(wr http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(wr, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(rq.FormValue("wait_ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxWatchWait.Milliseconds() {
		http.Error(wr, "wait_ms must be a number from 0 to "+strconv.FormatInt(maxWatchWait.Milliseconds(), 10),
			http.StatusBadRequest)
		return
	}
	changes, revision, err := sv.client(rq.RemoteAddr).Watch(rq.Context(), rq.FormValue("prefix"),
		store.Version(after), time.Duration(ms)*time.Millisecond)
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, map[string]any{"revision": revision, "changes": append([]store.Change{}, changes...)})
}

func (sv *Server) listVMs(wr http.ResponseWriter, rq *http.Request) {
	recs, err := sv.client(rq.RemoteAddr).VMs(rq.Context())
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, map[string]any{"vms": recs})
}

// parseCondition returns the version that a write expects, zero if the object must not exist. If the condition is
// missing or invalid, it responds with an error and returns false.
func parseCondition(wr http.ResponseWriter, rq *http.Request) (store.Version, bool) {
	match, none := rq.Header.Get("If-Match"), rq.Header.Get("If-None-Match")
	switch {
	case match == "" && none == "":
		http.Error(wr, "a write requires the header If-Match or If-None-Match", http.StatusPreconditionRequired)
		return 0, false
	case match == "" && none == "*" && rq.Method == http.MethodPut:
		return 0, true
	}
	digits, quoted := strings.CutPrefix(match, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	vs, err := strconv.ParseUint(digits, 10, 64)
	if !quoted || !closed || err != nil || vs == 0 || none != "" {
		http.Error(wr, "invalid condition: If-Match must be a quoted version; a PUT may send If-None-Match: * instead",
			http.StatusBadRequest)
		return 0, false
	}
	return store.Version(vs), true
}

func etag(vs store.Version) string { return fmt.Sprintf(`"%d"`, vs) }

func writeJSON(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value) // fails only if the client has disconnected
}

// writeError responds with the HTTP status of an error. For a call whose response is lost, it closes the connection
// without a response.
func writeError(wr http.ResponseWriter, err error) {
	var er *store.Error
	if !errors.As(err, &er) {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	status := http.StatusInternalServerError
	switch er.Kind {
	case store.NotFound:
		status = http.StatusNotFound
	case store.Conflict:
		status = http.StatusPreconditionFailed
		if er.Version != 0 {
			wr.Header().Set("ETag", etag(er.Version))
		}
	case store.TooLarge:
		status = http.StatusRequestEntityTooLarge
	case store.RateLimited:
		status = http.StatusTooManyRequests
	case store.Unavailable:
		status = http.StatusServiceUnavailable
	case store.Timeout, store.Unknown:
		panic(http.ErrAbortHandler)
	}
	http.Error(wr, err.Error(), status)
}
