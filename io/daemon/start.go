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
	"damasklatch/io/configsync"
	"damasklatch/io/entry"
	"damasklatch/io/metrics"
	"damasklatch/io/peer"
	"damasklatch/io/target"
)

// lifecycle starts and stops the goroutines of a daemon.
type lifecycle struct {
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

// running is what stop needs of a started daemon.
type running struct {
	lc      lifecycle
	callers *listener
	peers   *listener
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func start(fl fx.Lifecycle, lc lifecycle) {
	rn := &running{lc: lc}
	fl.Append(fx.Hook{OnStart: rn.start, OnStop: rn.stop})
}

func (rn *running) start(context.Context) error {
	lc := rn.lc
	var err error
	// The peer address is bound before the owner runs: that is its proof that earlier processes are gone.
	if rn.peers, err = listen(lc.Settings.PeerAddress, rn.peerServer()); err != nil {
		return err
	}
	srv := lc.Entry.HTTPServer()
	srv.ReadHeaderTimeout, srv.IdleTimeout = lc.Settings.HeaderTimeout, lc.Settings.IdleTimeout
	if rn.callers, err = listen(lc.Settings.CallerAddress, srv); err != nil {
		rn.peers.close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	rn.cancel = cancel
	lc.Recorder.Record(time.Now(), event.Event{Kind: event.KindStarted})
	lc.Sender.Start(ctx)
	lc.Targets.Start(ctx)
	for _, svc := range []service{
		{lc.Control.loop}, {lc.Follower.Run}, {lc.Owner.run}, {rn.peers.serve}, {rn.callers.serve},
	} {
		rn.wg.Add(1)
		go svc.run(ctx, &rn.wg)
	}
	lc.Log.Info("daemon started", "caller_address", lc.Settings.CallerAddress, "peer_address", lc.Settings.PeerAddress)
	return nil
}

// service is a part of the daemon that runs on a goroutine of its own until the context ends.
type service struct{ body func(context.Context) }

func (sv service) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	sv.body(ctx)
}

// stop shuts down so that no caller notices: look-ups stop naming the VM, tickets that callers hold stay valid for
// their time, running requests end, and only then the listeners close.
func (rn *running) stop(ctx context.Context) error {
	lc := rn.lc
	lc.Log.Info("daemon is leaving")
	left := make(chan struct{})
	if err := lc.Control.post(ctx, leaveMsg{done: left}); err == nil {
		<-left
	}
	ttl := config.DefaultLookupTTL
	if cfg := lc.Control.Config(); cfg != nil {
		ttl = cfg.Settings.LookupTTL
	}
	select {
	case <-time.After(ttl + leaveSpread):
	case <-ctx.Done():
	}
	drained := lc.Entry.Drain(ctx)
	closed := rn.callers.srv.Shutdown(ctx)
	rn.cancel()
	rn.peers.close()
	lc.Sender.Wait()
	lc.Targets.Close()
	rn.wg.Wait()
	lc.Log.Info("daemon stopped")
	if drained != nil {
		return errors.Wrap(drained, "requests were still running")
	}
	return errors.Wrap(closed, "connections were still open")
}

// leaveSpread is the time that the news of a leaving VM takes to reach the others, which name the VM in look-ups until
// then.
const leaveSpread = 2 * time.Second

// peerServer serves other daemons, operators and monitoring.
func (rn *running) peerServer() *http.Server {
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
)

// serveReady answers 200 if the daemon has a configuration, else 503 with the reason.
func (rn *running) serveReady(rw http.ResponseWriter, _ *http.Request) {
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

// serve returns when the server is shut down or closed.
func (ls *listener) serve(context.Context) { _ = ls.srv.Serve(ls.ln) }

func (ls *listener) close() {
	_ = ls.srv.Close()
	_ = ls.ln.Close() // of a server that was never started
}
