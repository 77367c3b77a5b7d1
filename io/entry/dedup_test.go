package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/core/keyring"
	"damasklatch/io/entry"
)

// Guards against accepting a ticket that is invalid, expired or for another process, and against the outcome "not_run"
// for such a ticket.
func TestInvalidTickets(t *testing.T) {
	rg := newRig(t, echo)
	for name, tc := range map[string]struct {
		ticket string
		status int
		reason string
	}{
		"another VM":            {rg.ticket(func(tk *dedup.Ticket) { tk.Process.VM = "north-a-2" }), 421, "wrong_vm"},
		"earlier incarnation":   {rg.ticket(func(tk *dedup.Ticket) { tk.Process.Incarnation-- }), 409, "earlier_incarnation"},
		"expired":               {rg.ticket(func(tk *dedup.Ticket) { tk.Expiry = time.Now().Add(-time.Second) }), 409, "ticket_expired"},
		"expiry far in future":  {rg.ticket(func(tk *dedup.Ticket) { tk.Expiry = time.Now().Add(time.Hour) }), 400, "bad_ticket"},
		"not a ticket":          {"v1.a.b", 400, "bad_ticket"},
		"signed by another key": {dedup.NewSigner([]byte("x")).Encode(dedup.Ticket{Process: self}), 400, "bad_ticket"},
	} {
		rg.want(name, rg.post("/book/1", withTicket(tc.ticket)), tc.status, "unknown", tc.reason)
		rg.want(name+", no route", rg.post("/nowhere", withTicket(tc.ticket)), tc.status, "unknown", tc.reason)
	}
	rg.want("no ticket", rg.post("/book/1", func(r *http.Request) { r.Header.Set("Idempotency-Key", "7") }), 428, "not_run", "no_ticket")
	if rg.ran() != 0 {
		t.Errorf("%d requests reached a target", rg.ran())
	}
}

// Guards against running a request after its ticket was refused with "not_run", for each reason of the refusal.
func TestRefusalIsFinal(t *testing.T) {
	rg := newRig(t, echo)
	for name, tc := range map[string]struct {
		prepare func(*entry.State)
		path    string
		ops     []requestOption
		status  int
		reason  string
	}{
		"not ready":       {func(st *entry.State) { st.Ready = false }, "/book/1", nil, 503, "not_ready"},
		"no config":       {func(st *entry.State) { *st = entry.State{Ring: st.Ring, KeysFreshUntil: time.Now().Add(time.Hour)} }, "/book/1", nil, 503, "not_ready"},
		"no route":        {func(*entry.State) {}, "/nowhere", nil, 404, "no_route"},
		"dot segment":     {func(*entry.State) {}, "/book/%2e%2e/admin", nil, 400, "bad_request"},
		"no key":          {func(*entry.State) {}, "/book/1", []requestOption{withKey("")}, 401, "no_key"},
		"unknown key":     {func(*entry.State) {}, "/book/1", []requestOption{withKey("dlk_x")}, 401, "unknown_key"},
		"revoked key":     {func(st *entry.State) { st.Ring = keyring.New(nil) }, "/book/1", nil, 401, "unknown_key"},
		"stale keys":      {func(st *entry.State) { st.KeysFreshUntil = time.Time{} }, "/book/1", nil, 503, "stale_keys"},
		"declared length": {func(*entry.State) {}, "/hasty/1", []requestOption{func(r *http.Request) { r.Body, r.ContentLength = body(200), 200 }}, 413, "body_too_large"},
	} {
		tk := rg.ticket()
		rg.set(tc.prepare)
		rg.want(name, rg.post(tc.path, append(tc.ops, withTicket(tk))...), tc.status, "not_run", tc.reason)
		rg.set(func(*entry.State) {})
		rg.want(name+", late duplicate", rg.post(tc.path, withTicket(tk)), tc.status, "not_run", tc.reason)
	}
	shifted := func() string { return rg.ticket(func(tk *dedup.Ticket) { tk.HomeSite = "south-a" }) }
	rg.want("shift cap", rg.post("/book/1", withTicket(shifted())), 503, "not_run", "shift_cap")
	rg.want("shift cap, idempotent", rg.post("/read/1", withTicket(shifted())), 503, "not_run", "shift_cap")
	rg.want("within rate", rg.post("/read/1", withKey("dlk_small")), 200, "done", "")
	tk := rg.ticket()
	rp := rg.post("/book/1", withKey("dlk_small"), withTicket(tk))
	rg.want("rate", rp, 429, "not_run", "rate")
	if rp.header.Get("Retry-After") != "1" {
		t.Errorf("no Retry-After: %v", rp.header)
	}
	rg.want("rate, duplicate", rg.post("/book/1", withKey("dlk_small"), withTicket(tk)), 429, "not_run", "rate")
	if rg.ran() != 1 {
		t.Errorf("%d requests reached a target, want 1", rg.ran())
	}
}

func body(num int) io.ReadCloser {
	return io.NopCloser(strings.NewReader(strings.Repeat("x", num)))
}

