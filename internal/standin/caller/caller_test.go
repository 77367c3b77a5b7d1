package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"damasklatch/internal/standin/caller"
	"damasklatch/internal/standin/payload"
	"damasklatch/internal/standin/record"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
)

// vmHandler handles the requests of a simulated entry VM, except look-ups.
type vmHandler func(w http.ResponseWriter, r *http.Request)

// fleet is a set of simulated entry VMs. The response to a look-up lists all of them in order.
type fleet struct {
	t         *testing.T
	addresses []string

	mu      sync.Mutex
	lookups int
	tickets []string // of the requests, in order of arrival
}

// newFleet starts an entry VM for each handler. A VM with a nil handler is stopped at once. Look-ups go to the last VM.
func newFleet(t *testing.T, vms ...vmHandler) *fleet {
	fl := &fleet{t: t}
	for _, handle := range vms {
		mx := http.NewServeMux()
		mx.HandleFunc("/v1/lookup", fl.lookup)
		mx.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
			fl.mu.Lock()
			fl.tickets = append(fl.tickets, r.Header.Get("Damasklatch-Ticket"))
			fl.mu.Unlock()
			handle(w, r)
		})
		sv := httptest.NewServer(mx)
		fl.addresses = append(fl.addresses, sv.Listener.Addr().String())
		if handle == nil {
			sv.Close()
		}
		t.Cleanup(sv.Close)
	}
	return fl
}

// lookup responds with all VMs and a new ticket for each.
func (fl *fleet) lookup(w http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.lookups++
	var ens []map[string]string
	for i, ad := range fl.addresses {
		ens = append(ens, map[string]string{"vm": fmt.Sprint("vm-", i+1), "address": ad,
			"ticket": fmt.Sprintf("v1.vm.1.2.site.%032x.mac", 16*fl.lookups+i)})
	}
	json.NewEncoder(w).Encode(map[string]any{"generation": 7, "ttl_ms": 60_000, "entries": ens})
}

// run runs a caller until n operations have ended and returns their records.
func (fl *fleet) run(n int, wk caller.Work) []record.Operation {
	wk.Route, wk.Path, wk.Weight = "bookings", "/bookings/", 1
	src := `{duration: 1m, teams: [{team: salon_app, key: dlk_test, callers: 1, clients: 10.1.0.0/24, mix: [{route: r, path: /r, weight: 1}]}]}`
	sc, err := caller.ParseScenario("test.yaml", []byte(src))
	if err != nil {
		fl.t.Fatal(err)
	}
	wk.Timeout = sc.Timeout
	sc.Teams[0].Mix, sc.Entries = []caller.Work{wk}, fl.addresses[len(fl.addresses)-1:]
	rn, err := caller.New(caller.Options{Scenario: sc, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		fl.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(fl.t.Context())
	bg := &background{rn: rn, done: make(chan struct{})}
	go bg.run(ctx)
	for len(rn.Records()) < n {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-bg.done
	return rn.Records()[:n]
}

// background runs a Runner in a goroutine and closes done when Run has returned.
type background struct {
	rn   *caller.Runner
	done chan struct{}
}

func (bg *background) run(ctx context.Context) {
	defer close(bg.done)
	bg.rn.Run(ctx)
}

// lookupsAndTickets returns the number of look-ups and the tickets received so far.
func (fl *fleet) lookupsAndTickets() (int, []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.lookups, slices.Clone(fl.tickets)
}

// respondWithOutcome returns a handler that responds with an outcome (not_run or unknown), a reason and a status.
func respondWithOutcome(outcome, reason string, status int) vmHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Damasklatch-Outcome", outcome)
		w.Header().Set("Damasklatch-Reason", reason)
		w.WriteHeader(status)
	}
}

// respondAsTarget returns a handler that responds like a target. operationOf returns the operation that the response names.
func respondAsTarget(operationOf func(*http.Request) string) vmHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		hs := sha256.New()
		n, _ := io.Copy(hs, r.Body)
		op := operationOf(r)
		w.Header().Set("Damasklatch-Outcome", "done")
		w.Header().Set("Standin-Operation", op)
		if size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
			io.Copy(w, payload.Reader(op, size))
			return
		}
		json.NewEncoder(w).Encode(payload.Response{Operation: op, Bytes: n, SHA256: hex.EncodeToString(hs.Sum(nil))})
	}
}

