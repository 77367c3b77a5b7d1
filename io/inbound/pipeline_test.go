package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// overlapServer is an HTTP server whose GET requests may overlap, unless their path begins with /single.
type overlapServer struct {
	*testServer
	ln       *Listener
	overlaps atomic.Int32
}

func startOverlapServer(tb testing.TB, serve http.HandlerFunc) *overlapServer {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	os := &overlapServer{testServer: &testServer{address: nl.Addr().String(), serve: serve}, ln: NewListener(nl)}
	os.srv = &http.Server{Handler: &Pipeline{Handler: os.testServer, MayOverlap: os.mayOverlap, OnOverlap: os.onOverlap}}
	Attach(os.srv)
	go os.run(os.ln)
	tb.Cleanup(func() { os.srv.Close() })
	return os
}

func (os *overlapServer) mayOverlap(r *http.Request) bool {
	return r.Method == http.MethodGet && !strings.HasPrefix(r.URL.Path, "/single")
}

func (os *overlapServer) onOverlap() { os.overlaps.Add(1) }

// get returns a GET request for a path.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// bodies reads so many responses and returns their bodies. It stops at the first that is not complete.
func bodies(cn net.Conn, num int) []string {
	rd := bufio.NewReader(cn)
	var list []string
	for range num {
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			return append(list, "no response")
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return append(list, "incomplete")
		}
		list = append(list, string(body))
	}
	return list
}

// Guards against pipelined requests that wait for the ones ahead of them although each of them could be answered in time, and against
// responses in another order.
func TestRequestsOverlap(t *testing.T) {
	const num = 5
	var all sync.WaitGroup
	all.Add(num)
	os := startOverlapServer(t, func(rw http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait() // for ever, unless all requests run at once
		echo(rw, r)
	})
	cn := os.dial(t)
	Convey("requests that arrive together and one after the other", t, func() {
		fmt.Fprint(cn, get("/1"), get("/2"))
		for nr := 3; nr <= num; nr++ {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprint(cn, get(fmt.Sprint("/", nr)))
		}
		So(bodies(cn, num), ShouldResemble, []string{"/1 0", "/2 0", "/3 0", "/4 0", "/5 0"})
		So(os.served.Load(), ShouldEqual, num)
		So(os.overlaps.Load(), ShouldEqual, num-1)
	})
}

// Guards against requests that overlap although they must not, and against more of them than the limit.
func TestRequestsWait(t *testing.T) {
	const num = 30
	var running, most atomic.Int32
	os := startOverlapServer(t, func(rw http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		echo(rw, r)
	})
	for name, one := range map[string]string{
		"not allowed": get("/single"), "with a body": "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
		"with chunks": "GET /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"with expect": "GET /e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			most.Store(0)
			cn := os.dial(t)
			Convey("one at a time", t, func() {
				go (&sender{cn, strings.Repeat(one, 10)}).run()
				So(bodies(cn, 10), ShouldHaveLength, 10)
				So(most.Load(), ShouldEqual, 1)
			})
		})
	}
	Convey("the limit", t, func() {
		most.Store(0)
		cn := os.dial(t)
		go (&sender{cn, strings.Repeat(get("/x"), num)}).run()
		So(bodies(cn, num), ShouldHaveLength, num)
		So(most.Load(), ShouldBeBetweenOrEqual, 2, maxOverlap+1)
	})
	Convey("mixed requests are answered in order", t, func() {
		cn := os.dial(t)
		var src strings.Builder
		var want []string
		for nr := range num {
			path := fmt.Sprint([]string{"/x", "/single"}[nr%3/2], nr)
			fmt.Fprint(&src, get(path))
			want = append(want, path+" 0")
		}
		go (&sender{cn, src.String()}).run()
		So(bodies(cn, num), ShouldResemble, want)
	})
}

// Guards against work that goes on after its caller has left.
func TestOverlappingRequestsAreCanceled(t *testing.T) {
	const num = 4
	var canceled sync.WaitGroup
	canceled.Add(num)
	os := startOverlapServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled.Done()
	})
	cn := os.dial(t)
	fmt.Fprint(cn, strings.Repeat(get("/x"), num))
	for os.served.Load() < num {
		time.Sleep(time.Millisecond)
	}
	cn.Close()
	canceled.Wait()
}

// Guards against a shutdown that loses requests which were started, and one that starts further ones.
func TestLeaveWithOverlappingRequests(t *testing.T) {
	release := make(chan struct{})
	os := startOverlapServer(t, func(rw http.ResponseWriter, r *http.Request) {
		<-release
		echo(rw, r)
	})
	cn := os.dial(t)
	fmt.Fprint(cn, get("/1"), get("/2"), get("/3"))
	for os.served.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	os.ln.Leave()
	fmt.Fprint(cn, get("/4"))
	Convey("the started requests are answered, the connection is closed then", t, func() {
		close(release)
		So(bodies(cn, 4), ShouldResemble, []string{"/1 0", "/2 0", "/3 0", "no response"})
		So(os.ln.Drain(context.Background()), ShouldBeNil)
		So(os.served.Load(), ShouldEqual, 3)
	})
}

// Guards against a response that breaks off and looks complete, against one that is lost with it, and against a large response that
// takes memory until it can be sent.
func TestOverlappingResponses(t *testing.T) {
	first := make(chan struct{})
	var written atomic.Int64
	os := startOverlapServer(t, func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			<-first
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/part":
			rw.Header().Set("Content-Length", "10")
			fmt.Fprint(rw, "part")
			panic(http.ErrAbortHandler)
		case "/large":
			for range 100 {
				num, _ := rw.Write(make([]byte, 10<<10))
				written.Add(int64(num))
			}
			return
		}
		echo(rw, r)
	})
	for _, path := range []string{"/abort", "/part"} {
		Convey("after "+path, t, func() {
			cn := os.dial(t)
			fmt.Fprint(cn, get("/slow"), get(path), get("/x"))
			time.Sleep(20 * time.Millisecond)
			select {
			case first <- struct{}{}:
			case <-time.After(5 * time.Second):
			}
			got := bodies(cn, 3)
			So(got[0], ShouldEqual, "/slow 0")
			So(got[1:], ShouldBeIn, []string{"no response"}, []string{"incomplete"})
		})
	}
	Convey("a large response waits for its turn", t, func() {
		cn := os.dial(t)
		fmt.Fprint(cn, get("/slow"), get("/large"), get("/x"))
		time.Sleep(50 * time.Millisecond)
		So(written.Load(), ShouldBeLessThanOrEqualTo, maxRecordedBytes)
		first <- struct{}{}
		got := bodies(cn, 3)
		So(len(got[1]), ShouldEqual, 100*10<<10)
		So(got[2], ShouldEqual, "/x 0")
	})
}
