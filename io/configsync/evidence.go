package configsync

import (
	"context"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/io/store"
)

const (
	// probeAge is the age of the evidence from which the prober asks for more. Evidence must be younger than 5 s on
	// VMs that hear of it through two digests, 500 ms apart.
	probeAge = 1500 * time.Millisecond

	// probePoll is how often the prober looks at the age.
	probePoll = 500 * time.Millisecond
)

// seen is what is known about the store.
type seen struct {
	evidence time.Time     // newest time at which the store was reached, zero if never
	reported store.Version // newest version of the manifest that the store reported
	read     store.Version // newest version of the manifest that was read
	lost     bool          // the last call got no answer, or an answer that the store is down
}

// LastStoreContact returns the latest time at which the store was reached, for rule (a) of section 9 of docs/design.md.
// Error answers and refused connections count. The time is that of the request, because a late answer may have been
// given any time before. It does not advance while this VM knows of a newer configuration that it doesn't have,
// because that may revoke keys.
func (fl *Follower) LastStoreContact() (time.Time, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.seen.evidence, !fl.seen.evidence.IsZero()
}

// called takes note of the result of a call that was sent at the time.
func (fl *Follower) called(sent time.Time, err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	answered := store.StoreReached(err)
	if answered && fl.seen.reported <= fl.seen.read && len(fl.candidates) == 0 && sent.After(fl.seen.evidence) {
		fl.seen.evidence = sent
	}
	lost := !answered || store.IsKind(err, store.Unavailable)
	switch {
	case lost && !fl.seen.lost:
		fl.record(event.KindStoreLost, err.Error())
	case !lost && fl.seen.lost:
		fl.record(event.KindStoreBack, "")
	}
	fl.seen.lost = lost
}

// reported takes note of a version of the manifest that the store reported.
func (fl *Follower) reported(vs store.Version) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.seen.reported = max(fl.seen.reported, vs)
}

// readVersion takes note of a version of the manifest that was read.
func (fl *Follower) readVersion(vs store.Version) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.seen.read = max(fl.seen.read, vs)
}

// upToDate reports whether the store has reported no newer version of the manifest than this one.
func (fl *Follower) upToDate(vs store.Version) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return vs >= fl.seen.reported
}

// prober calls the store when evidence is needed.
type prober struct{ fl *Follower }

func (pr *prober) run(ctx context.Context) {
	defer pr.fl.running.Done()
	for sleep(ctx, pr.fl.ji.around(probePoll)) {
		if !pr.fl.op.WatchStore() || !pr.fl.op.NeedsStoreContact() {
			continue
		}
		if at, ok := pr.fl.LastStoreContact(); ok && time.Since(at) < probeAge {
			continue
		}
		pr.fl.mu.Lock()
		after := pr.fl.seen.read
		pr.fl.mu.Unlock()
		if changes, err := pr.fl.watch(ctx, after, 0); err != nil || len(changes) == 0 {
			continue
		}
		// The watch of the watcher may be on a connection that went silent.
		if obj, err := pr.fl.get(ctx, config.ManifestKey); err == nil {
			pr.fl.offer(obj.Value, Holder{})
		}
	}
}
