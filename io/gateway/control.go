package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"damasklatch/core/allot"
	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/place"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

const (
	// tick is the period of the control loop.
	tick = 50 * time.Millisecond
	// statusEvery is the period of status messages in a small fleet. It grows with the fleet from smallFleet VMs on.
	statusEvery = 250 * time.Millisecond
	smallFleet  = 24
	mostStatus  = time.Second
	// recentPeriods is the number of periods after which a status no longer counts as the present demand: two may be lost.
	recentPeriods = 2.8
	// readerWait is the longest wait of a reader's watches of the configuration, which show that the store can be asked;
	// longWait is that of other watches.
	readerWait = 600 * time.Millisecond
	// relayFor is the time since the last answer of the store for which a reader is followed.
	relayFor = 900 * time.Millisecond
	longWait = 10 * time.Second
	// ownEvidence is the age of the lease from which a VM asks the store itself.
	ownEvidence = 3300 * time.Millisecond
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
	// forgetVM is the time after which a silent VM is not sent statuses any more.
	forgetVM = 60 * time.Second
)

// Parts are the parts of a daemon that the control loop steers.
type Parts struct {
	Settings *config.GatewaySettings
	Adapter  Adapter
	Store    objects.Store
	Lease    *lease.Lease
	Shares   *allot.Shares
	Limiter  *Limiter
	Placer   *place.Placer
	Budget   *place.Budget
	Server   *Server
	Log      *slog.Logger
}

// Control owns the control state of a daemon.
type Control struct {
	Parts
	self   roster.Peer
	roster *roster.Roster
	send   func(address string, st *roster.Status) error
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
	nextState time.Time
	lastState time.Time
	nextTell  time.Time
	nextRead  time.Time     // of the configuration, while the lease is old
	period    time.Duration // of statuses
	lapses    int64         // of the lease, as last seen

	reader   atomic.Bool
	wantRead atomic.Bool
	ready    atomic.Bool
	leaving  atomic.Bool
	lookup   atomic.Pointer[directory]
	peers    []roster.Peer
	mirror   *objects.Mirror
	answered atomic.Int64                  // instant of the last answer of the store to a question for the configuration
	source   atomic.Pointer[string]        // address of the VM that is followed
	quick    map[objects.Kind]*atomic.Bool // the next watch returns at once
}

// message is an input of the control loop.
type message interface{ message() }

type snapshotMsg struct {
	kind    objects.Kind
	sn      objects.Snapshot
	changed bool
}

type statusMsg struct {
	at   time.Time
	from string
	st   roster.Status
}

func (snapshotMsg) message() {}
func (statusMsg) message()   {}

// inboxSize bounds the messages that wait for the control loop.
const inboxSize = 1024

// NewControl returns the control of a daemon. Status messages are sent with send, and the registration is renewed with showSelf.
func NewControl(pt Parts, self roster.Peer, send func(string, *roster.Status) error, showSelf func()) *Control {
	now := time.Now()
	ct := &Control{
		Parts: pt, self: self, roster: roster.New(self.VM), send: send, showSelf: showSelf, started: now,
		inbox: make(chan message, inboxSize), informers: map[objects.Kind]*objects.Informer{},
		changes: map[objects.Kind]objects.Revision{}, progress: map[objects.Kind]*progress{},
		targets: map[string]place.Target{}, held: map[string]time.Time{},
		listed: map[objects.Kind]bool{}, quick: map[objects.Kind]*atomic.Bool{},
	}
	ct.mirror = objects.NewMirror(ct.follows)
	from := objects.NewRelayed(pt.Store, ct.relay, pt.Log)
	from.Hold(now.Add(sourceTime))
	ks := pt.Adapter.Kinds()
	for _, kind := range []objects.Kind{ks.Config, ks.Targets, ks.Evacuations, ks.VMs} {
		ct.quick[kind], ct.progress[kind] = new(atomic.Bool), &progress{}
		src := &source{ct: ct, kind: kind}
		ct.informers[kind] = objects.New(objects.Options{
			Store: from, Kind: kind, Clock: pt.Lease.Now, Log: pt.Log, Wait: src.wait, Apply: src.apply,
		})
	}
	return ct
}

// Hear takes a status message.
func (ct *Control) Hear(at time.Time, from string, st roster.Status) {
	select {
	case ct.inbox <- statusMsg{at, from, st}:
	default: // the next status replaces it
	}
}

// Ready reports whether callers should use this VM.
func (ct *Control) Ready() bool { return ct.ready.Load() && !ct.leaving.Load() && ct.Lease.Held() }

// Leave takes the VM out of use.
func (ct *Control) Leave() { ct.leaving.Store(true) }

func (ct *Control) loop(ctx context.Context) {
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

func (ct *Control) handle(msg message) {
	switch ms := msg.(type) {
	case snapshotMsg:
		ct.takeSnapshot(ms)
	case statusMsg:
		ct.takeStatus(ms)
	}
}

func (ct *Control) tick(now time.Time) {
	ct.dropHeld(now)
	ct.catchUp(now)
	if !now.Before(ct.nextState) {
		ct.renewState(now)
	}
	// Statuses of a reader carry the evidence that keeps the leases of the others, so they come often in a fleet of any size.
	if ct.reader.Load() && !now.Before(ct.nextTell) {
		ct.tellOthers(now, ct.roster.Members())
	}
}

// renewState brings all that follows from the statuses up to date, and tells the others.
func (ct *Control) renewState(now time.Time) {
	members := ct.roster.Members()
	ct.period = min(statusEvery*time.Duration(max(len(members)/smallFleet, 1)), mostStatus)
	ct.nextState = now.Add(ct.period)
	ct.setAlive(now, members)
	ct.divide(now)
	ct.plan(now, members)
	ct.setReady(now, members)
	ct.tellOthers(now, members)
}
