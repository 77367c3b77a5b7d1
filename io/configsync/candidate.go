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
	// maxCandidates limits the manifests that wait for their parts. Several are kept because the parts of a lower
	// generation may be available while those of the highest are not.
	maxCandidates = 4

	// hintLifetime is how long a hint is used. Digests repeat a hint that is still true.
	hintLifetime = 30 * time.Second

	// maxRejected limits the number of remembered manifests that cannot be built.
	maxRejected = 64
)

// candidate is a manifest that can be put in force as soon as all its parts are available.
type candidate struct {
	release
	digest  string
	source  Holder // peer that sent it; zero if it came from the store or was announced
	addedAt time.Time
}

// hint records that a peer reported a generation in force.
type hint struct {
	gen  id.Generation
	from id.VM
	at   time.Time
}

// addCandidate adds a manifest to the candidates. It ignores manifests that are invalid, rejected or not newer than the
// generation in force.
func (fl *Follower) addCandidate(raw []byte, source Holder) {
	mf, err := config.ParseManifest(raw)
	if err != nil {
		fl.op.Log.Warn("invalid manifest ignored", logfield.Peer, source.VM, logfield.Error, err.Error())
		return
	}
	sum := sha256.Sum256(raw)
	cd := &candidate{
		release: release{manifest: mf, raw: slices.Clone(raw)},
		digest:  hex.EncodeToString(sum[:]), source: source, addedAt: time.Now(),
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if _, bad := fl.rejected[cd.digest]; bad || !fl.isNewer(mf.Generation, fl.generationInForce()) {
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

// reject removes a candidate that cannot be built from its parts and ignores the same manifest from now on. Another
// manifest of the same generation is still accepted.
func (fl *Follower) reject(cd *candidate) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.rejected) >= maxRejected {
		clear(fl.rejected)
	}
	fl.rejected[cd.digest] = struct{}{}
	fl.candidates = slices.DeleteFunc(fl.candidates, func(ot *candidate) bool { return ot == cd })
}

// work is the pending work of the fetcher.
type work struct {
	hint       hint // zero if no manifest needs to be fetched
	candidates []*candidate
}

// empty reports whether there is nothing to do.
func (wk *work) empty() bool { return wk.hint.gen == 0 && len(wk.candidates) == 0 }

// pending returns the hint, if a manifest must be fetched, and the candidates.
func (fl *Follower) pending() work {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := work{candidates: slices.Clone(fl.candidates)}
	if time.Since(fl.hint.at) > hintLifetime {
		fl.hint = hint{}
	}
	known := fl.generationInForce()
	if len(wk.candidates) > 0 {
		known = max(known, wk.candidates[0].manifest.Generation)
	}
	if fl.isNewer(fl.hint.gen, known) {
		wk.hint = fl.hint
	}
	return wk
}

// putInForce makes a release the current one. It drops candidates that are not newer, and parts that neither the
// current nor the previous release nor a candidate needs.
func (fl *Follower) putInForce(rl *release) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.previous, fl.current = fl.current, rl
	fl.candidates = slices.DeleteFunc(fl.candidates, func(cd *candidate) bool {
		return !fl.isNewer(cd.manifest.Generation, rl.manifest.Generation)
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
