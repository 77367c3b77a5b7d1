package configsync

import (
	"context"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/io/store"
)

const (
	// maxContactAge is the age of the last store contact from which the prober calls the store. The contact must be
	// younger than 5 s also on VMs that learn of it through two digests, 500 ms apart.
	maxContactAge = 1500 * time.Millisecond

	// probeInterval is how often the prober checks the age of the last store contact.
	probeInterval = 500 * time.Millisecond
)

// storeState is what this VM knows about the store.
type storeState struct {
	lastContact     time.Time     // latest time at which the store was reached; zero if never
	reportedVersion store.Version // highest version of the manifest that a watch reported
	readVersion     store.Version // highest version of the manifest that was read
	unavailable     bool          // the last call got no response, or the store responded that it is unavailable
}

// LastStoreContact returns the latest time at which the store was reached, for rule (a) of section 9 of docs/design.md,
// and false if it never was. Error responses and refused connections count. The time is the send time of the request,
// because a late response may have been produced at any time since. The time does not advance while this VM knows of a
// newer configuration that it does not have, because that configuration may revoke keys.
func (fl *Follower) LastStoreContact() (time.Time, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.storeState.lastContact, !fl.storeState.lastContact.IsZero()
}

// recordCall records the result of a store call that was sent at the given time.
func (fl *Follower) recordCall(sent time.Time, err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	reached := store.StoreReached(err)
	if reached && fl.storeState.reportedVersion <= fl.storeState.readVersion && len(fl.candidates) == 0 && sent.After(fl.storeState.lastContact) {
		fl.storeState.lastContact = sent
	}
	lost := !reached || store.IsKind(err, store.Unavailable)
	switch {
	case lost && !fl.storeState.unavailable:
		fl.record(event.KindStoreLost, err.Error())
	case !lost && fl.storeState.unavailable:
		fl.record(event.KindStoreBack, "")
	}
	fl.storeState.unavailable = lost
}

// recordReported records a version of the manifest that the store reported.
func (fl *Follower) recordReported(vs store.Version) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.storeState.reportedVersion = max(fl.storeState.reportedVersion, vs)
}

// recordRead records a version of the manifest that was read.
func (fl *Follower) recordRead(vs store.Version) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.storeState.readVersion = max(fl.storeState.readVersion, vs)
}

// upToDate reports whether the store has reported no version of the manifest higher than vs.
func (fl *Follower) upToDate(vs store.Version) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return vs >= fl.storeState.reportedVersion
}

// prober calls the store when the freshness rule needs a recent store contact.
type prober struct{ fl *Follower }

func (pr *prober) run(ctx context.Context) {
	defer pr.fl.running.Done()
	for sleep(ctx, pr.fl.ji.halfJitter(probeInterval)) {
		if !pr.fl.op.WatchStore() || !pr.fl.op.NeedsStoreContact() {
			continue
		}
		if at, ok := pr.fl.LastStoreContact(); ok && time.Since(at) < maxContactAge {
			continue
		}
		pr.fl.mu.Lock()
		after := pr.fl.storeState.readVersion
		pr.fl.mu.Unlock()
		if changes, err := pr.fl.watch(ctx, after, 0); err != nil || len(changes) == 0 {
			continue
		}
		// The watcher may not see the change, because its watch may wait on a dead connection.
		if obj, err := pr.fl.get(ctx, config.ManifestKey); err == nil {
			pr.fl.addCandidate(obj.Value, Holder{})
		}
	}
}
