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

// vm scripts how an entry VM treats requests.
type vm func(w http.ResponseWriter, r *http.Request)

// fleet is a set of entry VMs whose look-ups name all of them in order.
type fleet struct {
	t         *testing.T
	addresses []string

	mu      sync.Mutex
	lookups int
	tickets []string // as they came with requests
}

// newFleet starts an entry VM for each script; nil is a dead VM. Look-ups go to the last one.
func newFleet(t *testing.T, vms ...vm) *fleet {
	fl := &fleet{t: t}
	for _, serve := range vms {
		mx := http.NewServeMux()
		mx.HandleFunc("/v1/lookup", fl.lookup)
		mx.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
			fl.mu.Lock()
			fl.tickets = append(fl.tickets, r.Header.Get("Damasklatch-Ticket"))
			fl.mu.Unlock()
			serve(w, r)
		})
		sv := httptest.NewServer(mx)
		fl.addresses = append(fl.addresses, sv.Listener.Addr().String())
		if serve == nil {
			sv.Close()
		}
		t.Cleanup(sv.Close)
	}
	return fl
}

// lookup answers with a new ticket for each VM.
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

// run runs one caller until it has done n operations, and returns their records.
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

// background runs a runner until its context ends.
type background struct {
	rn   *caller.Runner
	done chan struct{}
}

func (bg *background) run(ctx context.Context) {
	defer close(bg.done)
	bg.rn.Run(ctx)
}

// seen returns the number of look-ups and the tickets so far.
func (fl *fleet) seen() (int, []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.lookups, slices.Clone(fl.tickets)
}

// refuse responds with not_run or unknown.
func refuse(outcome, reason string, status int) vm {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Damasklatch-Outcome", outcome)
		w.Header().Set("Damasklatch-Reason", reason)
		w.WriteHeader(status)
	}
}

// serve responds as a target would to the operation that of returns.
func serve(of func(*http.Request) string) vm {
	return func(w http.ResponseWriter, r *http.Request) {
		hs := sha256.New()
		n, _ := io.Copy(hs, r.Body)
		op := of(r)
		w.Header().Set("Damasklatch-Outcome", "done")
		w.Header().Set("Standin-Operation", op)
		if size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
			io.Copy(w, payload.Reader(op, size))
			return
		}
		json.NewEncoder(w).Encode(payload.Response{Operation: op, Bytes: n, SHA256: hex.EncodeToString(hs.Sum(nil))})
	}
}

// right responds to the request itself.
func right(w http.ResponseWriter, r *http.Request) {
	serve(func(r *http.Request) string { return r.URL.Query().Get("operation") })(w, r)
}

// breakOff announces more than it sends.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Damasklatch-Outcome", "done")
	w.Header().Set("Content-Length", "100")
	w.Write([]byte("{"))
	panic(http.ErrAbortHandler)
}

