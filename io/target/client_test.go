package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
)

// scriptedTarget serves each connection with the same function, which gets the requests of that connection one by one.
type scriptedTarget struct {
	ln    net.Listener
	conns atomic.Int32
	serve func(sc *scriptedConn)
}

// scriptedConn is a connection of a scriptedTarget.
type scriptedConn struct {
	net.Conn
	rd *bufio.Reader
}

func startScriptedTarget(t *testing.T, serve func(sc *scriptedConn)) *scriptedTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := &scriptedTarget{ln: ln, serve: serve}
	t.Cleanup(func() { ln.Close() })
	go st.loop()
	return st
}

func (st *scriptedTarget) loop() {
	for {
		cn, err := st.ln.Accept()
		if err != nil {
			return
		}
		st.conns.Add(1)
		go st.run(cn)
	}
}

func (st *scriptedTarget) run(cn net.Conn) {
	defer cn.Close()
	st.serve(&scriptedConn{cn, bufio.NewReader(cn)})
}

// next returns the ID of the next request, and false at the end of the connection.
func (sc *scriptedConn) next() (string, bool) {
	r, err := http.ReadRequest(sc.rd)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Request-Id"), true
}

// respond sends a response without a body. An empty ID is left out.
func (sc *scriptedConn) respond(status int, rid string) {
	field := ""
	if rid != "" {
		field = "Request-Id: " + rid + "\r\n"
	}
	fmt.Fprintf(sc, "HTTP/1.1 %d Status\r\n%sContent-Length: 0\r\n\r\n", status, field)
}

// exchangeStatus sends a POST request with an ID and returns the status of its response, or the error.
func exchangeStatus(cl *Client, rid id.Request) (int, *Error) {
	return exchangeStatusWithin(context.Background(), cl, rid)
}

// exchangeStatusWithin is like exchangeStatus. The request ends at the latest with the context.
func exchangeStatusWithin(ctx context.Context, cl *Client, rid id.Request) (int, *Error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	resp, err := cl.Exchange(ctx, &OutgoingRequest{
		ID: rid, ResponseID: func(hd http.Header) id.Request { return id.Request(hd.Get("Request-Id")) },
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: cl.address, Path: "/"}, Host: "desk",
		Header: http.Header{"Request-Id": {string(rid)}},
	})
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// Guards against a late copy of a response that is taken for the response to the next attempt of the same request.
func TestRepeatedRequestUsesAnotherConnection(t *testing.T) {
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		for rid, ok := sc.next(); ok; rid, ok = sc.next() {
			sc.respond(200, rid)
		}
	})
	cl := NewClient("t", st.ln.Addr().String(), time.Second)
	defer cl.Close()
	Convey("a request that is sent again", t, func() {
		for nr, rid := range []id.Request{"a", "b", "c", "a", "d", "d"} {
			status, err := exchangeStatus(cl, rid)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(st.conns.Load(), ShouldEqual, []int32{1, 1, 1, 2, 2, 3}[nr])
		}
	})
	Convey("the record of a connection holds its last requests", t, func() {
		rl := requestLog{}
		for nr := range 3 * maxLoggedRequests {
			So(rl.add(id.Request(fmt.Sprint(nr))), ShouldBeTrue)
			So(rl.add(id.Request(fmt.Sprint(nr))), ShouldBeFalse)
			So(rl.add(id.Request(fmt.Sprint(max(nr-maxLoggedRequests+1, 0)))), ShouldBeFalse)
		}
		So(len(rl.hashes), ShouldEqual, maxLoggedRequests)
	})
}

// Guards against a connection on which all responses arrive one request late after the target has sent one twice, so that each
// further request on it fails.
func TestForeignResponseClosesConnection(t *testing.T) {
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		first, _ := sc.next()
		sc.respond(503, first)
		second, ok := sc.next()
		if !ok {
			return
		}
		sc.respond(503, first)
		third, ok := sc.next() // the response to the second request arrives after the third has been sent
		sc.respond(200, second)
		if ok {
			sc.respond(200, third)
		}
	})
	cl := NewClient("t", st.ln.Addr().String(), time.Second)
	defer cl.Close()
	Convey("only the request that meets the late copy fails", t, func() {
		status, err := exchangeStatus(cl, "a")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		_, err = exchangeStatus(cl, "b")
		So(err.Kind, ShouldEqual, ForeignResponse)
		So(err.MayHaveRun, ShouldBeTrue)
		status, err = exchangeStatus(cl, "c")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(st.conns.Load(), ShouldEqual, 2)
	})
}

