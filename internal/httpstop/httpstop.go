// Package httpstop stops HTTP servers.
package httpstop

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Stop stops servers that handle short requests. It waits for the requests that are running until the context ends, and for limit at
// most, and then closes their connections.
func Stop(ctx context.Context, limit time.Duration, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range servers {
		wg.Add(1)
		go (&stopper{srv}).run(ctx, &wg)
	}
	wg.Wait()
}

// stopper stops one server.
type stopper struct{ srv *http.Server }

func (sp *stopper) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	if sp.srv.Shutdown(ctx) != nil {
		_ = sp.srv.Close() // its connections are not used any more
	}
}
