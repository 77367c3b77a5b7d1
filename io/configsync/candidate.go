package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/logfield"
)

const (
	// maxCandidates bounds the manifests that wait for their parts. Several are kept, because the parts of a lower
	// generation may be reachable while those of the highest are not.
	maxCandidates = 4

	// hintLife is how long a hint is followed. Digests repeat it if it is still true.
	hintLife = 30 * time.Second

	// maxRejected bounds the memory of manifests that can't be built.
	maxRejected = 64
)

// candidate is a manifest that may be put in force when its parts are there.
type candidate struct {
	release
	digest string
	source Holder // peer it came from, zero if it came from the store or was announced
	at     time.Time
}

// hint is the knowledge that a peer has a generation in force.
type hint struct {
	gen  id.Generation
	from id.VM
	at   time.Time
}

// offer adds a manifest to the candidates if it is newer than what is in force and not known to be useless.
func (fl *Follower) offer(raw []byte, source Holder) {
	mf, err := config.ParseManifest(raw)
	if err != nil {
		fl.op.Log.Warn("manifest is not valid", logfield.Peer, source.VM, logfield.Error, err.Error())
		return
	}
	sum := sha256.Sum256(raw)
	cd := &candidate{
		release: release{manifest: mf, raw: slices.Clone(raw)},
		digest:  hex.EncodeToString(sum[:]), source: source, at: time.Now(),
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if _, bad := fl.rejected[cd.digest]; bad || !fl.newer(mf.Generation, fl.inForce()) {
		return
	}
	known := func(ot *candidate) bool { return ot.digest == cd.digest }
	if slices.ContainsFunc(fl.candidates, known) {
		return
	}
	fl.candidates = append(fl.candidates, cd)
	slices.SortStableFunc(fl.candidates, func(cd, ot *candidate) int {
		return int(int64(ot.manifest.Generation) - int64(cd.manifest.Generation))
	})
	fl.candidates = fl.candidates[:min(len(fl.candidates), maxCandidates)]
	fl.wakeFetcher()
}

// reject forgets a candidate that can't be built from its parts. Another manifest of the same generation may come.
func (fl *Follower) reject(cd *candidate) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.rejected) >= maxRejected {
		clear(fl.rejected)
	}
	fl.rejected[cd.digest] = struct{}{}
	fl.candidates = slices.DeleteFunc(fl.candidates, func(ot *candidate) bool { return ot == cd })
}

// work is what the fetcher has to do.
type work struct {
	hint       hint // zero if no manifest needs to be fetched
	candidates []*candidate
}

func (wk *work) none() bool { return wk.hint.gen == 0 && len(wk.candidates) == 0 }

// pending returns the work that remains.
func (fl *Follower) pending() work {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := work{candidates: slices.Clone(fl.candidates)}
	if time.Since(fl.hint.at) > hintLife {
		fl.hint = hint{}
	}
	known := fl.inForce()
	if len(wk.candidates) > 0 {
		known = max(known, wk.candidates[0].manifest.Generation)
	}
	if fl.newer(fl.hint.gen, known) {
		wk.hint = fl.hint
	}
	return wk
}

// putInForce makes a release the current one and forgets what is no longer needed.
func (fl *Follower) putInForce(rl *release) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.previous, fl.current = fl.current, rl
	fl.candidates = slices.DeleteFunc(fl.candidates, func(cd *candidate) bool {
		return !fl.newer(cd.manifest.Generation, rl.manifest.Generation)
	})
	needed := make(map[string][]byte)
	keep := func(rl *release) {
		if rl == nil {
			return
		}
		for _, pr := range rl.manifest.Parts {
			if content, ok := fl.parts[pr.SHA256]; ok {
				needed[pr.SHA256] = content
			}
		}
	}
	keep(fl.current)
	keep(fl.previous)
	for _, cd := range fl.candidates {
		keep(&cd.release)
	}
	fl.parts = needed
}
