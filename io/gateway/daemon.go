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
	"damasklatch/core/place"
	"damasklatch/core/quota"
	"damasklatch/core/roster"
	"damasklatch/io/asynclog"
	"damasklatch/io/metrics"
	"damasklatch/io/objects"
	"damasklatch/io/status"
)

const (
	startTimeout = 10 * time.Second
	// exitMargin is the part of the grace that is kept for the end of the process.
	exitMargin = 300 * time.Millisecond
	// gcPercent trades memory for processor time.
	gcPercent = 200
)

// Run runs a gateway until the context ends, and then shuts it down gracefully. Its settings are read again on SIGHUP. Its
// log goes to out.
func Run(ctx context.Context, load Loader, ad Adapter, out io.Writer) error {
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
	rl := requestLog{slog.New(slog.NewJSONHandler(lw.RequestWriter(), op)).With("vm", string(gs.VM))}
	slog.SetDefault(log) // net/http logs unexpected bytes of targets with the default logger
	lctx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	go lw.Run(lctx)
	err = run(ctx, fx.Supply(gs, load, lv, log, rl, lw), ad, gs.Grace)
	stopLog()
	lw.Wait()
	return err
}

// requestLog takes the lines of requests, which are bounded by themselves.
type requestLog struct{ *slog.Logger }

func run(ctx context.Context, given fx.Option, ad Adapter, grace time.Duration) error {
	app := fx.New(
		given,
		fx.Provide(func() Adapter { return ad }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		services,
		fx.Invoke(start),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(grace),
	)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "gateway not started")
	}
	<-ctx.Done()
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace-exitMargin)
	defer cancel()
	return errors.Wrap(app.Stop(sctx), "gateway not stopped in good order")
}

var services = fx.Options(fx.Provide(
	newSelf, newStore, newLease, newLedger, newRoster, newLimiter, newPlacer, newBudget, metrics.New, newServer, newReloader,
))

// newSelf makes the registration of this VM. The incarnation is the time of the start, so a later process has a higher one.
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

// bootTime reads a clock that also runs while the VM is suspended. The system call fails only for unknown clocks.
func bootTime() lease.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read the boot clock"))
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

func newPlacer(gs *config.GatewaySettings) *place.Placer {
	return place.New(place.Options{Self: gs.VM, FailureDomain: gs.FailureDomain, Region: gs.Region})
}

func newBudget(gs *config.GatewaySettings) *place.RetryBudget {
	return place.NewRetryBudget(time.Now(), gs.RetryRatio, gs.RetryWindow)
}

func newServer(gs *config.GatewaySettings, ad Adapter, ls *lease.Lease, lm *Limiter, pc *place.Placer,
	bg *place.RetryBudget, mt *metrics.Metrics, log *slog.Logger, rl requestLog,
) *Server {
	return NewServer(Options{
		Region: gs.Region, Codec: ad, Lease: ls, Limiter: lm, Placer: pc, Budget: bg, Metrics: NewMetrics(mt.Scope), Log: log,
		RequestLog: rl.Logger,
	})
}

// lifecycle is what is started and stopped.
type lifecycle struct {
	fx.In

	Settings *config.GatewaySettings
	Self     roster.Peer
	Adapter  Adapter
	Store    objects.Store
	Lease    *lease.Lease
	Ledger   *quota.Ledger
	Roster   *roster.Roster
	Limiter  *Limiter
	Placer   *place.Placer
	Budget   *place.RetryBudget
	Server   *Server
	Metrics  *metrics.Metrics
	Reloader *reloader
	Log      *slog.Logger
	Lines    *asynclog.Writer
}

