package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"damasklatch/core/balance"
	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/core/limit"
	"damasklatch/core/lookup"
	"damasklatch/core/membership"
	"damasklatch/core/registry"
	"damasklatch/internal/logfield"
	"damasklatch/io/entry"
	"damasklatch/io/metrics"
	"damasklatch/io/peer"
	"damasklatch/io/store"
)

// Intervals of the control goroutine and size of its inbox.
const (
	tickInterval   = 100 * time.Millisecond
	digestInterval = 500 * time.Millisecond
	inboxSize      = 256
)

var errStopped = errors.New("the daemon is shutting down")

// Follower follows the configuration in the platform store and at peers. It is implemented by configsync.Follower.
type Follower interface {
	// Hint reports that the named VM has a generation in force, so that the follower fetches it if it is newer than the
	// one in force here. It does not wait for the fetch, because the control goroutine calls it.
	Hint(gen id.Generation, from string)
	// LastStoreContact returns the send time of the latest store call that proves contact with the store, and false if
	// there was none. The time does not advance while this VM knows of a newer configuration that it does not have.
	LastStoreContact() (time.Time, bool)
}

// Targets is the pool of local targets. It is implemented by target.Pool.
type Targets interface {
	// SetTargets replaces the targets by those of the sites in the failure domain of this VM. Requests in flight at a
	// target that is removed continue.
	SetTargets(now time.Time, sites []config.Site)
	// SetShare sets the position of this VM, counted from 0, among the VMs of its failure domain, and their number. The
	// slots and connections of each target are divided among these VMs.
	SetShare(index, of int)
	// Status returns the state of the targets by pool. A pool that has lost its last target may be listed without targets.
	Status(now time.Time) map[id.Pool][]balance.Status
}

// StatePublisher passes the control state to the goroutines that serve requests. It is implemented by entry.Server.
type StatePublisher interface {
	// SetState replaces the state. Requests that are already admitted continue. The control goroutine calls it while other
	// goroutines serve requests, and must not change the state afterwards.
	SetState(st *entry.State)
}

// Options holds the components that the controller uses.
type Options struct {
	Self          membership.Entry
	Ledger        *limit.Ledger
	Members       *membership.Table
	Clock         *event.Clock
	Recorder      *event.Recorder
	Targets       Targets
	Server        StatePublisher
	ConfigHolders *ConfigHolders
	Metrics       tally.Scope // nil for none
	Log           *slog.Logger
}

// Controller owns the control state of a daemon. Only the goroutine of loop uses its fields, except inbox, stopped,
// watchFlag and current, which any goroutine may use.
type Controller struct {
	Options
	inbox   chan message
	stopped chan struct{}

	sender    *peer.Sender
	follower  Follower
	watchFlag watchFlag
	current   atomic.Pointer[config.Effective] // copy of cfg for other goroutines

	cfg          *config.Effective
	inForceSince time.Time // when cfg was put in force
	table        *lookup.Table
	ring         *keyring.Ring
	leaving      bool
	nextDigest   time.Time
	gauges       *gauges
	nextGauges   time.Time
	// generations holds the configuration generation that each VM reported in its last digest.
	generations map[id.VM]id.Generation
}

// NewController returns the controller of a daemon. connectServices must be called before loop.
func NewController(op Options) *Controller {
	return &Controller{
		Options: op, inbox: make(chan message, inboxSize), stopped: make(chan struct{}),
		generations: make(map[id.VM]id.Generation), table: new(lookup.Table), gauges: newGauges(op.Metrics),
	}
}

// connectServices looks up the sender and the follower in the registry. They are created after the controller, because they
// depend on it.
func (ct *Controller) connectServices(rg *registry.Registry) error {
	var err error
	if ct.sender, err = registry.Find[*peer.Sender](rg, ServiceSender); err != nil {
		return err
	}
	ct.follower, err = registry.Find[Follower](rg, ServiceFollower)
	return err
}

// Config returns the configuration in force, or nil if there is none yet. Any goroutine may call it.
func (ct *Controller) Config() *config.Effective { return ct.current.Load() }

// Apply puts a configuration in force and returns when it is in force or the daemon is stopping. The follower calls it.
func (ct *Controller) Apply(cfg *config.Effective, _ []byte) {
	done := make(chan struct{})
	if ct.post(context.Background(), configMsg{cfg: cfg, done: done}) == nil {
		select {
		case <-done:
		case <-ct.stopped:
		}
	}
}

// ReceiveResult passes the result of a call to a peer to the control goroutine. The workers of the sender call it.
func (ct *Controller) ReceiveResult(rs peer.Result) {
	_ = ct.post(context.Background(), resultMsg{result: rs}) // fails only during shutdown
}

// loop runs the control goroutine until the context ends.
func (ct *Controller) loop(ctx context.Context) {
	defer close(ct.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-ct.inbox:
			ct.handle(time.Now(), msg)
		case <-tick.C:
			ct.tick(time.Now())
		}
	}
}

