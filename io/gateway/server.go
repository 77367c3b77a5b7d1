package gateway

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/place"
	"damasklatch/core/routing"
	"damasklatch/io/target"
)

// Options of a Server.
type Options struct {
	Region     id.Region
	Codec      HeaderCodec
	Lease      *lease.Lease
	Limiter    *Limiter
	Placer     *place.Placer
	Budget     *place.RetryBudget
	Metrics    *Metrics
	Log        *slog.Logger
	RequestLog *slog.Logger // of the ends of requests
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	op      Options
	table   atomic.Pointer[routing.Table] // nil before the first configuration
	leaving atomic.Bool
	splits  splits

	mu    sync.Mutex
	links map[id.Target]*link
}

// link is the connections to a target at an address.
type link struct {
	*target.Client
	address string
}

// NewServer returns a server without a configuration.
func NewServer(op Options) *Server {
	return &Server{op: op, links: map[id.Target]*link{}, splits: splits{routes: map[id.Route]*split{}}}
}

// SetTable replaces the configuration. Requests that are already admitted go on.
func (sv *Server) SetTable(tb *routing.Table) { sv.table.Store(tb) }

// Leave makes the responses ask callers to close their connections.
func (sv *Server) Leave() { sv.leaving.Store(true) }

const (
	// dialTimeout bounds the time to a new connection to a target. The longest round trip is a tenth of a second.
	dialTimeout = 300 * time.Millisecond
	// largestHeader bounds the header of a request before the configured limit is known.
	largestHeader = 64 << 10
	// headerTimeout and idleTimeout are above what configurations ask for.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// link returns the connections to a target.
func (sv *Server) link(tg *place.Target) *link {
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

// KeepLinks closes the connections to all targets but those listed.
func (sv *Server) KeepLinks(targets []place.Target) {
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

// HTTPServer returns an HTTP server for requests.
func (sv *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           sv,
		ConnContext:       withTap,
		MaxHeaderBytes:    largestHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(sv.op.Log.Handler(), slog.LevelDebug),
	}
}
