package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sys/unix"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/placement"
	"damasklatch/core/quota"
	"damasklatch/core/roster"
	"damasklatch/internal/httpstop"
	"damasklatch/io/asynclog"
	"damasklatch/io/inbound"
	"damasklatch/io/metrics"
	"damasklatch/io/objects"
	"damasklatch/io/status"
)

const (
	startTimeout = 10 * time.Second
	// exitMargin is the part of the grace period that is left for the process to exit, and cutMargin the part that is left to end
	// the requests that are still running.
	exitMargin = 100 * time.Millisecond
	cutMargin  = 300 * time.Millisecond
	// cutLogTime is the time within which requests that were cut off write their log lines.
	cutLogTime = 100 * time.Millisecond
	// lookupStopLimit is the time for which the shutdown waits for look-ups, readiness checks and other short requests. It covers a
	// round trip between regions, in case that part of a request is on its way.
	lookupStopLimit = 300 * time.Millisecond
	// gcPercent makes garbage collections more frequent than by default. The live heap is small, so they are cheap, and VMs are small.
	gcPercent = 50
)

// Run runs a gateway until the context is canceled, and then shuts it down within the grace period. It loads the settings at
// the start and again on SIGHUP, and writes its log to out.
func Run(ctx context.Context, load Loader, ad Adapter, out io.Writer) error {
	hu := newHangups()
	gs, err := load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if gs.MemoryLimit > 0 {
		debug.SetMemoryLimit(gs.MemoryLimit * 3 / 4)
	}
	lw := asynclog.New(out)
	lv := new(slog.LevelVar)
	lv.Set(gs.LogLevel)
	op := &slog.HandlerOptions{Level: lv}
	log := slog.New(slog.NewJSONHandler(lw, op)).With("vm", string(gs.VM))
	rl := requestLogger{slog.New(slog.NewJSONHandler(lw.RequestWriter(), op)).With("vm", string(gs.VM))}
	slog.SetDefault(log) // net/http reports unexpected bytes from targets to the default logger
	lctx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	go lw.Run(lctx)
	err = run(ctx, fx.Supply(gs, load, lv, log, rl, lw, hu), ad, gs.Grace)
	stopLog()
	lw.Wait()
	return err
}

// requestLogger writes the log lines of requests. Their rate is limited separately from that of other lines.
type requestLogger struct{ *slog.Logger }

func run(ctx context.Context, given fx.Option, ad Adapter, grace time.Duration) error {
	app := fx.New(
		given,
		fx.Provide(func() Adapter { return ad }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		constructors,
		fx.Invoke(start),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(grace),
	)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start gateway")
	}
	<-ctx.Done()
	// fx doesn't wait for the functions that stop the daemon once this context has ended. They end earlier, so that they can log.
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace-exitMargin)
	defer cancel()
	return errors.Wrap(app.Stop(sctx), "stop gateway")
}

// constructors provide the components of a daemon to fx.
var constructors = fx.Options(fx.Provide(
	newSelf, newStore, newLease, newLedger, newRoster, newLimiter, newPlacer, newBudget, metrics.New, newServer, newReloader,
))

// newSelf returns the registration of this VM. The incarnation is the start time in nanoseconds, so that a later process has a
// higher one, unless the clock has jumped back. The roster then raises it.
func newSelf(gs *config.GatewaySettings) roster.Peer {
	return roster.Peer{
		VM: gs.VM, Incarnation: id.Incarnation(time.Now().UnixNano()), FailureDomain: gs.FailureDomain, Region: gs.Region,
		StatusAddress: gs.StatusAddress, CallerAddress: gs.CallerAddress, RelayAddress: gs.RelayAddress, LinkRate: gs.LinkRate,
	}
}

func newStore(gs *config.GatewaySettings, ad Adapter) objects.Store {
	return ad.OpenStore(gs.StoreAddress)
}

func newLease(gs *config.GatewaySettings) *lease.Lease {
	return lease.New(bootTime, gs.RevokeWithin-leaseMargin)
}

// bootTime reads a clock that also advances while the VM is suspended. The system call fails only for unknown clocks.
func bootTime() lease.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read the clock CLOCK_BOOTTIME"))
	}
	return lease.Instant(ts.Nano())
}

