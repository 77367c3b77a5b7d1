package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/internal/httpstop"
	"damasklatch/io/configsync"
	"damasklatch/io/entry"
	"damasklatch/io/inbound"
	"damasklatch/io/metrics"
	"damasklatch/io/peer"
	"damasklatch/io/target"
)

// params holds the services that runningDaemon starts and stops. fx fills the fields.
type params struct {
	fx.In

	Settings *config.DaemonSettings
	Control  *Controller
	Follower *configsync.Follower
	Sender   *peer.Sender
	Entry    *entry.Server
	Targets  *target.Pool
	Owner    *OwnershipManager
	Metrics  *metrics.Metrics
	Recorder *event.Recorder
	Log      *slog.Logger
}

// runningDaemon holds the listeners and goroutines of a started daemon, which stop ends.
type runningDaemon struct {
	lc      params
	callers *listener
	// callerConns is the listener of callers. It ends their connections.
	callerConns *inbound.Listener
	peers       *listener
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

func start(fl fx.Lifecycle, lc params) {
	rn := &runningDaemon{lc: lc}
	fl.Append(fx.Hook{OnStart: rn.start, OnStop: rn.stop})
}

func (rn *runningDaemon) start(context.Context) error {
	lc := rn.lc
	var err error
	// The peer address is bound before the ownership manager runs. A bound address proves that no earlier process of
	// this VM is running.
	if rn.peers, err = listen(lc.Settings.PeerAddress, rn.peerServer()); err != nil {
		return err
	}
	srv := lc.Entry.HTTPServer()
	srv.ReadHeaderTimeout, srv.IdleTimeout = lc.Settings.HeaderTimeout, lc.Settings.IdleTimeout
	if rn.callers, err = listen(lc.Settings.CallerAddress, srv); err != nil {
		rn.peers.close()
		return err
	}
	rn.callerConns = inbound.NewListener(rn.callers.ln)
	rn.callers.ln = rn.callerConns
	ctx, cancel := context.WithCancel(context.Background())
	rn.cancel = cancel
	lc.Recorder.Record(time.Now(), event.Event{Kind: event.KindStarted})
	lc.Sender.Start(ctx)
	lc.Targets.Start(ctx)
	for _, svc := range []backgroundService{
		{lc.Control.loop}, {lc.Follower.Run}, {lc.Owner.run}, {rn.peers.serve}, {rn.callers.serve},
	} {
		rn.wg.Add(1)
		go svc.run(ctx, &rn.wg)
	}
	lc.Log.Info("daemon started", "caller_address", lc.Settings.CallerAddress, "peer_address", lc.Settings.PeerAddress)
	return nil
}

// backgroundService is a function that runs on its own goroutine until the context ends.
type backgroundService struct{ body func(context.Context) }

func (sv backgroundService) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	sv.body(ctx)
}

// stop shuts the daemon down without failing requests of callers. Look-ups stop returning the VM first, and connections of callers are
// closed after their next response. The daemon then serves requests until the tickets that callers already hold have expired, waits for
// running requests, and closes the listeners last.
func (rn *runningDaemon) stop(ctx context.Context) error {
	lc := rn.lc
	lc.Log.Info("daemon is shutting down")
	left := make(chan struct{})
	if err := lc.Control.post(ctx, leaveMsg{done: left}); err == nil {
		<-left
	}
	rn.callerConns.Leave()
	ttl := config.DefaultLookupTTL
	if cfg := lc.Control.Config(); cfg != nil {
		ttl = cfg.Settings.LookupTTL
	}
	select {
	case <-time.After(ttl + leavePropagation):
	case <-ctx.Done():
	}
	drained := lc.Entry.Drain(ctx)
	closed := rn.callerConns.Drain(ctx)
	rn.callerConns.Abort()
	rn.cancel()
	httpstop.Stop(ctx, peerStopLimit, rn.peers.srv)
	rn.peers.close()
	lc.Sender.Wait()
	lc.Targets.Close()
	rn.wg.Wait()
	lc.Log.Info("daemon stopped")
	if drained != nil {
		return errors.Wrap(drained, "drain requests")
	}
	return errors.Wrap(closed, "close caller connections")
}

// leavePropagation is the time until all other VMs know that this VM is leaving. Until then they return it in look-ups.
const leavePropagation = 2 * time.Second

// peerServer returns the HTTP server for other daemons, the operator's command and monitoring.
func (rn *runningDaemon) peerServer() *http.Server {
	lc := rn.lc
	rt := mux.NewRouter()
	peer.Register(rt, NewBackend(lc.Control, lc.Follower), peer.Secrets{
		Fleet: peer.Secret(lc.Settings.FleetSecret), Operator: peer.Secret(lc.Settings.OperatorSecret),
	})
	rt.HandleFunc("/readyz", rn.serveReady).Methods(http.MethodGet)
	rt.Handle("/metrics", lc.Metrics.Handler).Methods(http.MethodGet)
	return &http.Server{
		Handler:           rt,
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		ErrorLog:          slog.NewLogLogger(lc.Log.Handler(), slog.LevelDebug),
	}
}

const (
	peerHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = 2 * time.Minute
	// peerStopLimit is the time for which the shutdown waits for readiness checks and other short requests.
	peerStopLimit = time.Second
)

// serveReady responds with status 200 if the daemon has a configuration, otherwise with 503 and the reason.
func (rn *runningDaemon) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if rn.lc.Control.Config() == nil {
		http.Error(rw, notReadyReason, http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// listener is an HTTP server on a bound address.
type listener struct {
	ln  net.Listener
	srv *http.Server
}

func listen(addr string, srv *http.Server) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "bind address")
	}
	return &listener{ln: ln, srv: srv}, nil
}

// serve accepts connections until the server is shut down or closed.
func (ls *listener) serve(context.Context) { _ = ls.srv.Serve(ls.ln) }

func (ls *listener) close() {
	_ = ls.srv.Close()
	_ = ls.ln.Close() // srv.Close does not close the listener if serve was never called
}
