package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/balance"
	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/core/id"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// countingTarget is a target that counts its connections and requests.
type countingTarget struct {
	*httptest.Server
	conns, requests atomic.Int32
}

func newCountingTarget(t *testing.T, work http.HandlerFunc) *countingTarget {
	ct := &countingTarget{}
	ct.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ct.requests.Add(1)
		work(w, r)
	}))
	ct.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			ct.conns.Add(1)
		}
	}
	ct.Start()
	t.Cleanup(ct.Close)
	return ct
}

func newTestPool(t *testing.T, addresses ...string) *Pool {
	pl := New(Options{FailureDomain: "a", Recorder: event.NewRecorder("vm", &event.Clock{}, 1000)})
	var tgs []config.Target
	for nr, ad := range addresses {
		tgs = append(tgs, config.Target{Name: id.Target(fmt.Sprint("t", nr)), Pool: "desk", Address: ad, Slots: 4, MaxConnections: 16})
	}
	pl.SetTargets(time.Now(), []config.Site{{Name: "a", FailureDomain: "a", Targets: tgs}, {Name: "b", FailureDomain: "b"}})
	t.Cleanup(pl.Close)
	return pl
}

func (pl *Pool) send(method string, idempotent bool, body io.Reader) (string, *Error) {
	return pl.sendWithin(context.Background(), method, idempotent, body)
}

func (pl *Pool) sendWithin(ctx context.Context, method string, idempotent bool, body io.Reader) (string, *Error) {
	rq := &Request{
		ID: "1", Pool: "desk", Idempotent: idempotent, Method: method, URL: &url.URL{Path: "/work"},
		Header: http.Header{"Idempotency-Key": {"7"}}, Body: body,
	}
	if body != nil {
		rq.ContentLength = -1
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	res, err := pl.Do(ctx, rq)
	if err != nil {
		var te *Error
		errors.As(err, &te)
		return "", te
	}
	defer res.Body.Close()
	src, rerr := io.ReadAll(res.Body)
	if rerr != nil {
		return "", &Error{Kind: ResetAfterWrite, Cause: rerr}
	}
	return string(src), nil
}

func respondOK(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	fmt.Fprint(w, "ok")
}

// recordConn returns the latest connection for requests that are not idempotent, once there is one.
func (pl *Pool) recordConn() *atomic.Pointer[conn] {
	nc := new(atomic.Pointer[conn])
	tr := pl.backends["t0"].freshTransport
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		got, err := dial(ctx, network, address)
		if err == nil {
			nc.Store(got.(*conn))
		}
		return got, err
	}
	return nc
}

// setIdle makes the connection seem to have been idle for a time.
func (cn *conn) setIdle(idle time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.lastRead = time.Now().Add(-idle)
}

// Guards against sending a non-idempotent request on a connection that was idle for a second or more. Nothing may be
// written to such a connection.
func TestStaleConnections(t *testing.T) {
	ct := newCountingTarget(t, respondOK)
	pl := newTestPool(t, ct.Listener.Addr().String())
	nc := pl.recordConn()
	for nr, idle := range []time.Duration{0, maxFreshIdle / 2, maxFreshIdle} {
		if cn := nc.Load(); cn != nil {
			cn.setIdle(idle)
		}
		if got, err := pl.send("POST", false, strings.NewReader("x")); err != nil || got != "ok" {
			t.Fatalf("request %d: %q, %v", nr, got, err)
		}
	}
	if conns, requests := ct.conns.Load(), ct.requests.Load(); conns != 2 || requests != 3 {
		t.Errorf("%d connections, %d requests; want 2 and 3", conns, requests)
	}
}

// Guards against a request that its target runs twice: the response has arrived, net/http has already given the connection to a request
// that it must not carry, and the failed write of that one ends both.
func TestRequestIsNotSentAgainForNextOne(t *testing.T) {
	ct := newCountingTarget(t, func(http.ResponseWriter, *http.Request) {})
	pl := newTestPool(t, ct.Listener.Addr().String())
	nc := pl.recordConn()
	ended := make(chan struct{})
	next := make(chan *Error, 1)
	var given atomic.Bool
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{PutIdleConn: func(error) {
		if !given.Swap(true) {
			nc.Load().setIdle(maxFreshIdle)
			_, err := pl.send("POST", false, nil)
			next <- err
			<-ended
		}
	}})
	_, err := pl.sendWithin(ctx, "POST", false, nil)
	close(ended)
	if err == nil || !err.MayHaveRun {
		t.Errorf("got error %v, want one of a request that may have run", err)
	}
	if err := <-next; err != nil {
		t.Errorf("the next request: %v", err)
	}
	if num := ct.requests.Load(); num != 2 {
		t.Errorf("%d requests ran, want 2", num)
	}
}