// Guards against bytes of a target that belong to no request and are taken for the response to the next one, because they have no
// ID by which to tell.
func TestResponseWithoutID(t *testing.T) {
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		rid, ok := sc.next()
		if rid == "known" {
			sc.respond(200, rid)
			_, ok = sc.next()
		}
		for ; ok; _, ok = sc.next() {
			sc.respond(503, "")
		}
	})
	cl := NewClient("t", st.ln.Addr().String(), time.Second)
	defer cl.Close()
	Convey("a response without an ID", t, func() {
		Convey("is accepted as the first of a connection, which is not used again", func() {
			before := st.conns.Load()
			for nr, rid := range []id.Request{"a", "b", ""} {
				status, err := exchangeStatus(cl, rid)
				So(err, ShouldBeNil)
				So(status, ShouldEqual, 503)
				So(st.conns.Load()-before, ShouldEqual, nr+1)
			}
		})
		Convey("is not accepted on a connection that has carried other requests", func() {
			_, err := exchangeStatus(cl, "known")
			So(err, ShouldBeNil)
			_, err = exchangeStatus(cl, "c")
			So(err.Kind, ShouldEqual, ForeignResponse)
		})
	})
}

// Guards against callers of a Pool that get the response to another request, which a target sends a second time.
func TestPoolDiscardsForeignResponse(t *testing.T) {
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		late := ""
		for rid, ok := sc.next(); ok; rid, ok = sc.next() {
			if late != "" {
				sc.respond(200, late)
			}
			sc.respond(200, rid)
			late = rid
		}
	})
	pl := newTestPool(t, st.ln.Addr().String())
	send := func(rid id.Request) (*Response, error) {
		return pl.Do(context.Background(), &Request{ID: rid, Pool: "desk", Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: http.Header{}})
	}
	Convey("the second request on a connection meets a late copy of the first response", t, func() {
		res, err := send("a")
		So(err, ShouldBeNil)
		res.Body.Close()
		_, err = send("b")
		var te *Error
		So(errors.As(err, &te), ShouldBeTrue)
		So(te.Kind, ShouldEqual, ForeignResponse)
		So(te.MayHaveRun, ShouldBeTrue)
		res, err = send("c")
		So(err, ShouldBeNil)
		res.Body.Close()
		So(st.conns.Load(), ShouldEqual, 2)
	})
}

// discardingConn is a connection that discards all writes.
type discardingConn struct{ net.Conn }

func (discardingConn) Write(buf []byte) (int, error) { return len(buf), nil }
func (discardingConn) Close() error                  { return nil }

// Guards against a request that counts as not run after a response to another request has arrived, because net/http has already given
// the connection to the next request, of which nothing has been written yet.
func TestForeignResponseMayHaveRun(t *testing.T) {
	ex := &exchange{client: NewClient("t", "127.0.0.1:1", time.Second), out: &OutgoingRequest{ID: "a"}, body: &requestBody{}}
	cn := newConn(discardingConn{})
	ex.conn = cn.beginAttempt(time.Now(), 0, "a")
	if _, err := cn.Write([]byte("POST")); err != nil {
		t.Fatal(err)
	}
	cn.beginAttempt(time.Now(), 0, "b")
	if err := ex.classify(context.Background(), errForeignResponse); err.Kind != ForeignResponse || !err.MayHaveRun {
		t.Errorf("got %v, may have run: %t", err, err.MayHaveRun)
	}
}

// Guards against a request that is refused although another connection could carry it: net/http reports a connection that fails all
// writes of the request with the error of the read that was waiting on it, which does not tell that another connection will do.
func TestUnsuitableConnectionIsRecognized(t *testing.T) {
	unsuitable := func() *connAttempt {
		cn := newConn(nil)
		cn.beginAttempt(time.Now(), 0, "a")
		return cn.beginAttempt(time.Now(), 0, "a")
	}
	Convey("a connection has carried the request and net/http returns a read error", t, func() {
		ex := &exchange{client: NewClient("t", "127.0.0.1:1", time.Second), out: &OutgoingRequest{ID: "a"}, body: &requestBody{}, conn: unsuitable()}
		pl := newTestPool(t, "127.0.0.1:1")
		at := &attempt{cl: &call{pl: pl, ctx: context.Background()}, be: pl.backends["t0"], body: &requestBody{}, conn: unsuitable()}
		for _, er := range []*Error{ex.classify(context.Background(), net.ErrClosed), at.classify(net.ErrClosed)} {
			So(er.Kind, ShouldEqual, ResetBeforeWrite)
			So(er.MayHaveRun, ShouldBeFalse)
			So(isUnsuitable(er), ShouldBeTrue)
		}
	})
}

