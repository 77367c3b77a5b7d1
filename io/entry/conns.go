package entry

import (
	"net"
	"net/http"
	"sync"
)

// connections counts and limits the open connections of each caller address.
type connections struct {
	maxPerAddress int

	mu   sync.Mutex
	open map[string]int
}

func newConnections(maxPerAddress int) *connections {
	return &connections{maxPerAddress: maxPerAddress, open: map[string]int{}}
}

// onStateChange is the ConnState hook of the HTTP server. It closes a new connection that exceeds the limit.
func (cs *connections) onStateChange(nc net.Conn, st http.ConnState) {
	switch st {
	case http.StateNew:
		if !cs.add(hostOf(nc.RemoteAddr().String())) {
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		cs.remove(hostOf(nc.RemoteAddr().String()))
	}
}

// add counts a new connection and reports whether it is within the limit.
func (cs *connections) add(host string) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[host]++
	return cs.open[host] <= cs.maxPerAddress
}

func (cs *connections) remove(host string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open[host]--; cs.open[host] <= 0 {
		delete(cs.open, host)
	}
}

// hostOf returns the address without its port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
