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
)

// MirrorPath is the path under which a mirror is served to other VMs.
const MirrorPath = "/v1/objects/{kind}"

// Handler serves a mirror to other VMs: GET with the query parameters after and wait_ms watches, without them it lists.
// Status 503 means ErrStale, 410 ErrHistoryLost.
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
		_ = json.NewEncoder(rw).Encode(out) // the VM that asked may be gone
	}
}

const (
	// MaxRelayWait bounds the wait of a watch at another VM, which costs no call of the store.
	MaxRelayWait = 3 * time.Second
	relayGrace   = 500 * time.Millisecond
	relayDial    = 300 * time.Millisecond
	// relayAvoid is the time for which a VM that failed is not asked again.
	relayAvoid = time.Second
	// largestRelay bounds a response of another VM.
	largestRelay = 16 << 20
)

// RelayReader is a Reader that asks another VM if there is one, and else the store.
type RelayReader struct {
	store  Reader
	source func() (address string, ok bool)
	seeds  []string  // that are asked for lists while there is no source
	until  time.Time // until when watches wait for a source
	http   *http.Client
	log    *slog.Logger

	mu    sync.Mutex
	avoid map[string]time.Time
}

// NewRelayReader returns a reader. Source returns the address of the VM to ask, and false if the store itself is to be asked. The
// seeds are asked for lists until the time of Hold, because all VMs of a fleet that starts would else list from the store.
func NewRelayReader(store Reader, source func() (string, bool), seeds []string, log *slog.Logger) *RelayReader {
	dl := &net.Dialer{Timeout: relayDial}
	return &RelayReader{
		store: store, source: source, seeds: seeds, log: log, avoid: map[string]time.Time{},
		http: &http.Client{Transport: &http.Transport{DialContext: dl.DialContext, MaxIdleConnsPerHost: 4}},
	}
}

// WaitForSourceUntil lets watches wait for a source until a time. All VMs of a fleet that starts would else watch the store.
func (rl *RelayReader) WaitForSourceUntil(until time.Time) { rl.until = until }

// holdStep is the period in which a watch that waits looks for a source.
const holdStep = 100 * time.Millisecond

func (rl *RelayReader) await(ctx context.Context) {
	for time.Now().Before(rl.until) && ctx.Err() == nil {
		if _, ok := rl.source(); ok {
			return
		}
		sleep(ctx, holdStep)
	}
}

// List implements Reader.
func (rl *RelayReader) List(ctx context.Context, kind Kind) (Listing, error) {
	var ls Listing
	if address, ok := rl.pick(); ok && rl.ask(ctx, address, kind, nil, relayGrace, &ls) == nil {
		return ls, nil
	}
	for len(rl.seeds) > 0 && time.Now().Before(rl.until) && ctx.Err() == nil {
		address := rl.seeds[rand.N(len(rl.seeds))]
		if rl.ask(ctx, address, kind, nil, relayGrace, &ls) == nil {
			return ls, nil
		}
		sleep(ctx, holdStep)
	}
	return rl.store.List(ctx, kind)
}

// Watch implements Reader.
func (rl *RelayReader) Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) (Update, error) {
	rl.await(ctx)
	address, ok := rl.pick()
	if !ok {
		return rl.store.Watch(ctx, kind, after, wait)
	}
	short := min(wait, MaxRelayWait)
	query := url.Values{
		"after": {strconv.FormatInt(int64(after), 10)}, "wait_ms": {strconv.FormatInt(short.Milliseconds(), 10)},
	}
	var up Update
	err := rl.ask(ctx, address, kind, query, short+relayGrace, &up)
	if err == nil || errors.Is(err, ErrHistoryLost) {
		return up, err
	}
	return rl.store.Watch(ctx, kind, after, wait)
}

// pick returns the VM to ask.
func (rl *RelayReader) pick() (string, bool) {
	address, ok := rl.source()
	if !ok {
		return "", false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return address, time.Now().After(rl.avoid[address])
}

func (rl *RelayReader) ask(ctx context.Context, address string, kind Kind, query url.Values, limit time.Duration, out any) error {
	actx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := rl.get(actx, "http://"+address+"/v1/objects/"+url.PathEscape(string(kind))+"?"+query.Encode(), out)
	if err == nil || errors.Is(err, ErrHistoryLost) || ctx.Err() != nil {
		return err
	}
	rl.mu.Lock()
	rl.avoid[address] = time.Now().Add(relayAvoid)
	rl.mu.Unlock()
	rl.log.Info("other VM does not relay the store", "address", address, "kind", string(kind), "error", err.Error())
	return err
}

func (rl *RelayReader) get(ctx context.Context, where string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, where, nil)
	if err != nil {
		return errors.Wrap(err, "ask another VM")
	}
	resp, err := rl.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask another VM")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err := json.NewDecoder(io.LimitReader(resp.Body, largestRelay)).Decode(out)
		return errors.Wrap(err, "read another VM's answer")
	case http.StatusGone:
		return ErrHistoryLost
	case http.StatusServiceUnavailable:
		return ErrMirrorStale
	default:
		return errors.Errorf("another VM answered with status %d", resp.StatusCode)
	}
}
