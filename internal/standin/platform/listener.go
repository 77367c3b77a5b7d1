package platform

import (
	"net"
	"sync"
)

// listener tracks the connections that it accepted, so that they can be made silent or closed.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

func listen(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: ln, conns: make(map[*conn]struct{})}, nil
}

// Accept implements net.Listener.
func (ln *listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, ln: ln}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.conns[cn] = struct{}{}
	return cn, nil
}

// freeze makes all open connections silent permanently.
func (ln *listener) freeze() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for cn := range ln.conns {
		cn.mu.Lock()
		cn.frozen = true
		cn.mu.Unlock()
	}
}

// closeAll closes the listener and all connections, including the silent ones.
func (ln *listener) closeAll() {
	_ = ln.Close()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for cn := range ln.conns {
		cn.Conn.Close()
	}
	clear(ln.conns)
}

// conn is a connection that can be made silent: data that arrives is discarded, and nothing is sent, not even the
// close of the connection.
type conn struct {
	net.Conn
	ln     *listener
	mu     sync.Mutex
	frozen bool
}

func (cn *conn) isFrozen() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.frozen
}

// Read implements net.Conn. It discards the data that arrives while the connection is silent.
func (cn *conn) Read(p []byte) (int, error) {
	for {
		n, err := cn.Conn.Read(p)
		if err != nil || !cn.isFrozen() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection, it discards the data and reports success.
func (cn *conn) Write(p []byte) (int, error) {
	if cn.isFrozen() {
		return len(p), nil
	}
	return cn.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open until closeAll closes it, so that the client sees no
// close.
func (cn *conn) Close() error {
	if cn.isFrozen() {
		return nil
	}
	cn.ln.mu.Lock()
	delete(cn.ln.conns, cn)
	cn.ln.mu.Unlock()
	return cn.Conn.Close()
}
