package gateway

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns are connections on which no byte of a request has arrived. The server of net/http would wait for them for 5 s when
// it shuts down.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// note follows the state of a connection.
func (uc *unusedConns) note(cn net.Conn, state http.ConnState) {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	if state != http.StateNew {
		delete(uc.conns, cn)
		return
	}
	if uc.conns == nil {
		uc.conns = map[net.Conn]bool{}
	}
	uc.conns[cn] = true
}

// close closes the connections.
func (uc *unusedConns) close() {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	for cn := range uc.conns {
		_ = cn.Close() // nothing was read from it
	}
}
