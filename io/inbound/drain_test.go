package inbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// drainServer is a testServer whose listener can be drained.
type drainServer struct {
	*testServer
	ln *Listener
}

// startDrainServer starts a server that announces the close of its connections.
func startDrainServer(tb testing.TB, serve http.HandlerFunc) *drainServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ds := &drainServer{testServer: &testServer{address: ln.Addr().String()}, ln: NewListener(ln)}
	ds.serve = func(rw http.ResponseWriter, r *http.Request) {
		serve(rw, r)
		if AnnounceClose(r) {
			rw.Header().Set("Connection", "close")
		}
		fmt.Fprintf(rw, "%s", r.URL.Path)
	}
	ds.srv = &http.Server{Handler: ds.testServer, ReadHeaderTimeout: 10 * time.Second}
	Attach(ds.srv)
	go ds.run(ds.ln)
	tb.Cleanup(func() { ds.ln.Abort() })
	return ds
}

// drain drains the listener and returns the time that this took.
func (ds *drainServer) drain(tb testing.TB) time.Duration {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	began := time.Now()
	if err := ds.ln.Drain(ctx); err != nil {
		tb.Error(err)
	}
	return time.Since(began)
}

// gate holds up requests until it is opened.
type gate struct{ arrived, open chan struct{} }

func newGate() *gate { return &gate{make(chan struct{}, 10), make(chan struct{})} }

// openLater opens the gate when draining has probably begun.
func (gt *gate) openLater() { time.AfterFunc(20*time.Millisecond, func() { close(gt.open) }) }

func (gt *gate) serve(http.ResponseWriter, *http.Request) {
	gt.arrived <- struct{}{}
	<-gt.open
}

// wantResponse reads a response and checks whether it announces the close.
func wantResponse(tb testing.TB, rd *bufio.Reader, closes bool) {
	tb.Helper()
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		tb.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "/a" {
		tb.Errorf("got body %q, %v", body, err)
	}
	if resp.Close != closes {
		tb.Errorf("the response announces the close: %t, want %t", resp.Close, closes)
	}
}

func wantEnd(tb testing.TB, rd *bufio.Reader) {
	tb.Helper()
	if _, err := rd.ReadByte(); err == nil {
		rest, _ := rd.Peek(rd.Buffered())
		tb.Errorf("got further bytes %q, want the end of the connection", rest)
	}
}

// Guards against reading several requests that wait, before the server leaves: it would have to serve them all.
func TestReadsOnlyOneOfWaitingRequests(t *testing.T) {
	arrived, open := make(chan struct{}, 10), make(chan struct{})
	ds := startDrainServer(t, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-open
	})
	cn := ds.dial(t)
	fmt.Fprint(cn, plainGet)
	<-arrived
	fmt.Fprint(cn, strings.Repeat(plainGet, 3))
	time.Sleep(20 * time.Millisecond)
	open <- struct{}{}
	<-arrived
	ds.ln.Leave()
	close(open)
	ds.drain(t)
	rd := bufio.NewReader(cn)
	wantResponse(t, rd, false)
	wantResponse(t, rd, true)
	wantEnd(t, rd)
}

// Guards against a request that was read together with an earlier one and gets no response because the server shuts down.
func TestDrainServesRequestsThatWereRead(t *testing.T) {
	gt := newGate()
	ds := startDrainServer(t, gt.serve)
	cn := ds.dial(t)
	fmt.Fprint(cn, strings.Repeat(plainGet, 3))
	<-gt.arrived
	ds.ln.Leave()
	gt.openLater()
	ds.drain(t)
	rd := bufio.NewReader(cn)
	wantResponse(t, rd, false)
	wantResponse(t, rd, false)
	wantResponse(t, rd, true)
	wantEnd(t, rd)
}

