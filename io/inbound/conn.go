package inbound

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxReadAhead is the largest number of bytes of further requests that are read while a request runs. A close of the
	// connection behind more bytes than that is noticed only when the request has ended.
	maxReadAhead = 16 << 10
	// readAheadStep is the number of bytes by which the buffer grows.
	readAheadStep = 512
)

// NewListener returns a listener whose connections are owned by this package. They are to be served by a server that was passed
// to Attach.
func NewListener(ln net.Listener) net.Listener { return listener{ln} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (li listener) Accept() (net.Conn, error) {
	cn, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(cn), nil
}

// Attach makes a server tell its connections when a request has ended, and makes them available to CheckFraming. It must be
// called before the server serves, and after its fields ConnState and ConnContext have been set.
func Attach(srv *http.Server) {
	hk := hooks{srv.ConnState, srv.ConnContext}
	srv.ConnState, srv.ConnContext = hk.connState, hk.connContext
}

// hooks are the functions of a server that Attach has replaced. They may be nil.
type hooks struct {
	state   func(net.Conn, http.ConnState)
	context func(context.Context, net.Conn) context.Context
}

func (hk hooks) connState(nc net.Conn, state http.ConnState) {
	if cn, ok := nc.(*conn); ok && state == http.StateIdle {
		cn.nextRequest()
	}
	if hk.state != nil {
		hk.state(nc, state)
	}
}

// connKey is the context key of the connection.
type connKey struct{}

func (hk hooks) connContext(ctx context.Context, nc net.Conn) context.Context {
	if hk.context != nil {
		ctx = hk.context(ctx, nc)
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// CheckFraming returns an error if another implementation may find another end of the request than net/http, or if this package
// does. Such a request must not be served, and its connection must be closed; all further requests on the connection get the
// error, too. A chunked body is checked as far as it has been read. A request that came over another listener passes.
func CheckFraming(r *http.Request) error {
	cn, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	fr := &cn.fr
	chunked := slices.Equal(r.TransferEncoding, []string{"chunked"})
	switch {
	case fr.refused != nil:
	case chunked != fr.chunked, !chunked && fr.length != r.ContentLength:
		// All further bytes are passed on, so that net/http doesn't wait for a body whose end was already found.
		fr.refuse(errors.New("unclear end of the body"))
	}
	return fr.refused
}

// conn is a connection of a caller. Reads return the bytes of one request, and block at its end until nextRequest is called.
// Meanwhile they read ahead, so that an error of the connection is returned while the request runs. Reads and nextRequest must
// not be called concurrently; net/http does so.
type conn struct {
	net.Conn

	mu      sync.Mutex
	changed sync.Cond // expired or closed was set
	fr      framer
	ahead   []byte  // bytes of further requests
	one     [1]byte // for the first byte read ahead; most connections carry no further request, and need no larger buffer
	failure error   // returned by all further reads; nil while the connection works
	expired bool    // the read deadline is in the past
	closed  bool
}

func newConn(nc net.Conn) *conn {
	cn := &conn{Conn: nc}
	cn.changed.L = &cn.mu
	return cn
}

// nextRequest lets reads go on with the next request. It has no effect if the end of the current one has not been read.
func (cn *conn) nextRequest() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.fr.state == atEnd {
		cn.fr = framer{}
	}
}

// Read implements net.Conn. After an error other than an expired deadline, all further reads fail, so that no request of a
// caller that has left is served.
func (cn *conn) Read(buf []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for cn.failure == nil && cn.fr.state == atEnd {
		if err := cn.readAhead(); err != nil {
			return 0, cn.fail(err)
		}
	}
	if cn.failure != nil {
		return 0, cn.failure
	}
	if len(cn.ahead) > 0 {
		return cn.takeAhead(buf), nil
	}
	num, err := cn.readLocked(buf[:cn.fr.wanted(len(buf))])
	used := cn.fr.next(buf[:num])
	if used < num {
		cn.ahead = slices.Clone(buf[used:num])
	}
	if err != nil {
		return used, cn.fail(err)
	}
	return used, nil
}

// fail records an error for further reads, unless it is an expired deadline.
func (cn *conn) fail(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.failure, cn.ahead = err, nil
	}
	return err
}

// takeAhead moves bytes of the current request that were read ahead to buf, and returns their number.
func (cn *conn) takeAhead(buf []byte) int {
	used := cn.fr.next(cn.ahead[:min(len(buf), len(cn.ahead))])
	copy(buf, cn.ahead[:used])
	cn.ahead = cn.ahead[used:]
	if len(cn.ahead) == 0 {
		cn.ahead = nil
	}
	return used
}

// readLocked reads from the connection. It doesn't hold mu meanwhile.
func (cn *conn) readLocked(buf []byte) (int, error) {
	cn.mu.Unlock()
	defer cn.mu.Lock()
	return cn.Conn.Read(buf)
}

// readAhead reads bytes of further requests. If there is no room for them, it waits until the read deadline expires or the
// connection is closed.
func (cn *conn) readAhead() error {
	if len(cn.ahead) >= maxReadAhead {
		for !cn.expired && !cn.closed {
			cn.changed.Wait()
		}
		if cn.closed {
			return net.ErrClosed
		}
		return os.ErrDeadlineExceeded
	}
	buf := cn.one[:]
	if len(cn.ahead) > 0 {
		buf = make([]byte, min(readAheadStep, maxReadAhead-len(cn.ahead)))
	}
	num, err := cn.readLocked(buf)
	cn.ahead = append(cn.ahead, buf[:num]...)
	return err
}

// SetReadDeadline implements net.Conn. Only a deadline in the past ends a read that waits for room; net/http sets no other one
// while a request runs.
func (cn *conn) SetReadDeadline(at time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.expired = !at.IsZero() && !at.After(time.Now())
	cn.changed.Broadcast()
	return cn.Conn.SetReadDeadline(at)
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.closed = true
	cn.changed.Broadcast()
	return cn.Conn.Close()
}
