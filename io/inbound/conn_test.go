package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testServer is an HTTP server on loopback whose handler rejects ambiguous requests and passes the others to serve.
type testServer struct {
	srv     *http.Server
	address string
	served  atomic.Int32
	serve   http.HandlerFunc
}

func startServer(tb testing.TB, owned bool, serve http.HandlerFunc) *testServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ts := &testServer{address: ln.Addr().String(), serve: serve}
	ts.srv = &http.Server{Handler: ts}
	if owned {
		ln = NewListener(ln)
		Attach(ts.srv)
	}
	go ts.run(ln)
	tb.Cleanup(func() { ts.srv.Close() })
	return ts
}

func (ts *testServer) run(ln net.Listener) { _ = ts.srv.Serve(ln) }

func (ts *testServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if CheckFraming(r) != nil {
		rw.Header().Set("Connection", "close")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	ts.served.Add(1)
	ts.serve(rw, r)
}

func (ts *testServer) dial(tb testing.TB) net.Conn {
	cn, err := net.Dial("tcp", ts.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { cn.Close() })
	return cn
}

// echo responds with the path and the body of the request.
func echo(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(rw, "%s %d", r.URL.Path, len(body))
}

// Guards against requests that go on, or are served, after their caller has sent a further request and closed its connection.
func TestCallerLeaves(t *testing.T) {
	for name, behind := range map[string]string{
		"no further request": "", "part of a request": "G", "a request": plainGet, "many requests": strings.Repeat(plainGet, 100),
		"a request with a body": plainPost + chunkHead + "5\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			canceled := make(chan struct{})
			ts := startServer(t, true, func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				close(canceled)
			})
			cn := ts.dial(t)
			fmt.Fprint(cn, plainGet)
			for ts.served.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			fmt.Fprint(cn, behind)
			time.Sleep(20 * time.Millisecond)
			cn.Close()
			select {
			case <-canceled:
			case <-time.After(5 * time.Second):
				t.Fatal("the request was not canceled")
			}
			if err := ts.srv.Shutdown(context.Background()); err != nil {
				t.Fatal(err)
			}
			if num := ts.served.Load(); num != 1 {
				t.Errorf("%d requests were served, want 1", num)
			}
		})
	}
}

// Guards against responses that are missing, out of order or belong to another request when callers pipeline more requests than are
// read ahead.
func TestPipelinedRequests(t *testing.T) {
	ts := startServer(t, true, func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
		echo(rw, r)
	})
	cn := ts.dial(t)
	Convey("each request gets its response in order", t, func() {
		var src strings.Builder
		var want []string
		for nr := range 200 {
			size := nr * 37 % 9000
			path := "/" + strings.Repeat("p", nr%7)
			want = append(want, fmt.Sprint(path, " ", size))
			switch nr % 3 {
			case 0:
				fmt.Fprintf(&src, "GET %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("b", size))
			default:
				fmt.Fprintf(&src, "POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", path)
				if size > 0 {
					fmt.Fprintf(&src, "%x\r\n%s\r\n", size, strings.Repeat("b", size))
				}
				src.WriteString("0\r\n\r\n")
			}
		}
		go (&sender{cn, src.String()}).run()
		rd := bufio.NewReader(cn)
		for _, text := range want {
			resp, err := http.ReadResponse(rd, nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, text)
		}
	})
}

// sender writes a text to a connection.
type sender struct {
	cn   net.Conn
	text string
}

func (sd *sender) run() { _, _ = io.WriteString(sd.cn, sd.text) }

// Guards against a handler that never returns, or a connection that never closes, while more bytes have arrived than are read ahead.
func TestFullBuffer(t *testing.T) {
	release := make(chan struct{})
	ts := startServer(t, true, func(rw http.ResponseWriter, r *http.Request) {
		<-release
		echo(rw, r)
	})
	cn := ts.dial(t)
	Convey("a running request with more pipelined requests than are read ahead", t, func() {
		num := 2 * maxReadAhead / len(plainGet)
		fmt.Fprint(cn, strings.Repeat(plainGet, num))
		time.Sleep(50 * time.Millisecond)
		close(release)
		rd := bufio.NewReader(cn)
		for range num {
			resp, err := http.ReadResponse(rd, nil)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
		}
	})
}

// Guards against a request that is served although it stands behind an ambiguous one on the connection.
func TestRequestBehindAmbiguousOne(t *testing.T) {
	for name, ambiguous := range map[string]string{
		"both lengths":     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"HTTP/1.0, chunks": "POST / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		for before := range 3 {
			t.Run(fmt.Sprint(name, ", ", before), func(t *testing.T) {
				ts := startServer(t, true, echo)
				cn := ts.dial(t)
				fmt.Fprint(cn, strings.Repeat(plainGet, before)+ambiguous+plainGet)
				rd := bufio.NewReader(cn)
				for nr := range before + 1 {
					resp, err := http.ReadResponse(rd, nil)
					if err != nil {
						t.Fatal(err)
					}
					io.Copy(io.Discard, resp.Body)
					want := http.StatusOK
					if nr == before {
						want = http.StatusBadRequest
					}
					if resp.StatusCode != want {
						t.Errorf("request %d got status %d, want %d", nr, resp.StatusCode, want)
					}
				}
				if _, err := rd.ReadByte(); err == nil {
					t.Error("the connection was not closed")
				}
				if num := int(ts.served.Load()); num != before {
					t.Errorf("%d requests were served, want %d", num, before)
				}
			})
		}
	}
}

// BenchmarkRequest measures a request on a kept connection, with and without this package.
func BenchmarkRequest(b *testing.B) {
	for _, owned := range []bool{false, true} {
		b.Run(fmt.Sprint("owned=", owned), func(b *testing.B) {
			ts := startServer(b, owned, echo)
			cn := ts.dial(b)
			rd := bufio.NewReader(cn)
			head := "GET /a HTTP/1.1\r\nHost: x\r\nX-Some: " + strings.Repeat("v", 200) + "\r\n\r\n"
			b.ReportAllocs()
			for b.Loop() {
				io.WriteString(cn, head)
				resp, err := http.ReadResponse(rd, nil)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

// onlyConn returns the connection of a listener that has a single one.
func onlyConn(tb testing.TB, ln *Listener) *conn {
	tb.Helper()
	conns := ln.open()
	if len(conns) != 1 {
		tb.Fatalf("the listener has %d connections, want 1", len(conns))
	}
	return conns[0]
}

// Guards against taking a caller that sends its next request as soon as it has got a response for one that pipelines. Each of its
// requests would cost two more system calls.
func TestNextRequestIsNotPipelined(t *testing.T) {
	sent := make(chan struct{}, 1)
	ds := startDrainServer(t, nil)
	ds.serve = func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "2")
		fmt.Fprint(rw, "/a")
		rw.(http.Flusher).Flush()
		<-sent
		time.Sleep(20 * time.Millisecond) // the server has noticed the next request
	}
	cn := ds.dial(t)
	rd := bufio.NewReader(cn)
	fmt.Fprint(cn, plainGet)
	wantResponse(t, rd, false)
	fmt.Fprint(cn, plainGet)
	sent <- struct{}{}
	wantResponse(t, rd, false)
	sent <- struct{}{}
	oc := onlyConn(t, ds.ln)
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if oc.pipelines {
		t.Error("the caller counts as one that pipelines")
	}
}