// running is a started daemon.
type running struct {
	lc      lifecycle
	control *Controller
	conn    *status.Conn
	callers *http.Server
	others  []*http.Server
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func start(fl fx.Lifecycle, lc lifecycle) {
	rn := &running{lc: lc}
	fl.Append(fx.Hook{OnStart: rn.start, OnStop: rn.stop})
}

func (rn *running) start(context.Context) error {
	lc, gs := rn.lc, rn.lc.Settings
	rg := &registrar{store: lc.Store, registry: lc.Adapter, roster: lc.Roster, self: lc.Self, log: lc.Log, renewals: make(chan struct{}, 1)}
	rn.control = NewController(Components{
		Settings: gs, Adapter: lc.Adapter, Store: lc.Store, Lease: lc.Lease, Ledger: lc.Ledger, Roster: lc.Roster, Limiter: lc.Limiter, Placer: lc.Placer,
		Budget: lc.Budget, Server: lc.Server, Log: lc.Log,
	}, lc.Self, rn.sendStatus, rg.show)
	var err error
	hd := status.Handlers{OnStatus: rn.control.ReceiveStatus, OnTokenRequest: lc.Limiter.HandleTokenRequest}
	if rn.conn, err = status.Listen(gs.StatusAddress, lc.Log, hd); err != nil {
		return err
	}
	lc.Limiter.ask = rn.conn.RequestTokens
	ctx, cancel := context.WithCancel(context.Background())
	rn.cancel = cancel
	if err := rn.listen(ctx); err != nil {
		cancel()
		return err
	}
	dc := &dropCounter{log: lc.Lines, metrics: lc.Server.op.Metrics}
	bodies := []func(context.Context){rn.control.loop, rn.conn.Run, rg.run, lc.Reloader.run, dc.run}
	for _, in := range rn.control.informers {
		bodies = append(bodies, in.Run)
	}
	for _, body := range bodies {
		rn.wg.Add(1)
		go service{body}.run(ctx, &rn.wg)
	}
	lc.Log.Info("gateway started", "incarnation", uint64(lc.Self.Incarnation), "region", string(gs.Region),
		"failure_domain", string(gs.FailureDomain), "address", gs.CallerAddress)
	return nil
}

func (rn *running) sendStatus(address string, st *roster.Status) error {
	return rn.conn.Send(address, st)
}

// service is a part of the daemon that runs on a goroutine of its own until the context ends.
type service struct{ body func(context.Context) }

func (sv service) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	sv.body(ctx)
}

// listen binds the addresses and serves them.
func (rn *running) listen(ctx context.Context) error {
	lc, gs := rn.lc, rn.lc.Settings
	rn.callers = lc.Server.HTTPServer()
	unused := &unusedConns{}
	rn.callers.ConnState = unused.note
	rn.callers.RegisterOnShutdown(unused.close)
	byAddress := map[string]*mux.Router{}
	route := func(address string) *mux.Router {
		if byAddress[address] == nil {
			byAddress[address] = mux.NewRouter()
		}
		return byAddress[address]
	}
	route(gs.MetricsAddress).Handle("/metrics", lc.Metrics.Handler).Methods(http.MethodGet)
	route(gs.RelayAddress).Handle(objects.MirrorPath, rn.control.mirror.Handler()).Methods(http.MethodGet)
	route(gs.ReadyAddress).NewRoute().Handler(lc.Adapter.ReadyHandler(rn.control.Ready))
	route(gs.LookupAddress).NewRoute().Handler(lc.Adapter.LookupHandler(rn.control))
	for address, rt := range byAddress {
		srv := &http.Server{Handler: rt, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(lc.Log.Handler(), slog.LevelDebug)}
		rn.others = append(rn.others, srv)
		if err := rn.serve(ctx, address, srv, false); err != nil {
			return err
		}
	}
	return rn.serve(ctx, gs.CallerAddress, rn.callers, true)
}

func (rn *running) serve(ctx context.Context, address string, srv *http.Server, tapped bool) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Wrap(err, "address")
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "bind address")
	}
	if tapped {
		ln = tapListener{ln}
	}
	rn.wg.Add(1)
	go service{(&listener{ln, srv}).serve}.run(ctx, &rn.wg)
	return nil
}

// listener is an HTTP server on a bound address.
type listener struct {
	ln  net.Listener
	srv *http.Server
}

// serve returns when the server is shut down or closed, which is its only error.
func (ls *listener) serve(context.Context) { _ = ls.srv.Serve(ls.ln) }

// stop shuts down so that no caller notices: the VM is out of look-ups at once, requests of callers that still know it are
// served for a while, and the process ends when all are answered.
func (rn *running) stop(ctx context.Context) error {
	lc := rn.lc
	lc.Log.Info("gateway is leaving")
	rn.control.Leave()
	lc.Server.Leave()
	select {
	case <-time.After(lc.Settings.AcceptAfterStop):
	case <-ctx.Done():
	}
	err := rn.callers.Shutdown(ctx)
	rn.cancel()
	for _, srv := range rn.others {
		_ = srv.Close()
	}
	_ = rn.callers.Close()
	rn.wg.Wait()
	lc.Log.Info("gateway stopped")
	return errors.Wrap(err, "requests were still running")
}
