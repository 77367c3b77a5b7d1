package configsync

import (
	"context"
	"time"

	"damasklatch/core/config"
	"damasklatch/internal/logfield"
	"damasklatch/io/store"
)

const (
	// watchBackoff and maxWatchBackoff limit the pause after an error of the store. While the store is down, its error
	// responses prove that it was reached, and each such proof keeps keys fresh for 5 s. The pause must therefore stay
	// well below 5 s.
	watchBackoff    = 100 * time.Millisecond
	maxWatchBackoff = 2 * time.Second

	// roleCheckInterval is how often a VM that does not watch the store checks whether it should.
	roleCheckInterval = time.Second

	// maxQuietWatches is the number of watches without a change after which the manifest is read anyway, because the
	// watch may have missed a change.
	maxQuietWatches = 4
)

// watcher reads and watches the manifest in the store.
type watcher struct {
	fl           *Follower
	bo           backoff
	after        store.Version // highest version that was read
	quietWatches int           // watches without a change since the last read
	deleted      bool          // the store reported that the manifest was deleted
}

func (wt *watcher) run(ctx context.Context) {
	defer wt.fl.running.Done()
	ok := wt.read(ctx)
	close(wt.fl.firstReadDone)
	for ctx.Err() == nil {
		switch {
		case !ok:
			if !sleep(ctx, wt.bo.delay()) {
				return
			}
			ok = wt.fl.needsNoRead() || wt.read(ctx)
		case !wt.fl.op.WatchStore():
			if !sleep(ctx, wt.fl.ji.halfJitter(roleCheckInterval)) {
				return
			}
			wt.quietWatches = maxQuietWatches // read at once when this VM becomes a watcher
		case wt.quietWatches >= maxQuietWatches:
			ok = wt.read(ctx)
		default:
			ok = wt.watch(ctx)
		}
		if ok {
			wt.bo.reset()
		}
	}
}

// needsNoRead reports whether this VM need not read the store: it has a configuration and is not a watcher.
func (fl *Follower) needsNoRead() bool {
	gen, _ := fl.Manifest()
	return gen > 0 && !fl.op.WatchStore()
}

// read reads the manifest. It returns true if the store responded and has reported no higher version than the one read.
func (wt *watcher) read(ctx context.Context) bool {
	obj, err := wt.fl.get(ctx, config.ManifestKey)
	switch {
	case store.IsKind(err, store.NotFound):
		wt.quietWatches = 0
		return wt.after == 0 || wt.deleted
	case err != nil:
		if ctx.Err() == nil {
			wt.fl.op.Log.Warn("manifest can't be read from the store", logfield.Error, err.Error())
		}
		return false
	}
	wt.fl.addCandidate(obj.Value, Holder{})
	wt.after, wt.quietWatches, wt.deleted = max(wt.after, obj.Version), 0, false
	return wt.fl.upToDate(wt.after)
}

// watch waits for a change of the manifest and reads it. It returns true if the store responded and every change could
// be read.
func (wt *watcher) watch(ctx context.Context) bool {
	changes, err := wt.fl.watch(ctx, wt.after, wt.fl.op.WatchWait)
	if err != nil {
		if ctx.Err() == nil {
			wt.fl.op.Log.Warn("watch of the manifest failed", logfield.Error, err.Error())
		}
		// Read the manifest before the next watch, because changes may have been missed.
		wt.quietWatches = maxQuietWatches
		return false
	}
	wt.quietWatches++
	for _, ch := range changes {
		switch {
		case ch.Key != config.ManifestKey:
		case ch.Deleted:
			wt.fl.op.Log.Error("manifest was deleted from the store; the generation in force is kept")
			wt.after, wt.deleted = max(wt.after, ch.Version), true
			wt.fl.recordRead(ch.Version)
		default:
			return wt.read(ctx)
		}
	}
	return true
}

// watch watches the manifest and records the result of the call and the reported versions.
func (fl *Follower) watch(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, error) {
	start := time.Now()
	changes, _, err := fl.op.Store.Watch(ctx, config.ManifestKey, after, wait)
	for _, ch := range changes {
		if ch.Key == config.ManifestKey {
			fl.recordReported(ch.Version)
		}
	}
	if err == nil && len(changes) == 0 {
		// The store responded at the end of the wait, so it was reached only then.
		start = start.Add(wait)
	}
	fl.recordCall(start, err)
	return changes, err
}
