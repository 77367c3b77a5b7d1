package target

import (
	"cmp"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/httpframe"
)

// maxFreshIdle is the idle time after which a connection no longer carries non-idempotent requests. A connection that was
// idle for longer may be broken without a sign of it.
const maxFreshIdle = time.Second

var (
	errIdleTooLong    = errors.New("connection was idle for too long")
	errCarriedRequest = errors.New("connection has already carried an attempt of this request")
	errRetired        = errors.New("an earlier response on the connection could not be identified")
	errClosedUnused   = errors.New("connection was closed after an earlier attempt, before this one wrote to it")
	errWithdrawn      = errors.New("the request must no longer be sent to the target")
	errAttemptEnded   = errors.New("attempt has ended")
)

// isUnsuitable reports whether an attempt failed only because its connection must not carry it. Nothing was sent, and another
// connection may be used. If the attempt may have been sent, its cause can be the error of the next one on the connection.
func isUnsuitable(er *Error) bool {
	if er.MayHaveRun {
		return false
	}
	for _, cause := range []error{errIdleTooLong, errCarriedRequest, errRetired, errClosedUnused} {
		if errors.Is(er.Cause, cause) {
			return true
		}
	}
	return false
}

// conn is a connection that records for each attempt whether it has written, and can block further writes of an attempt.
type conn struct {
	net.Conn // checked
	checked  *httpframe.Conn

	mu       sync.Mutex
	lastRead time.Time
	current  *connAttempt // nil before the first attempt
	writeErr error        // returned by every write if not nil
	carried  requestLog
	named    bool // a response has named its request
	retired  bool // carries no further attempts
}

func newConn(nc net.Conn) *conn {
	checked := httpframe.NewConn(nc)
	return &conn{Conn: checked, checked: checked, lastRead: time.Now()}
}

// connAttempt is an attempt of a request on a connection. net/http may give the connection to the next request before the attempt
// has ended, so each attempt has a state of its own.
type connAttempt struct {
	cn       *conn
	reused   bool  // the connection has carried other attempts before
	wrote    bool  // guarded by cn.mu
	writeErr error // returned by every write of the attempt if not nil; guarded by cn.mu
}

// beginAttempt starts an attempt of a request on the connection. Every write fails, which proves that nothing of the request
// was sent, if the connection was idle for maxIdle or longer, or if it has already carried an attempt of the request: a late
// copy of the response to that attempt has the same request ID as the response to this one. A maxIdle of zero means no limit.
// An empty request ID stands for a request whose response is not identified by it.
func (cn *conn) beginAttempt(now time.Time, maxIdle time.Duration, rid id.Request) *connAttempt {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	ca := &connAttempt{cn: cn, reused: cn.current != nil}
	switch {
	case cn.retired:
		ca.writeErr = errRetired
	case maxIdle > 0 && now.Sub(cn.lastRead) >= maxIdle:
		ca.writeErr = errIdleTooLong
	case rid != "" && !cn.carried.add(rid):
		ca.writeErr = errCarriedRequest
	}
	cn.current = ca
	return ca
}

// retire makes all further attempts on the connection fail before they write, also one that has begun but has not written yet. This
// one may go on: a target may respond before it has read the whole request.
func (ca *connAttempt) retire() {
	ca.cn.mu.Lock()
	defer ca.cn.mu.Unlock()
	ca.retireLocked()
}

// retireLocked is like retire. The caller holds cn.mu.
func (ca *connAttempt) retireLocked() {
	ca.cn.retired = true
	if next := ca.cn.current; next != ca && !next.wrote {
		next.writeErr = errRetired
	}
}

// withdraw makes all writes of an attempt that has not written yet fail.
func (ca *connAttempt) withdraw() {
	ca.cn.mu.Lock()
	defer ca.cn.mu.Unlock()
	ca.writeErr = errWithdrawn
}

// setNamed records that a response on the connection has named its request.
func (ca *connAttempt) setNamed() {
	ca.cn.mu.Lock()
	defer ca.cn.mu.Unlock()
	ca.cn.named = true
}

