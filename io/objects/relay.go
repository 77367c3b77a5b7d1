package objects

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"damasklatch/io/httpframe"
)

// MirrorPath is the path pattern (gorilla/mux) at which Mirror.Handler must be served.
const MirrorPath = "/v1/objects/{kind}"

// Handler returns a handler that serves the mirror to other VMs. A GET request with the query parameters after (revision) and
// wait_ms watches; without them it lists. Status 503 stands for ErrMirrorStale, and 410 for ErrHistoryLost.
func (mr *Mirror) Handler() http.Handler { return &mirrorHandler{mr} }

type mirrorHandler struct{ mirror *Mirror }

// ServeHTTP implements http.Handler.
func (mh *mirrorHandler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	kind, query := Kind(mux.Vars(r)["kind"]), r.URL.Query()
	var out any
	var err error
	if query.Has("after") {
		after, aerr := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, werr := strconv.Atoi(query.Get("wait_ms"))
		if aerr != nil || werr != nil {
			http.Error(rw, "after and wait_ms must be whole numbers", http.StatusBadRequest)
			return
		}
		out, err = mh.mirror.Watch(r.Context(), kind, Revision(after), time.Duration(wait)*time.Millisecond)
	} else {
		out, err = mh.mirror.List(r.Context(), kind)
	}
	switch {
	case errors.Is(err, ErrHistoryLost):
		http.Error(rw, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
	default:
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(out) // an error means that the requesting VM has closed the connection
	}
}

const (
	// MaxRelayWait is the longest wait of a watch at another VM. Such watches can be short, as they cause no call to the store. Each
	// response confirms the copy of the VM that asked.
	MaxRelayWait     = time.Second
	relayMargin      = 500 * time.Millisecond
	relayDialTimeout = 300 * time.Millisecond
	// avoidTime is the time for which a VM is not asked again after a failure, or if its copy lacks known changes.
	avoidTime = time.Second
	// maxSources is the number of VMs that are asked before the store is. During an outage of the store, all of them refuse.
	maxSources = 2
	// maxRelayResponse is the maximum size of another VM's response, in bytes.
	maxRelayResponse = 16 << 20
)

// RelayReader is a Reader that asks the mirrors of other VMs if there are any, and the store otherwise. It is safe for concurrent
// use.
type RelayReader struct {
	store     Reader
	sources   func() []string
	seeds     []string  // addresses asked for lists until waitUntil, if no source gives a list
	waitUntil time.Time // until then, watches wait for a source and lists are asked of seeds
	http      *http.Client
	log       *slog.Logger

	mu         sync.Mutex
	avoidUntil map[string]time.Time // by address of a VM that failed
	last       string               // address of the VM that was asked last; empty if the store was
}

// NewRelayReader returns a reader. Sources returns the addresses of the VMs to ask, in order of preference; if there are none, or
// they fail, the store is asked. Until the time set by WaitForSourceUntil, the VMs at the seed addresses are asked for lists before the store is. Otherwise all VMs of a
// starting fleet would send list requests to the store.
func NewRelayReader(store Reader, sources func() []string, seeds []string, log *slog.Logger) *RelayReader {
	dl := &net.Dialer{Timeout: relayDialTimeout}
	return &RelayReader{
		store: store, sources: sources, seeds: seeds, log: log, avoidUntil: map[string]time.Time{},
		http: &http.Client{Transport: &http.Transport{DialContext: httpframe.Checked(dl.DialContext), MaxIdleConnsPerHost: 4}},
	}
}

// WaitForSourceUntil makes watches that begin before the given time wait for a source until then. Otherwise all VMs of a starting
// fleet would watch the store. It must be called before the reader is used.
func (rl *RelayReader) WaitForSourceUntil(until time.Time) { rl.waitUntil = until }

// sourceCheckInterval is the interval at which waiting watches look for a source and waiting lists ask another seed.
const sourceCheckInterval = 100 * time.Millisecond

func (rl *RelayReader) awaitSource(ctx context.Context) {
	for time.Now().Before(rl.waitUntil) && ctx.Err() == nil {
		if len(rl.sources()) > 0 {
			return
		}
		sleep(ctx, sourceCheckInterval)
	}
}

// AvoidSource makes the reader ask others than the VM that it has asked last, for avoidTime. It must be called if the copy of that VM
// lacks a change that the caller knows of.
func (rl *RelayReader) AvoidSource() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.last != "" {
		rl.avoidUntil[rl.last] = time.Now().Add(avoidTime)
	}
}

