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

	// startWait is how long a new VM waits for the first answer of the store before it applies what peers have, and
	// for the parts of the highest generation that it knows before it applies a lower one. A stale answer of one side
	// must not put an old configuration in force if the other side has a newer one.
	startWait = time.Second

	// storeDelay is how long a VM that doesn't watch the store leaves a change to its peers, so that one change does
	// not cause a read by every VM of the fleet.
	storeDelay = time.Second

	// batchBytes and batchParts bound what is asked of a peer in one call.
	batchBytes = 1 << 20
	batchParts = 64
)

// fetcher collects manifests and parts and puts configurations in force.
type fetcher struct {
	fl      *Follower
	bo      backoff
	builder config.Builder      // shares unchanged client blocks between generations
	blocks  *config.ClientBlock // first one of the list in force
}

func (ft *fetcher) run(ctx context.Context) {
	ft.askPeers(ctx)
	if !ft.awaitStore(ctx) {
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
		progress := ft.round(ctx)
		switch wk := ft.fl.pending(); {
		case wk.none():
			ft.bo.reset()
		default:
			if progress {
				ft.bo.reset()
			}
			retry.Reset(ft.bo.delay())
		}
	}
}

// askPeers takes up the manifests of some peers at the start.
func (ft *fetcher) askPeers(ctx context.Context) {
	for _, hd := range ft.fl.asked.order(ft.fl.op.Peers.Holders(0), "") {
		ft.manifestFrom(ctx, hd)
	}
}

// awaitStore waits for the first answer of the store.
func (ft *fetcher) awaitStore(ctx context.Context) bool {
	tm := time.NewTimer(startWait)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
	case <-ft.fl.primed:
	}
	return true
}

// round tries to do all pending work and reports whether a configuration was put in force.
func (ft *fetcher) round(ctx context.Context) bool {
	if wk := ft.fl.pending(); wk.hint.gen != 0 {
		ft.fetchManifest(ctx, wk.hint)
	}
	cds := ft.fl.pending().candidates
	gen, _ := ft.fl.Manifest()
	for nr, cd := range cds {
		if ctx.Err() != nil || gen == 0 && nr > 0 && time.Since(cds[0].at) < startWait {
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

// mayReadStore reports whether this VM should ask the store for something it has waited for since the time.
func (ft *fetcher) mayReadStore(since time.Time) bool {
	return ft.fl.op.WatchStore() || time.Since(since) >= ft.fl.ji.around(2*storeDelay)
}

// fetchManifest gets a manifest of at least the generation of a hint.
func (ft *fetcher) fetchManifest(ctx context.Context, hn hint) {
	// The VM with the highest generation may be gone, so others that have a newer one than this VM are asked too.
	hds := ft.fl.op.Peers.Holders(hn.gen)
	gen, _ := ft.fl.Manifest()
	for _, hd := range ft.fl.op.Peers.Holders(gen + 1) {
		if !slices.ContainsFunc(hds, func(ot Holder) bool { return ot.VM == hd.VM }) {
			hds = append(hds, hd)
		}
	}
	for _, hd := range ft.fl.asked.order(hds, hn.from) {
		ft.manifestFrom(ctx, hd)
		if ft.fl.pending().hint.gen == 0 {
			return
		}
	}
	if !ft.mayReadStore(hn.at) {
		return
	}
	if obj, err := ft.fl.get(ctx, config.ManifestKey); err == nil {
		ft.fl.offer(obj.Value, Holder{})
	}
}

func (ft *fetcher) manifestFrom(ctx context.Context, hd Holder) {
	raw, err := getManifest(ctx, hd)
	ft.fl.asked.note(hd.VM, err)
	if err != nil {
		ft.fl.op.Log.Info("peer has no manifest", logfield.Peer, hd.VM, logfield.Error, err.Error())
		return
	}
	if len(raw) > 0 {
		ft.fl.offer(raw, hd)
	}
}

// fetchParts gets the missing parts of a candidate and returns those that it did not get.
func (ft *fetcher) fetchParts(ctx context.Context, cd *candidate) []config.PartRef {
	missing := ft.missing(cd)
	hds := ft.fl.op.Peers.Holders(cd.manifest.Generation)
	known := func(hd Holder) bool { return hd.VM == cd.source.VM }
	if cd.source.Client != nil && !slices.ContainsFunc(hds, known) {
		hds = append(hds, cd.source) // a new VM has no digest of it yet
	}
	for _, hd := range ft.fl.asked.order(hds, cd.source.VM) {
		for _, batch := range batches(missing) {
			if err := ft.partsFrom(ctx, hd, batch); err != nil {
				break
			}
		}
		if missing = ft.missing(cd); len(missing) == 0 {
			return nil
		}
	}
	if len(missing) == 0 || !ft.mayReadStore(cd.at) {
		return missing
	}
	for _, pr := range missing {
		obj, err := ft.fl.get(ctx, config.PartKey(pr.SHA256))
		switch {
		case store.IsKind(err, store.NotFound):
			continue
		case err != nil:
			return ft.missing(cd) // the other parts would fail in the same way, each after its own timeout
		}
		if err := ft.fl.addPart(pr, obj.Value); err != nil {
			ft.fl.op.Log.Error("part in the store is damaged", logfield.Error, err.Error())
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

// batches divides parts into groups that fit in one call.
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

func (ft *fetcher) partsFrom(ctx context.Context, hd Holder, batch []config.PartRef) error {
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
			err = errors.Errorf("part %.64q was not asked for", pt.GetSha256())
		} else if er := ft.fl.addPart(pr, pt.GetContent()); er != nil {
			err = er
		}
	}
	ft.fl.asked.note(hd.VM, err)
	if err != nil {
		ft.fl.op.Log.Warn("peer did not give parts", logfield.Peer, hd.VM, logfield.Error, err.Error())
	}
	return err
}

// addPart keeps a content if it has the size and the digest of the part.
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

// get reads an object and takes note of the store being reached.
func (fl *Follower) get(ctx context.Context, key string) (store.Object, error) {
	start := time.Now()
	obj, err := fl.op.Store.Get(ctx, key)
	if err == nil && key == config.ManifestKey {
		fl.readVersion(obj.Version)
	}
	fl.called(start, err)
	return obj, err
}

// apply builds a candidate and puts it in force. It reports whether it did.
func (ft *fetcher) apply(cd *candidate) bool {
	fl := ft.fl
	ef, err := ft.builder.Build(cd.manifest, fl.contents(cd.manifest))
	if err != nil {
		fl.reject(cd)
		fl.op.Log.Error("configuration can't be built, the generation in force stays",
			logfield.Generation, cd.manifest.Generation, logfield.Error, err.Error())
		return false
	}
	fl.mu.Lock()
	newer := fl.newer(cd.manifest.Generation, fl.inForce())
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

// manyBlocks is the number of client blocks from which their list is worth a garbage collection.
const manyBlocks = 10_000

// releaseMemory returns memory to the operating system after the list of client blocks was built anew. Parsing 210,000
// blocks takes several times the memory of the list, which the collector would otherwise keep for long in a process
// that allocates little.
func (ft *fetcher) releaseMemory(blocks []config.ClientBlock) {
	if len(blocks) < manyBlocks || ft.blocks == &blocks[0] {
		return
	}
	ft.blocks = &blocks[0]
	debug.FreeOSMemory()
}

// contents returns the contents of the parts of a manifest that this VM has.
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
