package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener accepts connections of callers and shuts them down without losing requests or responses. Its connections are to be
// served by a server that was passed to Attach. http.Server.Shutdown must not be used with it: it closes connections on which a
// request has been read in part.
type Listener struct {
	net.Listener
	phase atomic.Int32 // of phase

	mu    sync.Mutex
	conns map[*conn]struct{}
	empty chan struct{} // closed once the listener drains and has no connection
}

// phase is a step of the shutdown of a listener. Steps are never taken back.
type phase int32

const (
	serving phase = iota
	leaving
	draining
)

// NewListener returns a listener whose connections are owned by this package.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: map[*conn]struct{}{}, empty: make(chan struct{})}
}

// Accept implements net.Listener.
func (li *Listener) Accept() (net.Conn, error) {
	nc, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := newConn(nc, li)
	li.mu.Lock()
	defer li.mu.Unlock()
	li.conns[cn] = struct{}{}
	return cn, nil
}

// remove forgets a connection that was closed.
func (li *Listener) remove(cn *conn) {
	li.mu.Lock()
	defer li.mu.Unlock()
	delete(li.conns, cn)
	li.signalIfEmpty()
}

// signalIfEmpty closes empty if the listener drains and has no connection. The caller holds mu.
func (li *Listener) signalIfEmpty() {
	if li.inPhase(draining) && len(li.conns) == 0 {
		select {
		case <-li.empty:
		default:
			close(li.empty)
		}
	}
}

// inPhase reports whether a phase has begun.
func (li *Listener) inPhase(ph phase) bool { return phase(li.phase.Load()) >= ph }

// enter begins a phase, and makes the connections notice it.
func (li *Listener) enter(ph phase) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.inPhase(ph) {
		return
	}
	li.phase.Store(int32(ph))
	for cn := range li.conns {
		cn.interrupt()
	}
	li.signalIfEmpty()
}

// Leave makes callers go elsewhere: AnnounceClose returns true from now on, and no byte of a further request is read together with
// a request, so that the caller can send it to another server. New connections and requests are still served.
func (li *Listener) Leave() { li.enter(leaving) }

// Drain stops accepting connections, and closes each connection as soon as nothing of a further request has been read from it. It
// returns when all connections are closed, or with the error of the context if that ends first.
func (li *Listener) Drain(ctx context.Context) error {
	_ = li.Close() // fails only if it is closed already
	li.enter(draining)
	select {
	case <-li.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort closes all connections at once. What has been written to them may be lost.
func (li *Listener) Abort() {
	_ = li.Close() // fails only if it is closed already
	li.enter(draining)
	for _, cn := range li.open() {
		cn.abort()
	}
}

func (li *Listener) open() []*conn {
	li.mu.Lock()
	defer li.mu.Unlock()
	conns := make([]*conn, 0, len(li.conns))
	for cn := range li.conns {
		conns = append(conns, cn)
	}
	return conns
}

// AnnounceClose reports whether the connection of a request will be closed after its response, which must then have the field
// Connection: close. This is so while the listener leaves, unless part of a further request has been read. It is to be called
// immediately before the response is written. A request that came over another listener gets false.
func AnnounceClose(r *http.Request) bool {
	cn, ok := r.Context().Value(connKey{}).(*conn)
	return ok && cn.closesAfterResponse()
}
