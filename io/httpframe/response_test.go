package httpframe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func ExampleResponseChecker() {
	rc := &ResponseChecker{}
	used, err := rc.Next([]byte("HTTP/1.1 200 OK\r\nBad Name: v\r\n"))
	fmt.Println(used, err)
	// Output: 17 invalid HTTP response: field_name
}

// pieces calls Next with pieces of the text that have the given size. It returns the number of accepted bytes.
func pieces(text string, size int) (int, *Error) {
	rc := &ResponseChecker{}
	used := 0
	for len(text) > 0 {
		num := min(size, len(text))
		good, err := rc.Next([]byte(text[:num]))
		used += good
		if err != nil {
			return used, err
		}
		text = text[num:]
	}
	return used, nil
}

// Guards against a verdict that depends on how the bytes of a response are divided among reads.
func TestPiecesOfResponses(t *testing.T) {
	Convey("responses in pieces of each size", t, func() {
		valid := "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nC: d\r\n\r\nHTTP/1.1 204 No\r\n\r\n"
		for size := 1; size <= len(valid); size++ {
			used, err := pieces(valid, size)
			So(err, ShouldBeNil)
			So(used, ShouldEqual, len(valid))
			for _, end := range []string{"HTTP/1.1 600 X\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "\r\n\r\n", "x\n"} {
				used, err = pieces(valid+end, size)
				So(err, ShouldNotBeNil)
				So(used, ShouldBeBetweenOrEqual, len(valid), len(valid)+len(end)-1)
			}
		}
	})
	Convey("a line without end", t, func() {
		_, err := pieces("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 2*maxLineBytes), 1000)
		So(err, ShouldResemble, &Error{LineLength})
	})
	Convey("a response to HEAD has no body", t, func() {
		rc := &ResponseChecker{}
		rc.SetHead(true)
		_, err := rc.Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"))
		So(err, ShouldBeNil)
	})
}

// scriptedConn is a connection whose reads return texts one after the other and then the end, as after a reset of which only the
// writer was told.
type scriptedConn struct {
	net.Conn
	texts      []string
	writeErr   error
	writeDelay time.Duration
}

func (sc *scriptedConn) Read(buf []byte) (int, error) {
	if len(sc.texts) == 0 {
		return 0, io.EOF
	}
	num := copy(buf, sc.texts[0])
	sc.texts = sc.texts[1:]
	return num, nil
}

func (sc *scriptedConn) Write(src []byte) (int, error) {
	time.Sleep(sc.writeDelay)
	return len(src), sc.writeErr
}

// uploader writes a part of a request.
type uploader struct{ cn net.Conn }

func (up uploader) run() { _, _ = up.cn.Write([]byte("part of an upload")) }

// Guards against a part of a response that is taken for the whole one, because the connection was reset while the request was still
// being sent: the kernel reports the reset once, to the writer or to the reader.
func TestResetWhileSending(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	read := func(sc *scriptedConn) (string, error) {
		cn := NewConn(sc)
		go uploader{cn}.run()
		synctest.Wait()
		got, err := io.ReadAll(cn)
		return string(got), err
	}
	for _, tc := range []struct {
		name string
		conn *scriptedConn
		want error
	}{
		{"write has failed", &scriptedConn{texts: []string{head + "part"}, writeErr: syscall.ECONNRESET}, &Error{CutOff}},
		{"write fails later", &scriptedConn{texts: []string{head, "part"}, writeErr: syscall.EPIPE, writeDelay: time.Millisecond}, &Error{CutOff}},
		{"write does not return", &scriptedConn{texts: []string{head + "part"}, writeDelay: time.Hour}, &Error{CutOff}},
		{"write succeeds", &scriptedConn{texts: []string{head + "all"}, writeDelay: time.Millisecond}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, err := read(tc.conn)
				time.Sleep(tc.conn.writeDelay)
				if tc.want == nil && err != nil || tc.want != nil && !errors.As(err, new(*Error)) {
					t.Errorf("got %q, %v", got, err)
				}
			})
		})
	}
}

// Guards against a Conn that net/http can't use for several requests, HEAD among them.
func TestConnKeepsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.Write([]byte("abc")) })}
	go srv.Serve(ln)
	defer srv.Close()
	dials := 0
	var last *Conn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		last = NewConn(nc)
		return last, err
	}
	tr := &http.Transport{DialContext: dial}
	defer tr.CloseIdleConnections()
	Convey("requests in a row use one connection", t, func() {
		for _, method := range []string{"GET", "HEAD", "HEAD", "GET"} {
			if last != nil {
				last.SetMethod(method)
			}
			req, err := http.NewRequest(method, "http://"+ln.Addr().String(), nil)
			So(err, ShouldBeNil)
			resp, err := tr.RoundTrip(req)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			resp.Body.Close()
			So(bytes.Equal(body, []byte("abc")), ShouldEqual, method == "GET")
		}
		So(dials, ShouldEqual, 1)
	})
}
