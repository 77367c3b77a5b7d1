package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"damasklatch/core/config"
	"damasklatch/core/dedup"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/membership"
	"damasklatch/core/registry"
	"damasklatch/internal/logfield"
	"damasklatch/io/configsync"
	"damasklatch/io/entry"
	"damasklatch/io/metrics"
	"damasklatch/io/peer"
	"damasklatch/io/store"
	"damasklatch/io/target"
)

// Names of a daemon's services in the registry.
const (
	ServiceControl  registry.Name = "control"
	ServiceFollower registry.Name = "follower"
	ServiceSender   registry.Name = "sender"
	ServiceEntry    registry.Name = "entry"
	ServiceTargets  registry.Name = "targets"
	ServiceOwner    registry.Name = "owner"
	ServicePeers    registry.Name = "peers"
)

// Environment replaces parts of the operating system in tests. The zero value uses the real network.
type Environment struct {
	// DialPeers opens connections to other daemons if it is not nil. Tests use it to simulate network partitions.
	DialPeers func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Run runs a daemon until the context ends, then shuts it down gracefully. It returns when all requests have ended, or
// with an error when the drain timeout has passed.
func Run(ctx context.Context, ds *config.DaemonSettings, log *slog.Logger) error {
	return RunWithEnvironment(ctx, Environment{}, ds, log)
}

// RunWithEnvironment is like Run, but uses the given environment.
func RunWithEnvironment(ctx context.Context, ev Environment, ds *config.DaemonSettings, log *slog.Logger) error {
	log = log.With(logfield.VM, ds.VM, logfield.FailureDomain, ds.FailureDomain)
	app := fx.New(
		fx.Supply(ev, ds, log),
		fx.WithLogger(func() fxevent.Logger { return &fxevent.SlogLogger{Logger: log.With("component", "fx")} }),
		services,
		fx.Invoke(start),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout(ds)),
	)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	return errors.Wrap(app.Stop(stop), "shut down daemon")
}

const (
	startTimeout = 15 * time.Second
	// unlimitedDrain replaces a drain timeout of zero, which means no limit: fx needs a finite stop timeout.
	unlimitedDrain = 365 * 24 * time.Hour
)

func stopTimeout(ds *config.DaemonSettings) time.Duration {
	if ds.DrainTimeout == 0 {
		return unlimitedDrain
	}
	return ds.DrainTimeout + startTimeout
}

// services constructs the services of a daemon without starting them.
var services = fx.Options(
	fx.Provide(
		registry.New, newSelf, newClock, newRecorder, newLedger, newMembers, newStore, newClients, NewConfigHolders,
		metrics.New, newTargets, newEntry, newControl, newFollower, newSender, newOwner,
	),
	fx.Invoke(register),
)

// newSelf returns the membership entry of this VM. The incarnation is the start time, so that a later process of the
// same VM has a higher incarnation.
func newSelf(ds *config.DaemonSettings) membership.Entry {
	return membership.Entry{
		ID:            id.VMIncarnation{VM: ds.VM, Incarnation: id.Incarnation(time.Now().UnixNano())},
		FailureDomain: ds.FailureDomain,
		PeerAddress:   ds.PeerAddress,
		CallerAddress: ds.CallerAddress,
	}
}

func newClock() *event.Clock { return new(event.Clock) }

func newRecorder(ds *config.DaemonSettings, ck *event.Clock) *event.Recorder {
	return event.NewRecorder(ds.VM, ck, ds.TimelineEvents)
}

func newLedger(self membership.Entry) *limit.Ledger { return limit.New(self.ID, limit.Settings{}) }

func newMembers(self membership.Entry) *membership.Table {
	return membership.New(self, uint64(self.ID.Incarnation))
}

func newStore(ds *config.DaemonSettings) (store.Store, error) {
	ap, err := netip.ParseAddrPort(ds.StoreAddress)
	if err != nil {
		return nil, errors.Wrap(err, "setting store_address")
	}
	own, err := ownAddress(ds)
	if err != nil {
		return nil, err
	}
	return store.NewClient(store.Options{Address: ap, LocalAddress: own, Timeout: ds.StoreTimeout}), nil
}

func newClients(ev Environment, ds *config.DaemonSettings) (*peer.Clients, error) {
	own, err := ownAddress(ds)
	if err != nil {
		return nil, err
	}
	return peer.NewClients(peer.ClientOptions{Secret: peer.Secret(ds.FleetSecret), LocalAddress: own, Dial: ev.DialPeers}), nil
}

// ownAddress returns the local IP address for outgoing calls. It is the IP address of the peer address.
func ownAddress(ds *config.DaemonSettings) (netip.Addr, error) {
	ap, err := netip.ParseAddrPort(ds.PeerAddress)
	return ap.Addr(), errors.Wrap(err, "setting peer_address")
}

func newTargets(ds *config.DaemonSettings, self membership.Entry, rc *event.Recorder, mt *metrics.Metrics, log *slog.Logger) *target.Pool {
	return target.New(target.Options{
		FailureDomain: ds.FailureDomain, Seed: uint64(self.ID.Incarnation), Recorder: rc, Metrics: mt.Scope, Log: log,
	})
}

func newEntry(ds *config.DaemonSettings, self membership.Entry, lg *limit.Ledger, tp *target.Pool, rc *event.Recorder,
	mt *metrics.Metrics, log *slog.Logger,
) *entry.Server {
	return entry.New(entry.Options{
		Self:          self.ID,
		FailureDomain: ds.FailureDomain,
		Signer:        dedup.NewSigner(ds.FleetSecret),
		Table:         dedup.NewTable(self.ID, ds.RequestTableSize),
		Limits:        lg,
		Targets:       tp,
		Recorder:      rc,
		Metrics:       mt.Scope,
		Log:           log,
	})
}

func newControl(self membership.Entry, lg *limit.Ledger, mb *membership.Table, ck *event.Clock, rc *event.Recorder,
	tp *target.Pool, sv *entry.Server, hs *ConfigHolders, mt *metrics.Metrics, log *slog.Logger,
) *Controller {
	return NewController(Options{
		Self: self, Ledger: lg, Members: mb, Clock: ck, Recorder: rc, Targets: tp, Server: sv, ConfigHolders: hs,
		Metrics: mt.Scope, Log: log,
	})
}

func newFollower(st store.Store, ct *Controller, hs *ConfigHolders, rc *event.Recorder, log *slog.Logger) *configsync.Follower {
	return configsync.New(configsync.Options{
		Store: st, Peers: hs, WatchStore: ct.WatchesStore, NeedsStoreContact: ct.needsEvidence, Apply: ct.Apply,
		Log: log, Recorder: rc,
	})
}

func newSender(cs *peer.Clients, ct *Controller) *peer.Sender {
	return peer.NewSender(cs, ct.ReceiveResult)
}

func newOwner(st store.Store, ct *Controller, log *slog.Logger) *OwnershipManager {
	return NewOwnershipManager(st, ct, log)
}

// register enters the services in the registry and connects the controller to them.
func register(rg *registry.Registry, ct *Controller, fl *configsync.Follower, sn *peer.Sender, sv *entry.Server, tp *target.Pool,
	ow *OwnershipManager, cs *peer.Clients,
) error {
	for name, service := range map[registry.Name]any{
		ServiceControl: ct, ServiceFollower: fl, ServiceSender: sn, ServiceEntry: sv, ServiceTargets: tp,
		ServiceOwner: ow, ServicePeers: cs,
	} {
		if err := rg.Register(name, service); err != nil {
			return fmt.Errorf("register services: %w", err)
		}
	}
	return ct.connectServices(rg)
}