// List implements Reader. If the sources and the seeds fail, it asks the store.
func (rl *RelayReader) List(ctx context.Context, kind Kind) (Listing, error) {
	var ls Listing
	for _, address := range rl.available() {
		if rl.ask(ctx, address, kind, nil, relayMargin, &ls) == nil {
			return ls, nil
		}
	}
	for len(rl.seeds) > 0 && time.Now().Before(rl.waitUntil) && ctx.Err() == nil {
		address := rl.seeds[rand.N(len(rl.seeds))]
		if rl.ask(ctx, address, kind, nil, relayMargin, &ls) == nil {
			return ls, nil
		}
		sleep(ctx, sourceCheckInterval)
	}
	rl.setLast("")
	return rl.store.List(ctx, kind)
}

// ListFrom lists the objects of a kind at the VM with the given relay address.
func (rl *RelayReader) ListFrom(ctx context.Context, address string, kind Kind) (Listing, error) {
	actx, cancel := context.WithTimeout(ctx, relayMargin)
	defer cancel()
	var ls Listing
	err := rl.get(actx, mirrorURL(address, kind, nil), &ls)
	return ls, err
}

func mirrorURL(address string, kind Kind, query url.Values) string {
	return "http://" + address + "/v1/objects/" + url.PathEscape(string(kind)) + "?" + query.Encode()
}

// Watch implements Reader. If the sources fail for another reason than a lost history, it asks the store.
func (rl *RelayReader) Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) (Update, error) {
	rl.awaitSource(ctx)
	short := min(wait, MaxRelayWait)
	query := url.Values{
		"after": {strconv.FormatInt(int64(after), 10)}, "wait_ms": {strconv.FormatInt(short.Milliseconds(), 10)},
	}
	for _, address := range rl.available() {
		var up Update
		err := rl.ask(ctx, address, kind, query, short+relayMargin, &up)
		if err == nil || errors.Is(err, ErrHistoryLost) {
			return up, err
		}
	}
	rl.setLast("")
	return rl.store.Watch(ctx, kind, after, wait)
}

// available returns the addresses of the VMs to ask, without those that have failed recently.
func (rl *RelayReader) available() []string {
	now, all := time.Now(), rl.sources()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	var list []string
	for _, address := range all {
		if len(list) < maxSources && now.After(rl.avoidUntil[address]) {
			list = append(list, address)
		}
	}
	return list
}

func (rl *RelayReader) setLast(address string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.last = address
}

func (rl *RelayReader) ask(ctx context.Context, address string, kind Kind, query url.Values, limit time.Duration, out any) error {
	rl.setLast(address)
	actx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := rl.get(actx, mirrorURL(address, kind, query), out)
	if err == nil || errors.Is(err, ErrHistoryLost) || ctx.Err() != nil {
		return err
	}
	rl.mu.Lock()
	rl.avoidUntil[address] = time.Now().Add(avoidTime)
	rl.mu.Unlock()
	rl.log.Info("request to the mirror of another VM failed, it is not asked for a while", "address", address, "kind", string(kind), "error", err.Error())
	return err
}

func (rl *RelayReader) get(ctx context.Context, where string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, where, nil)
	if err != nil {
		return errors.Wrap(err, "request to the mirror of another VM")
	}
	resp, err := rl.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "request to the mirror of another VM")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err := json.NewDecoder(io.LimitReader(resp.Body, maxRelayResponse)).Decode(out)
		return errors.Wrap(err, "decode the response of another VM's mirror")
	case http.StatusGone:
		return ErrHistoryLost
	case http.StatusServiceUnavailable:
		return ErrMirrorStale
	default:
		return errors.Errorf("the mirror of another VM answered with status %d", resp.StatusCode)
	}
}
