package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxReadAhead is the largest number of bytes of further requests that are read together with a request.
const maxReadAhead = 16 << 10

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

// BreakOff ends the response to a request in such a way that the caller can't take the part that was written for the whole. It does not
// return.
func BreakOff(r *http.Request) {
	cn, ok := r.Context().Value(connKey{}).(*conn)
	if ok && !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0, the end of the connection is the end of a response without a length.
		cn.mu.Lock()
		cn.resets = true
		cn.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

// conn is a connection of a caller. Reads return the bytes of one request. At its end they read nothing, and block until the
// connection ends or nextRequest is called. Reads and nextRequest must not be called concurrently; net/http does so.
type conn struct {
	net.Conn
	ln    *Listener
	sock  *socket
	wrote atomic.Bool
	// responding is set once a byte of the response to the current request was written.
	responding atomic.Bool

	mu          sync.Mutex
	changed     sync.Cond // closed or deadline was set
	fr          framer
	ahead       []byte // bytes of further requests that were read together with a request, or while it ran
	overlap     overlap
	pipelines   bool      // a further request has arrived before the response to an earlier one
	failure     error     // returned by all further reads; nil while the connection works
	deadline    time.Time // of reads
	reading     readMode
	interrupted bool // the read that is in progress must return
	callerLeft  bool
	resets      bool // a close must not look like the end of a response
	closed      bool
}

// readMode is a way to wait for the caller.
type readMode uint8

const (
	noRead     readMode = iota
	consume             // reads bytes
	peek                // waits for bytes and copies them
	watch               // waits for the end of the connection
	watchBytes          // waits for that, or for bytes of a further request
)

// errInterrupted is returned by a read that has to be repeated because the phase of the listener has changed.
var errInterrupted = errors.New("interrupted")

func newConn(nc net.Conn, ln *Listener) *conn {
	cn := &conn{Conn: nc, ln: ln, sock: newSocket(nc)}
	cn.changed.L = &cn.mu
	return cn
}

// nextRequest lets reads go on with the next request. It has no effect if the end of the current one has not been read.
func (cn *conn) nextRequest() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.fr.state == atEnd {
		cn.fr = framer{}
		cn.responding.Store(false)
	}
}

// Read implements net.Conn. After an error other than an expired deadline, all further reads fail, so that no request of a
// caller that has left is served.
func (cn *conn) Read(buf []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for len(buf) > 0 {
		num, err := cn.readOnce(buf)
		if errors.Is(cn.fr.refused, errManyFields) {
			return 0, cn.fail(errManyFields)
		}
		if err != nil && !errors.Is(err, errInterrupted) {
			return num, cn.fail(err)
		}
		if num > 0 {
			return num, nil
		}
	}
	return 0, nil
}

// readOnce reads bytes of the current request, or returns none if the state of the connection may have changed.
func (cn *conn) readOnce(buf []byte) (int, error) {
	switch {
	case cn.failure != nil:
		return 0, cn.failure
	case cn.fr.state == atEnd:
		return 0, cn.awaitEnd()
	case len(cn.ahead) > 0:
		return cn.takeAhead(buf), nil
	case cn.ln.inPhase(draining) && !cn.fr.begun():
		return 0, io.EOF
	case cn.ln.inPhase(leaving) || cn.pipelines:
		return cn.readExact(buf)
	}
	return cn.readRequest(buf[:cn.fr.wanted(len(buf))])
}

// fail records an error for further reads, unless it is an expired deadline.
func (cn *conn) fail(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.failure, cn.ahead = err, nil
		cn.overlap.abandon()
	}
	return err
}

// takeAhead moves bytes of the current request that were read ahead to buf, and returns their number.
func (cn *conn) takeAhead(buf []byte) int {
	used := cn.fr.next(cn.ahead[:min(len(buf), len(cn.ahead))])
	copy(buf, cn.ahead[:used])
	cn.ahead = cn.ahead[used:]
	cn.overlap.consume(used)
	if len(cn.ahead) == 0 {
		cn.ahead = nil
	}
	return used
}

// readRequest reads from the connection and returns the number of bytes of the current request. The others are kept.
func (cn *conn) readRequest(buf []byte) (int, error) {
	num, err := cn.wait(consume, buf)
	used := cn.fr.next(buf[:num])
	if used < num {
		cn.ahead, cn.pipelines = slices.Clone(buf[used:num]), true
	}
	return used, err
}

// readExact reads bytes of the current request, and none of further ones.
func (cn *conn) readExact(buf []byte) (int, error) {
	if left, ok := cn.fr.left(); ok {
		return cn.readRequest(buf[:min(int64(len(buf)), left)])
	}
	limited := cn.ln.inPhase(draining) && cn.fr.state == inHeader
	if limited {
		_ = cn.Conn.SetReadDeadline(time.Now().Add(drainHeaderTimeout)) // the read fails if this does
		defer cn.restoreDeadline()
	}
	num, err := cn.wait(peek, buf)
	switch {
	case errors.Is(err, errUnsupported):
		num = 1 // a single byte can't reach into the next request
	case limited && errors.Is(err, os.ErrDeadlineExceeded):
		_ = cn.Conn.Close() // net/http would respond 400 to the part of the header
		return 0, net.ErrClosed
	case err != nil:
		return 0, err
	}
	fr := cn.fr
	return cn.readRequest(buf[:max(fr.next(buf[:num]), 1)])
}