// nextRequest hands the connection of a request to another one at the moment at which net/http does so: after the response has
// arrived and before the request gets it. It then ends the context of the first request, and lets the other one write only after the
// first one has returned.
type nextRequest struct {
	send  func(ctx context.Context) *Error // sends the other request
	ended chan struct{}                    // to be closed when the first request has returned
	sent  chan struct{}                    // closed when the other request has returned
	err   *Error                           // error of the other request; set before sent is closed
}

// firstContext returns the context for the first request.
func (nr *nextRequest) firstContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) {
		got := make(chan struct{})
		go nr.run(got)
		<-got
		cancel()
		<-nr.ended
	}})
}

// run sends the other request. It closes got when the request has a connection.
func (nr *nextRequest) run(got chan<- struct{}) {
	defer close(nr.sent)
	once := sync.Once{}
	nr.err = nr.send(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		once.Do(func() { close(got) })
		<-nr.ended
	}}))
}

// Guards against a request that counts as not run although its target has run it: its context ends when the response has arrived and
// net/http has already given the connection to another request, which has not written yet.
func TestEndedRequestOnReusedConnMayHaveRun(t *testing.T) {
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		for rid, ok := sc.next(); ok; rid, ok = sc.next() {
			sc.respond(200, rid)
		}
	})
	address := st.ln.Addr().String()
	cl := NewClient("t", address, time.Second)
	defer cl.Close()
	pl := newTestPool(t, address)
	for name, send := range map[string]func(ctx context.Context, rid id.Request) *Error{
		"Client": func(ctx context.Context, rid id.Request) *Error {
			_, err := exchangeStatusWithin(ctx, cl, rid)
			return err
		},
		"Pool": func(ctx context.Context, rid id.Request) *Error {
			res, err := pl.Do(ctx, &Request{ID: rid, Pool: "desk", Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: http.Header{}})
			if err == nil {
				res.Body.Close()
				return nil
			}
			var te *Error
			errors.As(err, &te)
			return te
		},
	} {
		Convey(name, t, func() {
			nr := &nextRequest{ended: make(chan struct{}), sent: make(chan struct{})}
			nr.send = func(ctx context.Context) *Error { return send(ctx, "b") }
			err := send(nr.firstContext(), "a")
			close(nr.ended)
			<-nr.sent
			So(err.Kind, ShouldEqual, Canceled)
			So(err.MayHaveRun, ShouldBeTrue)
			So(nr.err, ShouldBeNil) // sent on another connection, because net/http closes this one when the context ends
		})
	}
}

// Guards against a request that its target runs twice: the response has arrived, net/http has already given the connection to a request
// that it must not carry, and the failed write of that one ends both.
func TestRequestOfUnsuitableConnIsNotSentAgain(t *testing.T) {
	var runs atomic.Int32
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		for rid, ok := sc.next(); ok; rid, ok = sc.next() {
			if rid == "b" {
				runs.Add(1)
			}
			sc.respond(500, rid)
		}
	})
	cl := NewClient("t", st.ln.Addr().String(), time.Second)
	defer cl.Close()
	Convey("a request whose connection was given to one that it has carried before", t, func() {
		_, err := exchangeStatus(cl, "a")
		So(err, ShouldBeNil)
		ended := make(chan struct{})
		var given atomic.Bool
		again := make(chan *Error, 1)
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{PutIdleConn: func(error) {
			if !given.Swap(true) {
				_, err := exchangeStatus(cl, "a")
				again <- err
				<-ended
			}
		}})
		_, err = exchangeStatusWithin(ctx, cl, "b")
		close(ended)
		Convey("is sent once", func() {
			So(<-again, ShouldBeNil)
			So(runs.Load(), ShouldEqual, 1)
			So(err, ShouldNotBeNil)
			So(err.MayHaveRun, ShouldBeTrue)
		})
	})
}

// Guards against a request that fails, and whose target counts as failing, because the response to an earlier request on its connection
// could not be identified: nothing of it has been sent, so another connection can carry it.
func TestRetiredConnectionIsReplaced(t *testing.T) {
	Convey("an attempt that has begun", t, func() {
		cn := newConn(discardingConn{})
		earlier := cn.beginAttempt(time.Now(), 0, "a")
		later := cn.beginAttempt(time.Now(), 0, "b")
		Convey("and has not written is not sent", func() {
			earlier.retire()
			_, err := cn.Write([]byte("POST"))
			So(err, ShouldNotBeNil)
			wrote, blocked := later.blockWrites()
			So(wrote, ShouldBeFalse)
			So(isUnsuitable(&Error{Cause: blocked}), ShouldBeTrue)
		})
		Convey("and has written may have run", func() {
			_, err := cn.Write([]byte("POST"))
			So(err, ShouldBeNil)
			earlier.retire()
			wrote, _ := later.blockWrites()
			So(wrote, ShouldBeTrue)
		})
	})
}