// Guards against a shutdown that reads a further request and does not serve it. The caller could not send it elsewhere.
func TestDrainReadsNoFurtherRequest(t *testing.T) {
	for _, further := range []string{plainGet, "GET /"} {
		gt := newGate()
		ds := startDrainServer(t, gt.serve)
		cn := ds.dial(t)
		fmt.Fprint(cn, plainGet)
		<-gt.arrived
		fmt.Fprint(cn, further)
		ds.ln.Leave()
		gt.openLater()
		ds.drain(t)
		rd := bufio.NewReader(cn)
		wantResponse(t, rd, true)
		wantEnd(t, rd)
		if num := ds.served.Load(); num != 1 {
			t.Errorf("%d requests were served, want 1", num)
		}
	}
}

// Guards against a shutdown that closes a connection on which the caller is sending a request.
func TestDrainWaitsForRequestReadInPart(t *testing.T) {
	ds := startDrainServer(t, newOpenGate().serve)
	cn := ds.dial(t)
	fmt.Fprint(cn, plainGet[:10])
	time.Sleep(20 * time.Millisecond)
	go (&sender{slowConn{cn}, plainGet[10:]}).run()
	ds.drain(t)
	rd := bufio.NewReader(cn)
	wantResponse(t, rd, true)
	wantEnd(t, rd)
}

func newOpenGate() *gate {
	gt := newGate()
	close(gt.open)
	return gt
}

// slowConn writes one byte at a time.
type slowConn struct{ net.Conn }

func (sc slowConn) Write(buf []byte) (int, error) {
	for at := range buf {
		time.Sleep(time.Millisecond)
		if _, err := sc.Conn.Write(buf[at : at+1]); err != nil {
			return at, err
		}
	}
	return len(buf), nil
}

// Guards against a shutdown that waits for connections on which no request is expected.
func TestDrainClosesIdleConnections(t *testing.T) {
	ds := startDrainServer(t, newOpenGate().serve)
	unused, used, part := ds.dial(t), ds.dial(t), ds.dial(t)
	fmt.Fprint(used, plainGet)
	wantResponse(t, bufio.NewReader(used), false)
	fmt.Fprint(part, plainGet[:10])
	time.Sleep(20 * time.Millisecond)
	if took := ds.drain(t); took > drainHeaderTimeout+2*time.Second {
		t.Errorf("draining took %s", took)
	}
	for _, cn := range []net.Conn{unused, used, part} {
		wantEnd(t, bufio.NewReader(cn))
	}
}

// Guards against a request on a new or kept connection that is refused although the server has only begun to leave.
func TestLeaveServesNewRequests(t *testing.T) {
	ds := startDrainServer(t, newOpenGate().serve)
	kept := ds.dial(t)
	fmt.Fprint(kept, plainGet)
	rd := bufio.NewReader(kept)
	wantResponse(t, rd, false)
	ds.ln.Leave()
	fmt.Fprint(kept, plainGet)
	wantResponse(t, rd, true)
	fresh := ds.dial(t)
	fmt.Fprint(fresh, plainGet+plainGet)
	wantResponse(t, bufio.NewReader(fresh), true)
	ds.drain(t)
}

// dialSlow opens a connection with a small receive buffer, so that a response of a few kilobytes doesn't fit.
func (ts *testServer) dialSlow(tb testing.TB) net.Conn {
	dl := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	cn, err := dl.Dial("tcp", ts.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { cn.Close() })
	return cn
}

const largeBytes = 64 << 10

// Guards against a response that is dropped because its connection is closed while a further request is unread.
func TestResponseBeforeUnreadRequest(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	ts := startServer(t, true, func(rw http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		rw.Header().Set("Connection", "close")
		rw.Header().Set("Content-Length", fmt.Sprint(largeBytes))
		io.WriteString(rw, strings.Repeat("x", largeBytes))
	})
	cn := ts.dialSlow(t)
	fmt.Fprint(cn, plainGet)
	<-arrived
	fmt.Fprint(cn, strings.Repeat(plainGet, 2*maxReadAhead/len(plainGet)))
	time.Sleep(20 * time.Millisecond)
	close(release)
	time.Sleep(100 * time.Millisecond) // the server has closed the connection, unless it waits for the caller
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if num, err := io.Copy(io.Discard, resp.Body); num != largeBytes || err != nil {
		t.Errorf("got %d bytes, %v; want %d", num, err, largeBytes)
	}
}

