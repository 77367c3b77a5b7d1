package objects

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"damasklatch/core/lease"

	"github.com/pkg/errors"
)

const (
	// watchMargin is added to the wait of a watch. If the store has not responded by then, the watch fails.
	watchMargin = 800 * time.Millisecond
	listTimeout = 1500 * time.Millisecond
	minPause    = 50 * time.Millisecond
	// maxPause bounds the base of the pause between failed requests. VMs for which Options.ExpectsInterrupt reports true use
	// maxPauseInterruptible instead: they pause longer to spare the store, and an Interrupt ends the pause when it recovers.
	maxPause              = 600 * time.Millisecond
	maxPauseInterruptible = 2 * time.Second
	// batchDelay is the pause after an update with changes. The next watch returns all changes of this time at once, which saves
	// requests to the store.
	batchDelay = 350 * time.Millisecond
)

// Snapshot holds all objects of a kind, as known after a response of the store.
type Snapshot struct {
	Objects  map[string]Object
	Revision Revision
	// Changes are those since the previous snapshot. If FromList is set, they are not known, and Changes is nil: an object that
	// was created and removed since the previous snapshot leaves no trace in a list.
	Changes []Change
	// RequestedAt is the time at which the request was sent, by Options.Clock.
	RequestedAt lease.Instant
	// KnownAt is the time, by Options.Clock, for which the store has vouched that there were no other changes. It counts from the
	// request to the store, also if the objects have come through other VMs.
	KnownAt  lease.Instant
	Hops     int  // number of other VMs that the objects have passed through
	FromList bool // the response was a list, not an update of a watch
	Relayed  bool // another VM sent the response, so there may be newer changes in the store
	// RecoveredAt is the time of the first successful request after the last outage. It is zero if there was no outage.
	RecoveredAt time.Time
}

// Options configures an Informer.
type Options struct {
	Store Reader
	Kind  Kind
	Clock lease.Clock
	Log   *slog.Logger
	// WatchWait returns how long the next watch waits for changes.
	WatchWait func() time.Duration
	// PollInterval reports whether the informer lists the objects periodically instead of watching them, and at which interval.
	// It may be nil, which means never.
	PollInterval func() (every time.Duration, ok bool)
	// ExpectsInterrupt reports whether Interrupt will be called as soon as requests can succeed again. The informer then pauses
	// longer after failures. It may be nil, which means no.
	ExpectsInterrupt func() bool
	// SourceBehind is called if the list of another VM is older than the known objects. It may be nil.
	SourceBehind func()
	// Apply is called with each response, on the goroutine of Run. It must not modify the objects, but may keep them.
	Apply func(sn Snapshot, changed bool)
}

// Informer keeps a copy of the objects of one kind up to date.
type Informer struct {
	op           Options
	objects      map[string]Object
	revision     Revision
	listed       bool
	knownAt      lease.Instant // see Snapshot.KnownAt; not valid before the first list
	everListed   bool
	failingSince time.Time // time of the first failure of the last outage
	recoveredAt  time.Time
	failures     int

	mu     sync.Mutex
	cancel context.CancelFunc // ends the current watch or pause; nil if there is none
}

// New returns an informer without objects. Run starts it.
func New(op Options) *Informer { return &Informer{op: op, objects: map[string]Object{}} }

// Interrupt ends the current watch or pause, so that the next request is sent at once. It may be called from any goroutine.
func (in *Informer) Interrupt() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancel != nil {
		in.cancel()
	}
}

// Run keeps the objects up to date until the context is canceled. It must be called once.
func (in *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interrupted, err := in.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case interrupted:
		case err != nil:
			in.backOff(ctx, err)
		default:
			in.recordRecovery()
		}
	}
}

func (in *Informer) next(ctx context.Context) (interrupted bool, err error) {
	if !in.listed {
		return false, in.list(ctx)
	}
	if in.op.PollInterval != nil {
		if every, ok := in.op.PollInterval(); ok {
			return in.poll(ctx, every)
		}
	}
	wait := in.op.WatchWait()
	wctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	in.setCancel(cancel)
	asked := in.op.Clock()
	up, err := in.op.Store.Watch(wctx, in.op.Kind, in.revision, wait)
	in.setCancel(nil)
	if errors.Is(err, ErrHistoryLost) {
		in.op.Log.Info("store no longer has the history of changes, the objects are listed again", "kind", string(in.op.Kind),
			"era", int64(in.revision.Era()), "revision", in.revision.Number())
		in.listed = false
		return true, nil
	}
	if errors.Is(err, ErrMalformed) {
		in.listed = false // the change stays in the history, so every watch from this revision would fail
	}
	if err != nil {
		return errors.Is(wctx.Err(), context.Canceled), err
	}
	in.applyUpdate(&up, asked, wait)
	if len(up.Changes) > 0 {
		sleep(ctx, batchDelay)
	}
	return false, nil
}

func (in *Informer) setCancel(cancel context.CancelFunc) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cancel = cancel
}

