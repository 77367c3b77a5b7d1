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
	"damasklatch/internal/waitline"

	"github.com/uber-go/tally/v4"
)

// Options of a pool. Zero values of the durations are replaced by the defaults.
type Options struct {
	FailureDomain id.FailureDomain
	Seed          uint64 // of the random choices
	Recorder      *event.Recorder
	Metrics       tally.Scope
	Log           *slog.Logger
	PollInterval  time.Duration // default 500 ms
	PollTimeout   time.Duration // default 500 ms
}

const (
	// A target that stops answering is found within one period and one timeout, and so is out of use within the stated
	// 2 s.
	defaultPollEvery   = 500 * time.Millisecond
	defaultPollTimeout = 500 * time.Millisecond
)

// Pool holds the targets of one failure domain, in all their pools. It is safe for concurrent use.
type Pool struct {
	op      Options
	budget  balance.RetryBudget
	metrics map[string]tally.Counter

	mu       sync.RWMutex
	ctx      context.Context // of the pollers; nil before Start
	sets     map[id.Pool]*balance.Set
	lines    map[*balance.Set]*waitline.Line // of requests that found no free slot
	backends map[id.Target]*backend
	want     map[id.Target]config.Target // as configured
	index    int
	of       int
	running  sync.WaitGroup
}

// New returns a pool without targets. Start begins to poll them.
func New(op Options) *Pool {
	if op.PollInterval <= 0 {
		op.PollInterval = defaultPollEvery
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
		lines: map[*balance.Set]*waitline.Line{}, backends: map[id.Target]*backend{}, of: 1,
	}
	for _, name := range []ErrorKind{
		NoTarget, DialFailed, ResetBeforeWrite, ResetAfterWrite, TimedOut, FirstByteTimeout, Refused, Canceled, TooLarge, "attempt", "retry", "stale",
	} {
		pl.metrics[string(name)] = op.Metrics.Tagged(map[string]string{"kind": string(name)}).Counter("target_attempts")
	}
	return pl
}

func (pl *Pool) count(name ErrorKind) { pl.metrics[string(name)].Inc(1) }

// Start begins to poll, until the context ends.
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

// Close stops the pollers, waits for them and closes idle connections.
func (pl *Pool) Close() {
	pl.mu.Lock()
	for _, be := range pl.backends {
		be.close()
	}
	pl.mu.Unlock()
	pl.running.Wait()
}

func (pl *Pool) startPoller(be *backend) {
	ctx, cancel := context.WithCancel(pl.ctx)
	be.stop = cancel
	po := &poller{be: be, every: pl.op.PollInterval, timeout: pl.op.PollTimeout, noted: func() { pl.note(be.set) }}
	pl.running.Add(1)
	go pl.run(ctx, po)
}

// run polls one target.
func (pl *Pool) run(ctx context.Context, po *poller) {
	defer pl.running.Done()
	po.run(ctx)
}

// SetShare tells that this VM is number index, from 0, of the given number of VMs of its failure domain. Slots and
// connections of each target are divided among them. The default is a single VM.
func (pl *Pool) SetShare(index, of int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.index, pl.of = index, of
	for _, set := range pl.sets {
		set.SetShare(index, of)
	}
	pl.replaceBackends()
}

// SetTargets sets the targets to those that the sites have in the failure domain of the pool. Requests in flight at a
// target that is no longer there go on.
func (pl *Pool) SetTargets(now time.Time, sites []config.Site) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.want = map[id.Target]config.Target{}
	lists := map[id.Pool][]balance.Target{}
	for _, st := range sites {
		if st.FailureDomain != pl.op.FailureDomain {
			continue
		}
		for _, tg := range st.Targets {
			pl.want[tg.Name] = tg
			lists[tg.Pool] = append(lists[tg.Pool], balance.Target{
				Name: tg.Name, Slots: tg.Slots, MaxConnections: tg.Connections, Drained: tg.Drained,
			})
		}
	}
	pl.setLists(now, lists)
	pl.replaceBackends()
}

// replaceBackends adds and removes backends, and replaces those whose address, pool or number of connections changed.
func (pl *Pool) replaceBackends() {
	for name, be := range pl.backends {
		tg, ok := pl.want[name]
		if !ok || tg.Address != be.address || pl.sets[tg.Pool] != be.set || be.set.ConnectionLimit(name) != be.budget {
			be.close()
			delete(pl.backends, name)
		}
	}
	for name, tg := range pl.want {
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

// setLists sets the targets of each pool. Pools that lost their last target stay, without targets.
func (pl *Pool) setLists(now time.Time, lists map[id.Pool][]balance.Target) {
	for name := range lists {
		if pl.sets[name] == nil {
			pl.sets[name] = balance.New(pl.op.Seed)
			pl.sets[name].SetShare(pl.index, pl.of)
			pl.lines[pl.sets[name]] = waitline.New(mostWaiting)
		}
	}
	for name, set := range pl.sets {
		set.SetTargets(now, lists[name])
	}
}

// FreeSlots returns the number of requests that may be sent to the targets of a pool at once in addition to those in
// flight.
func (pl *Pool) FreeSlots(now time.Time, name id.Pool) int {
	set, ok := pl.set(name)
	if !ok {
		return 0
	}
	return set.FreeSlots(now)
}

// Status returns the state of the targets by pool.
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

func (pl *Pool) line(set *balance.Set) *waitline.Line {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	return pl.lines[set]
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

// note records and logs the changes of a set.
func (pl *Pool) note(set *balance.Set) {
	for _, ch := range set.TakeChanges() {
		pl.op.Recorder.Record(time.Now(), event.Event{
			Kind: changeEvents[ch.State], Target: ch.Target, Detail: string(ch.State) + ": " + ch.Detail,
		})
		pl.op.Log.Info("target changed", logfield.Target, string(ch.Target), logfield.Reason, ch.Detail,
			"state", string(ch.State))
	}
}
