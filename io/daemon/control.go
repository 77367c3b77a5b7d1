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
	"damasklatch/core/member"
	"damasklatch/core/registry"
	"damasklatch/core/steer"
	"damasklatch/internal/logfield"
	"damasklatch/io/entry"
	"damasklatch/io/metrics"
	"damasklatch/io/peer"
	"damasklatch/io/store"
)

// Intervals of the control goroutine.
const (
	tickInterval   = 100 * time.Millisecond
	digestInterval = 500 * time.Millisecond
	inboxSize      = 256
)

var errStopped = errors.New("the daemon is shutting down")

// Follower is what the control goroutine needs of follow.Follower.
type Follower interface {
	Hint(gen id.Generation, from string)
	LastStoreContact() (time.Time, bool)
}

// Targets is what the control goroutine needs of target.Pool.
type Targets interface {
	SetTargets(now time.Time, sites []config.Site)
	SetShare(index, of int)
	Status(now time.Time) map[id.Pool][]balance.Status
}

// StatePublisher is what the control goroutine needs of entry.Server.
type StatePublisher interface {
	SetState(st *entry.State)
}

// Options are the parts that the control goroutine works with.
type Options struct {
	Self          member.Entry
	Ledger        *limit.Ledger
	Members       *member.Table
	Clock         *event.Clock
	Recorder      *event.Recorder
	Targets       Targets
	Server        StatePublisher
	ConfigHolders *ConfigHolders
	Metrics       tally.Scope // nil for none
	Log           *slog.Logger
}

// Controller owns the control state of a daemon. All fields but inbox and stopped belong to loop.
type Controller struct {
	Options
	inbox   chan message
	stopped chan struct{}

	sender   *peer.Sender
	follower Follower
	watches  watchFlag
	current  atomic.Pointer[config.Effective] // cfg, for other goroutines

	cfg        *config.Effective
	since      time.Time // when cfg came into force
	table      *steer.Table
	ring       *keyring.Ring
	leaving    bool
	nextDigest time.Time
	gauges     *gauges
	nextGauges time.Time
	// generations holds the generation that each VM last named in a digest of its own.
	generations map[id.VM]id.Generation
}

// NewController returns the control state of a daemon. attach must be called before loop runs.
func NewController(op Options) *Controller {
	return &Controller{
		Options: op, inbox: make(chan message, inboxSize), stopped: make(chan struct{}),
		generations: make(map[id.VM]id.Generation), table: new(steer.Table), gauges: newGauges(op.Metrics),
	}
}

// attach finds the services that themselves need the control goroutine.
func (ct *Controller) attach(rg *registry.Registry) error {
	var err error
	if ct.sender, err = registry.Find[*peer.Sender](rg, ServiceSender); err != nil {
		return err
	}
	ct.follower, err = registry.Find[Follower](rg, ServiceFollower)
	return err
}

// Config returns the configuration in force, or nil. It may be called by any goroutine.
func (ct *Controller) Config() *config.Effective { return ct.current.Load() }

// Apply puts a configuration in force and returns when that is done. It is called by the follower.
func (ct *Controller) Apply(cfg *config.Effective, _ []byte) {
	done := make(chan struct{})
	if ct.post(context.Background(), configMsg{cfg: cfg, done: done}) == nil {
		select {
		case <-done:
		case <-ct.stopped:
		}
	}
}

// ReceiveResult takes the result of a call to a peer. It is called by the workers of the sender.
func (ct *Controller) ReceiveResult(rs peer.Result) {
	_ = ct.post(context.Background(), resultMsg{result: rs}) // only fails at shutdown
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
		msg.reply <- ct.answerDigest(now, msg.digest)
	case borrowMsg:
		msg.reply <- ct.lend(now, msg.request)
	case resultMsg:
		ct.handleResult(now, msg.result)
	case configMsg:
		ct.apply(now, msg.cfg)
		close(msg.done)
	case ownedMsg:
		ct.Ledger.SetOwned(now, msg.owned)
		ct.Recorder.Record(now, event.Event{Kind: event.KindOwnership, Detail: formatOwned(msg.owned)})
	case platformMsg:
		ct.Members.Seed(now, seeds(msg.vms))
	case storeMsg:
		ct.Members.RecordStoreContact(msg.at)
	case statusMsg:
		msg.reply <- ct.status(now)
	case leaveMsg:
		ct.leave(now)
		close(msg.done)
	}
}

