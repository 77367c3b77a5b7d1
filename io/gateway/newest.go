package gateway

import (
	"context"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

// newestConfig holds the configuration of the highest version that this VM has read. It is safe for concurrent use.
type newestConfig struct {
	mu      sync.Mutex
	version id.Generation
	objects map[string]objects.Object
}

// offer keeps the objects unless a higher version is known. It reports whether it kept them.
func (nc *newestConfig) offer(version id.Generation, all map[string]objects.Object) bool {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	if version < nc.version {
		return false
	}
	nc.version, nc.objects = version, all
	return true
}

// latest returns the objects of the highest version.
func (nc *newestConfig) latest() map[string]objects.Object {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	return nc.objects
}

// keepNewest decodes a configuration that has changed. While the source has an older version than this VM, because the store was
// restored from a copy, the snapshot gets the newer one, so that other VMs read it from the mirror.
func (sr *informerSource) keepNewest(sn *objects.Snapshot, changed bool) decodedConfig {
	ct := sr.ct
	var dc decodedConfig
	if changed {
		dc.config, dc.err = ct.Adapter.DecodeConfig(sn.Objects)
		sr.outdated = false
		if dc.err == nil {
			sr.outdated = !ct.newest.offer(dc.config.Version, sn.Objects)
		}
	}
	if sr.outdated {
		sn.Objects = ct.newest.latest()
	}
	return dc
}

// aheadPeer is a VM that has reported a higher version of the configuration than this VM has in force.
type aheadPeer struct {
	version id.Generation
	address string    // of its mirror
	since   time.Time // when the first report of such a version arrived
}

// versionStall is the time after which this VM asks another one for a configuration that its own source doesn't have.
const versionStall = 1500 * time.Millisecond

// noteVersion records a report of a version that this VM doesn't have. Until it does, the store's responses are no evidence that its
// own version is the newest.
func (ct *Controller) noteVersion(now time.Time, rp *roster.Report) {
	if rp.Version <= ct.version || rp.Version < ct.ahead.version {
		return
	}
	if !ct.behindPeer() {
		ct.ahead.since = now
	}
	ct.ahead.version = rp.Version
	if mb, ok := ct.Roster.Member(rp.VM); ok {
		ct.ahead.address = mb.RelayAddress
	}
}

// behindPeer reports whether another VM has a newer configuration.
func (ct *Controller) behindPeer() bool { return ct.ahead.version > ct.version }

// fetchNewer asks another VM for its configuration if it has been newer for versionStall.
func (ct *Controller) fetchNewer(now time.Time) {
	if !ct.behindPeer() || now.Sub(ct.ahead.since) < versionStall || ct.ahead.address == "" {
		return
	}
	select {
	case ct.fetches <- ct.ahead.address:
		ct.ahead.since = now
		ct.Log.Warn("another VM has a newer configuration than this one can read, it is asked for it", "version", uint64(ct.version),
			"newer_version", uint64(ct.ahead.version), "address", ct.ahead.address)
	default: // the request before has not ended yet
	}
}

// configFetcher fetches configurations from other VMs.
type configFetcher struct{ ct *Controller }

// run fetches a configuration for each address until the context is canceled.
func (cf *configFetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-cf.ct.fetches:
			cf.fetch(ctx, address)
		}
	}
}

func (cf *configFetcher) fetch(ctx context.Context, address string) {
	ct := cf.ct
	kind := ct.Adapter.Kinds().Config
	ls, err := ct.relays[kind].ListFrom(ctx, address, kind)
	if err != nil {
		ct.Log.Warn("configuration can't be fetched from another VM", "address", address, "error", err.Error())
		return
	}
	all := make(map[string]objects.Object, len(ls.Objects))
	for _, ob := range ls.Objects {
		all[ob.Name] = ob
	}
	dc := decodedConfig{}
	if dc.config, dc.err = ct.Adapter.DecodeConfig(all); dc.err == nil {
		ct.newest.offer(dc.config.Version, all)
	}
	select {
	case ct.inbox <- configEvent{dc}:
	case <-ctx.Done():
	}
}
