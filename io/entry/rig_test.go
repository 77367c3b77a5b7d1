package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/config"
	"damasklatch/core/dedup"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/core/limit"
	"damasklatch/core/lookup"
	"damasklatch/core/unit"
	"damasklatch/io/entry"
	"damasklatch/io/inbound"
	"damasklatch/io/target"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	key      = keyring.Prefix + "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
	otherKey = keyring.Prefix + "BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"
)

var self = id.VMIncarnation{VM: "north-a-1", Incarnation: 7}

// rig is a test setup: a server with real targets on the loopback interface.
type rig struct {
	t        testing.TB
	cfg      *config.Effective
	state    entry.State
	sv       *entry.Server
	pool     *target.Pool
	signer   *dedup.Signer
	recorder *event.Recorder
	logs     *syncBuffer
	callers  *inbound.Listener
	url      string
	client   *http.Client
	runs     *syncBuffer // one line for each request that reached a target
}

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (sb *syncBuffer) Write(src []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.Write(src)
}

func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.String()
}

// newRig starts a server and one target for each handler. The routes are /read/ (idempotent), /book/ (not idempotent),
// /open/ (idempotent, without a key) and /hasty/ (not idempotent, without a key, short deadline and small body limit).
func newRig(t testing.TB, handlers ...http.HandlerFunc) *rig {
	t.Helper()
	return newRigWith(t, func(*entry.Options) {}, handlers...)
}

// newRigWith is like newRig, but change modifies the options of the server.
func newRigWith(t testing.TB, change func(*entry.Options), handlers ...http.HandlerFunc) *rig {
	t.Helper()
	rg := &rig{
		t: t, signer: dedup.NewSigner([]byte("fleet")), logs: &syncBuffer{}, runs: &syncBuffer{},
		recorder: event.NewRecorder(self.VM, &event.Clock{}, 10_000),
	}
	rg.cfg = testConfig()
	for nr, hd := range handlers {
		rg.cfg.Sites[0].Targets = append(rg.cfg.Sites[0].Targets, config.Target{
			Name: id.Target(fmt.Sprint("t", nr)), Pool: "desk", Address: rg.startTarget(hd), Slots: 8, MaxConnections: 64,
		})
	}
	lg := limit.New(self, limit.Settings{})
	past := time.Now().Add(-time.Hour) // buckets start empty; an hour fills them
	lg.SetSpecs(past, limit.Specs(rg.cfg, "north-a"))
	lg.SetOwned(past, limit.OwnedFractions{PPM: unit.Whole, FailureDomainPPM: unit.Whole, RegionPPM: unit.Whole})
	log := slog.New(slog.NewJSONHandler(rg.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	rg.pool = target.New(target.Options{FailureDomain: "north-a", Recorder: rg.recorder, Log: log})
	rg.pool.SetTargets(time.Now(), rg.cfg.Sites)
	op := entry.Options{
		Self: self, FailureDomain: "north-a", Signer: rg.signer, Table: dedup.NewTable(self, 10_000), Limits: lg,
		Targets: rg.pool, Recorder: rg.recorder, Log: log,
	}
	change(&op)
	rg.sv = entry.New(op)
	rg.state = entry.State{
		Config: rg.cfg, Lookup: lookup.New(rg.cfg), Ring: keyring.New(rg.cfg.Keys), Ready: true, KeysFreshUntil: time.Now().Add(time.Hour),
		View: lookup.NewView([]lookup.VM{{ID: self, FailureDomain: "north-a", CallerAddress: "127.0.0.1:1"}}),
	}
	rg.set(func(*entry.State) {})
	rg.serve()
	return rg
}

func testTarget() config.Target {
	return config.Target{Name: "t0", Pool: "desk", Address: "127.0.0.1:1", Slots: 8, MaxConnections: 64}
}

func testConfig() *config.Effective {
	teams := []config.Team{
		{Name: "salon", Rate: 1 << 40, Burst: 1 << 40, Routes: []id.Route{"read", "book"}},
		{Name: "garage", Rate: 1 << 40, Burst: 1 << 40, Routes: []id.Route{"read", "book"}},
		{Name: "small", Rate: 1, Burst: 1000, Routes: []id.Route{"read", "book"}},
	}
	return &config.Effective{
		Generation: 3, Settings: config.Settings{LookupTTL: 3 * time.Second},
		Regions:        []config.Region{{Name: "north"}, {Name: "south"}},
		FailureDomains: []config.FailureDomain{{Name: "north-a", Region: "north", EntryVMs: 1}, {Name: "south-a", Region: "south", EntryVMs: 1}},
		Teams:          teams,
		Routes: []config.Route{
			{Name: "read", PathPrefix: "/read/", Idempotent: true, Access: config.AccessTeams, Pool: "desk", Deadline: 20 * time.Second, MaxBodyBytes: 1 << 20},
			{Name: "book", PathPrefix: "/book/", Access: config.AccessTeams, Pool: "desk", Deadline: 20 * time.Second, MaxBodyBytes: 64 << 20},
			{Name: "hasty", PathPrefix: "/hasty/", Access: config.AccessOpen, Pool: "desk", Deadline: 50 * time.Millisecond, MaxBodyBytes: 100},
			{Name: "open", PathPrefix: "/open/", Idempotent: true, Access: config.AccessOpen, Pool: "desk", Deadline: 20 * time.Second, MaxBodyBytes: 1 << 20},
		},
		Sites: []config.Site{{Name: "north-a", FailureDomain: "north-a"}, {Name: "south-a", FailureDomain: "south-a"}},
		Blocks: []config.ClientBlock{
			{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Site: "north-a"},
		},
		Keys: []config.Key{
			{Digest: keyring.Digest(key), Team: "salon"}, {Digest: keyring.Digest(otherKey), Team: "garage"},
			{Digest: keyring.Digest("dlk_small"), Team: "small"},
		},
	}
}

func (rg *rig) startTarget(work http.HandlerFunc) string {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(rg.runs, r.Header.Get("Request-Id"))
		work(w, r)
	}))
	rg.t.Cleanup(ts.Close)
	return ts.Listener.Addr().String()
}