func newLedger(gs *config.GatewaySettings) *quota.Ledger {
	return quota.New(len(gs.Regions), gs.LimitSlack)
}

func newRoster(self roster.Peer) *roster.Roster { return roster.New(self) }

func newLimiter(gs *config.GatewaySettings, self roster.Peer, lg *quota.Ledger, rs *roster.Roster) *Limiter {
	return NewLimiter(self, lg, rs, gs.Regions)
}

func newPlacer(gs *config.GatewaySettings) *placement.Placer {
	return placement.New(placement.Options{Self: gs.VM, FailureDomain: gs.FailureDomain, Region: gs.Region})
}

func newBudget(gs *config.GatewaySettings) *placement.RetryBudget {
	return placement.NewRetryBudget(time.Now(), gs.RetryRatio, gs.RetryWindow)
}

func newServer(gs *config.GatewaySettings, ad Adapter, ls *lease.Lease, lm *Limiter, pc *placement.Placer,
	bg *placement.RetryBudget, mt *metrics.Metrics, log *slog.Logger, rl requestLogger,
) *Server {
	return NewServer(Options{
		Region: gs.Region, Codec: ad, Lease: ls, Limiter: lm, Placer: pc, Budget: bg, Metrics: NewMetrics(mt.Scope), Log: log,
		RequestLog: rl.Logger, MemoryLimit: gs.MemoryLimit,
	})
}

// dependencies are the components that fx passes to start.
type dependencies struct {
	fx.In

	Settings *config.GatewaySettings
	Self     roster.Peer
	Adapter  Adapter
	Store    objects.Store
	Lease    *lease.Lease
	Ledger   *quota.Ledger
	Roster   *roster.Roster
	Limiter  *Limiter
	Placer   *placement.Placer
	Budget   *placement.RetryBudget
	Server   *Server
	Metrics  *metrics.Metrics
	Reloader *reloader
	Log      *slog.Logger
	Lines    *asynclog.Writer
}

// daemon is a running gateway.
type daemon struct {
	lc           dependencies
	control      *Controller
	conn         *status.Conn
	callers      *inbound.Listener
	callerServer *http.Server
	otherServers []*http.Server
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// start registers the functions with which fx starts and stops the daemon.
func start(fl fx.Lifecycle, lc dependencies) {
	rn := &daemon{lc: lc}
	fl.Append(fx.Hook{OnStart: rn.start, OnStop: rn.stop})
}

func (rn *daemon) start(context.Context) error {
	lc, gs := rn.lc, rn.lc.Settings
	rg := &registrar{store: lc.Store, codec: lc.Adapter, roster: lc.Roster, log: lc.Log, renewals: make(chan struct{}, 1)}
	rn.control = NewController(Components{
		Settings: gs, Adapter: lc.Adapter, Store: lc.Store, Lease: lc.Lease, Ledger: lc.Ledger, Roster: lc.Roster, Limiter: lc.Limiter, Placer: lc.Placer,
		Budget: lc.Budget, Server: lc.Server, Log: lc.Log,
	}, lc.Self, rn.sendStatus, rg.requestRenewal)
	var err error
	hd := status.Handlers{OnStatus: rn.control.ReceiveStatus, OnTokenRequest: lc.Limiter.HandleTokenRequest}
	if rn.conn, err = status.Listen(gs.StatusAddress, lc.Log, hd); err != nil {
		return err
	}
	lc.Limiter.requestTokens = rn.conn.RequestTokens
	ctx, cancel := context.WithCancel(context.Background())
	rn.cancel = cancel
	if err := rn.listen(ctx); err != nil {
		cancel()
		return err
	}
	dc := &dropCounter{log: lc.Lines, metrics: lc.Server.op.Metrics}
	tg := &stateGauges{placer: lc.Placer, bodies: lc.Server.bodies, metrics: lc.Server.op.Metrics}
	cf := &configFetcher{rn.control}
	bodies := []func(context.Context){rn.control.loop, rn.conn.Run, rg.run, lc.Reloader.run, dc.run, tg.run, cf.run}
	for _, in := range rn.control.informers {
		bodies = append(bodies, in.Run)
	}
	for _, body := range bodies {
		rn.wg.Add(1)
		go backgroundTask{body}.run(ctx, &rn.wg)
	}
	lc.Log.Info("gateway started", "incarnation", uint64(lc.Self.Incarnation), "region", string(gs.Region),
		"failure_domain", string(gs.FailureDomain), "address", gs.CallerAddress)
	return nil
}

func (rn *daemon) sendStatus(address string, st *roster.Status) error {
	return rn.conn.Send(address, st)
}

// backgroundTask is a function that runs on its own goroutine until the context is canceled.
type backgroundTask struct{ body func(context.Context) }

func (sv backgroundTask) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	sv.body(ctx)
}

