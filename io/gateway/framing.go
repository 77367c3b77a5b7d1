package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
)

// maxRecordedHead is the number of bytes of a request that are recorded to check its framing. The header of any valid request
// fits in.
const maxRecordedHead = 16 << 10

// recordingListener records the first bytes of each request on its connections. If a request has both chunked encoding and a
// Content-Length, net/http removes the Content-Length before a handler sees it. Such a request must be refused: other
// implementations may take it for two requests (request smuggling).
type recordingListener struct{ net.Listener }

// Accept implements net.Listener.
func (tl recordingListener) Accept() (net.Conn, error) {
	cn, err := tl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: cn}, nil
}

// recordingConn is a connection that records the first bytes of the current request.
type recordingConn struct {
	net.Conn
	mu   sync.Mutex
	head []byte
}

// Read implements net.Conn.
func (tc *recordingConn) Read(buf []byte) (int, error) {
	num, err := tc.Conn.Read(buf)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if room := maxRecordedHead - len(tc.head); num > 0 && room > 0 {
		tc.head = append(tc.head, buf[:min(num, room)]...)
	}
	return num, err
}

// connKey is the context key of the connection.
type connKey struct{}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, cn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, cn)
}

// resetRecording discards the recorded bytes at the end of a request.
func resetRecording(r *http.Request) {
	if tc, ok := r.Context().Value(connKey{}).(*recordingConn); ok {
		tc.mu.Lock()
		tc.head = tc.head[:0]
		tc.mu.Unlock()
	}
}

// hasAmbiguousLength reports whether a request has both chunked encoding and a Content-Length.
func hasAmbiguousLength(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	tc, ok := r.Context().Value(connKey{}).(*recordingConn)
	if !ok {
		return false
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return hasContentLength(tc.head, r.Method+" "+r.RequestURI+" ")
}

// hasContentLength reports whether the header after the given start of a request line contains a Content-Length field.
func hasContentLength(src []byte, line string) bool {
	at := bytes.Index(src, []byte(line))
	if at < 0 {
		return false
	}
	head, _, _ := bytes.Cut(src[at:], []byte("\r\n\r\n"))
	for field := range strings.SplitSeq(string(head), "\r\n") {
		name, _, _ := strings.Cut(field, ":")
		if strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
			return true
		}
	}
	return false
}
