package httpframe

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// writeSettleTime is how long the end of a response without a length waits for a write that is still running. A reset wakes the
// writer at the same moment as the reader.
const writeSettleTime = time.Second

// Conn is the client's side of a connection. Reads return only bytes that can be part of valid responses, and then an *Error. It is
// safe for one reader and one writer at a time.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	checker ResponseChecker

	invalid     atomic.Pointer[Error] // of the first invalid byte
	writing     chan struct{}         // holds a value while a write runs
	writeFailed atomic.Bool
}

// NewConn returns a Conn on a new connection to a server.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc, writing: make(chan struct{}, 1)} }

// DialFunc connects to an address, as http.Transport needs it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a function that connects with dial and returns a Conn.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
}

// SetMethod sets the method of the request that is sent next. It must be called before a HEAD request and before the one after it.
func (cn *Conn) SetMethod(method string) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.checker.SetHead(method == http.MethodHead)
}

// Read implements net.Conn.
func (cn *Conn) Read(buf []byte) (int, error) {
	if er := cn.invalid.Load(); er != nil {
		return 0, er
	}
	num, err := cn.Conn.Read(buf)
	valid, er := cn.check(buf[:num])
	if er == nil && errors.Is(err, io.EOF) && cn.endsWithConnection() && cn.cutOff() {
		er = &Error{CutOff}
	}
	if er == nil {
		return num, err
	}
	cn.invalid.Store(er)
	if valid > 0 {
		return valid, nil
	}
	return 0, er
}

// Explain returns the *Error of the connection if it may be the cause of an error of net/http, which doesn't always keep the cause.
func (cn *Conn) Explain(err error) error {
	if er := cn.invalid.Load(); er != nil && err != nil && !errors.Is(err, io.EOF) {
		return er
	}
	return err
}

func (cn *Conn) check(src []byte) (int, *Error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.checker.Next(src)
}

func (cn *Conn) endsWithConnection() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.checker.EndsWithConnection()
}

// cutOff reports whether the connection was reset, or may have been. If a write runs, only its result can tell.
func (cn *Conn) cutOff() bool {
	tm := time.NewTimer(writeSettleTime)
	defer tm.Stop()
	select {
	case cn.writing <- struct{}{}:
		<-cn.writing
		return cn.writeFailed.Load()
	case <-tm.C:
		return true
	}
}

// Write implements net.Conn.
func (cn *Conn) Write(src []byte) (int, error) {
	cn.writing <- struct{}{}
	num, err := cn.Conn.Write(src)
	if err != nil {
		cn.writeFailed.Store(true)
	}
	<-cn.writing
	return num, err
}