// respondCorrectly responds like a target, with the operation of the request.
func respondCorrectly(w http.ResponseWriter, r *http.Request) {
	respondAsTarget(func(r *http.Request) string { return r.URL.Query().Get("operation") })(w, r)
}

// truncateResponse closes the connection after fewer bytes than the Content-Length header announces.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Damasklatch-Outcome", "done")
	w.Header().Set("Content-Length", "100")
	w.Write([]byte("{"))
	panic(http.ErrAbortHandler)
}

// Guards against callers that retry where this may run work twice, that don't retry where it is safe, or that accept a
// wrong response.
func TestOperations(t *testing.T) {
	rateLimited, timedOut := respondWithOutcome("not_run", "rate", 429), respondWithOutcome("unknown", "timeout", 504)
	otherOperation := respondAsTarget(func(*http.Request) string { return "another" })
	shortDownload := func(w http.ResponseWriter, r *http.Request) {
		r.URL.RawQuery += "&bytes=999"
		w.Header().Set("Damasklatch-Outcome", "done")
		io.Copy(w, payload.Reader(r.URL.Query().Get("operation"), 999))
	}
	for _, tc := range []struct {
		name     string
		vms      []vmHandler
		work     caller.Work
		want     record.Outcome
		reason   string
		outcomes []record.Outcome
		ok       bool
	}{
		{"after not_run the request goes to the next entry", []vmHandler{rateLimited, respondCorrectly}, caller.Work{}, "answered", "", []record.Outcome{"not_run", "answered"}, true},
		{"not_run from every entry", []vmHandler{rateLimited, rateLimited}, caller.Work{}, "not_run", "rate", []record.Outcome{"not_run", "not_run"}, false},
		{"an unknown key is not retried", []vmHandler{respondWithOutcome("not_run", "unknown_key", 401), respondCorrectly}, caller.Work{}, "not_run", "unknown_key",
			[]record.Outcome{"not_run"}, false},
		{"unknown ends a non-idempotent operation", []vmHandler{timedOut, respondCorrectly}, caller.Work{}, "unknown", "timeout", []record.Outcome{"unknown"}, false},
		{"after unknown an idempotent request goes to the next entry", []vmHandler{timedOut, respondCorrectly}, caller.Work{Idempotent: true}, "answered", "",
			[]record.Outcome{"unknown", "answered"}, true},
		{"not_run after unknown leaves the outcome unknown", []vmHandler{timedOut, rateLimited}, caller.Work{Idempotent: true}, "unknown", "timeout",
			[]record.Outcome{"unknown", "not_run"}, false},
		{"a dead VM is skipped", []vmHandler{nil, respondCorrectly}, caller.Work{}, "answered", "", []record.Outcome{"not_run", "answered"}, true},
		{"a response without an outcome header is unknown", []vmHandler{func(http.ResponseWriter, *http.Request) {}, respondCorrectly}, caller.Work{}, "unknown",
			record.ReasonNoOutcome, []record.Outcome{"unknown"}, false},
		{"a truncated response is unknown", []vmHandler{truncateResponse, respondCorrectly}, caller.Work{}, "unknown", record.ReasonConnection, []record.Outcome{"unknown"}, false},
		{"a response to another operation is detected", []vmHandler{otherOperation}, caller.Work{}, "answered", "", []record.Outcome{"answered"}, false},
		{"a download of another operation is detected", []vmHandler{otherOperation}, caller.Work{DownloadBytes: 1000}, "answered", "", []record.Outcome{"answered"}, false},
		{"a short download is detected", []vmHandler{shortDownload}, caller.Work{DownloadBytes: 1000}, "answered", "", []record.Outcome{"answered"}, false},
		{"a complete download", []vmHandler{respondCorrectly}, caller.Work{DownloadBytes: 1 << 20}, "answered", "", []record.Outcome{"answered"}, true},
		{"an upload with a limited rate", []vmHandler{respondCorrectly}, caller.Work{Method: "POST", UploadBytes: 1 << 17, BytesPerSecond: 1 << 26}, "answered", "",
			[]record.Outcome{"answered"}, true},
	} {
		Convey(tc.name, t, func() {
			rec := newFleet(t, tc.vms...).run(1, tc.work)[0]
			var got []record.Outcome
			for _, tr := range rec.Tries {
				got = append(got, tr.Outcome)
			}
			So(cmp.Diff(tc.outcomes, got), ShouldBeEmpty)
			So(rec.Outcome, ShouldEqual, tc.want)
			So(rec.Reason, ShouldEqual, tc.reason)
			So(rec.ChecksumOK, ShouldEqual, tc.ok)
		})
	}
}

