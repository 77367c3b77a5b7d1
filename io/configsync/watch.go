package configsync

import (
	"context"
	"time"

	"damasklatch/core/config"
	"damasklatch/internal/logfield"
	"damasklatch/io/store"
)

const (
	// watchBackoff and maxWatchBackoff bound the pause after an error of the store. While the store is down, its
	// refusals are the evidence that keeps keys fresh for 5 s, so the pause must stay well below that.
	watchBackoff    = 100 * time.Millisecond
	maxWatchBackoff = 2 * time.Second

	// idlePoll is how often a VM that doesn't watch the store checks whether it should.
	idlePoll = time.Second

	// readEvery is the number of watches without a change after which the manifest is read nevertheless, because a
	// watch may have stopped to report.
	readEvery = 4
)

// watcher reads and watches the manifest in the store.
type watcher struct {
	fl      *Follower
	bo      backoff
	after   store.Version // newest version that was read
	quiet   int           // watches without a change since the last read
	deleted bool          // the store reported that the manifest was deleted
}

func (wt *watcher) run(ctx context.Context) {
	defer wt.fl.running.Done()
	ok := wt.read(ctx)
	close(wt.fl.primed)
	for ctx.Err() == nil {
		switch {
		case !ok:
			if !sleep(ctx, wt.bo.delay()) {
				return
			}
			ok = wt.fl.mayIdle() || wt.read(ctx)
		case !wt.fl.op.WatchStore():
			if !sleep(ctx, wt.fl.ji.around(idlePoll)) {
				return
			}
			wt.quiet = readEvery // read at once when this VM becomes a watcher
		case wt.quiet >= readEvery:
			ok = wt.read(ctx)
		default:
			ok = wt.watch(ctx)
		}
		if ok {
			wt.bo.reset()
		}
	}
}

// mayIdle reports whether this VM need not read the store: it doesn't watch and has a configuration.
func (fl *Follower) mayIdle() bool {
	gen, _ := fl.Manifest()
	return gen > 0 && !fl.op.WatchStore()
}

// read reads the manifest. It reports whether the store answered and has reported nothing newer than what was read.
func (wt *watcher) read(ctx context.Context) bool {
	obj, err := wt.fl.get(ctx, config.ManifestKey)
	switch {
	case store.IsKind(err, store.NotFound):
		wt.quiet = 0
		return wt.after == 0 || wt.deleted
	case err != nil:
		if ctx.Err() == nil {
			wt.fl.op.Log.Warn("manifest can't be read from the store", logfield.Error, err.Error())
		}
		return false
	}
	wt.fl.offer(obj.Value, Holder{})
	wt.after, wt.quiet, wt.deleted = max(wt.after, obj.Version), 0, false
	return wt.fl.upToDate(wt.after)
}

// watch waits for a change. It reports whether the store answered and every change could be read.
func (wt *watcher) watch(ctx context.Context) bool {
	changes, err := wt.fl.watch(ctx, wt.after, wt.fl.op.WatchWait)
	if err != nil {
		if ctx.Err() == nil {
			wt.fl.op.Log.Warn("watch of the manifest failed", logfield.Error, err.Error())
		}
		// Reads before the next watch, as changes may have been missed.
		wt.quiet = readEvery
		return false
	}
	wt.quiet++
	for _, ch := range changes {
		switch {
		case ch.Key != config.ManifestKey:
		case ch.Deleted:
			wt.fl.op.Log.Error("manifest was deleted from the store, the generation in force stays")
			wt.after, wt.deleted = max(wt.after, ch.Version), true
			wt.fl.readVersion(ch.Version)
		default:
			return wt.read(ctx)
		}
	}
	return true
}

// watch watches the manifest and takes note of the store being reached.
func (fl *Follower) watch(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, error) {
	start := time.Now()
	changes, _, err := fl.op.Store.Watch(ctx, config.ManifestKey, after, wait)
	for _, ch := range changes {
		if ch.Key == config.ManifestKey {
			fl.reported(ch.Version)
		}
	}
	if err == nil && len(changes) == 0 {
		// The store answered at the end of the wait, not before.
		start = start.Add(wait)
	}
	fl.called(start, err)
	return changes, err
}