// Guards against running a request twice, and against duplicates that get another response than the first request.
func TestDuplicates(t *testing.T) {
	entered, proceed := make(chan struct{}, 1), make(chan struct{})
	size := 10
	rg := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-proceed
		w.Header().Set("Trailer", "Sum")
		fmt.Fprint(w, r.Header.Get("Request-Id"), strings.Repeat("y", size))
		w.Header().Set("Sum", "42")
	})
	tk := rg.ticket()
	responses := make(chan response, 3)
	go func() { responses <- rg.post("/book/1", withTicket(tk)) }()
	<-entered
	for range 2 {
		go func() { responses <- rg.post("/book/1", withTicket(tk)) }()
	}
	rg.want("another team", rg.post("/book/1", withTicket(tk), withKey("dlk_none")), 401, "unknown", "unknown_key")
	rg.want("another path", rg.post("/book/2", withTicket(tk)), 409, "unknown", "ticket_reused")
	close(proceed)
	first := <-responses
	rg.want("running", first, 200, "done", "")
	late := rg.post("/book/1", withTicket(tk))
	for _, rp := range []response{<-responses, <-responses, late} {
		rg.want("duplicate", rp, 200, "done", "")
		if rp.body != first.body || rp.trailer.Get("Sum") != "42" || first.trailer.Get("Sum") != "42" {
			t.Errorf("duplicate got %q %v, the first request %q", rp.body, rp.trailer, first.body)
		}
	}
	rg.want("another team, later", rg.post("/book/1", withTicket(tk), withKey(otherKey)), 401, "unknown", "unknown_key")
	rg.set(func(st *entry.State) { st.Ring = keyring.New(nil) })
	rg.want("revoked, later", rg.post("/book/1", withTicket(tk)), 401, "unknown", "unknown_key")
	rg.set(func(st *entry.State) { st.KeysFreshUntil = time.Time{} })
	rg.want("stale keys, later", rg.post("/book/1", withTicket(tk)), 503, "unknown", "stale_keys")
	rg.set(func(*entry.State) {})
	if rg.ran() != 1 {
		t.Errorf("the request ran %d times", rg.ran())
	}

	size = dedup.MaxStoredBody
	big := rg.ticket()
	if rp := rg.post("/book/1", withTicket(big)); len(rp.body) <= dedup.MaxStoredBody {
		t.Fatalf("got %v", rp)
	}
	<-entered
	rg.want("large response", rg.post("/book/1", withTicket(big)), 409, "done", "answer_not_kept")
}

// Guards against a wrong outcome for each way in which a target can fail, and against a second attempt after the first
// byte may have been written.
func TestTargetFailures(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		<-r.Context().Done()
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Work-Status", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	brokenChunks := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, tc := range map[string]struct {
		work            http.HandlerFunc
		path            string
		status          int
		outcome, reason string
		breaks          bool
	}{
		"reset after the first byte": {reset, "/book/1", 502, "unknown", "connection_lost", false},
		"timeout":                    {hang, "/hasty/1", 504, "unknown", "timeout", false},
		"refused":                    {refuse, "/book/1", 503, "not_run", "target_refused", false},
		"broken response":            {broken, "/book/1", 502, "unknown", "connection_lost", true},
		"broken chunked response":    {brokenChunks, "/book/1", 502, "unknown", "connection_lost", true},
		"error of the target": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Damasklatch-Outcome", "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "/book/1", 503, "done", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			rg := newRig(t, tc.work, tc.work)
			tk := rg.ticket()
			rp := rg.post(tc.path, withTicket(tk))
			if tc.breaks && rp.err == nil {
				t.Errorf("an incomplete response looks complete: %v", rp)
			}
			if !tc.breaks {
				rg.want("first", rp, tc.status, tc.outcome, tc.reason)
			}
			rg.want("duplicate", rg.post(tc.path, withTicket(tk)), tc.status, tc.outcome, tc.reason)
			if rg.ran() != 1 {
				t.Errorf("%d requests reached a target, want 1", rg.ran())
			}
		})
	}
	t.Run("dial failure", func(t *testing.T) {
		rg := newRig(t, echo)
		rg.cfg.Sites[0].Targets[0].Address = closedAddress(t)
		rg.pool.SetTargets(time.Now(), rg.cfg.Sites)
		tk := rg.ticket()
		rg.want("first", rg.post("/book/1", withTicket(tk)), 503, "not_run", "dial_failed")
		rg.want("duplicate", rg.post("/book/1", withTicket(tk)), 503, "not_run", "dial_failed")
	})
}

// Guards against a request that continues after its caller has disconnected, and against the outcome "not_run" for a
// request that had started.
func TestCanceledCaller(t *testing.T) {
	entered, canceled := make(chan struct{}), make(chan struct{})
	rg := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(entered)
		<-r.Context().Done()
		close(canceled)
	})
	tk := rg.ticket()
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan response, 1)
	go func() { gone <- rg.post("/book/1", withTicket(tk), withContext(ctx)) }()
	<-entered
	cancel()
	<-canceled
	<-gone
	rg.want("duplicate", rg.post("/book/1", withTicket(tk)), 502, "unknown", "canceled")
}
