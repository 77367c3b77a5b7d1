package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/internal/standin/payload"
	"damasklatch/internal/standin/record"
	"damasklatch/internal/standin/target"

	. "github.com/smartystreets/goconvey/convey"
)

const slots = 3

// start serves the target desk-1 with three slots. Its load is sampled only while the test runs Process.Loop.
func start(t *testing.T, change func(*target.Options)) *target.Process {
	t.Helper()
	op := target.DefaultOptions()
	op.Log = slog.New(slog.DiscardHandler)
	op.FailureDomain = "north-a"
	op.ServiceTime = target.ServiceTime{Median: time.Millisecond}
	op.Sites = []config.Site{{Name: "north-a", FailureDomain: "north-a", Targets: []config.Target{
		{Name: "desk-1", Pool: "desk", Address: "127.0.0.1:0", Slots: slots, MaxConnections: 400},
	}}}
	op.Routes = []config.Route{{Name: "bookings", PathPrefix: "/bookings/"}, {Name: "lamps", PathPrefix: "/lamps/", Idempotent: true}}
	if change != nil {
		change(&op)
	}
	ps, err := target.New(op)
	if err != nil {
		t.Fatal(err)
	}
	if err := ps.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ps.Close() })
	return ps
}

// client returns an HTTP client with its own connection pool.
func client(t *testing.T) *http.Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 100}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// request returns a request to desk-1.
func request(ctx context.Context, ps *target.Process, method, path string, body io.Reader) *http.Request {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ps.Address("desk-1")+path, body)
	if err != nil {
		panic(err)
	}
	return rq
}

// await polls until the records satisfy cond and returns them. The test fails if its context ends before.
func await(t *testing.T, ps *target.Process, cond func([]record.Work) bool) []record.Work {
	for {
		if recs := ps.Records(); cond(recs) {
			return recs
		}
		select {
		case <-t.Context().Done():
			t.Fatal("the test ended before the records satisfied the condition")
		case <-time.After(time.Millisecond):
		}
	}
}

// worker sends one request and keeps the status and header of the response. The status is 0 if the request failed.
type worker struct {
	wg     *sync.WaitGroup
	status int
	header http.Header
}

func (wr *worker) run(cl *http.Client, rq *http.Request) {
	defer wr.wg.Done()
	rs, err := cl.Do(rq)
	if err != nil {
		return
	}
	io.Copy(io.Discard, rs.Body)
	rs.Body.Close()
	wr.status, wr.header = rs.StatusCode, rs.Header
}

// Guards against a target that runs more requests than it has slots, or refuses a request without the header that
// says that it did not run.
func TestSlots(t *testing.T) {
	Convey("Given 40 concurrent requests for three slots and a queue of four", t, func() {
		ps, cl := start(t, nil), client(t)
		var wg sync.WaitGroup
		wrs := make([]worker, 40)
		for i := range wrs {
			wg.Add(1)
			wrs[i].wg = &wg
			go wrs[i].run(cl, request(t.Context(), ps, http.MethodGet, "/lamps/1?service_ms=20", nil))
		}
		wg.Wait()

		Convey("at most three run at any time, and all that get no slot are refused as not run", func() {
			refused := 0
			for _, wr := range wrs {
				if wr.status == http.StatusServiceUnavailable {
					refused++
					So(wr.header.Get("Work-Status"), ShouldEqual, "not_run")
					continue
				}
				So(wr.status, ShouldEqual, http.StatusOK)
				So(wr.header.Get("Work-Status"), ShouldBeEmpty)
			}
			recs := await(t, ps, func(recs []record.Work) bool { return len(recs) == len(wrs) })
			started := slices.DeleteFunc(slices.Clone(recs), func(wk record.Work) bool { return !wk.Started() })
			So(len(started), ShouldEqual, len(wrs)-refused)
			for _, wk := range started {
				running := 0
				for _, ot := range started {
					if ot.StartedAt <= wk.StartedAt && wk.StartedAt < ot.EndedAt {
						running++
					}
				}
				So(running, ShouldBeBetweenOrEqual, 1, slots)
			}
		})
	})
}