// acceptUnnamed reports whether a response that names no request and is no refusal belongs to this attempt, as far as can be told: it
// does not on a connection with a response that named its request. Of a target that never names requests, each one is accepted.
func (ca *connAttempt) acceptUnnamed() bool {
	ca.cn.mu.Lock()
	defer ca.cn.mu.Unlock()
	return !ca.cn.named
}

// acceptUnnamedRefusal reports whether a refusal that names no request belongs to this attempt, as far as can be told: it does not on
// a connection with a response that named its request or with another such refusal, of which it may be a late copy. The connection
// then carries no further attempts.
func (ca *connAttempt) acceptUnnamedRefusal() bool {
	ca.cn.mu.Lock()
	defer ca.cn.mu.Unlock()
	if ca.cn.named || ca.cn.retired {
		return false
	}
	ca.retireLocked()
	return true
}

// closeConn retires and closes the connection.
func (ca *connAttempt) closeConn() {
	ca.retire()
	_ = ca.cn.Close() // the connection is not used any more, so an error doesn't matter
}

// maxLoggedRequests is the number of requests that a requestLog holds. Targets send a late response before one of the next
// responses on the connection.
const maxLoggedRequests = 32

// requestLog holds hashes of the last requests that a connection has carried. The zero value is empty.
type requestLog struct {
	hashes []uint64
	next   int // index of the oldest hash once the log is full
}

var requestLogSeed = maphash.MakeSeed()

// add adds a request. It returns false if the log already contains the request.
func (rl *requestLog) add(rid id.Request) bool {
	hash := maphash.String(requestLogSeed, string(rid))
	if slices.Contains(rl.hashes, hash) {
		return false
	}
	if len(rl.hashes) < maxLoggedRequests {
		rl.hashes = append(rl.hashes, hash)
		return true
	}
	rl.hashes[rl.next] = hash
	rl.next = (rl.next + 1) % maxLoggedRequests
	return true
}

// blockWrites makes all further writes of the attempt fail and reports whether it may have written. The error is the one with which
// its writes failed before, or nil.
func (ca *connAttempt) blockWrites() (wrote bool, blocked error) {
	ca.cn.mu.Lock()
	defer ca.cn.mu.Unlock()
	if ca.cn.current != ca {
		// net/http gives a connection to the next request only after it has written the request before.
		return true, nil
	}
	blocked = cmp.Or(ca.writeErr, ca.cn.writeErr)
	switch {
	case blocked == nil:
		ca.writeErr = errAttemptEnded
	case errors.Is(blocked, net.ErrClosed) && ca.reused:
		// A new connection that is closed at once is different: the target may accept no more connections.
		blocked = errClosedUnused
	}
	return ca.wrote, blocked
}

// Read implements net.Conn.
func (cn *conn) Read(buf []byte) (int, error) {
	num, err := cn.Conn.Read(buf)
	if num > 0 {
		cn.mu.Lock()
		cn.lastRead = time.Now()
		cn.mu.Unlock()
	}
	return num, err
}

// Write implements net.Conn.
func (cn *conn) Write(buf []byte) (int, error) {
	if err := cn.beginWrite(); err != nil {
		return 0, err
	}
	return cn.Conn.Write(buf)
}

// beginWrite records that the current attempt writes, or returns the error with which its writes fail.
func (cn *conn) beginWrite() error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	ca := cn.current
	if ca == nil {
		return cn.writeErr
	}
	if err := cmp.Or(ca.writeErr, cn.writeErr); err != nil {
		return err
	}
	ca.wrote = true
	return nil
}

// Close implements net.Conn. An attempt that has written nothing before can't write any more, which proves that it was not sent.
func (cn *conn) Close() error {
	cn.mu.Lock()
	if cn.writeErr == nil {
		cn.writeErr = net.ErrClosed
	}
	cn.mu.Unlock()
	return cn.Conn.Close()
}
