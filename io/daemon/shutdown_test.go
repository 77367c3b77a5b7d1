package daemon_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/keyring"
	"damasklatch/io/peer/peerpb"
)

// The requests of the tests of the shutdown run longer than the daemon accepts requests after it began to shut down, which is the TTL
// of look-ups and two seconds.
const (
	shutdownLookupTTL = 100 * time.Millisecond
	longServiceTime   = 4 * time.Second
)

// newShutdownCluster returns a cluster whose first daemon serves lamp histories to the key.
func newShutdownCluster(t *testing.T, key string) *cluster {
	cl := newClusterWith(t, strings.NewReplacer(
		"lookup_ttl: 3s", "lookup_ttl: "+shutdownLookupTTL.String(), "deadline: 2s", "deadline: 20s",
		"rate: 500/s", "rate: 50000/s", "burst: 1000\n", "burst: 100000\n", // the share of a daemon that has just started suffices
	))
	cl.accept(config.Key{Digest: keyring.Digest(key), Team: "salon_app"})
	cl.eventually(1, 1, key, "200")
	return cl
}

// dialCaller opens a connection of a caller to the first VM. A small receive buffer makes large responses wait in the daemon.
func (cl *cluster) dialCaller(smallBuffer bool) net.Conn {
	cl.t.Helper()
	dl := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			if smallBuffer {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) // the test passes without it
			}
		})
	}}
	cn, err := dl.Dial("tcp", domainAddress(1)+":17001")
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(func() { cn.Close() })
	_ = cn.SetDeadline(time.Now().Add(20 * time.Second)) // a test that fails takes longer without it
	return cn
}

// longRequest returns a request whose target takes longServiceTime and responds with size bytes.
func longRequest(key string, size int) string {
	return fmt.Sprintf("GET /lamps/7?service_ms=%d&bytes=%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n",
		longServiceTime.Milliseconds(), size, key)
}

// readStatus reads a response and returns its status, the reason for it and the size of its body.
func readStatus(tb testing.TB, rd *bufio.Reader) (status string, size int64) {
	tb.Helper()
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return err.Error(), 0
	}
	size, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		tb.Errorf("the response broke off after %d bytes: %v", size, err)
	}
	return strings.TrimSpace(fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Damasklatch-Reason"))), size
}

// Guards against a shutdown that drops a request of which a part was read together with an earlier request, or that closes a connection
// with unread bytes before the caller has got the response.
func TestShutdownOfPipelinedRequests(t *testing.T) {
	const key, largeBytes = "dlk_shutdown_test", 64 << 10
	cl := newShutdownCluster(t, key)
	together, behind := cl.dialCaller(false), cl.dialCaller(true)
	further := longRequest(key, 10)
	fmt.Fprint(together, longRequest(key, 10)+further[:10])
	fmt.Fprint(behind, longRequest(key, largeBytes))
	time.Sleep(500 * time.Millisecond) // the daemon has passed the requests on
	go (&sender{behind, strings.Repeat(further, furtherRequests)}).run()
	cl.cancel()
	rd := bufio.NewReader(together)
	if got, _ := readStatus(t, rd); got != "200" {
		t.Errorf("the first request got %q, want 200", got)
	}
	time.Sleep(200 * time.Millisecond) // the daemon has closed the connection, unless it waits for the rest of the request
	fmt.Fprint(together, further[10:])
	if got, _ := readStatus(t, rd); got != "503 leaving" {
		t.Errorf("the further request got %q, want 503 leaving", got)
	}
	rd = bufio.NewReaderSize(behind, 16)
	if got, size := readStatus(t, rd); got != "200" || size != largeBytes {
		t.Errorf("got %q and %d bytes, want 200 and %d", got, size, largeBytes)
	}
	refused := 0
	got, _ := readStatus(t, rd)
	for ; got == "503 leaving"; refused++ {
		got, _ = readStatus(t, rd)
	}
	if got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() || refused == furtherRequests {
		t.Errorf("after %d refusals: got %q, want the end of the connection", refused, got)
	}
}

// furtherRequests is the number of requests that are sent behind another one: more than the buffers of the connection hold.
const furtherRequests = 50_000

// sender writes a text to a connection. The write fails once the connection is closed.
type sender struct {
	cn   net.Conn
	text string
}

func (sd *sender) run() { _, _ = io.WriteString(sd.cn, sd.text) }

// Guards against a shutdown that lets callers use their connections until these are cut.
func TestShutdownAnnouncesClose(t *testing.T) {
	const key = "dlk_shutdown_test"
	cl := newShutdownCluster(t, key)
	cn := cl.dialCaller(false)
	rd := bufio.NewReader(cn)
	request := "GET /lamps/7 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n\r\n"
	responses := 0
	cl.cancel()
	for ; ; responses++ {
		fmt.Fprint(cn, request)
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatalf("the connection ended without notice after %d responses: %v", responses, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := rd.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want the end of the connection", err)
	}
}

// Guards against a shutdown that cuts off a call of the operator or of monitoring.
func TestShutdownAwaitsCall(t *testing.T) {
	cl := newShutdownCluster(t, "dlk_shutdown_test")
	call, err := net.Dial("tcp", domainAddress(1)+":17101")
	if err != nil {
		t.Fatal(err)
	}
	defer call.Close()
	fmt.Fprintf(call, "POST %sStatus HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{",
		peerpb.OperatorPathPrefix, strings.Repeat("o", 32))
	cl.cancel()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		cn, err := net.Dial("tcp", domainAddress(1)+":17001")
		if err != nil {
			break // the daemon has closed the listener of callers, and stops its other server next
		}
		cn.Close()
	}
	time.Sleep(50 * time.Millisecond)
	fmt.Fprint(call, "x")
	if got, _ := readStatus(t, bufio.NewReader(call)); got != "400" { // the body is no JSON
		t.Errorf("got %q, want 400", got)
	}
}