func (cn *conn) restoreDeadline() {
	_ = cn.Conn.SetReadDeadline(cn.deadline) // the next read fails if this does
}

// drainHeaderTimeout is the time that a caller has to send more of a header of which a part was read before the listener drained.
const drainHeaderTimeout = time.Second

// wait reads from the connection, or waits for it. It doesn't hold mu meanwhile.
func (cn *conn) wait(mode readMode, buf []byte) (num int, err error) {
	cn.reading = mode
	cn.mu.Unlock()
	early := false
	switch mode {
	case peek:
		num, err = cn.sock.peek(buf)
	case watch, watchBytes:
		early, err = cn.sock.awaitEnd(&cn.responding, mode == watchBytes)
	default:
		num, err = cn.Conn.Read(buf)
	}
	cn.mu.Lock()
	cn.reading = noRead
	cn.pipelines = cn.pipelines || early
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	if cn.interrupted {
		cn.interrupted = false
		cn.restoreDeadline()
		if expired && !cn.expired() {
			return num, errInterrupted
		}
	}
	cn.callerLeft = cn.callerLeft || err != nil && !expired && !errors.Is(err, errUnsupported)
	return num, err
}

// interrupt makes a read that is in progress return, so that it takes the phase of the listener into account.
func (cn *conn) interrupt() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.reading != noRead {
		cn.interrupted = true
		_ = cn.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// closesAfterResponse reports whether the listener leaves and nothing of a further request has been read.
func (cn *conn) closesAfterResponse() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.ln.inPhase(leaving) && len(cn.ahead) == 0
}

// awaitEnd waits until the caller or this side has closed the connection or the read deadline has expired, and returns the error
// for that. Meanwhile it starts further requests that may overlap with the current one.
func (cn *conn) awaitEnd() error {
	for {
		cn.startAhead()
		mode := watch
		if cn.mayReadAhead() {
			mode = watchBytes
		}
		_, err := cn.wait(mode, nil)
		if err == nil {
			err = cn.readAhead()
		}
		if errors.Is(err, errUnsupported) {
			break
		}
		if err != nil {
			return err
		}
	}
	for !cn.expired() && !cn.closed {
		cn.changed.Wait()
	}
	if cn.closed {
		return net.ErrClosed
	}
	return os.ErrDeadlineExceeded
}

// readAhead reads bytes of further requests, which have arrived.
func (cn *conn) readAhead() error {
	if !cn.mayReadAhead() {
		return nil
	}
	buf := make([]byte, readAheadBytes)
	num, err := cn.wait(consume, buf)
	cn.ahead = append(cn.ahead, buf[:num]...)
	cn.pipelines = true
	return err
}

// readAheadBytes is the number of bytes of further requests that are read at a time while a request runs.
const readAheadBytes = 4 << 10

// expired reports whether the read deadline is in the past.
func (cn *conn) expired() bool { return !cn.deadline.IsZero() && !cn.deadline.After(time.Now()) }

// SetReadDeadline implements net.Conn. If the connection is no socket, only a deadline in the past ends a read that waits for the
// end of the connection; net/http sets no other one while a request runs.
func (cn *conn) SetReadDeadline(at time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.deadline = at
	cn.changed.Broadcast()
	if cn.interrupted {
		return nil // set when the read that was interrupted returns
	}
	return cn.Conn.SetReadDeadline(at)
}

// sendTimeout is the time within which a caller must take what is written to it at once. Until then, a caller that does not read
// holds memory of this VM and a slot of a target.
const sendTimeout = 10 * time.Second

// Write implements net.Conn.
func (cn *conn) Write(buf []byte) (int, error) {
	cn.wrote.Store(true)
	cn.responding.Store(true)
	if err := cn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	return cn.Conn.Write(buf)
}

// Close implements net.Conn. If it is called by the goroutine that has served the connection, so that no read is in progress, it
// waits until the caller has got the response.
func (cn *conn) Close() error {
	cn.mu.Lock()
	delivers := cn.wrote.Load() && !cn.closed && !cn.callerLeft && !cn.resets && cn.reading == noRead
	resets := cn.resets
	cn.closed = true
	cn.overlap.abandon()
	cn.changed.Broadcast()
	cn.mu.Unlock()
	if delivers {
		cn.deliver()
	}
	if tc, ok := cn.Conn.(*net.TCPConn); ok && resets {
		_ = tc.SetLinger(0) // fails only if the connection is closed
	}
	defer cn.ln.remove(cn)
	return cn.Conn.Close()
}

// abort closes the connection at once.
func (cn *conn) abort() {
	cn.mu.Lock()
	cn.closed = true
	cn.overlap.abandon()
	cn.changed.Broadcast()
	cn.mu.Unlock()
	_ = cn.Conn.Close() // fails only if it is closed already
	cn.ln.remove(cn)
}
