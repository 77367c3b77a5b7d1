package gateway

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns tracks the connections on which no byte of a request has arrived. At shutdown, net/http would wait 5 s for
// them.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// note records the state of a connection. It is used as http.Server.ConnState.
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

// close closes all unused connections.
func (uc *unusedConns) close() {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	for cn := range uc.conns {
		_ = cn.Close() // no request has arrived, so an error doesn't matter
	}
}
