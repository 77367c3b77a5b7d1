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

// DefaultWatchWait is the maximum duration of one watch call. It limits how long a watch on a dead connection goes
// unnoticed. With two watchers, it costs 480 calls an hour in a failure domain.
const DefaultWatchWait = 15 * time.Second

// Options configures a Follower. Store and Apply are required.
type Options struct {
	Store store.Store
	Peers Peers // nil means no peers

	// WatchStore reports whether this VM is one of the VMs that watch the store. Nil means always.
	WatchStore func() bool
	// NeedsStoreContact reports whether the freshness rule needs a recent store contact. Nil means never.
	NeedsStoreContact func() bool
	// Apply puts a configuration in force. One goroutine calls it, with strictly increasing generations.
	Apply func(ef *config.Effective, manifest []byte)

	WatchWait time.Duration // DefaultWatchWait if zero
	Seed      uint64        // seed of the jitter; zero means a random seed
	Log       *slog.Logger  // nil means no log
	Recorder  *event.Recorder
}

// Follower follows the accepted configuration and puts it in force. Its methods are safe for concurrent use.
type Follower struct {
	op            Options
	ji            *jitter
	penalties     peerPenalties
	wake          chan struct{} // wakes the fetcher; buffered for one signal
	firstReadDone chan struct{} // closed when the first read of the store has ended
	running       sync.WaitGroup

	// isNewer is the rule that keeps the generation from decreasing. Tests replace it to check that they detect a
	// violation.
	isNewer func(gen, inForce id.Generation) bool

	mu         sync.Mutex
	current    *release // nil until a configuration is in force
	previous   *release // kept because peers may still fetch its parts
	parts      map[string][]byte
	candidates []*candidate // highest generation first
	rejected   map[string]struct{}
	hint       hint
	storeState storeState
}

// release is a manifest with its encoded form.
type release struct {
	manifest *config.Manifest
	raw      []byte
}

// New returns a follower that does nothing until Run is called.
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
		op:            op,
		ji:            newJitter(op.Seed),
		penalties:     make(peerPenalties),
		wake:          make(chan struct{}, 1),
		firstReadDone: make(chan struct{}),
		isNewer:       func(gen, inForce id.Generation) bool { return gen > inForce },
		parts:         make(map[string][]byte),
		rejected:      make(map[string]struct{}),
	}
}

// Run follows the manifest until the context ends. It must be called once only.
func (fl *Follower) Run(ctx context.Context) {
	defer fl.running.Wait()
	fl.running.Add(2)
	wt := &watcher{fl: fl, bo: backoff{ji: fl.ji, minDelay: watchBackoff, maxDelay: maxWatchBackoff}}
	go wt.run(ctx)
	pr := &prober{fl: fl}
	go pr.run(ctx)
	ft := &fetcher{fl: fl, bo: backoff{ji: fl.ji, minDelay: fetchBackoff, maxDelay: maxFetchBackoff}}
	ft.run(ctx)
}

// Hint records that a peer's digest reported a generation in force. The fetcher fetches the manifest if it is newer.
func (fl *Follower) Hint(gen id.Generation, from string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.isNewer(gen, fl.generationInForce()) || gen <= fl.hint.gen {
		return
	}
	fl.hint = hint{gen: gen, from: id.VM(from), at: time.Now()}
	fl.wakeFetcher()
}

// Offer adds a manifest that was announced or read elsewhere. A manifest that is not newer is ignored.
func (fl *Follower) Offer(manifest []byte) { fl.addCandidate(manifest, Holder{}) }

// Manifest returns the generation in force and its encoded manifest, or zero and nil if none is in force.
func (fl *Follower) Manifest() (id.Generation, []byte) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.current == nil {
		return 0, nil
	}
	return fl.current.manifest.Generation, fl.current.raw
}

// Part returns the content of a part by its SHA-256, and false if this VM does not have the part.
func (fl *Follower) Part(sha256 string) ([]byte, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	content, ok := fl.parts[sha256]
	return content, ok
}

// generationInForce returns the generation in force, or zero. The caller must hold fl.mu.
func (fl *Follower) generationInForce() id.Generation {
	if fl.current == nil {
		return 0
	}
	return fl.current.manifest.Generation
}

// wakeFetcher makes the fetcher check for pending work. It does not block.
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
