package configsync

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/event"
	"damasklatch/internal/logfield"
	"damasklatch/io/store"

	"github.com/pkg/errors"
)

const (
	fetchBackoff    = 100 * time.Millisecond
	maxFetchBackoff = 5 * time.Second

	// startupWait is how long a new VM waits for the first response of the store before it applies what peers have, and
	// for the parts of the highest known generation before it applies a lower one. A stale response of the store or of
	// a peer must not put an old configuration in force if the other one has a newer configuration.
	startupWait = time.Second

	// storeFallbackDelay is how long a VM that does not watch the store tries to get a change from its peers only.
	// Without it, every VM of the fleet would read the store after each change.
	storeFallbackDelay = time.Second

	// batchBytes and batchParts limit the parts requested from a peer in one call.
	batchBytes = 1 << 20
	batchParts = 64
)

// fetcher fetches manifests and parts and puts configurations in force.
type fetcher struct {
	fl         *Follower
	bo         backoff
	builder    config.Builder      // reuses unchanged client blocks of the previous generation
	firstBlock *config.ClientBlock // first block of the list after which memory was last released
}

func (ft *fetcher) run(ctx context.Context) {
	ft.fetchPeerManifests(ctx)
	if !ft.waitForStore(ctx) {
		return
	}
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ft.fl.wake:
		case <-retry.C:
		}
		retry.Stop()
		progress := ft.processPending(ctx)
		switch wk := ft.fl.pending(); {
		case wk.empty():
			ft.bo.reset()
		default:
			if progress {
				ft.bo.reset()
			}
			retry.Reset(ft.bo.delay())
		}
	}
}

// fetchPeerManifests fetches the manifests of some peers at startup.
func (ft *fetcher) fetchPeerManifests(ctx context.Context) {
	for _, hd := range ft.fl.penalties.selectPeers(ft.fl.op.Peers.Holders(0), "") {
		ft.fetchManifestFrom(ctx, hd)
	}
}

// waitForStore waits until the first read of the store has ended, at most startupWait. It returns false if the context
// ends.
func (ft *fetcher) waitForStore(ctx context.Context) bool {
	tm := time.NewTimer(startupWait)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
	case <-ft.fl.firstReadDone:
	}
	return true
}

// processPending fetches what is missing and applies the highest generation that is complete. It reports whether a
// configuration was put in force.
func (ft *fetcher) processPending(ctx context.Context) bool {
	if wk := ft.fl.pending(); wk.hint.gen != 0 {
		ft.fetchManifest(ctx, wk.hint)
	}
	cds := ft.fl.pending().candidates
	gen, _ := ft.fl.Manifest()
	for nr, cd := range cds {
		if ctx.Err() != nil || gen == 0 && nr > 0 && time.Since(cds[0].addedAt) < startupWait {
			return false
		}
		if missing := ft.fetchParts(ctx, cd); len(missing) > 0 {
			ft.fl.op.Log.Warn("parts of a manifest are missing",
				logfield.Generation, cd.manifest.Generation, "missing", len(missing))
			continue
		}
		if ft.apply(cd) {
			return true
		}
	}
	return false
}

// mayReadStore reports whether this VM may read the store for something that it has waited for since the given time.
func (ft *fetcher) mayReadStore(since time.Time) bool {
	return ft.fl.op.WatchStore() || time.Since(since) >= ft.fl.ji.halfJitter(2*storeFallbackDelay)
}

// fetchManifest fetches a manifest of the hinted generation or a newer one, from peers or else from the store.
func (ft *fetcher) fetchManifest(ctx context.Context, hn hint) {
	// The VM with the highest generation may have failed, so peers with any newer generation than this VM's are asked too.
	hds := ft.fl.op.Peers.Holders(hn.gen)
	gen, _ := ft.fl.Manifest()
	for _, hd := range ft.fl.op.Peers.Holders(gen + 1) {
		if !slices.ContainsFunc(hds, func(ot Holder) bool { return ot.VM == hd.VM }) {
			hds = append(hds, hd)
		}
	}
	for _, hd := range ft.fl.penalties.selectPeers(hds, hn.from) {
		ft.fetchManifestFrom(ctx, hd)
		if ft.fl.pending().hint.gen == 0 {
			return
		}
	}
	if !ft.mayReadStore(hn.at) {
		return
	}
	if obj, err := ft.fl.get(ctx, config.ManifestKey); err == nil {
		ft.fl.addCandidate(obj.Value, Holder{})
	}
}

// fetchManifestFrom fetches the manifest that a peer has in force and adds it to the candidates.
func (ft *fetcher) fetchManifestFrom(ctx context.Context, hd Holder) {
	raw, err := getManifest(ctx, hd)
	ft.fl.penalties.recordResult(hd.VM, err)
	if err != nil {
		ft.fl.op.Log.Info("manifest can't be fetched from the peer", logfield.Peer, hd.VM, logfield.Error, err.Error())
		return
	}
	if len(raw) > 0 {
		ft.fl.addCandidate(raw, hd)
	}
}

