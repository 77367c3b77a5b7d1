package configsync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/io/store"
)

// DefaultWatchWait is the wait of one watch. It bounds how long a watch on a connection that went silent stays
// unnoticed; with two watchers in a failure domain it costs 480 calls an hour there.
const DefaultWatchWait = 15 * time.Second

// Options are the settings of a follower.
type Options struct {
	Store store.Store
	Peers Peers // none if nil

	// WatchStore reports whether this VM is one of those that watch the store. Nil means always.
	WatchStore func() bool
	// NeedsStoreContact reports whether the freshness rule needs recent evidence of the store. Nil means never.
	NeedsStoreContact func() bool
	// Apply puts a configuration in force. It is called by one goroutine, with rising generations.
	Apply func(ef *config.Effective, manifest []byte)

	WatchWait time.Duration // DefaultWatchWait if zero
	Seed      uint64        // of the jitter; zero means a random one
	Log       *slog.Logger  // no log if nil
	Recorder  *event.Recorder
}

// Follower follows the manifest. Its methods are safe for concurrent use.
type Follower struct {
	op      Options
	ji      *jitter
	asked   penalties
	wake    chan struct{} // tells the fetcher that there is something new; holds one
	primed  chan struct{} // closed when the first read of the store has ended
	running sync.WaitGroup

	// newer is the rule that keeps generations from going down. Tests replace it to show that they would notice.
	newer func(gen, inForce id.Generation) bool

	mu         sync.Mutex
	current    *release // nil before the first
	previous   *release // kept for peers that still fetch its parts
	parts      map[string][]byte
	candidates []*candidate // highest generation first
	rejected   map[string]struct{}
	hint       hint
	seen       seen
}

// release is a configuration that was put in force.
type release struct {
	manifest *config.Manifest
	raw      []byte
}

// New returns a follower. Run starts it.
func New(op Options) *Follower {
	always := func() bool { return true }
	if op.Peers == nil {
		op.Peers = noPeers{}
	}
	if op.WatchStore == nil {
		op.WatchStore = always
	}
	if op.NeedsStoreContact == nil {
		op.NeedsStoreContact = func() bool { return false }
	}
	if op.WatchWait <= 0 {
		op.WatchWait = DefaultWatchWait
	}
	if op.Log == nil {
		op.Log = slog.New(slog.DiscardHandler)
	}
	return &Follower{
		op:       op,
		ji:       newJitter(op.Seed),
		asked:    make(penalties),
		wake:     make(chan struct{}, 1),
		primed:   make(chan struct{}),
		newer:    func(gen, inForce id.Generation) bool { return gen > inForce },
		parts:    make(map[string][]byte),
		rejected: make(map[string]struct{}),
	}
}

// Run follows the manifest until the context ends. It is called once.
func (fl *Follower) Run(ctx context.Context) {
	defer fl.running.Wait()
	fl.running.Add(2)
	wt := &watcher{fl: fl, bo: backoff{ji: fl.ji, base: watchBackoff, most: maxWatchBackoff}}
	go wt.run(ctx)
	pr := &prober{fl: fl}
	go pr.run(ctx)
	ft := &fetcher{fl: fl, bo: backoff{ji: fl.ji, base: fetchBackoff, most: maxFetchBackoff}}
	ft.run(ctx)
}

// Hint tells that a peer has a generation in force, from its digest.
func (fl *Follower) Hint(gen id.Generation, from string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.newer(gen, fl.inForce()) || gen <= fl.hint.gen {
		return
	}
	fl.hint = hint{gen: gen, from: id.VM(from), at: time.Now()}
	fl.wakeFetcher()
}

// Offer hands over a manifest that was announced or read. One that is not newer is ignored.
func (fl *Follower) Offer(manifest []byte) { fl.offer(manifest, Holder{}) }

// Manifest returns the generation in force and its manifest, or zero and nil.
func (fl *Follower) Manifest() (id.Generation, []byte) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.current == nil {
		return 0, nil
	}
	return fl.current.manifest.Generation, fl.current.raw
}

// Part returns the content of a part that this VM has.
func (fl *Follower) Part(sha256 string) ([]byte, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	content, ok := fl.parts[sha256]
	return content, ok
}

// inForce returns the generation in force. The caller holds the mutex.
func (fl *Follower) inForce() id.Generation {
	if fl.current == nil {
		return 0
	}
	return fl.current.manifest.Generation
}

// wakeFetcher tells the fetcher to look again.
func (fl *Follower) wakeFetcher() {
	select {
	case fl.wake <- struct{}{}:
	default:
	}
}

func (fl *Follower) record(kind event.Kind, detail string) {
	if fl.op.Recorder != nil {
		fl.op.Recorder.Record(time.Now(), event.Event{Kind: kind, Detail: detail})
	}
}