func (rg *rig) serve() {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rg.t.Fatal(err)
	}
	hs := rg.sv.HTTPServer()
	rg.callers = inbound.NewListener(ls)
	done := make(chan struct{})
	go func() { defer close(done); hs.Serve(rg.callers) }()
	rg.url = "http://" + ls.Addr().String()
	tr := &http.Transport{DisableCompression: true}
	rg.client = &http.Client{Transport: tr}
	rg.t.Cleanup(func() {
		hs.Close()
		<-done
		tr.CloseIdleConnections()
		rg.pool.Close()
	})
}

// set replaces the state of the server by a changed copy of the initial state.
func (rg *rig) set(change func(*entry.State)) {
	st := rg.state
	change(&st)
	rg.sv.SetState(&st)
}

// ticket returns a valid ticket with the changes applied.
func (rg *rig) ticket(change ...func(*dedup.Ticket)) string {
	tk := dedup.Ticket{
		Process: self, Expiry: time.Now().Add(6 * time.Second), HomeSite: "north-a",
		Request: id.Request(fmt.Sprintf("%032x", time.Now().UnixNano())),
	}
	for _, ch := range change {
		ch(&tk)
	}
	return rg.signer.Encode(tk)
}

// response is a response to a caller, read to its end.
type response struct {
	status          int
	outcome, reason string
	body            string
	header, trailer http.Header
	closes          bool // the connection is closed after the response
	err             error
}

func (rp response) String() string {
	return fmt.Sprintf("%d %s %s %v", rp.status, rp.outcome, rp.reason, rp.err)
}

type requestOption func(*http.Request)

func withTicket(tk string) requestOption {
	return func(r *http.Request) { r.Header.Set("Damasklatch-Ticket", tk) }
}
func withKey(k string) requestOption {
	return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+k) }
}
func withContext(ctx context.Context) requestOption {
	return func(r *http.Request) { *r = *r.WithContext(ctx) }
}

// call sends a request with the key of the team salon.
func (rg *rig) call(method, path string, body io.Reader, ops ...requestOption) response {
	req, err := http.NewRequest(method, rg.url+path, body)
	if err != nil {
		return response{err: err}
	}
	withKey(key)(req)
	for _, op := range ops {
		op(req)
	}
	resp, err := rg.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	src, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, outcome: resp.Header.Get("Damasklatch-Outcome"), reason: resp.Header.Get("Damasklatch-Reason"),
		body: string(src), header: resp.Header, trailer: resp.Trailer, closes: resp.Close, err: err,
	}
}

func (rg *rig) post(path string, ops ...requestOption) response {
	return rg.call(http.MethodPost, path, strings.NewReader("order"), ops...)
}

// ran returns the number of requests that reached a target.
func (rg *rig) ran() int { return strings.Count(rg.runs.String(), "\n") }

// want reports an error if the response differs from the wanted status, outcome and reason.
func (rg *rig) want(what string, rp response, status int, outcome, reason string) {
	rg.t.Helper()
	if rp.err != nil || rp.status != status || rp.outcome != outcome || rp.reason != reason {
		rg.t.Errorf("%s: got %v, want %d %s %s", what, rp, status, outcome, reason)
	}
}

// echo responds with the request ID, the path and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	src, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Work-Load", "1/8")
	fmt.Fprintf(w, "%s %s %s", r.Header.Get("Request-Id"), r.URL.Path, src)
}

// reset reads the request and then resets the connection.
func reset(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ls.Close()
	return ls.Addr().String()
}