// Guards against callers that try again where that may run work twice, that give up where trying again is safe, or
// that take a wrong answer for a right one.
func TestOperations(t *testing.T) {
	busy, lost := refuse("not_run", "rate", 429), refuse("unknown", "timeout", 504)
	other := serve(func(*http.Request) string { return "another" })
	short := func(w http.ResponseWriter, r *http.Request) {
		r.URL.RawQuery += "&bytes=999"
		w.Header().Set("Damasklatch-Outcome", "done")
		io.Copy(w, payload.Reader(r.URL.Query().Get("operation"), 999))
	}
	for _, tc := range []struct {
		name     string
		vms      []vm
		work     caller.Work
		want     record.Outcome
		reason   string
		outcomes []record.Outcome
		ok       bool
	}{
		{"not_run goes to the next entry", []vm{busy, right}, caller.Work{}, "answered", "", []record.Outcome{"not_run", "answered"}, true},
		{"not_run everywhere", []vm{busy, busy}, caller.Work{}, "not_run", "rate", []record.Outcome{"not_run", "not_run"}, false},
		{"a revoked key is final", []vm{refuse("not_run", "unknown_key", 401), right}, caller.Work{}, "not_run", "unknown_key",
			[]record.Outcome{"not_run"}, false},
		{"unknown ends a booking", []vm{lost, right}, caller.Work{}, "unknown", "timeout", []record.Outcome{"unknown"}, false},
		{"unknown sends a look-up to the next entry", []vm{lost, right}, caller.Work{Idempotent: true}, "answered", "",
			[]record.Outcome{"unknown", "answered"}, true},
		{"unknown, then not_run, stays unknown", []vm{lost, busy}, caller.Work{Idempotent: true}, "unknown", "timeout",
			[]record.Outcome{"unknown", "not_run"}, false},
		{"a dead VM is passed over", []vm{nil, right}, caller.Work{}, "answered", "", []record.Outcome{"not_run", "answered"}, true},
		{"a response without outcome is unknown", []vm{func(http.ResponseWriter, *http.Request) {}, right}, caller.Work{}, "unknown",
			record.ReasonNoOutcome, []record.Outcome{"unknown"}, false},
		{"a broken answer is unknown", []vm{breakOff, right}, caller.Work{}, "unknown", record.ReasonConnection, []record.Outcome{"unknown"}, false},
		{"a crossed answer is noticed", []vm{other}, caller.Work{}, "answered", "", []record.Outcome{"answered"}, false},
		{"a crossed download is noticed", []vm{other}, caller.Work{DownloadBytes: 1000}, "answered", "", []record.Outcome{"answered"}, false},
		{"a short download is noticed", []vm{short}, caller.Work{DownloadBytes: 1000}, "answered", "", []record.Outcome{"answered"}, false},
		{"a download", []vm{right}, caller.Work{DownloadBytes: 1 << 20}, "answered", "", []record.Outcome{"answered"}, true},
		{"a paced upload", []vm{right}, caller.Work{Method: "POST", UploadBytes: 1 << 17, BytesPerSecond: 1 << 26}, "answered", "",
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

// Guards against duplicates that are not sent, or that the record does not show, as the proof of at-most-once needs
// them.
func TestDuplicates(t *testing.T) {
	for name, wk := range map[string]caller.Work{"at once": {Duplicate: 1}, "late": {Late: 1, LateAfter: time.Millisecond}} {
		Convey("Given a caller that sends tickets twice "+name, t, func() {
			fl := newFleet(t, right)
			rec := fl.run(1, wk)[0]
			So(rec.Tries, ShouldHaveLength, 2)
			So(rec.Tries[0].Duplicate, ShouldNotEqual, rec.Tries[1].Duplicate)
			So(rec.Tries[0].RequestID, ShouldEqual, rec.Tries[1].RequestID)
			So(string(rec.RequestID), ShouldEqual, fmt.Sprintf("%032x", 16))
			_, tickets := fl.seen()
			So(tickets[0], ShouldEqual, tickets[1])
		})
	}
}

// Guards against a booking that takes a ticket which another request has used, and look-ups that ignore the time to
// live.
func TestTickets(t *testing.T) {
	Convey("Bookings look up every time", t, func() {
		fl := newFleet(t, right)
		fl.run(3, caller.Work{})
		lookups, tickets := fl.seen()
		So(lookups, ShouldBeGreaterThanOrEqualTo, 3)
		So(tickets[0], ShouldNotEqual, tickets[1])
	})

	Convey("Idempotent requests for at most four clients share cached look-ups", t, func() {
		fl := newFleet(t, right)
		fl.run(30, caller.Work{Idempotent: true})
		lookups, _ := fl.seen()
		So(lookups, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against scenarios with typing errors that run without the intended load.
func TestParseScenarioErrors(t *testing.T) {
	for name, src := range map[string]string{
		"unknown field":    `{teams: [{team: a, rate: 1, clients: 10.0.0.1, mix: [{route: r, path: /r, weight: 1, wait: 1}]}]}`,
		"no teams":         `{seed: 1}`,
		"no rate":          `{teams: [{team: a, clients: 10.0.0.1, mix: [{route: r, path: /r, weight: 1}]}]}`,
		"no clients":       `{teams: [{team: a, rate: 1, mix: [{route: r, path: /r, weight: 1}]}]}`,
		"work without way": `{teams: [{team: a, rate: 1, clients: 10.0.0.1, mix: [{route: r, weight: 1}]}]}`,
	} {
		Convey("Given a scenario with: "+name, t, func() {
			_, err := caller.ParseScenario("test.yaml", []byte(src))
			So(err, ShouldNotBeNil)
		})
	}
}
