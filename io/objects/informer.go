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
	// watchGrace is how long a response of the store may take beyond the wait of a watch, before its connection counts as
	// silent.
	watchGrace = 800 * time.Millisecond
	listLimit  = 1500 * time.Millisecond
	leastPause = 50 * time.Millisecond
	// mostPause is the longest pause after failures of a VM that others follow, and patientPause that of the rest, who are told
	// when it is over.
	mostPause    = 600 * time.Millisecond
	patientPause = 2 * time.Second
	// settleTime collects changes that come in quick succession into one call.
	settleTime = 350 * time.Millisecond
)

// Snapshot is all objects of a kind.
type Snapshot struct {
	Objects  map[string]Object
	Revision Revision
	// RequestedAt is the instant at which the store was asked, and Listed tells that it was asked for the whole list.
	RequestedAt lease.Instant
	FromList    bool
	Relayed     bool
	// RecoveredAt is the time at which the store came back after it could not be asked; zero if it always could.
	RecoveredAt time.Time
}

// Options of an Informer.
type Options struct {
	Store Reader
	Kind  Kind
	Clock lease.Clock
	Log   *slog.Logger
	// WatchWait returns the wait of the next watch.
	WatchWait func() time.Duration
	// PollInterval reports whether the list is read again and again in place of a watch, and how often. May be nil.
	PollInterval func() (every time.Duration, ok bool)
	// ExpectsInterrupt reports whether this VM will be told when the store can be asked again, by a Kick. May be nil.
	ExpectsInterrupt func() bool
	// Apply is called with each response of the store. The objects must not be changed.
	Apply func(sn Snapshot, changed bool)
}

// Informer follows the objects of one kind.
type Informer struct {
	op       Options
	objects  map[string]Object
	revision Revision
	listed   bool
	failing  time.Time // since when the store can't be asked; zero if it can
	returned time.Time
	failures int

	mu     sync.Mutex
	cancel context.CancelFunc // of the present watch
}

// New returns an informer that knows no objects.
func New(op Options) *Informer { return &Informer{op: op, objects: map[string]Object{}} }

// Interrupt ends the present watch, so that the store is asked again at once.
func (in *Informer) Interrupt() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancel != nil {
		in.cancel()
	}
}

// Run follows the objects until the context ends.
func (in *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		kicked, err := in.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case kicked:
		case err != nil:
			in.failed(ctx, err)
		default:
			in.recovered()
		}
	}
}

func (in *Informer) step(ctx context.Context) (kicked bool, err error) {
	if !in.listed {
		return false, in.list(ctx)
	}
	if in.op.PollInterval != nil {
		if every, ok := in.op.PollInterval(); ok {
			return in.poll(ctx, every)
		}
	}
	wait := in.op.WatchWait()
	wctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	in.setCancel(cancel)
	asked := in.op.Clock()
	up, err := in.op.Store.Watch(wctx, in.op.Kind, in.revision, wait)
	in.setCancel(nil)
	if errors.Is(err, ErrHistoryLost) {
		in.op.Log.Info("history of the store is lost", "kind", string(in.op.Kind), "revision", int64(in.revision))
		in.listed = false
		return true, nil
	}
	if errors.Is(err, ErrMalformed) {
		in.listed = false // a change that can't be read stays in the history, so a watch from here would fail for ever
	}
	if err != nil {
		return errors.Is(wctx.Err(), context.Canceled), err
	}
	in.take(&up, asked)
	if len(up.Changes) > 0 {
		sleep(ctx, settleTime)
	}
	return false, nil
}

func (in *Informer) setCancel(cancel context.CancelFunc) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cancel = cancel
}

// poll lists the objects and waits for the rest of the period.
func (in *Informer) poll(ctx context.Context, every time.Duration) (kicked bool, err error) {
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

// errBackwards means that another VM knows less of the store than this one.
var errBackwards = errors.New("the other VM is behind")

func (in *Informer) list(ctx context.Context) error {
	lctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	asked := in.op.Clock()
	ls, err := in.op.Store.List(lctx, in.op.Kind)
	if err != nil {
		return err
	}
	if ls.Relayed && ls.Revision < in.revision {
		return errBackwards
	}
	in.recovered()
	next := make(map[string]Object, len(ls.Objects))
	changed := !in.listed || len(ls.Objects) != len(in.objects)
	for _, ob := range ls.Objects {
		old, ok := in.objects[ob.Name]
		changed = changed || !ok || old.Revision != ob.Revision
		next[ob.Name] = ob
	}
	in.objects, in.revision, in.listed = next, max(in.revision, ls.Revision), true
	in.apply(Snapshot{RequestedAt: asked, FromList: true, Relayed: ls.Relayed}, changed)
	return nil
}

func (in *Informer) take(up *Update, asked lease.Instant) {
	in.recovered()
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
	in.apply(Snapshot{RequestedAt: asked, Relayed: up.Relayed}, len(up.Changes) > 0)
}

func (in *Informer) apply(sn Snapshot, changed bool) {
	sn.Objects, sn.Revision, sn.RecoveredAt = in.objects, in.revision, in.returned
	in.op.Apply(sn, changed)
}

func (in *Informer) failed(ctx context.Context, err error) {
	if in.failures == 0 {
		in.failing = time.Now()
		in.op.Log.Warn("store can't be asked", "kind", string(in.op.Kind), "error", err.Error())
	}
	in.failures++
	most := mostPause
	if in.op.ExpectsInterrupt != nil && in.op.ExpectsInterrupt() {
		most = patientPause
	}
	pause := min(leastPause<<min(in.failures, 6), most)
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in.setCancel(cancel)
	defer in.setCancel(nil)
	sleep(wctx, pause/2+rand.N(pause))
}

func (in *Informer) recovered() {
	if in.failures == 0 {
		return
	}
	in.returned = time.Now()
	in.op.Log.Info("store can be asked again", "kind", string(in.op.Kind), "failures", in.failures,
		"duration_ms", time.Since(in.failing).Milliseconds())
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
