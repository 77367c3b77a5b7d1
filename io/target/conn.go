package target

import (
	"errors"
	"net"
	"sync"
	"time"
)

// maxFreshIdle is the idle time after which a connection no longer carries non-idempotent requests. A connection that was
// idle for longer may be broken without a sign of it.
const maxFreshIdle = time.Second

var (
	errIdleTooLong  = errors.New("connection was idle for too long")
	errAttemptEnded = errors.New("attempt has ended")
)

// conn is a connection that records whether the current attempt has written to it, and can block further writes.
type conn struct {
	net.Conn

	mu       sync.Mutex
	lastRead time.Time
	wrote    bool
	writeErr error // returned by every write if not nil
}

// beginAttempt starts an attempt on the connection. If the connection was idle for maxIdle or longer, every write
// fails, which proves that nothing of the request was sent. A maxIdle of zero means no limit.
func (cn *conn) beginAttempt(now time.Time, maxIdle time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.wrote = false
	if maxIdle > 0 && now.Sub(cn.lastRead) >= maxIdle {
		cn.writeErr = errIdleTooLong
	}
}

// blockWrites makes all further writes fail and reports whether the current attempt has written.
func (cn *conn) blockWrites() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.writeErr == nil {
		cn.writeErr = errAttemptEnded
	}
	return cn.wrote
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
	cn.mu.Lock()
	if err := cn.writeErr; err != nil {
		cn.mu.Unlock()
		return 0, err
	}
	cn.wrote = true
	cn.mu.Unlock()
	return cn.Conn.Write(buf)
}