// fetchParts fetches the missing parts of a candidate, from peers first and then from the store. It returns the parts
// that are still missing.
func (ft *fetcher) fetchParts(ctx context.Context, cd *candidate) []config.PartRef {
	missing := ft.missing(cd)
	hds := ft.fl.op.Peers.Holders(cd.manifest.Generation)
	known := func(hd Holder) bool { return hd.VM == cd.source.VM }
	if cd.source.Client != nil && !slices.ContainsFunc(hds, known) {
		hds = append(hds, cd.source) // a new VM has received no digest from it yet
	}
	for _, hd := range ft.fl.penalties.selectPeers(hds, cd.source.VM) {
		for _, batch := range batches(missing) {
			if err := ft.fetchPartsFrom(ctx, hd, batch); err != nil {
				break
			}
		}
		if missing = ft.missing(cd); len(missing) == 0 {
			return nil
		}
	}
	if len(missing) == 0 || !ft.mayReadStore(cd.addedAt) {
		return missing
	}
	for _, pr := range missing {
		obj, err := ft.fl.get(ctx, config.PartKey(pr.SHA256))
		switch {
		case store.IsKind(err, store.NotFound):
			continue
		case err != nil:
			return ft.missing(cd) // reading the other parts would fail too, each after a timeout
		}
		if err := ft.fl.addPart(pr, obj.Value); err != nil {
			ft.fl.op.Log.Error("part read from the store is damaged and ignored", logfield.Error, err.Error())
		}
	}
	return ft.missing(cd)
}

// missing returns the parts of a candidate that this VM does not have.
func (ft *fetcher) missing(cd *candidate) []config.PartRef {
	ft.fl.mu.Lock()
	defer ft.fl.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(cd.manifest.Parts), func(pr config.PartRef) bool {
		_, ok := ft.fl.parts[pr.SHA256]
		return ok
	})
}

// batches splits parts into groups that fit into one call.
func batches(prs []config.PartRef) [][]config.PartRef {
	var groups [][]config.PartRef
	size := 0
	for _, pr := range prs {
		last := len(groups) - 1
		if last < 0 || size+pr.Size > batchBytes || len(groups[last]) == batchParts {
			groups, size = append(groups, nil), 0
			last++
		}
		groups[last] = append(groups[last], pr)
		size += pr.Size
	}
	return groups
}

// fetchPartsFrom fetches a batch of parts from a peer and stores those with the expected size and digest.
func (ft *fetcher) fetchPartsFrom(ctx context.Context, hd Holder, batch []config.PartRef) error {
	wanted := make(map[string]config.PartRef, len(batch))
	digests := make([]string, len(batch))
	for nr, pr := range batch {
		digests[nr] = pr.SHA256
		wanted[pr.SHA256] = pr
	}
	pts, err := getParts(ctx, hd, digests)
	for _, pt := range pts {
		pr, ok := wanted[pt.GetSha256()]
		if !ok {
			err = errors.Errorf("peer sent part %.64q, which was not requested", pt.GetSha256())
		} else if er := ft.fl.addPart(pr, pt.GetContent()); er != nil {
			err = er
		}
	}
	ft.fl.penalties.recordResult(hd.VM, err)
	if err != nil {
		ft.fl.op.Log.Warn("parts can't be fetched from the peer", logfield.Peer, hd.VM, logfield.Error, err.Error())
	}
	return err
}

// addPart stores a content if it has the size and digest of the part, and returns an error otherwise.
func (fl *Follower) addPart(pr config.PartRef, content []byte) error {
	if have := config.NewPartRef(pr.Name, content); have != pr {
		return errors.Errorf("part %s: content has digest %s and %d bytes, expected %s and %d bytes",
			pr.Name, have.SHA256, have.Size, pr.SHA256, pr.Size)
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.parts[pr.SHA256] = slices.Clone(content)
	return nil
}

// get reads an object from the store and records the result of the call.
func (fl *Follower) get(ctx context.Context, key string) (store.Object, error) {
	start := time.Now()
	obj, err := fl.op.Store.Get(ctx, key)
	if err == nil && key == config.ManifestKey {
		fl.recordRead(obj.Version)
	}
	fl.recordCall(start, err)
	return obj, err
}

// apply builds a candidate's configuration and puts it in force if its generation is higher. It reports whether it did.
func (ft *fetcher) apply(cd *candidate) bool {
	fl := ft.fl
	ef, err := ft.builder.Build(cd.manifest, fl.contents(cd.manifest))
	if err != nil {
		fl.reject(cd)
		fl.op.Log.Error("configuration can't be built; the generation in force is kept",
			logfield.Generation, cd.manifest.Generation, logfield.Error, err.Error())
		return false
	}
	fl.mu.Lock()
	newer := fl.isNewer(cd.manifest.Generation, fl.generationInForce())
	fl.mu.Unlock()
	if !newer {
		return false
	}
	// Only this goroutine changes the generation in force, so it is still lower here.
	fl.op.Apply(ef, cd.raw)
	fl.putInForce(&cd.release)
	fl.op.Log.Info("configuration is in force",
		logfield.Generation, cd.manifest.Generation, logfield.OperationID, cd.manifest.OperationID)
	fl.record(event.KindGeneration, fmt.Sprintf("generation %d", cd.manifest.Generation))
	ft.releaseMemory(ef.Blocks)
	return true
}

// minBlocksToFree is the number of client blocks from which releaseMemory frees memory.
const minBlocksToFree = 10_000

// releaseMemory returns memory to the operating system after the list of client blocks was rebuilt. Parsing 210,000
// blocks takes several times the memory of the list. In a process that allocates little, the garbage collector would
// release it only much later.
func (ft *fetcher) releaseMemory(blocks []config.ClientBlock) {
	if len(blocks) < minBlocksToFree || ft.firstBlock == &blocks[0] {
		return
	}
	ft.firstBlock = &blocks[0]
	debug.FreeOSMemory()
}

// contents returns the contents of a manifest's parts that this VM has, by SHA-256.
func (fl *Follower) contents(mf *config.Manifest) map[string][]byte {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	parts := make(map[string][]byte, len(mf.Parts))
	for _, pr := range mf.Parts {
		if content, ok := fl.parts[pr.SHA256]; ok {
			parts[pr.SHA256] = content
		}
	}
	return parts
}