// Guards against automatic retries of net/http. It retries a GET request, or a request with an Idempotency-Key, when a
// reused connection breaks.
func TestNoAutomaticRetry(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		for _, body := range []string{"", "x"} {
			var broken atomic.Bool
			ct := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
				if broken.Load() {
					panic(http.ErrAbortHandler)
				}
				respondOK(w, r)
			})
			pl := newTestPool(t, ct.Listener.Addr().String())
			src := func() io.Reader {
				if body == "" {
					return nil
				}
				return strings.NewReader(body)
			}
			if _, err := pl.send(method, false, src()); err != nil {
				t.Fatal(err)
			}
			broken.Store(true)
			_, err := pl.send(method, false, src())
			if err == nil || err.Kind != ResetAfterWrite || !err.MayHaveRun || ct.requests.Load() != 2 {
				t.Errorf("%s %q: %v after %d requests, want a reset after 2", method, body, err, ct.requests.Load())
			}
		}
	}
}

// failingWriteConn is a connection on which every write fails.
type failingWriteConn struct{ net.Conn }

func (failingWriteConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against misjudging whether a failed request may have run, and against retrying a non-idempotent request that
// may have run.
func TestClassification(t *testing.T) {
	ct := newCountingTarget(t, respondOK)
	address := ct.Listener.Addr().String()
	for name, tc := range map[string]struct {
		wrap       func(*conn) net.Conn
		idempotent bool
		want       ErrorKind
		mayHaveRun bool
	}{
		"blocked write, nothing sent":      {func(cn *conn) net.Conn { cn.writeErr = errAttemptEnded; return cn }, false, ResetBeforeWrite, false},
		"failed write, may have been sent": {func(cn *conn) net.Conn { cn.Conn = failingWriteConn{cn.Conn}; return cn }, false, ResetAfterWrite, true},
		"no connection":                    {nil, false, DialFailed, false},
		"no connection, idempotent":        {nil, true, DialFailed, false},
		"failed write, idempotent request": {func(cn *conn) net.Conn { cn.Conn = failingWriteConn{cn.Conn}; return cn }, true, ResetAfterWrite, true},
	} {
		pl := newTestPool(t, address, address, address, address)
		var dials atomic.Int32
		for _, be := range pl.backends {
			for _, tr := range []*http.Transport{be.freshTransport, be.idempotentTransport} {
				dial := tr.DialContext
				tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					dials.Add(1)
					if tc.wrap == nil {
						return nil, io.ErrUnexpectedEOF
					}
					nc, err := dial(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return tc.wrap(nc.(*conn)), nil
				}
			}
		}
		_, err := pl.send("POST", tc.idempotent, nil)
		if err == nil || err.Kind != tc.want || err.MayHaveRun != tc.mayHaveRun {
			t.Errorf("%s: got %v, want %s, may have run: %v", name, err, tc.want, tc.mayHaveRun)
		}
		want := int32(maxAttempts)
		if tc.mayHaveRun && !tc.idempotent {
			want = 1
		}
		if got := dials.Load(); got != want {
			t.Errorf("%s: %d attempts, want %d", name, got, want)
		}
	}
	if got := ct.requests.Load(); got != 0 {
		t.Errorf("%d requests reached a target", got)
	}
}

// Guards against using targets that are unhealthy, draining or send malformed load reports, and against not using a
// target again after it has recovered.
func TestPolls(t *testing.T) {
	var health, load atomic.Value
	health.Store(http.StatusOK)
	load.Store(`{"in_flight":1,"slots":4}`)
	polled := make(chan struct{}, 100)
	ct := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/healthz":
			w.WriteHeader(health.Load().(int))
		case "/load":
			fmt.Fprint(w, load.Load())
		}
		polled <- struct{}{}
	})
	pl := newTestPool(t, ct.Listener.Addr().String())
	pl.op.PollInterval = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pl.Start(ctx)
	await := func(state balance.State) {
		t.Helper()
		for pl.Status(time.Now())["desk"][0].State != state {
			<-polled
		}
	}
	await(balance.Usable)
	health.Store(http.StatusServiceUnavailable)
	await(balance.Dead)
	health.Store(http.StatusOK)
	await(balance.Usable)
	load.Store(`{"in_flight":1,"slots":4,"draining":true}`)
	await(balance.Draining)
	if _, err := pl.send("GET", true, nil); err == nil || err.Kind != NoTarget {
		t.Errorf("a draining target got a request: %v", err)
	}
	load.Store(`no JSON`)
	await(balance.Dead)
	if evs := pl.op.Recorder.Events(func(ev event.Event) bool { return ev.Kind == event.KindTargetEjected }); len(evs) == 0 {
		t.Error("no event records that the target was ejected")
	}
}
