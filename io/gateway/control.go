package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/placement"
	"damasklatch/core/quota"
	"damasklatch/core/roster"
	"damasklatch/core/routing"
	"damasklatch/io/objects"
)

const (
	// tickInterval is the interval at which the control loop does its periodic work.
	tickInterval = 50 * time.Millisecond
	// reportInterval is the interval between reports to other VMs. summaryInterval is the interval at which reports include
	// summaries of failure domains.
	reportInterval  = 250 * time.Millisecond
	summaryInterval = 500 * time.Millisecond
	// configPollInterval is the interval at which readers list the configuration. Unlike a waiting watch, each list response
	// proves that the configuration is the newest one.
	configPollInterval = 800 * time.Millisecond
	// sourceGrace is the additional time without a response of the store during which a VM still serves its mirror to others.
	sourceGrace = 900 * time.Millisecond
	// relayGrace is the same for responses of another VM.
	relayGrace = 500 * time.Millisecond
	// targetsCheckAge is the age at which a reader asks the store about its copies of targets and evacuations while the store has
	// changes of other kinds. vmsCheckAge is that of the registrations of VMs, on which no bound of the platform depends.
	targetsCheckAge = time.Second
	vmsCheckAge     = 4 * time.Second
	// storeProbeInterval is the interval at which a VM asks a silent store again.
	storeProbeInterval = time.Second
	// watchWait is how long a watch waits for changes.
	watchWait = 10 * time.Second
	// leaseReadAge is the age of the lease's evidence at which a VM reads the configuration from the store itself.
	// Aggregators do so earlier, because other VMs depend on their evidence.
	leaseReadAge           = 3300 * time.Millisecond
	leaseReadAgeAggregator = 2600 * time.Millisecond
	// maxTickGap is the longest time between ticks during which the VM counts as running. After a longer one it was
	// suspended, and the silence of peers meanwhile is not counted against them.
	maxTickGap = time.Second
	// readRetryInterval is the interval between direct reads of the configuration while the lease remains older than
	// leaseReadAge.
	readRetryInterval = 500 * time.Millisecond
	// historyLossDelay is the longest time for which a watch may miss changes before the store reports that the history is
	// lost. Renewals of the lease by a watch are dated back by it.
	historyLossDelay = 1200 * time.Millisecond
	// leaseMargin is subtracted from the time within which revocations must take effect to get the duration of the lease.
	leaseMargin = time.Second
	// reregisterTime is the time that targets get to register again after an outage of the store, during which their
	// registrations may have expired.
	reregisterTime = 2200 * time.Millisecond
	// peerWaitTime is the longest time after the start that a VM waits for reports of all its peers before it becomes ready.
	peerWaitTime = 600 * time.Millisecond
	// sourceWaitTime is the time after the start for which a VM waits to learn which VMs read the store, before it reads the
	// store itself.
	sourceWaitTime = 800 * time.Millisecond
	// lookupTTL is how long callers may keep the response to a look-up.
	lookupTTL = 1500 * time.Millisecond
)

// Components are the parts of a daemon that a Controller uses and updates.
type Components struct {
	Settings *config.GatewaySettings
	Adapter  Adapter
	Store    objects.Store
	Lease    *lease.Lease
	Ledger   *quota.Ledger
	Roster   *roster.Roster
	Limiter  *Limiter
	Placer   *placement.Placer
	Budget   *placement.RetryBudget
	Server   *Server
	Log      *slog.Logger
}

// Controller keeps the control state of a daemon: configuration, targets, peers and the lease. Fields without a lock or
// atomic type are used only by the goroutine of its loop, unless they never change after NewController.
type Controller struct {
	Components
	self roster.Peer
	// incarnation is the incarnation of this VM that is in use; the roster may raise that of self.
	incarnation id.Incarnation
	send        func(address string, st *roster.Status) error
	// renewRegistration requests a renewal of the registration in the store. It doesn't block.
	renewRegistration func()
	inbox             chan event
	started           time.Time

	informers     map[objects.Kind]*objects.Informer
	relays        map[objects.Kind]*objects.RelayReader
	latestChanges map[objects.Kind]objects.Revision // revision of the newest change seen
	progress      map[objects.Kind]*watchProgress
	version       id.Generation // of the configuration in force; 0 if there is none
	targets       map[string]placement.Target
	retained      map[string]time.Time      // targets whose registration is missing, and until when they are kept
	evacuated     map[id.FailureDomain]bool // as in the store
	restored      restoredStore
	registered    bool                  // the registration of this VM was seen in the store
	ahead         aheadPeer             // the VM that has reported the highest version of the configuration
	loaded        map[objects.Kind]bool // kinds whose objects are known
	lastTick      time.Time
	nextRefresh   time.Time
	lastReport    time.Time
	// nextSummary is the time at which aggregators exchange summaries again.
	nextSummary time.Time
	nextRead    time.Time // earliest time of the next direct read of the configuration
	lost        bool      // last seen value of lostStore
	lapses      int64     // last seen number of lapses of the lease

	newest            newestConfig
	fetches           chan string // relay addresses of VMs with a newer configuration
	isReader          atomic.Bool // this VM reads the store on behalf of others
	wantRead          atomic.Bool // the lease is old, so the configuration is read from the store
	ready             atomic.Bool
	leaving           atomic.Bool
	lookup            atomic.Pointer[directory]
	peers             []roster.Peer
	mirror            *objects.Mirror
	lastStoreResponse atomic.Int64             // time (lease.Instant) of the store's last response about the configuration
	sources           atomic.Pointer[[]string] // addresses of the VMs to read from, in order of preference
	// sourceIsReader is set if the first VM of sources reads the store itself.
	sourceIsReader atomic.Bool
	shortWatch     map[objects.Kind]*atomic.Bool // set if the next watch must return at once
}

