package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/place"
	"damasklatch/core/quota"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

const (
	// tick is the period of the control loop.
	tick = 50 * time.Millisecond
	// reportEvery is the period of reports to other VMs, summaryEvery that of the summaries in them.
	reportEvery  = 250 * time.Millisecond
	summaryEvery = 500 * time.Millisecond
	// readEvery is the period in which a reader lists the configuration. Unlike a watch, the answer shows at once what is newest.
	readEvery = 800 * time.Millisecond
	// relayFor is the time beyond that for which a reader is followed without an answer of the store.
	relayFor = 900 * time.Millisecond
	longWait = 10 * time.Second
	// ownEvidence is the age of the lease from which a VM asks the store itself. Speakers ask first, as they serve the others.
	ownEvidence     = 3300 * time.Millisecond
	speakerEvidence = 2600 * time.Millisecond
	// runGap is the pause of the control loop from which this VM counts as not having run.
	runGap = time.Second
	// readAgain is the period in which it does so while the lease stays old.
	readAgain = 500 * time.Millisecond
	// watchBlind is the time for which a watch may miss changes before the store notices that its history is lost.
	watchBlind = 1200 * time.Millisecond
	// leaseMargin is the part of the time for revocations that the lease does not use.
	leaseMargin = time.Second
	// returnTime is the time after the return of the store within which targets register again whose registrations
	// lapsed meanwhile.
	returnTime = 2200 * time.Millisecond
	// helloTime is the time within which other VMs are heard after the start.
	helloTime = 600 * time.Millisecond
	// sourceTime is the time after the start within which readers are known.
	sourceTime = 800 * time.Millisecond
	// lookupTTL is how long callers may keep the answer to a look-up.
	lookupTTL = 1500 * time.Millisecond
)

// Components are the parts of a daemon that the control loop steers.
type Components struct {
	Settings *config.GatewaySettings
	Adapter  Adapter
	Store    objects.Store
	Lease    *lease.Lease
	Ledger   *quota.Ledger
	Roster   *roster.Roster
	Limiter  *Limiter
	Placer   *place.Placer
	Budget   *place.RetryBudget
	Server   *Server
	Log      *slog.Logger
}

// Controller owns the control state of a daemon.
type Controller struct {
	Components
	self roster.Peer
	send func(address string, st *roster.Status) error
	// showSelf renews the registration, without waiting for it.
	showSelf func()
	inbox    chan message
	started  time.Time

	informers map[objects.Kind]*objects.Informer
	changes   map[objects.Kind]objects.Revision // of the newest change seen
	progress  map[objects.Kind]*progress
	version   id.Generation
	targets   map[string]place.Target
	held      map[string]time.Time // registrations that lapsed with the store, and until when they are kept
	listed    map[objects.Kind]bool
	lastTick  time.Time
	nextState time.Time
	lastState time.Time
	// nextSummary is when speakers exchange summaries.
	nextSummary time.Time
	nextRead    time.Time // of the configuration, while the lease is old
	lapses      int64     // of the lease, as last seen

	reader   atomic.Bool
	wantRead atomic.Bool
	ready    atomic.Bool
	leaving  atomic.Bool
	lookup   atomic.Pointer[directory]
	peers    []roster.Peer
	mirror   *objects.Mirror
	answered atomic.Int64           // instant of the last answer of the store to a question for the configuration
	relayed  atomic.Int64           // the same of a VM that reads the store
	source   atomic.Pointer[string] // address of the VM that is followed
	// firstHand tells that the VM that is followed reads the store.
	firstHand atomic.Bool
	quick     map[objects.Kind]*atomic.Bool // the next watch returns at once
}

// message is an input of the control loop.
type message interface{ message() }

type snapshotMsg struct {
	kind    objects.Kind
	sn      objects.Snapshot
	changed bool
}

type statusMsg struct {
	at time.Time
	st *roster.Status
}

func (snapshotMsg) message() {}
func (statusMsg) message()   {}

// inboxSize bounds the messages that wait for the control loop.
const inboxSize = 1024

// NewController returns the control of a daemon. Status messages are sent with send, and the registration is renewed with showSelf.
func NewController(pt Components, self roster.Peer, send func(string, *roster.Status) error, showSelf func()) *Controller {
	now := time.Now()
	ct := &Controller{
		Components: pt, self: self, send: send, showSelf: showSelf, started: now, lastTick: now,
		inbox: make(chan message, inboxSize), informers: map[objects.Kind]*objects.Informer{},
		changes: map[objects.Kind]objects.Revision{}, progress: map[objects.Kind]*progress{},
		targets: map[string]place.Target{}, held: map[string]time.Time{},
		listed: map[objects.Kind]bool{}, quick: map[objects.Kind]*atomic.Bool{},
	}
	ct.mirror = objects.NewMirror(ct.serves)
	ks := pt.Adapter.Kinds()
	for _, kind := range []objects.Kind{ks.Config, ks.Targets, ks.Evacuations, ks.VMs} {
		ct.quick[kind], ct.progress[kind] = new(atomic.Bool), &progress{}
		src := &source{ct: ct, kind: kind}
		from := objects.NewRelayReader(pt.Store, src.relay, seedsOf(pt.Settings), pt.Log)
		from.WaitForSourceUntil(now.Add(sourceTime))
		ct.informers[kind] = objects.New(objects.Options{
			Store: from, Kind: kind, Clock: pt.Lease.Now, Log: pt.Log, WatchWait: src.wait, PollInterval: src.poll, ExpectsInterrupt: ct.patient, Apply: src.apply,
		})
	}
	return ct
}

// ReceiveStatus takes a status message.
func (ct *Controller) ReceiveStatus(at time.Time, st *roster.Status) {
	select {
	case ct.inbox <- statusMsg{at, st}:
	default: // the next status replaces it
	}
}

// Ready reports whether callers should use this VM.
func (ct *Controller) Ready() bool { return ct.ready.Load() && !ct.leaving.Load() && ct.Lease.Valid() }

// Leave takes the VM out of use.
func (ct *Controller) Leave() {
	ct.leaving.Store(true)
	ct.Roster.SetLeaving()
}

func (ct *Controller) loop(ctx context.Context) {
	tk := time.NewTicker(tick)
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

func (ct *Controller) handle(msg message) {
	switch ms := msg.(type) {
	case snapshotMsg:
		ct.takeSnapshot(ms)
	case statusMsg:
		ct.takeStatus(ms)
	}
}

func (ct *Controller) tick(now time.Time) {
	if now.Sub(ct.lastTick) > runGap {
		ct.Roster.ForgetSilent(now, false)
	}
	ct.lastTick = now
	ct.dropHeld(now)
	ct.catchUp(now)
	if !now.Before(ct.nextState) {
		ct.renewState(now)
	}
}

// renewState brings all that follows from the reports of other VMs up to date, and tells them.
func (ct *Controller) renewState(now time.Time) {
	ct.nextState = now.Add(reportEvery)
	ct.Roster.ForgetSilent(now, ct.Roster.HeardByPeer(now, roster.AliveFor) || ct.sinceAnswer() < roster.AliveFor)
	members := ct.Roster.Members()
	ct.setAlive(now, members)
	ct.setCounts(now)
	ct.plan(now)
	ct.setReady(now, members)
	ct.tell(now, members)
}