// poll lists the objects and waits for the rest of the interval, or until Interrupt is called.
func (in *Informer) poll(ctx context.Context, every time.Duration) (interrupted bool, err error) {
	wctx, cancel := context.WithTimeout(ctx, every)
	defer cancel()
	in.setCancel(cancel)
	defer in.setCancel(nil)
	if err := in.list(ctx); err != nil {
		return false, err
	}
	<-wctx.Done()
	return errors.Is(wctx.Err(), context.Canceled), nil
}

var (
	// errSourceBehind means that the list of another VM is older than the known objects. It is not applied.
	errSourceBehind = errors.New("the list of the other VM is older than the known objects")
	// errEarlierEra means that a list of the store is from before a restore that is already known. It is not applied.
	errEarlierEra = errors.New("the list is from an earlier era of the store")
)

func (in *Informer) list(ctx context.Context) error {
	lctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := in.op.Clock()
	ls, err := in.op.Store.List(lctx, in.op.Kind)
	if err != nil {
		return err
	}
	if ls.Relayed && ls.Revision < in.revision {
		if in.op.SourceBehind != nil {
			in.op.SourceBehind()
		}
		return errSourceBehind
	}
	if ls.Revision.Era() < in.revision.Era() {
		return errEarlierEra
	}
	in.recordRecovery()
	next := make(map[string]Object, len(ls.Objects))
	changed := !in.listed || len(ls.Objects) != len(in.objects)
	for _, ob := range ls.Objects {
		old, ok := in.objects[ob.Name]
		changed = changed || !ok || old.Revision != ob.Revision
		next[ob.Name] = ob
	}
	in.objects, in.revision, in.listed = next, max(in.revision, ls.Revision), true
	in.confirm(in.vouchedAt(asked, ls.Copy))
	in.apply(Snapshot{RequestedAt: asked, Hops: hopsOf(ls.Relayed, ls.Copy), FromList: true, Relayed: ls.Relayed}, changed)
	return nil
}

// vouchedAt returns the time for which the store vouches with a response to a request sent at the given time. Without a copy, the
// store itself has responded, or a VM of an earlier version, whose copy then counts as new.
func (in *Informer) vouchedAt(asked lease.Instant, cp *Copy) lease.Instant {
	if cp == nil {
		return asked
	}
	held := min(lease.Instant(max(cp.Held, 0)), in.op.Clock()-asked)
	return asked + held - lease.Instant(max(cp.Age, 0))
}

// confirm records that the objects were complete at the given time.
func (in *Informer) confirm(at lease.Instant) {
	if !in.everListed || at > in.knownAt {
		in.knownAt, in.everListed = at, true
	}
}

func hopsOf(relayed bool, cp *Copy) int {
	switch {
	case cp != nil:
		return cp.Hops + 1
	case relayed:
		return 1
	default:
		return 0
	}
}

func (in *Informer) applyUpdate(up *Update, asked lease.Instant, wait time.Duration) {
	in.recordRecovery()
	if len(up.Changes) > 0 {
		next := make(map[string]Object, len(in.objects)+len(up.Changes))
		for name, ob := range in.objects {
			next[name] = ob
		}
		for _, ch := range up.Changes {
			if ch.Removed {
				delete(next, ch.Object.Name)
			} else {
				next[ch.Object.Name] = ch.Object
			}
		}
		in.objects = next
	}
	in.revision = max(in.revision, up.Revision)
	vouched := in.vouchedAt(asked, up.Copy)
	if !up.Relayed && len(up.Changes) == 0 && in.op.Clock()-asked >= lease.Instant(wait) {
		vouched += lease.Instant(wait) // a watch without changes ends after the wait, and not earlier
	}
	in.confirm(vouched)
	in.apply(Snapshot{Changes: up.Changes, RequestedAt: asked, Hops: hopsOf(up.Relayed, up.Copy), Relayed: up.Relayed}, len(up.Changes) > 0)
}

func (in *Informer) apply(sn Snapshot, changed bool) {
	sn.Objects, sn.Revision, sn.KnownAt, sn.RecoveredAt = in.objects, in.revision, in.knownAt, in.recoveredAt
	in.op.Apply(sn, changed)
}

func (in *Informer) backOff(ctx context.Context, err error) {
	if in.failures == 0 {
		in.failingSince = time.Now()
		in.op.Log.Warn("store can't be asked", "kind", string(in.op.Kind), "error", err.Error())
	}
	in.failures++
	most := maxPause
	if in.op.ExpectsInterrupt != nil && in.op.ExpectsInterrupt() {
		most = maxPauseInterruptible
	}
	pause := min(minPause<<min(in.failures, 6), most)
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in.setCancel(cancel)
	defer in.setCancel(nil)
	sleep(wctx, pause/2+rand.N(pause))
}

func (in *Informer) recordRecovery() {
	if in.failures == 0 {
		return
	}
	in.recoveredAt = time.Now()
	in.op.Log.Info("store can be asked again", "kind", string(in.op.Kind), "failures", in.failures,
		"duration_ms", time.Since(in.failingSince).Milliseconds())
	in.failures = 0
}

func sleep(ctx context.Context, dur time.Duration) {
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
}