func (ct *Controller) handle(now time.Time, msg message) {
	switch msg := msg.(type) {
	case digestMsg:
		msg.reply <- ct.handleDigest(now, msg.digest)
	case borrowMsg:
		msg.reply <- ct.grantLoans(now, msg.request)
	case resultMsg:
		ct.handleResult(now, msg.result)
	case configMsg:
		ct.apply(now, msg.cfg)
		close(msg.done)
	case ownedMsg:
		ct.Ledger.SetOwned(now, msg.owned)
		ct.Recorder.Record(now, event.Event{Kind: event.KindOwnership, Detail: formatOwned(msg.owned)})
	case vmListMsg:
		ct.Members.Seed(now, seedEntries(msg.vms))
	case storeContactMsg:
		ct.Members.RecordStoreContact(msg.at)
	case statusMsg:
		msg.reply <- ct.status(now)
	case leaveMsg:
		ct.leave(now)
		close(msg.done)
	}
}

func seedEntries(vms []store.VMRecord) []membership.Entry {
	ens := make([]membership.Entry, 0, len(vms))
	for _, vm := range vms {
		if vm.State != store.VMLive {
			continue
		}
		ens = append(ens, membership.Entry{
			ID:            id.VMIncarnation{VM: vm.VM},
			FailureDomain: vm.FailureDomain,
			PeerAddress:   vm.PeerAddress,
			CallerAddress: vm.CallerAddress,
		})
	}
	return ens
}

// tick does the periodic work of the control goroutine.
func (ct *Controller) tick(now time.Time) {
	if at, ok := ct.follower.LastStoreContact(); ok {
		ct.Members.RecordStoreContact(at)
	}
	ct.recordTransitions(now, ct.Members.Tick(now))
	ct.watchFlag.set(ct.Members.WatchesStore(storeWatchers))
	if !now.Before(ct.nextDigest) {
		ct.nextDigest = now.Add(digestInterval)
		ct.sendDigests(now)
	}
	ct.requestLoans(now)
	ct.updateConfigHolders()
	ct.updateTargetShare()
	ct.publish(now)
	if !now.Before(ct.nextGauges) {
		ct.nextGauges = now.Add(metrics.ReportInterval)
		ct.setGauges(now)
	}
}

// updateTargetShare tells the target pool which part of each target's slots and connections this VM may use. The parts of
// suspect and leaving VMs stay reserved, so that a late heartbeat does not make two VMs use the same part. Only a dead
// VM loses its part.
func (ct *Controller) updateTargetShare() {
	index, of := 0, 1
	for _, mb := range ct.Members.Members() {
		if mb.FailureDomain != ct.Self.FailureDomain || mb.State == membership.Dead {
			continue
		}
		of++
		if mb.ID.VM < ct.Self.ID.VM {
			index++
		}
	}
	ct.Targets.SetShare(index, of)
}

func (ct *Controller) recordTransitions(now time.Time, trs []membership.Transition) {
	kinds := map[membership.State]event.Kind{
		membership.Alive:   event.KindMemberAlive,
		membership.Leaving: event.KindMemberLeaving,
		membership.Suspect: event.KindMemberSuspect,
		membership.Dead:    event.KindMemberDead,
	}
	for _, tr := range trs {
		ct.Recorder.Record(now, event.Event{Kind: kinds[tr.To], Detail: tr.ID.String()})
		ct.Log.Info("member changed state",
			logfield.Peer, tr.ID.VM, logfield.Incarnation, tr.ID.Incarnation, "from", tr.From, "to", tr.To)
	}
}

// apply puts a configuration in force. It ignores a configuration whose generation is not newer than the one in force.
// The follower passes only newer generations; the check here does not rely on that.
func (ct *Controller) apply(now time.Time, cfg *config.Effective) {
	if ct.cfg != nil && cfg.Generation <= ct.cfg.Generation {
		return
	}
	ct.cfg, ct.inForceSince = cfg, now
	ct.current.Store(cfg)
	ct.table, ct.ring = ct.table.WithConfig(cfg), keyring.New(cfg.Keys)
	ct.Ledger.SetLoanDuration(cfg.Settings.LoanDuration)
	ct.Ledger.SetSpecs(now, limit.Specs(cfg, ct.Self.FailureDomain))
	ct.Targets.SetTargets(now, ct.localSites())
	ct.Recorder.Record(now, event.Event{Kind: event.KindGeneration, Detail: formatGeneration(cfg.Generation)})
	ct.Log.Info("configuration in force", logfield.Generation, cfg.Generation)
	ct.publish(now)
}

// localSites returns the sites of this VM's failure domain. Targets in other failure domains are reached through the
// VMs there.
func (ct *Controller) localSites() []config.Site {
	var sts []config.Site
	for _, st := range ct.cfg.Sites {
		if st.FailureDomain == ct.Self.FailureDomain {
			sts = append(sts, st)
		}
	}
	return sts
}

// leave removes this VM from the results of look-ups and returns its loans.
func (ct *Controller) leave(now time.Time) {
	ct.leaving = true
	ct.submitLoanRequests(ct.Ledger.Leave(now))
	ct.Recorder.Record(now, event.Event{Kind: event.KindStopping})
	ct.publish(now)
	ct.sendDigests(now)
}

func (ct *Controller) generation() id.Generation {
	if ct.cfg == nil {
		return 0
	}
	return ct.cfg.Generation
}