// Guards against duplicates that are not sent or not recorded. The check that work runs at most once relies on them.
func TestDuplicates(t *testing.T) {
	for name, wk := range map[string]caller.Work{"concurrently": {Duplicate: 1}, "after the response": {Late: 1, LateAfter: time.Millisecond}} {
		Convey("Given a caller that sends each ticket twice, the second time "+name, t, func() {
			fl := newFleet(t, respondCorrectly)
			rec := fl.run(1, wk)[0]
			So(rec.Tries, ShouldHaveLength, 2)
			So(rec.Tries[0].Duplicate, ShouldNotEqual, rec.Tries[1].Duplicate)
			So(rec.Tries[0].RequestID, ShouldEqual, rec.Tries[1].RequestID)
			So(string(rec.RequestID), ShouldEqual, fmt.Sprintf("%032x", 16))
			_, tickets := fl.lookupsAndTickets()
			So(tickets[0], ShouldEqual, tickets[1])
		})
	}
}

// Guards against a non-idempotent request with a ticket that another request has used, and against look-ups that ignore the
// time to live of cached responses.
func TestTickets(t *testing.T) {
	Convey("Each non-idempotent request causes a look-up", t, func() {
		fl := newFleet(t, respondCorrectly)
		fl.run(3, caller.Work{})
		lookups, tickets := fl.lookupsAndTickets()
		So(lookups, ShouldBeGreaterThanOrEqualTo, 3)
		So(tickets[0], ShouldNotEqual, tickets[1])
	})

	Convey("Idempotent requests for four clients cause at most four look-ups", t, func() {
		fl := newFleet(t, respondCorrectly)
		fl.run(30, caller.Work{Idempotent: true})
		lookups, _ := fl.lookupsAndTickets()
		So(lookups, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against a scenario with a mistake that runs without the intended load.
func TestParseScenarioErrors(t *testing.T) {
	for name, src := range map[string]string{
		"unknown field":     `{teams: [{team: a, rate: 1, clients: 10.0.0.1, mix: [{route: r, path: /r, weight: 1, wait: 1}]}]}`,
		"no teams":          `{seed: 1}`,
		"no rate":           `{teams: [{team: a, clients: 10.0.0.1, mix: [{route: r, path: /r, weight: 1}]}]}`,
		"no clients":        `{teams: [{team: a, rate: 1, mix: [{route: r, path: /r, weight: 1}]}]}`,
		"work without path": `{teams: [{team: a, rate: 1, clients: 10.0.0.1, mix: [{route: r, weight: 1}]}]}`,
	} {
		Convey("Given a scenario with this mistake: "+name, t, func() {
			_, err := caller.ParseScenario("test.yaml", []byte(src))
			So(err, ShouldNotBeNil)
		})
	}
}