// Guards against dialing a target again and again that closes each new connection because it accepts no more.
func TestClosedNewConnectionIsNotReplaced(t *testing.T) {
	Convey("a connection that is closed before the attempt writes", t, func() {
		cn := newConn(discardingConn{})
		ca := cn.beginAttempt(time.Now(), 0, "a")
		reused := false
		Convey("new", func() {})
		Convey("reused", func() {
			ca, reused = cn.beginAttempt(time.Now(), 0, "b"), true
		})
		So(cn.Close(), ShouldBeNil)
		wrote, blocked := ca.blockWrites()
		So(wrote, ShouldBeFalse)
		So(blocked, ShouldNotBeNil)
		So(isUnsuitable(&Error{Cause: blocked}), ShouldEqual, reused)
	})
}

// respondNotRun sends a refusal. An empty ID is left out.
func (sc *scriptedConn) respondNotRun(rid string) {
	field := "Work-Status: not_run\r\n"
	if rid != "" {
		field += "Request-Id: " + rid + "\r\n"
	}
	fmt.Fprintf(sc, "HTTP/1.1 503 Full\r\n%sContent-Length: 0\r\n\r\n", field)
}

// Guards against a caller who is told that a request has not run while its target runs it: a refusal that names no request is a late
// copy of an earlier one, or other additional bytes of the target.
func TestPoolRefusalWithoutID(t *testing.T) {
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		refused := false
		for rid, ok := sc.next(); ok; rid, ok = sc.next() {
			switch {
			case refused: // sends the refusal once more and runs the request
				sc.respondNotRun("")
				sc.respond(200, "")
			case rid == "full":
				sc.respondNotRun("")
				refused = true
			case rid == "named":
				sc.respond(200, rid)
			default:
				sc.respond(200, "")
			}
		}
	})
	send := func(pl *Pool, rid id.Request) *Error {
		res, err := pl.Do(context.Background(), &Request{ID: rid, Pool: "desk", Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: http.Header{}})
		if err == nil {
			res.Body.Close()
			return nil
		}
		var te *Error
		errors.As(err, &te)
		return te
	}
	Convey("a refusal without an ID", t, func() {
		pl := newTestPool(t, st.ln.Addr().String())
		Convey("is believed if no response on the connection had an ID, and the connection is not used again", func() {
			So(send(pl, "a"), ShouldBeNil)
			err := send(pl, "full")
			So(err.Kind, ShouldEqual, Refused)
			So(err.MayHaveRun, ShouldBeFalse)
			before := st.conns.Load()
			So(send(pl, "b"), ShouldBeNil)
			So(st.conns.Load()-before, ShouldEqual, 1)
		})
		Convey("is not believed after a response with an ID", func() {
			So(send(pl, "named"), ShouldBeNil)
			err := send(pl, "full")
			So(err.Kind, ShouldEqual, ForeignResponse)
			So(err.MayHaveRun, ShouldBeTrue)
		})
	})
}

// Guards against a request that is sent to a target although it was withdrawn while it waited for a connection.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	arrived := atomic.Int32{}
	st := startScriptedTarget(t, func(sc *scriptedConn) {
		for rid, ok := sc.next(); ok; rid, ok = sc.next() {
			arrived.Add(1)
			sc.respond(200, rid)
		}
	})
	cl := NewClient("t", st.ln.Addr().String(), time.Second)
	t.Cleanup(cl.Close)
	send := func(rid id.Request, maySend bool) *Error {
		resp, err := cl.Exchange(context.Background(), &OutgoingRequest{
			ID: rid, ResponseID: func(hd http.Header) id.Request { return id.Request(hd.Get("Request-Id")) },
			MaySend: func() bool { return maySend }, Method: http.MethodGet,
			URL:  &url.URL{Scheme: "http", Host: cl.address, Path: "/"},
			Host: "desk", Header: http.Header{"Request-Id": {string(rid)}},
		})
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	Convey("a request is withdrawn on a new connection and on one that has carried another", t, func() {
		for nr := range 2 {
			err := send(id.Request(fmt.Sprint("withdrawn-", nr)), false)
			So(err, ShouldNotBeNil)
			So(err.Kind, ShouldEqual, Withdrawn)
			So(err.MayHaveRun, ShouldBeFalse)
			So(arrived.Load(), ShouldEqual, nr)
			So(send(id.Request(fmt.Sprint("sent-", nr)), true), ShouldBeNil)
			So(arrived.Load(), ShouldEqual, nr+1)
		}
	})
}
