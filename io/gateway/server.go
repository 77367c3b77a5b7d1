package gateway

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/memory"
	"damasklatch/core/placement"
	"damasklatch/core/routing"
	"damasklatch/io/inbound"
	"damasklatch/io/target"
)

// Options holds the dependencies of a Server. All fields are required.
type Options struct {
	Region     id.Region
	Codec      HeaderCodec
	Lease      *lease.Lease
	Limiter    *Limiter
	Placer     *placement.Placer
	Budget     *placement.RetryBudget
	Metrics    *Metrics
	Log        *slog.Logger
	RequestLog *slog.Logger // gets one line at the end of each request
	// MemoryLimit is the memory limit of the process in bytes; zero means none.
	MemoryLimit int64
}

// Server is the HTTP handler for the requests of callers. It is safe for concurrent use.
type Server struct {
	op      Options
	table   atomic.Pointer[routing.Table] // nil before the first configuration
	leaving atomic.Bool
	running runningRequests
	splits  trafficSplitter
	bodies  *memory.Budget

	mu    sync.Mutex
	links map[id.Target]*link
}

// link is the connection pool for a target at an address.
type link struct {
	*target.Client
	address string
}

// NewServer returns a server without a configuration. It refuses all requests until SetTable is called.
func NewServer(op Options) *Server {
	return &Server{op: op, bodies: newBodyMemory(op.MemoryLimit), links: map[id.Target]*link{}, splits: trafficSplitter{routes: map[id.Route]*routeSplit{}}}
}

// SetTable replaces the configuration. It doesn't affect requests that are already admitted.
func (sv *Server) SetTable(tb *routing.Table) { sv.table.Store(tb) }

// Leave makes the log show which requests end while the VM is leaving.
func (sv *Server) Leave() { sv.leaving.Store(true) }

const (
	// dialTimeout is the time limit for a new connection to a target. The longest round trip between regions is 100 ms.
	dialTimeout = 300 * time.Millisecond
	// maxHeaderBytes is the maximum size of a request header. The configured limit is checked later and may be lower.
	maxHeaderBytes = 64 << 10
	// headerTimeout and idleTimeout apply to the connections of callers. They are longer than any configured timeout.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// link returns the connection pool for a target. If the address of the target has changed, it replaces the pool.
func (sv *Server) link(tg *placement.Target) *link {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	lk := sv.links[tg.ID]
	if lk == nil || lk.address != tg.Address {
		if lk != nil {
			lk.Close()
		}
		lk = &link{Client: target.NewClient(tg.ID, tg.Address, dialTimeout), address: tg.Address}
		sv.links[tg.ID] = lk
	}
	return lk
}

// KeepLinks closes the connections to all targets that are not listed.
func (sv *Server) KeepLinks(targets []placement.Target) {
	listed := make(map[id.Target]bool, len(targets))
	for _, tg := range targets {
		listed[tg.ID] = true
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for name, lk := range sv.links {
		if !listed[name] {
			lk.Close()
			delete(sv.links, name)
		}
	}
}

// mayOverlap reports whether a pipelined request may be served before the ones ahead of it have ended. A VM that leaves closes each
// connection as soon as it can, and a request that was started would keep it open.
func (sv *Server) mayOverlap(r *http.Request) bool {
	tb := sv.table.Load()
	if tb == nil || sv.leaving.Load() {
		return false
	}
	rt, ok := tb.Match(r.Host, r.URL.EscapedPath())
	return ok && rt.Idempotent
}

// HTTPServer returns an HTTP server for the requests of callers. The caller sets its address or listener.
func (sv *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           &inbound.Pipeline{Handler: sv, MayOverlap: sv.mayOverlap, OnOverlap: sv.op.Metrics.countOverlap},
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(sv.op.Log.Handler(), slog.LevelDebug),
	}
}
