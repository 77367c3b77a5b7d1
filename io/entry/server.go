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
	"damasklatch/core/steer"
	"damasklatch/internal/waitline"
	"damasklatch/io/target"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
)

// State is what the server needs to know besides its options. It is immutable and replaced as a whole.
type State struct {
	Config         *config.Effective
	Steer          *steer.Table
	View           *steer.View
	Ring           *keyring.Ring
	Ready          bool
	NotReadyReason string // why, if not Ready
	// KeysFreshUntil is when the knowledge of revoked keys becomes too old to serve routes of teams. It is a time
	// because a process that was paused wakes up with the state from before.
	KeysFreshUntil time.Time
	Leaving        bool // look-ups no longer name this VM
}

// keysFresh reports whether routes of teams may be served.
func (st *State) keysFresh(now time.Time) bool { return now.Before(st.KeysFreshUntil) }

// Limits finds the limits that requests draw on.
type Limits interface {
	Bucket(rs id.Resource) (*limit.Bucket, bool)
	Slots(rs id.Resource) (*limit.Slots, bool)
}

// Targets forwards requests. The error of Do is a *target.Error.
type Targets interface {
	Do(ctx context.Context, rq *target.Request) (*target.Response, error)
}

// Options of a server.
type Options struct {
	Self          id.VMIncarnation
	FailureDomain id.FailureDomain
	Signer        *dedup.Signer
	Table         *dedup.Table
	Limits        Limits
	Targets       Targets
	Recorder      *event.Recorder
	Metrics       tally.Scope
	Log           *slog.Logger
	// MaxConnectionsPerCaller bounds the open connections of one address; the default is 1024.
	MaxConnectionsPerCaller int
	// ProgressWindow is the time within which a caller must send, or take, the next part of a body; the default is
	// 15 s.
	ProgressWindow time.Duration
}

const (
	defaultConnectionsPerCaller = 1024
	defaultProgressWindow       = 15 * time.Second
	readHeaderTimeout           = 10 * time.Second
	idleTimeout                 = 2 * time.Minute
	largestHeader               = 32 << 10
	// A request waits for a free slot for at most slotWait, and a quarter of the route's deadline.
	slotWait    = 100 * time.Millisecond
	mostWaiting = 128
	// ticketLifeFactor is the life of a ticket relative to that of the look-up answer it came with.
	ticketLifeFactor = 2
)

// Server serves callers. It is safe for concurrent use.
type Server struct {
	op    Options
	mt    *metrics
	seed  maphash.Seed
	state atomic.Pointer[view]
	conns *connections
	seq   atomic.Uint64
	lines sync.Map // of id.Pool to *waitline.Line: requests that found no free slot
	turns sync.Map // of id.Resource to chan struct{}: turns of the requests that use a link

	mu       sync.Mutex
	inFlight int
	draining bool
	drained  chan struct{} // closed once no request is in flight while draining
	closed   sync.Once
}

// New returns a server without a state, which is not ready.
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
		op.MaxConnectionsPerCaller = defaultConnectionsPerCaller
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

// SetState replaces the state. Requests that are already admitted go on.
func (sv *Server) SetState(st *State) {
	vw := newView(st, sv.op.FailureDomain)
	sv.op.Table.SetLimits(vw.ticketLife, vw.longest)
	sv.state.Store(vw)
}

// Handler returns the handler of look-ups and requests.
func (sv *Server) Handler() http.Handler {
	rt := mux.NewRouter().SkipClean(true).UseEncodedPath()
	rt.HandleFunc("/v1/lookup", sv.serveLookup).Methods(http.MethodGet)
	rt.NotFoundHandler = http.HandlerFunc(sv.serveWork)
	rt.MethodNotAllowedHandler = rt.NotFoundHandler
	return rt
}

// HTTPServer returns an HTTP server with the handler and the limits on headers, slow callers and connections.
func (sv *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           sv.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    largestHeader,
		ConnState:         sv.conns.changed,
		ErrorLog:          slog.NewLogLogger(sv.op.Log.Handler(), slog.LevelDebug),
	}
}

// Drain makes the server refuse new requests and returns when none is in flight, or with the error of the context. A
// response may still be in the buffers of its connection then: http.Server.Shutdown waits for these.
func (sv *Server) Drain(ctx context.Context) error {
	sv.mu.Lock()
	if !sv.draining {
		sv.draining = true
		sv.checkDrained()
	}
	sv.mu.Unlock()
	select {
	case <-sv.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter counts a request and reports whether it may be admitted.
func (sv *Server) enter() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.inFlight++
	return !sv.draining
}

func (sv *Server) leave() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.inFlight--
	if sv.draining {
		sv.checkDrained()
	}
}

func (sv *Server) checkDrained() {
	if sv.inFlight == 0 {
		sv.closed.Do(func() { close(sv.drained) })
	}
}

// line returns the line of the requests that wait for a slot of a pool.
func (sv *Server) line(pl id.Pool) *waitline.Line {
	if ln, ok := sv.lines.Load(pl); ok {
		return ln.(*waitline.Line)
	}
	ln, _ := sv.lines.LoadOrStore(pl, waitline.New(mostWaiting))
	return ln.(*waitline.Line)
}

// InFlight returns the number of requests in flight.
func (sv *Server) InFlight() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.inFlight
}