func seeds(vms []store.VMRecord) []member.Entry {
	ens := make([]member.Entry, 0, len(vms))
	for _, vm := range vms {
		if vm.State != store.VMLive {
			continue
		}
		ens = append(ens, member.Entry{
			ID:            id.VMIncarnation{VM: vm.VM},
			FailureDomain: vm.FailureDomain,
			PeerAddress:   vm.PeerAddress,
			CallerAddress: vm.CallerAddress,
		})
	}
	return ens
}

// tick does the periodic work.
func (ct *Controller) tick(now time.Time) {
	if at, ok := ct.follower.LastStoreContact(); ok {
		ct.Members.RecordStoreContact(at)
	}
	ct.recordTransitions(now, ct.Members.Tick(now))
	ct.watches.set(ct.Members.WatchesStore(storeWatchers))
	if !now.Before(ct.nextDigest) {
		ct.nextDigest = now.Add(digestInterval)
		ct.sendDigests(now)
	}
	ct.borrow(now)
	ct.setHolders()
	ct.divideTargets()
	ct.publish(now)
	if !now.Before(ct.nextGauges) {
		ct.nextGauges = now.Add(metrics.ReportInterval)
		ct.setGauges(now)
	}
}

// divideTargets tells the target pool which part of each target's slots and connections is this VM's. Only a VM that
// is dead gives up its part, so that a late heartbeat does not make two VMs use the same part.
func (ct *Controller) divideTargets() {
	index, of := 0, 1
	for _, mb := range ct.Members.Members() {
		if mb.FailureDomain != ct.Self.FailureDomain || mb.State == member.Dead {
			continue
		}
		of++
		if mb.ID.VM < ct.Self.ID.VM {
			index++
		}
	}
	ct.Targets.SetShare(index, of)
}

func (ct *Controller) recordTransitions(now time.Time, trs []member.Transition) {
	kinds := map[member.State]event.Kind{
		member.Alive:   event.KindMemberAlive,
		member.Leaving: event.KindMemberLeaving,
		member.Suspect: event.KindMemberSuspect,
		member.Dead:    event.KindMemberDead,
	}
	for _, tr := range trs {
		ct.Recorder.Record(now, event.Event{Kind: kinds[tr.To], Detail: tr.ID.String()})
		ct.Log.Info("member changed state",
			logfield.Peer, tr.ID.VM, logfield.Incarnation, tr.ID.Incarnation, "from", tr.From, "to", tr.To)
	}
}

// apply puts a configuration in force. The follower calls it with growing generations only; the check here keeps that
// true whatever the follower does.
func (ct *Controller) apply(now time.Time, cfg *config.Effective) {
	if ct.cfg != nil && cfg.Generation <= ct.cfg.Generation {
		return
	}
	ct.cfg, ct.since = cfg, now
	ct.current.Store(cfg)
	ct.table, ct.ring = ct.table.WithConfig(cfg), keyring.New(cfg.Keys)
	ct.Ledger.SetLoanDuration(cfg.Settings.LoanDuration)
	ct.Ledger.SetSpecs(now, limit.Specs(cfg, ct.Self.FailureDomain))
	ct.Targets.SetTargets(now, ct.localSites())
	ct.Recorder.Record(now, event.Event{Kind: event.KindGeneration, Detail: formatGeneration(cfg.Generation)})
	ct.Log.Info("configuration in force", logfield.Generation, cfg.Generation)
	ct.publish(now)
}

// localSites returns the sites of the own failure domain: targets of others are reached through the VMs there.
func (ct *Controller) localSites() []config.Site {
	var sts []config.Site
	for _, st := range ct.cfg.Sites {
		if st.FailureDomain == ct.Self.FailureDomain {
			sts = append(sts, st)
		}
	}
	return sts
}

// leave makes the VM stop taking new work from look-ups and returns its loans.
func (ct *Controller) leave(now time.Time) {
	ct.leaving = true
	ct.submitBorrows(ct.Ledger.Leave(now))
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
