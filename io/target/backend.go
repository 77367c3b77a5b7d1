package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"damasklatch/core/balance"
	"damasklatch/core/id"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
	// freshIdleTimeout is shorter than maxFreshIdle, so that net/http closes most connections before they have been idle
	// for too long.
	freshIdleTimeout = maxFreshIdle * 9 / 10
	// maxHeaderBytes limits the size of a response header.
	maxHeaderBytes = 64 << 10
)

// backend holds the connections to one target.
type backend struct {
	name           id.Target
	address        string
	set            *balance.Set
	maxConnections int // divided among the three transports

	idempotentTransport *http.Transport // for idempotent requests
	freshTransport      *http.Transport // for other requests: uses only new connections and those that responded recently
	pollTransport       *http.Transport
	stop                context.CancelFunc // stops the poller
}

func newBackend(name id.Target, address string, set *balance.Set, maxConnections int) *backend {
	// One connection is for polls. Idempotent and other requests get half of the rest each.
	workConns := max((maxConnections-1)/2, 1)
	return &backend{
		name: name, address: address, set: set, maxConnections: maxConnections,
		idempotentTransport: newTransport(idleTimeout, workConns, dialTimeout), freshTransport: newTransport(freshIdleTimeout, workConns, dialTimeout),
		pollTransport: newTransport(idleTimeout, 1, dialTimeout),
		stop:          func() {},
	}
}

// newTransport returns a transport for HTTP/1 whose connections are of the type *conn. A maxConns of 0 means no limit.
func newTransport(idle time.Duration, maxConns int, connectTimeout time.Duration) *http.Transport {
	dl := &net.Dialer{Timeout: connectTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dl.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(nc), nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxConns,
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         8 << 10,
	}
}

func (be *backend) close() {
	be.stop()
	for _, tr := range []*http.Transport{be.idempotentTransport, be.freshTransport, be.pollTransport} {
		tr.CloseIdleConnections()
	}
}
