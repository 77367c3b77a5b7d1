package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a status of a target that reaches the caller with the outcome "not_run" although the target has run the request.
// Only 503 with the header Work-Status states that it has not.
func TestTargetStatusIsNotRefusal(t *testing.T) {
	for _, status := range []int{408, 421, 425, 429, 500, 503, 504} {
		for _, path := range []string{"/book/1", "/read/1"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				rg := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
					if status != 503 {
						w.Header().Set("Work-Status", "not_run")
					}
					w.Header().Set("Damasklatch-Outcome", "not_run")
					w.Header().Set("Damasklatch-Reason", "target_refused")
					w.WriteHeader(status)
				})
				tk := rg.ticket()
				for _, what := range []string{"first", "duplicate"} {
					rg.want(what, rg.post(path, withTicket(tk)), status, "done", "")
				}
			})
		}
	}
}

// Guards against the outcome "not_run" for a request that runs: its target sends the refusal of an earlier request once more, without
// an ID by which to tell.
func TestLateRefusalWithoutID(t *testing.T) {
	rg := newRig(t, echo)
	var runs atomic.Int32
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		nc, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		const refusal = "HTTP/1.1 503 Full\r\nWork-Status: not_run\r\nContent-Length: 0\r\n\r\n"
		fmt.Fprint(nc, refusal)
		for first := true; ; first = false {
			next, err := http.ReadRequest(rw.Reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, next.Body)
			runs.Add(1)
			if first {
				fmt.Fprint(nc, refusal)
			}
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	defer ts.Close()
	rg.cfg.Sites[0].Targets[0].Address = ts.Listener.Addr().String()
	rg.pool.SetTargets(time.Now(), rg.cfg.Sites)
	rg.want("first", rg.post("/book/1", withTicket(rg.ticket())), 503, "not_run", "target_refused")
	rg.want("second", rg.post("/book/1", withTicket(rg.ticket())), 503, "not_run", "target_refused")
	if num := runs.Load(); num != 0 {
		t.Errorf("%d requests ran that were refused", num)
	}
}

// Guards against an old response that is passed on as that to a new request: it names no request, although the target names them.
func TestUnnamedResponseOfNamingTarget(t *testing.T) {
	rg := newRig(t, echo)
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		nc, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nnew", r.Header.Get("Request-Id"))
		next, err := http.ReadRequest(rw.Reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
	}))
	defer ts.Close()
	rg.cfg.Sites[0].Targets[0].Address = ts.Listener.Addr().String()
	rg.pool.SetTargets(time.Now(), rg.cfg.Sites)
	rg.want("first", rg.call(http.MethodPost, "/book/1", nil, withTicket(rg.ticket())), 200, "done", "")
	rg.want("second", rg.call(http.MethodPost, "/book/1", nil, withTicket(rg.ticket())), 502, "unknown", "connection_lost")
}
