package entry

import (
	"context"
	"hash/maphash"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/dedup"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/core/limit"
	"damasklatch/core/lookup"
	"damasklatch/internal/waitqueue"
	"damasklatch/io/inbound"
	"damasklatch/io/target"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
)

// State holds the changing inputs of the server, such as the configuration. It is immutable; SetState replaces it.
type State struct {
	Config         *config.Effective
	Lookup         *lookup.Table // chooses the entry VMs that a lookup returns
	View           *lookup.View  // entry VMs to choose from
	Ring           *keyring.Ring // keys in force
	Ready          bool
	NotReadyReason string // reason, if Ready is false
	// KeysFreshUntil is the time at which the information about revoked keys becomes too old to serve routes that need
	// a key. It is a time and not a flag, because a process that resumes after a pause still has its old state.
	KeysFreshUntil time.Time
	Leaving        bool // the VM is shutting down; lookups no longer return it
}

// keysFresh reports whether the information about revoked keys is recent enough to serve routes that need a key.
func (st *State) keysFresh(now time.Time) bool { return now.Before(st.KeysFreshUntil) }

// Limits returns the rate limits and concurrency limits by resource. The second result is false if there is none.
type Limits interface {
	// Bucket returns the bucket of a rate limit or of a link's capacity. Without a bucket, a rate limit admits no request,
	// and a link has no limit.
	Bucket(rs id.Resource) (*limit.Bucket, bool)
	// Slots returns the slots of a region or pool. Without slots, no request is admitted.
	Slots(rs id.Resource) (*limit.Slots, bool)
}

// Targets forwards requests to targets. The error of Do must be a *target.Error.
type Targets interface {
	// Do forwards a request to a target of its pool and returns when the header of the response has arrived or no target
	// responded. It may try several targets. The context sets the deadline. The caller must close the response's Body. Do
	// is called from many goroutines at the same time.
	Do(ctx context.Context, rq *target.Request) (*target.Response, error)
}

// Options configures a server. Recorder, Metrics and Log may be nil.
type Options struct {
	Self          id.VMIncarnation
	FailureDomain id.FailureDomain
	Signer        *dedup.Signer
	Table         *dedup.Table // requests by ticket
	Limits        Limits
	Targets       Targets
	Recorder      *event.Recorder
	Metrics       tally.Scope
	Log           *slog.Logger
	// MaxConnectionsPerCaller limits the open connections of one caller address. The default is 1024.
	MaxConnectionsPerCaller int
	// ProgressWindow is the time within which a caller must send or receive the next part of a body. The default is
	// 15 s.
	ProgressWindow time.Duration
}

const (
	defaultMaxConnectionsPerCaller = 1024
	defaultProgressWindow          = 15 * time.Second
	readHeaderTimeout              = 10 * time.Second
	idleTimeout                    = 2 * time.Minute
	maxHeaderBytes                 = 32 << 10
	// A request waits for a free slot for at most maxSlotWait or a quarter of the route's deadline, whichever is less.
	maxSlotWait = 100 * time.Millisecond
	maxWaiting  = 128 // requests that wait for a slot of one pool
	// ticketLifetimeFactor is the lifetime of a ticket divided by the TTL of the lookup response that contains it.
	ticketLifetimeFactor = 2
)

// Server serves the lookups and requests of callers. It is safe for concurrent use.
type Server struct {
	op        Options
	mt        *metrics
	seed      maphash.Seed // for the fingerprints of requests
	state     atomic.Pointer[view]
	conns     *connections
	seq       atomic.Uint64 // number of the last lookup
	queues    sync.Map      // of id.Pool to *waitqueue.Queue: requests that wait for a free slot
	linkTurns sync.Map      // of id.Resource to chan struct{}: held by the request whose turn it is to use the link

	mu          sync.Mutex
	inFlight    int
	draining    bool
	drained     chan struct{} // closed once no request is in flight while draining
	drainedOnce sync.Once
}

// New returns a server that is not ready until SetState provides a state.
func New(op Options) *Server {
	if op.Metrics == nil {
		op.Metrics = tally.NoopScope
	}
	if op.Log == nil {
		op.Log = slog.New(slog.DiscardHandler)
	}
	if op.Recorder == nil {
		op.Recorder = event.NewRecorder(op.Self.VM, &event.Clock{}, 1)
	}
	if op.MaxConnectionsPerCaller <= 0 {
		op.MaxConnectionsPerCaller = defaultMaxConnectionsPerCaller
	}
	if op.ProgressWindow <= 0 {
		op.ProgressWindow = defaultProgressWindow
	}
	sv := &Server{
		op: op, mt: newMetrics(op.Metrics), seed: maphash.MakeSeed(), drained: make(chan struct{}),
		conns: newConnections(op.MaxConnectionsPerCaller),
	}
	sv.state.Store(newView(&State{NotReadyReason: "no configuration"}, op.FailureDomain))
	return sv
}

// SetState replaces the state. Requests that are already admitted continue.
func (sv *Server) SetState(st *State) {
	vw := newView(st, sv.op.FailureDomain)
	sv.op.Table.SetLimits(vw.ticketLifetime, vw.maxDeadline)
	sv.state.Store(vw)
}

// Handler returns the HTTP handler of lookups and requests.
func (sv *Server) Handler() http.Handler {
	rt := mux.NewRouter().SkipClean(true).UseEncodedPath()
	rt.HandleFunc("/v1/lookup", sv.serveLookup).Methods(http.MethodGet)
	rt.NotFoundHandler = http.HandlerFunc(sv.serveRequest)
	rt.MethodNotAllowedHandler = rt.NotFoundHandler
	return rt
}

// HTTPServer returns an HTTP server for Handler that limits the header size, the time to send a header, the idle time and
// the connections of each caller address. Its listener should come from inbound.NewListener.
func (sv *Server) HTTPServer() *http.Server {
	srv := &http.Server{
		Handler:           sv.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         sv.conns.onStateChange,
		ErrorLog:          slog.NewLogLogger(sv.op.Log.Handler(), slog.LevelDebug),
	}
	inbound.Attach(srv)
	return srv
}

// Drain makes the server refuse new requests. It returns nil when no request is in flight, or the error of the context
// if that ends first. Responses may still be in the buffers of their connections then; inbound.Listener.Drain waits for
// them.
func (sv *Server) Drain(ctx context.Context) error {
	sv.mu.Lock()
	if !sv.draining {
		sv.draining = true
		sv.signalIfDrained()
	}
	sv.mu.Unlock()
	select {
	case <-sv.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRequest counts a request and reports whether it may be admitted.
func (sv *Server) beginRequest() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.inFlight++
	return !sv.draining
}

// endRequest undoes the count of beginRequest.
func (sv *Server) endRequest() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.inFlight--
	if sv.draining {
		sv.signalIfDrained()
	}
}

// signalIfDrained closes drained if no request is in flight. The caller holds mu.
func (sv *Server) signalIfDrained() {
	if sv.inFlight == 0 {
		sv.drainedOnce.Do(func() { close(sv.drained) })
	}
}

// queue returns the queue of requests that wait for a slot of the pool.
func (sv *Server) queue(pl id.Pool) *waitqueue.Queue {
	if ln, ok := sv.queues.Load(pl); ok {
		return ln.(*waitqueue.Queue)
	}
	ln, _ := sv.queues.LoadOrStore(pl, waitqueue.New(maxWaiting))
	return ln.(*waitqueue.Queue)
}

// InFlight returns the number of requests in flight, including those that are being refused.
func (sv *Server) InFlight() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.inFlight
}
