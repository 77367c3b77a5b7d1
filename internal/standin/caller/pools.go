package caller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// maxIdlePerVM is the maximum number of idle connections to an entry VM.
const maxIdlePerVM = 64

// pools holds a connection pool for each entry VM, so that connections to a dead VM don't delay others. It is safe for
// concurrent use.
type pools struct {
	dialTimeout time.Duration

	mu  sync.Mutex
	trs map[string]*http.Transport
}

// get returns the pool for an address and creates it at the first call.
func (pl *pools) get(address string) *http.Transport {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	tr, ok := pl.trs[address]
	if !ok {
		dl := &net.Dialer{Timeout: pl.dialTimeout}
		tr = &http.Transport{DialContext: dl.DialContext, MaxIdleConnsPerHost: maxIdlePerVM, DisableCompression: true}
		pl.trs[address] = tr
	}
	return tr
}

// close closes the idle connections of all pools.
func (pl *pools) close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, tr := range pl.trs {
		tr.CloseIdleConnections()
	}
}
