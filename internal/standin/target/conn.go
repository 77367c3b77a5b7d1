package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener limits the number of open connections and closes each connection above the limit at once. A limit of zero
// allows any number.
type listener struct {
	net.Listener
	limit        int
	connectDelay time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// newListener wraps ls. Each connection delays its first read by delay.
func newListener(ls net.Listener, limit int, delay time.Duration) *listener {
	return &listener{Listener: ls, limit: limit, connectDelay: delay, conns: make(map[*conn]struct{})}
}

// Accept waits for the next connection and closes connections above the limit.
func (ls *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if cn := ls.add(nc); cn != nil {
			return cn, nil
		}
		nc.Close()
	}
}

// add registers a connection. It returns nil if the limit is reached.
func (ls *listener) add(nc net.Conn) *conn {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.limit > 0 && len(ls.conns) >= ls.limit {
		return nil
	}
	cn := &conn{Conn: nc, ls: ls}
	ls.conns[cn] = struct{}{}
	return cn
}

// remove unregisters a closed connection.
func (ls *listener) remove(cn *conn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.conns, cn)
}

// silence makes all open connections silent until they are closed.
func (ls *listener) silence() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for cn := range ls.conns {
		cn.silent.Store(true)
	}
}

// conn is a connection that can be made silent: it then stays open, discards received data and sends nothing.
type conn struct {
	net.Conn
	ls        *listener
	silent    atomic.Bool
	delayOnce sync.Once
}

// Read reads from the connection. On a silent connection it discards the data and returns only when the connection
// fails or is closed. The first call first waits for the connect delay.
func (cn *conn) Read(buf []byte) (int, error) {
	cn.delayOnce.Do(func() { time.Sleep(cn.ls.connectDelay) })
	for {
		n, err := cn.Conn.Read(buf)
		if err != nil || !cn.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. On a silent connection it discards the data and reports success.
func (cn *conn) Write(buf []byte) (int, error) {
	if cn.silent.Load() {
		return len(buf), nil
	}
	return cn.Conn.Write(buf)
}

// Close closes the connection and frees its place within the limit.
func (cn *conn) Close() error {
	cn.ls.remove(cn)
	return cn.Conn.Close()
}
