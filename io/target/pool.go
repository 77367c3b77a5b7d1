package target

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"damasklatch/core/balance"
	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/internal/logfield"
	"damasklatch/internal/waitqueue"

	"github.com/uber-go/tally/v4"
)

// Options configures a pool. Zero durations are replaced by the defaults; Recorder, Metrics and Log may be nil.
type Options struct {
	FailureDomain id.FailureDomain
	Seed          uint64 // seed of the random choice of targets
	Recorder      *event.Recorder
	Metrics       tally.Scope
	Log           *slog.Logger
	PollInterval  time.Duration // default 500 ms
	PollTimeout   time.Duration // default 500 ms
}

const (
	// A target that stops responding is detected after at most one interval and one timeout, which keeps within the
	// required 2 s.
	defaultPollInterval = 500 * time.Millisecond
	defaultPollTimeout  = 500 * time.Millisecond
)

// Pool forwards requests to the targets of one failure domain. The configuration groups these targets into pools, named
// by id.Pool; one Pool serves all of them. It is safe for concurrent use.
type Pool struct {
	op          Options
	retryBudget balance.RetryBudget
	metrics     map[string]tally.Counter

	mu         sync.RWMutex
	ctx        context.Context // context of the pollers; nil before Start
	sets       map[id.Pool]*balance.Set
	queues     map[*balance.Set]*waitqueue.Queue // requests that wait for a free slot
	backends   map[id.Target]*backend
	configured map[id.Target]config.Target
	shareIndex int // see SetShare
	shareCount int
	pollers    sync.WaitGroup
}

// New returns a pool without targets. Call SetTargets to add targets and Start to poll them.
func New(op Options) *Pool {
	if op.PollInterval <= 0 {
		op.PollInterval = defaultPollInterval
	}
	if op.PollTimeout <= 0 {
		op.PollTimeout = defaultPollTimeout
	}
	if op.Metrics == nil {
		op.Metrics = tally.NoopScope
	}
	if op.Log == nil {
		op.Log = slog.New(slog.DiscardHandler)
	}
	if op.Recorder == nil {
		op.Recorder = event.NewRecorder("", &event.Clock{}, 1)
	}
	pl := &Pool{
		op: op, metrics: map[string]tally.Counter{}, sets: map[id.Pool]*balance.Set{},
		queues: map[*balance.Set]*waitqueue.Queue{}, backends: map[id.Target]*backend{}, shareCount: 1,
	}
	for _, name := range []ErrorKind{
		NoTarget, DialFailed, ResetBeforeWrite, ResetAfterWrite, TimedOut, FirstByteTimeout, ForeignResponse, InvalidResponse, Refused, Canceled, TooLarge, "attempt", "retry", "stale",
	} {
		pl.metrics[string(name)] = op.Metrics.Tagged(map[string]string{"kind": string(name)}).Counter("target_attempts")
	}
	return pl
}

// count increments the metric of an error kind, or of "attempt", "retry" or "stale".
func (pl *Pool) count(name ErrorKind) { pl.metrics[string(name)].Inc(1) }

// Start begins to poll the targets and continues until the context ends. Further calls have no effect.
func (pl *Pool) Start(ctx context.Context) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.ctx != nil {
		return
	}
	pl.ctx = ctx
	for _, be := range pl.backends {
		pl.startPoller(be)
	}
}

// Close stops the pollers, waits until they have returned, and closes idle connections.
func (pl *Pool) Close() {
	pl.mu.Lock()
	for _, be := range pl.backends {
		be.close()
	}
	pl.mu.Unlock()
	pl.pollers.Wait()
}

func (pl *Pool) startPoller(be *backend) {
	ctx, cancel := context.WithCancel(pl.ctx)
	be.stop = cancel
	po := &poller{be: be, interval: pl.op.PollInterval, timeout: pl.op.PollTimeout, afterPoll: func() { pl.recordChanges(be.set) }}
	pl.pollers.Add(1)
	go pl.runPoller(ctx, po)
}

// runPoller polls one target until the context ends.
func (pl *Pool) runPoller(ctx context.Context, po *poller) {
	defer pl.pollers.Done()
	po.run(ctx)
}