// Guards against a response that is dropped because its caller ends its sending side, after a further request, while the response is
// being delivered.
func TestResponseBeforeEndOfRequests(t *testing.T) {
	ts := startServer(t, true, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Connection", "close")
		rw.Header().Set("Content-Length", fmt.Sprint(largeBytes))
		io.WriteString(rw, strings.Repeat("x", largeBytes))
	})
	cn := ts.dialSlow(t)
	fmt.Fprint(cn, plainGet)
	rd := bufio.NewReaderSize(cn, 16)
	if _, err := rd.Peek(1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the server has written the response
	fmt.Fprint(cn, plainGet)
	if err := cn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the server has closed the connection, unless it waits for the caller
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		t.Fatal(err)
	}
	if num, err := io.Copy(io.Discard, resp.Body); num != largeBytes || err != nil {
		t.Errorf("got %d bytes, %v; want %d", num, err, largeBytes)
	}
}

// Guards against a caller that doesn't read its response and holds up a shutdown.
func TestStalledCallerHoldsUpNoDrain(t *testing.T) {
	ds := startDrainServer(t, func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, strings.Repeat("x", largeBytes)) })
	cn := ds.dialSlow(t)
	fmt.Fprint(cn, plainGet)
	if _, err := cn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if took := ds.drain(t); took > stallTimeout+2*time.Second {
		t.Errorf("draining took %s", took)
	}
}

// Guards against requests that go on after the shutdown has run out of time.
func TestAbortCancelsRequests(t *testing.T) {
	canceled := make(chan struct{}, 1)
	arrived := make(chan struct{}, 1)
	ds := startDrainServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	cn := ds.dial(t)
	fmt.Fprint(cn, plainGet)
	<-arrived
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := ds.ln.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want that of the context", err)
	}
	ds.ln.Abort()
	<-canceled
	ds.drain(t)
}

// Guards against waiting for a delivery that is complete or makes no progress, and against giving up one that does.
func TestDeliveryProgress(t *testing.T) {
	const step = 400 * time.Millisecond
	for name, tc := range map[string]struct {
		seen  []delivery
		steps int // after which the wait is over
	}{
		"delivered":               {[]delivery{{finWait2, 9, 0}}, 0},
		"caller has closed":       {[]delivery{{tcpState(7), 9, 5}}, 0},
		"no progress":             {[]delivery{{finWait1, 5, 0}}, 3},
		"slow progress":           {[]delivery{{finWait1, 1, 0}, {finWait1, 2, 0}, {finWait1, 3, 0}, {finWait1, 4, 0}, {finWait2, 9, 0}}, 4},
		"unread request":          {[]delivery{{finWait2, 9, 5}}, 2},
		"unread, then closed":     {[]delivery{{finWait2, 9, 5}, {tcpState(6), 9, 5}}, 1},
		"unread, delivered later": {[]delivery{{finWait1, 5, 5}, {finWait1, 5, 5}, {finWait2, 9, 5}}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var dp deliveryProgress
			now := time.Now()
			for nr := 0; ; nr++ {
				if dp.over(now.Add(time.Duration(nr)*step), tc.seen[min(nr, len(tc.seen)-1)]) {
					if nr != tc.steps {
						t.Errorf("the wait was over after %d steps, want %d", nr, tc.steps)
					}
					return
				}
			}
		})
	}
}

// Guards against a connection that a caller keeps open for as long as it likes by reading its response slowly.
func TestDeliveryIsBounded(t *testing.T) {
	const step = stallTimeout / 2
	var dp deliveryProgress
	began := time.Now()
	took := time.Duration(0)
	for nr := uint64(1); !dp.over(began.Add(took), delivery{state: finWait1, acked: nr}); nr++ {
		if took += step; took > deliveryTimeout {
			t.Fatalf("the delivery goes on after %s", took)
		}
	}
	if took != deliveryTimeout {
		t.Errorf("the delivery was given up after %s, want %s", took, deliveryTimeout)
	}
}