// event is an input of the control loop.
type event interface{ isEvent() }

// snapshotEvent is a response of the store with the objects of a kind.
type snapshotEvent struct {
	kind    objects.Kind
	sn      objects.Snapshot
	changed bool
	config  decodedConfig // of the configuration, if changed is set
}

// configEvent is a configuration that was fetched from another VM.
type configEvent struct{ decodedConfig }

// decodedConfig is a configuration, or the reason why it is not valid.
type decodedConfig struct {
	config routing.Config
	err    error
}

// statusEvent is a received status report and the time of its arrival.
type statusEvent struct {
	at time.Time
	st *roster.Status
}

func (snapshotEvent) isEvent() {}
func (statusEvent) isEvent()   {}
func (configEvent) isEvent()   {}

// inboxSize is the maximum number of events that wait for the control loop.
const inboxSize = 1024

// NewController returns a controller for the daemon on the VM self. Send must send a status report to an address, and
// renewRegistration must request a renewal of the registration without blocking.
func NewController(pt Components, self roster.Peer, send func(string, *roster.Status) error, renewRegistration func()) *Controller {
	now := time.Now()
	ct := &Controller{
		Components: pt, self: self, incarnation: self.Incarnation, send: send, renewRegistration: renewRegistration, started: now, lastTick: now,
		inbox: make(chan event, inboxSize), informers: map[objects.Kind]*objects.Informer{}, relays: map[objects.Kind]*objects.RelayReader{},
		latestChanges: map[objects.Kind]objects.Revision{}, progress: map[objects.Kind]*watchProgress{},
		targets: map[string]placement.Target{}, retained: map[string]time.Time{},
		loaded: map[objects.Kind]bool{}, shortWatch: map[objects.Kind]*atomic.Bool{}, fetches: make(chan string, 1),
		evacuated: map[id.FailureDomain]bool{},
	}
	ct.mirror = objects.NewMirror(pt.Lease.Now, ct.copyLimit)
	ks := pt.Adapter.Kinds()
	for _, kind := range []objects.Kind{ks.Config, ks.Targets, ks.Evacuations, ks.VMs} {
		ct.shortWatch[kind], ct.progress[kind] = new(atomic.Bool), &watchProgress{}
		src := &informerSource{ct: ct, kind: kind}
		from := objects.NewRelayReader(pt.Store, src.sourceAddresses, seedsOf(pt.Settings), pt.Log)
		ct.relays[kind] = from
		from.WaitForSourceUntil(now.Add(sourceWaitTime))
		ct.informers[kind] = objects.New(objects.Options{
			Store: from, Kind: kind, Clock: pt.Lease.Now, Log: pt.Log, WatchWait: src.watchWait, PollInterval: src.pollInterval, ExpectsInterrupt: ct.expectsInterrupt,
			SourceBehind: from.AvoidSource, Apply: src.apply,
		})
	}
	return ct
}

// ReceiveStatus passes a received report to the control loop. It may be called from any goroutine and doesn't block: the
// report is dropped if too many events are waiting.
func (ct *Controller) ReceiveStatus(at time.Time, st *roster.Status) {
	select {
	case ct.inbox <- statusEvent{at, st}:
	default: // the next report replaces the dropped one
	}
}

// Ready reports whether callers should use this VM. It is safe for concurrent use.
func (ct *Controller) Ready() bool { return ct.ready.Load() && !ct.leaving.Load() && ct.Lease.Valid() }

// Leave makes the VM tell callers and other VMs that it is shutting down.
func (ct *Controller) Leave() {
	ct.leaving.Store(true)
	ct.Roster.SetLeaving()
}

// loop handles events and does the periodic work until the context is canceled.
func (ct *Controller) loop(ctx context.Context) {
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-ct.inbox:
			ct.handle(msg)
		case now := <-tk.C:
			ct.tick(now)
		}
	}
}

func (ct *Controller) handle(msg event) {
	switch ms := msg.(type) {
	case snapshotEvent:
		ct.applySnapshot(ms)
	case statusEvent:
		ct.applyStatus(ms)
	case configEvent:
		ct.setConfig(time.Now(), ms.decodedConfig)
	}
}

// tick does the periodic work.
func (ct *Controller) tick(now time.Time) {
	if now.Sub(ct.lastTick) > maxTickGap {
		ct.Roster.ForgetSilent(now, false)
	}
	ct.lastTick = now
	ct.dropRetained(now)
	ct.endRestore(now)
	ct.catchUp(now)
	ct.fetchNewer(now)
	if !now.Before(ct.nextRefresh) {
		ct.refreshState(now)
	}
}

// refreshState recomputes what depends on the reports of other VMs, and then sends this VM's report.
func (ct *Controller) refreshState(now time.Time) {
	ct.nextRefresh = now.Add(reportInterval)
	ct.Roster.ForgetSilent(now, ct.Roster.HeardByPeer(now, roster.AliveFor) || ct.sinceStoreResponse() < roster.AliveFor)
	members := ct.Roster.Members()
	ct.updateMembers(now, members)
	ct.updateCoordinated(now)
	ct.updatePlan(now)
	ct.updateReady(now, members)
	ct.exportCopies()
	ct.sendReports(now, members)
}