// listen binds all addresses and starts to serve them. Handlers with the same address share a server.
func (rn *daemon) listen(ctx context.Context) error {
	lc, gs := rn.lc, rn.lc.Settings
	rn.callerServer = lc.Server.HTTPServer()
	inbound.Attach(rn.callerServer)
	byAddress := map[string]*mux.Router{}
	route := func(address string) *mux.Router {
		if byAddress[address] == nil {
			byAddress[address] = mux.NewRouter()
		}
		return byAddress[address]
	}
	route(gs.MetricsAddress).Handle("/metrics", lc.Metrics.Handler).Methods(http.MethodGet)
	route(gs.MetricsAddress).Handle(TargetsPath, targetsHandler{lc.Placer}).Methods(http.MethodGet)
	route(gs.RelayAddress).Handle(objects.MirrorPath, rn.control.mirror.Handler()).Methods(http.MethodGet)
	route(gs.ReadyAddress).NewRoute().Handler(lc.Adapter.ReadyHandler(rn.control.Ready))
	route(gs.LookupAddress).NewRoute().Handler(lc.Adapter.LookupHandler(rn.control))
	for address, rt := range byAddress {
		srv := &http.Server{Handler: rt, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(lc.Log.Handler(), slog.LevelDebug)}
		rn.otherServers = append(rn.otherServers, srv)
		ln, err := listen(address)
		if err != nil {
			return err
		}
		rn.serve(ctx, ln, srv)
	}
	ln, err := listen(gs.CallerAddress)
	if err != nil {
		return err
	}
	rn.callers = inbound.NewListener(ln)
	rn.serve(ctx, rn.callers, rn.callerServer)
	return nil
}

func listen(address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Wrap(err, "parse listen address")
	}
	ln, err := net.Listen("tcp", address)
	return ln, errors.Wrap(err, "bind listen address")
}

func (rn *daemon) serve(ctx context.Context, ln net.Listener, srv *http.Server) {
	rn.wg.Add(1)
	go backgroundTask{(&boundServer{ln, srv}).serve}.run(ctx, &rn.wg)
}

// boundServer is an HTTP server and the listener that it serves.
type boundServer struct {
	ln  net.Listener
	srv *http.Server
}

// serve blocks until the server is shut down or closed.
func (ls *boundServer) serve(context.Context) { _ = ls.srv.Serve(ls.ln) }

// stop shuts down without failing requests. The VM leaves the look-up lists at once, but still accepts requests for the time
// AcceptAfterStop from callers that know it. The process ends after the last request, or cutMargin before the end of the grace
// period.
func (rn *daemon) stop(ctx context.Context) error {
	lc := rn.lc
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(lc.Settings.Grace-cutMargin))
	defer cancel()
	lc.Log.Info("gateway is leaving", "requests", lc.Server.running.count())
	rn.control.Leave()
	lc.Server.Leave()
	rn.callers.Leave()
	select {
	case <-time.After(lc.Settings.AcceptAfterStop):
	case <-ctx.Done():
	}
	err := rn.callers.Drain(ctx)
	cut := lc.Server.running.count()
	lc.Server.logCut(lc.Log)
	rn.callers.Abort()
	rn.cancel()
	httpstop.Stop(ctx, lookupStopLimit, rn.otherServers...)
	_ = rn.callerServer.Close()
	rn.wg.Wait()
	lc.Server.awaitRequests(cutLogTime)
	lc.Log.Info("gateway stopped", "duration_ms", time.Since(began).Milliseconds(), "cut", cut)
	return errors.Wrap(err, "requests were still running")
}