// Guards against requests that continue, or are recorded as run, after the caller disconnected, the deadline passed
// or the target crashed.
func TestCancellation(t *testing.T) {
	Convey("Given a request with a service time of one hour", t, func() {
		ps, cl := start(t, nil), client(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rq := request(ctx, ps, http.MethodPost, "/bookings/1?service_ms=3600000", strings.NewReader("van"))
		var wg sync.WaitGroup
		wg.Add(1)
		wr := worker{wg: &wg}

		Convey("closing its connection cancels it", func() {
			go wr.run(cl, rq)
			loadCtx, stop := context.WithCancel(t.Context())
			defer stop()
			go ps.Loop(loadCtx)
			for load(cl, ps).InFlight == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
			recs := await(t, ps, func(recs []record.Work) bool { return len(recs) == 1 })
			So(recs[0].Outcome, ShouldEqual, record.Canceled)
			So(recs[0].Reason, ShouldEqual, "connection_closed")
			So(recs[0].Started(), ShouldBeTrue)
			So(recs[0].Idempotent, ShouldBeFalse)
		})

		Convey("its deadline cancels it, with a response that does not claim not_run", func() {
			rq.Header.Set("Request-Deadline-Ms", "20")
			wr.run(cl, rq)
			recs := await(t, ps, func(recs []record.Work) bool { return len(recs) == 1 })
			So(recs[0].Reason, ShouldEqual, "deadline")
			So(wr.status, ShouldEqual, http.StatusGatewayTimeout)
			So(wr.header.Get("Work-Status"), ShouldBeEmpty)
		})

		Convey("a crash of the target cancels it", func() {
			go wr.run(cl, rq)
			loadCtx, stop := context.WithCancel(t.Context())
			defer stop()
			go ps.Loop(loadCtx)
			for load(cl, ps).InFlight == 0 {
				time.Sleep(time.Millisecond)
			}
			So(ps.Apply(target.Command{Target: "desk-1", Behavior: target.Crash}), ShouldBeNil)
			wg.Wait()
			So(wr.status, ShouldEqual, 0)
			recs := await(t, ps, func(recs []record.Work) bool { return len(recs) == 2 })
			So(recs[0].Kind, ShouldEqual, record.KindCrash)
			So(recs[1].Outcome, ShouldEqual, record.Canceled)
			So(ps.Apply(target.Command{Target: "desk-1", Behavior: target.Return}), ShouldBeNil)
			So(load(cl, ps).Slots, ShouldEqual, slots)
		})
	})
}

// load gets the load report of desk-1. It returns a zero Load if the target does not respond.
func load(cl *http.Client, ps *target.Process) (ld target.Load) {
	rs, err := cl.Get("http://" + ps.Address("desk-1") + "/load")
	if err != nil {
		return ld
	}
	defer rs.Body.Close()
	if err := json.NewDecoder(rs.Body).Decode(&ld); err != nil {
		panic(err)
	}
	return ld
}

// Guards against an API key that a target receives and does not detect. Other tests rely on this detection to show
// that no key reaches a target.
func TestKeyDetection(t *testing.T) {
	const key = "dlk_0123456789abcdef"
	for name, change := range map[string]func(*http.Request){
		"header":         func(rq *http.Request) { rq.Header.Set("X-Api-Key", "Bearer "+key) },
		"header name":    func(rq *http.Request) { rq.Header.Set(key, "1") },
		"query":          func(rq *http.Request) { rq.URL.RawQuery = "k=" + key },
		"escaped query":  func(rq *http.Request) { rq.URL.RawQuery = "k=dlk%5F0123456789abcdef" },
		"invalid query":  func(rq *http.Request) { rq.URL.RawQuery = "x=%zz&k=dlk%5F0123456789abcdef" },
		"path":           func(rq *http.Request) { rq.URL.Path += key },
		"trailer":        func(rq *http.Request) { rq.ContentLength, rq.Trailer = -1, http.Header{"X-Signed-With": {key}} },
		"nothing at all": func(*http.Request) {},
	} {
		Convey("Given a key in: "+name, t, func() {
			ps, cl := start(t, nil), client(t)
			rq := request(t.Context(), ps, http.MethodPost, "/bookings/", io.NopCloser(strings.NewReader("van")))
			change(rq)
			rs, err := cl.Do(rq)
			So(err, ShouldBeNil)
			rs.Body.Close()
			recs := await(t, ps, func(recs []record.Work) bool { return len(recs) == 1 })
			So(recs[0].KeySeen, ShouldEqual, name != "nothing at all")
		})
	}
}

// Guards against bodies that change on the way, and against a truncated body that looks complete.
func TestBodies(t *testing.T) {
	Convey("Given a target", t, func() {
		ps, cl := start(t, nil), client(t)

		Convey("it returns the length and checksum of an upload", func() {
			const size = 1 << 20
			rq := request(t.Context(), ps, http.MethodPost, "/bookings/?operation=o-1", payload.Reader("o-1", size))
			rs, err := cl.Do(rq)
			So(err, ShouldBeNil)
			defer rs.Body.Close()
			var got payload.Response
			So(json.NewDecoder(rs.Body).Decode(&got), ShouldBeNil)
			So(got, ShouldResemble, payload.Response{Target: "desk-1", Operation: "o-1", Bytes: size, SHA256: payload.SHA256("o-1", size)})
		})

		for _, query := range []string{"", "&trailer=1"} {
			Convey("it sends a download with its checksum, query "+query, func() {
				rs, err := cl.Do(request(t.Context(), ps, http.MethodGet, "/lamps/?operation=o-2&bytes=300000"+query, nil))
				So(err, ShouldBeNil)
				defer rs.Body.Close()
				body, err := io.ReadAll(rs.Body)
				So(err, ShouldBeNil)
				want, _ := io.ReadAll(payload.Reader("o-2", 300000))
				So(bytes.Equal(body, want), ShouldBeTrue)
				So(rs.Header.Get("Body-Sha256")+rs.Trailer.Get("Body-Sha256"), ShouldEqual, payload.SHA256("o-2", 300000))
			})

			Convey("it truncates a download on command, query "+query, func() {
				So(ps.Apply(target.Command{Target: "desk-1", Behavior: target.Truncate, Count: 1}), ShouldBeNil)
				rs, err := cl.Do(request(t.Context(), ps, http.MethodGet, "/lamps/?operation=o-3&bytes=300000"+query, nil))
				So(err, ShouldBeNil)
				defer rs.Body.Close()
				_, err = io.ReadAll(rs.Body)
				So(err, ShouldNotBeNil)
				So(await(t, ps, func(recs []record.Work) bool { return len(recs) == 1 })[0].Truncated, ShouldBeTrue)
			})
		}
	})
}

// Guards against a silent connection that still delivers requests, and against silence that affects new connections.
func TestSilence(t *testing.T) {
	Convey("Given an open connection that goes silent", t, func() {
		ps, old := start(t, nil), client(t)
		So(load(old, ps).Slots, ShouldEqual, slots)
		So(ps.Apply(target.Command{Target: "desk-1", Behavior: target.Silence}), ShouldBeNil)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := old.Do(request(ctx, ps, http.MethodPost, "/bookings/", strings.NewReader("van")))
		So(err, ShouldNotBeNil)
		So(ps.Records(), ShouldBeEmpty)
		So(load(client(t), ps).Slots, ShouldEqual, slots)
	})
}

// Guards against commands for false load reports that have no effect, and against unknown targets and behaviors that
// are accepted.
func TestMisleadingLoad(t *testing.T) {
	Convey("Given an idle target", t, func() {
		ps, cl := start(t, nil), client(t)
		So(ps.Apply(target.Command{Target: "desk-1", Behavior: target.LoadFull}), ShouldBeNil)
		So(load(cl, ps).InFlight, ShouldEqual, slots)
		So(ps.Apply(target.Command{Target: "desk-1", Behavior: target.LoadIdle}), ShouldBeNil)
		So(load(cl, ps).InFlight, ShouldEqual, 0)
		So(ps.Apply(target.Command{Target: "desk-2", Behavior: target.Drain}), ShouldNotBeNil)
		So(ps.Apply(target.Command{Target: "desk-1", Behavior: "sulk"}), ShouldNotBeNil)
	})
}

// Guards against a target that accepts more connections than MaxConnections.
func TestConnectionLimit(t *testing.T) {
	Convey("Given a target that accepts two connections", t, func() {
		ps := start(t, func(op *target.Options) { op.Sites[0].Targets[0].MaxConnections = 2 })
		one, two, three := client(t), client(t), client(t)
		So(load(one, ps).Slots, ShouldEqual, slots)
		So(load(two, ps).Slots, ShouldEqual, slots)
		So(load(three, ps).Slots, ShouldEqual, 0)
		So(load(one, ps).Slots, ShouldEqual, slots)
	})
}
