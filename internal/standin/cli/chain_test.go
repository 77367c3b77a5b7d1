package cli_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/internal/standin/caller"
	"damasklatch/internal/standin/record"
	"damasklatch/internal/standin/report"
	"damasklatch/internal/standin/target"

	. "github.com/smartystreets/goconvey/convey"
)

// naiveEntry is an entry VM without any guarantees: it forwards every request unchanged, including the key.
type naiveEntry struct {
	address func() string // returns the address of the target
	self    string
}

// lookup answers every lookup with this VM and the same ticket.
func (ne *naiveEntry) lookup(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 1000, "entries": []map[string]string{
		{"vm": "north-a-1", "address": ne.self, "ticket": "v1.north-a-1.1.2.north-a." + strings.Repeat("a", 32) + ".mac"},
	}})
}

// forward sends the request to the target. For the path /lies/ it then tells the caller that the request did not run.
func (ne *naiveEntry) forward(w http.ResponseWriter, r *http.Request) {
	rq, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+ne.address()+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(err)
	}
	rq.Header = r.Header.Clone()
	rq.Header.Set("Request-Id", strings.Repeat("a", 32))
	rq.Header.Set("Team", "salon_app")
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer rs.Body.Close()
	w.Header().Set("Standin-Operation", rs.Header.Get("Standin-Operation"))
	if r.URL.Path == "/lies/" {
		w.Header().Set("Damasklatch-Outcome", "not_run")
		w.Header().Set("Damasklatch-Reason", "unknown_key")
		return
	}
	w.Header().Set("Damasklatch-Outcome", "done")
	io.Copy(w, rs.Body)
}

// runAndReport sends the given work from one caller through a naiveEntry and returns the report on the first five
// operations.
func runAndReport(t *testing.T, wk caller.Work) *report.Result {
	log := slog.New(slog.DiscardHandler)
	op := target.DefaultOptions()
	op.Log, op.FailureDomain, op.ServiceTime.Median = log, "north-a", time.Millisecond
	op.Sites = []config.Site{{Name: "north-a", FailureDomain: "north-a", Targets: []config.Target{
		{Name: "desk-1", Pool: "desk", Address: "127.0.0.1:0", Slots: 8, MaxConnections: 100},
	}}}
	ps, err := target.New(op)
	So(err, ShouldBeNil)
	So(ps.Start(), ShouldBeNil)
	defer ps.Close()
	ne := &naiveEntry{address: func() string { return ps.Address("desk-1") }}
	mx := http.NewServeMux()
	mx.HandleFunc("/v1/lookup", ne.lookup)
	mx.HandleFunc("/", ne.forward)
	sv := httptest.NewServer(mx)
	defer sv.Close()
	ne.self = sv.Listener.Addr().String()

	src := `{duration: 1m, teams: [{team: salon_app, key: dlk_test, callers: 1, clients: 10.1.0.0/24, mix: [{route: r, path: /r, weight: 1}]}]}`
	sc, err := caller.ParseScenario("test.yaml", []byte(src))
	So(err, ShouldBeNil)
	wk.Route, wk.Weight, wk.Method, wk.Timeout = "bookings", 1, http.MethodPost, sc.Timeout
	sc.Entries, sc.Teams[0].Mix = []string{ne.self}, []caller.Work{wk}
	rn, err := caller.New(caller.Options{Scenario: sc, Log: log})
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(t.Context())
	bg := &background{rn: rn, done: make(chan struct{})}
	go bg.run(ctx)
	for len(rn.Records()) < 5 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-bg.done
	in := &report.Input{Operations: rn.Records()[:5]}
	for len(in.Work) < 5 || (wk.Duplicate > 0 && len(in.Work) < 10) {
		in.Work = ps.Records()
	}
	in.Work = workOf(in.Work, in.Operations)
	rs, err := report.Compute(in)
	So(err, ShouldBeNil)
	return rs
}

// workOf returns the work of the given operations. Operations that started later are left out.
func workOf(wks []record.Work, ops []record.Operation) (kept []record.Work) {
	for _, wk := range wks {
		for _, op := range ops {
			if wk.Operation == op.Operation {
				kept = append(kept, wk)
			}
		}
	}
	return kept
}

// background runs a caller.Runner in a goroutine and closes done when it ends.
type background struct {
	rn   *caller.Runner
	done chan struct{}
}

func (bg *background) run(ctx context.Context) {
	defer close(bg.done)
	bg.rn.Run(ctx)
}

// Guards against a report that finds no violations in any system. With an entry VM without guarantees, the records of
// real callers and targets must show each violation.
func TestFaultyEntryIsReported(t *testing.T) {
	Convey("Given an entry VM that forwards every request unchanged", t, func() {
		Convey("requests that are sent twice run twice, and targets see keys", func() {
			rs := runAndReport(t, caller.Work{Path: "/bookings/", UploadBytes: 100, Duplicate: 1})
			So(rs.Answered, ShouldEqual, 5)
			So(rs.DuplicatesSent, ShouldEqual, 5)
			So(rs.NonIdempotentRunTwice, ShouldEqual, 5)
			So(rs.KeysSeenByTargets, ShouldEqual, 10)
			So(rs.FalseNotRun, ShouldEqual, 0)
		})

		Convey("false not_run outcomes are reported", func() {
			rs := runAndReport(t, caller.Work{Path: "/lies/"})
			So(rs.NotRun, ShouldEqual, 5)
			So(rs.FalseNotRun, ShouldEqual, 5)
		})
	})
}