// SetShare sets the position of this VM, counted from 0, among the count VMs of its failure domain. The slots and
// connections of each target are divided among these VMs. The default is a single VM.
func (pl *Pool) SetShare(index, count int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.shareIndex, pl.shareCount = index, count
	for _, set := range pl.sets {
		set.SetShare(index, count)
	}
	pl.replaceBackends()
}

// SetTargets replaces the targets by those of the sites in the pool's failure domain. Requests in flight at a target
// that is removed continue.
func (pl *Pool) SetTargets(now time.Time, sites []config.Site) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.configured = map[id.Target]config.Target{}
	lists := map[id.Pool][]balance.Target{}
	for _, st := range sites {
		if st.FailureDomain != pl.op.FailureDomain {
			continue
		}
		for _, tg := range st.Targets {
			pl.configured[tg.Name] = tg
			lists[tg.Pool] = append(lists[tg.Pool], balance.Target{
				Name: tg.Name, Slots: tg.Slots, MaxConnections: tg.MaxConnections, Drained: tg.Drained,
			})
		}
	}
	pl.setPoolTargets(now, lists)
	pl.replaceBackends()
}

// replaceBackends makes the backends match the configured targets. It replaces a backend if the address, pool or number
// of connections of its target has changed. The caller holds mu.
func (pl *Pool) replaceBackends() {
	for name, be := range pl.backends {
		tg, ok := pl.configured[name]
		if !ok || tg.Address != be.address || pl.sets[tg.Pool] != be.set || be.set.ConnectionLimit(name) != be.maxConnections {
			be.close()
			delete(pl.backends, name)
		}
	}
	for name, tg := range pl.configured {
		if pl.backends[name] != nil {
			continue
		}
		set := pl.sets[tg.Pool]
		be := newBackend(name, tg.Address, set, set.ConnectionLimit(name))
		pl.backends[name] = be
		if pl.ctx != nil {
			pl.startPoller(be)
		}
	}
}

// setPoolTargets sets the targets of each pool. A pool that lost its last target is kept without targets. The
// caller holds mu.
func (pl *Pool) setPoolTargets(now time.Time, lists map[id.Pool][]balance.Target) {
	for name := range lists {
		if pl.sets[name] == nil {
			pl.sets[name] = balance.New(pl.op.Seed)
			pl.sets[name].SetShare(pl.shareIndex, pl.shareCount)
			pl.queues[pl.sets[name]] = waitqueue.New(maxWaiting)
		}
	}
	for name, set := range pl.sets {
		set.SetTargets(now, lists[name])
	}
}

// FreeSlots returns how many more requests may be sent to the targets of the named pool at the same time. It is 0 for an
// unknown pool.
func (pl *Pool) FreeSlots(now time.Time, name id.Pool) int {
	set, ok := pl.set(name)
	if !ok {
		return 0
	}
	return set.FreeSlots(now)
}

// Status returns the state of the targets of each pool.
func (pl *Pool) Status(now time.Time) map[id.Pool][]balance.Status {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	all := map[id.Pool][]balance.Status{}
	for name, set := range pl.sets {
		all[name] = set.Status(now)
	}
	return all
}

func (pl *Pool) set(name id.Pool) (*balance.Set, bool) {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	set, ok := pl.sets[name]
	return set, ok
}

func (pl *Pool) queue(set *balance.Set) *waitqueue.Queue {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	return pl.queues[set]
}

func (pl *Pool) backend(name id.Target) (*backend, bool) {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	be, ok := pl.backends[name]
	return be, ok
}

var changeEvents = map[balance.State]event.Kind{
	balance.Usable: event.KindTargetReturned, balance.Draining: event.KindTargetDraining,
	balance.Dead: event.KindTargetEjected, balance.Outlier: event.KindTargetEjected,
}

// recordChanges records an event and writes a log line for each state change of a target in the set.
func (pl *Pool) recordChanges(set *balance.Set) {
	for _, ch := range set.TakeChanges() {
		pl.op.Recorder.Record(time.Now(), event.Event{
			Kind: changeEvents[ch.State], Target: ch.Target, Detail: string(ch.State) + ": " + ch.Detail,
		})
		pl.op.Log.Info("target state changed", logfield.Target, string(ch.Target), logfield.Reason, ch.Detail,
			"state", string(ch.State))
	}
}
