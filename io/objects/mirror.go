package objects

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"damasklatch/core/lease"

	"github.com/pkg/errors"
)

// ErrMirrorStale means that a mirror does not answer, because it may be far behind the store.
var ErrMirrorStale = errors.New("the mirror does not follow the store")

// Limits of the history of each kind that a mirror keeps. A watch from an older revision gets ErrHistoryLost.
const (
	maxHistory      = 512     // number of changes
	maxRemovedBytes = 8 << 20 // size of the removed objects; the others share their memory with the snapshot
)

// Mirror is a Reader that serves the objects known to informers. Other VMs read from it, because the store
// limits the number of calls. It is safe for concurrent use.
type Mirror struct {
	clock lease.Clock
	limit CopyLimit

	mu    sync.Mutex
	kinds map[Kind]*mirroredKind
}

// CopyLimit returns the age up to which the objects of a kind are served that have passed through a number of other VMs.
type CopyLimit func(kind Kind, hops int) time.Duration

// mirroredKind holds the objects of a kind and its last changes.
type mirroredKind struct {
	objects      map[string]Object
	revision     Revision
	completeFrom Revision // the history has all changes after this revision
	history      []historyEntry
	gaps         []gap         // in ascending order
	changed      chan struct{} // closed at the next change
	knownAt      lease.Instant // see Snapshot.KnownAt
	hops         int           // number of other VMs that the objects have passed through
}

// historyEntry is a change with the revision of the snapshot that contained it.
type historyEntry struct {
	change   Change
	revision Revision
}

// gap is a range of revisions, without its ends, in which an object may have been created and removed without a trace in the history.
type gap struct{ from, to Revision }

// maxGaps is the number of gaps of each kind that a mirror keeps. A watch from an older revision gets ErrHistoryLost.
const maxGaps = 64

// NewMirror returns an empty mirror. It answers with ErrMirrorStale when the age of the objects reaches the limit, which counts end
// to end from the request to the store.
func NewMirror(clock lease.Clock, limit CopyLimit) *Mirror {
	return &Mirror{clock: clock, limit: limit, kinds: map[Kind]*mirroredKind{}}
}

// Age returns the time since the moment for which the store has vouched for the objects of a kind, and the number of other VMs
// that they have passed through. It returns false before the first snapshot.
func (mr *Mirror) Age(kind Kind) (age time.Duration, hops int, ok bool) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	if mk == nil {
		return 0, 0, false
	}
	return mr.age(mk), mk.hops, true
}

func (mr *Mirror) age(mk *mirroredKind) time.Duration { return time.Duration(mr.clock() - mk.knownAt) }

// Serves reports whether the objects of a kind are recent enough to be served.
func (mr *Mirror) Serves(kind Kind) bool {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	_, ok := mr.staleIn(kind)
	return ok
}

// staleIn returns the time until the objects of a kind are too old to be served. It returns false if they are.
func (mr *Mirror) staleIn(kind Kind) (time.Duration, bool) {
	mk := mr.kinds[kind]
	if mk == nil {
		return 0, false
	}
	left := mr.limit(kind, mk.hops) - mr.age(mk)
	return left, left > 0
}

// Confirm records that the store had a revision at the given time. This proves that the objects of a kind are complete if they are
// known up to that revision; otherwise, or before the first snapshot, it returns false.
func (mr *Mirror) Confirm(kind Kind, rev Revision, at lease.Instant) bool {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	if mk == nil || mk.revision < rev {
		return false
	}
	if at > mk.knownAt {
		mk.knownAt, mk.hops = at, 0
	}
	return true
}

// Apply replaces the objects of a kind by a snapshot, and ends the waits of watches if there are changes.
func (mr *Mirror) Apply(kind Kind, sn Snapshot) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	if mk == nil {
		mr.kinds[kind] = &mirroredKind{
			objects: sn.Objects, revision: sn.Revision, completeFrom: sn.Revision, changed: make(chan struct{}),
			knownAt: sn.KnownAt, hops: sn.Hops,
		}
		return
	}
	if sn.KnownAt >= mk.knownAt {
		mk.knownAt, mk.hops = sn.KnownAt, sn.Hops
	}
	changes := sn.Changes
	if sn.FromList {
		changes = difference(mk.objects, sn.Objects)
		mk.addGap(sn.Revision)
	}
	mk.objects, mk.revision = sn.Objects, max(mk.revision, sn.Revision)
	mk.addChanges(changes, sn.Revision)
	if len(changes) > 0 {
		close(mk.changed)
		mk.changed = make(chan struct{})
	}
}

// addChanges adds changes to the history. Of each object it keeps only the last one, because watches return no others.
func (mk *mirroredKind) addChanges(changes []Change, rev Revision) {
	all := slices.Clone(mk.history)
	for _, ch := range changes {
		all = append(all, historyEntry{ch, rev})
	}
	all = latestOf(all)
	if over := excess(all); over > 0 {
		mk.completeFrom = max(mk.completeFrom, all[over-1].revision)
		all = slices.Clone(all[over:])
	}
	mk.history = all
}

// latestOf returns the last entry of each object, in the same order.
func latestOf(history []historyEntry) []historyEntry {
	last := make(map[string]int, len(history))
	for nr, en := range history {
		last[en.change.Object.Name] = nr
	}
	kept := make([]historyEntry, 0, len(last))
	for nr, en := range history {
		if last[en.change.Object.Name] == nr {
			kept = append(kept, en)
		}
	}
	return kept
}

// excess returns the number of the oldest entries beyond the limits of the history.
func excess(history []historyEntry) int {
	removed := 0
	for nr := len(history) - 1; nr >= max(len(history)-maxHistory, 0); nr-- {
		if ch := history[nr].change; ch.Removed {
			removed += len(ch.Object.Name) + len(ch.Object.Spec)
		}
		if removed > maxRemovedBytes {
			return nr + 1
		}
	}
	return max(len(history)-maxHistory, 0)
}

// difference returns the changes that turn the objects of one snapshot into those of a later one.
func difference(before, after map[string]Object) []Change {
	var changes []Change
	for name, ob := range after {
		if old, ok := before[name]; !ok || old.Revision != ob.Revision {
			changes = append(changes, Change{Object: ob})
		}
	}
	for name, ob := range before {
		if _, ok := after[name]; !ok {
			changes = append(changes, Change{Object: ob, Removed: true})
		}
	}
	return changes
}

// addGap records that the changes since the last known revision are not known one by one.
func (mk *mirroredKind) addGap(to Revision) {
	if to <= mk.revision+1 {
		return
	}
	mk.gaps = append(mk.gaps, gap{mk.revision, to})
	if over := len(mk.gaps) - maxGaps; over > 0 {
		mk.completeFrom = max(mk.completeFrom, mk.gaps[over-1].to)
		mk.gaps = append([]gap(nil), mk.gaps[over:]...)
	}
}

// hasHistory reports whether the history has all changes after a revision. A VM that has followed another one may have a revision
// within a gap, and then knows objects that this mirror never had.
func (mk *mirroredKind) hasHistory(after Revision) bool {
	nr := sort.Search(len(mk.gaps), func(nr int) bool { return mk.gaps[nr].to > after })
	return after >= mk.completeFrom && (nr == len(mk.gaps) || after <= mk.gaps[nr].from)
}

// List implements Reader. It returns ErrMirrorStale before the first snapshot of the kind and while the mirror isn't fresh.
func (mr *Mirror) List(_ context.Context, kind Kind) (Listing, error) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	if _, ok := mr.staleIn(kind); !ok {
		return Listing{}, ErrMirrorStale
	}
	ls := Listing{Revision: mk.revision, Relayed: true, Copy: &Copy{Age: mr.age(mk), Hops: mk.hops}}
	for _, ob := range mk.objects {
		ls.Objects = append(ls.Objects, ob)
	}
	return ls, nil
}

// Watch implements Reader. It returns only the latest change of each object. It returns ErrMirrorStale as soon as the objects are
// too old, so that the other VM looks elsewhere before the end of the wait.
func (mr *Mirror) Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) (Update, error) {
	asked := mr.clock()
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for over := false; ; {
		up, changed, stale, err := mr.changesSince(kind, after)
		if err != nil {
			return Update{}, err
		}
		if len(up.Changes) > 0 || over {
			up.Copy.Held = time.Duration(mr.clock() - asked)
			return up, nil
		}
		old := time.NewTimer(max(stale, minStaleCheck))
		select {
		case <-changed:
		case <-old.C:
		case <-tm.C:
			over = true
		case <-ctx.Done():
			err = errors.Wrap(ctx.Err(), "watch of a mirror")
		}
		old.Stop()
		if err != nil {
			return Update{}, err
		}
	}
}

// minStaleCheck is the shortest interval at which a waiting watch checks the age of the objects: the timer and the clock of the age
// may differ a little.
const minStaleCheck = time.Millisecond

func (mr *Mirror) changesSince(kind Kind, after Revision) (up Update, changed <-chan struct{}, stale time.Duration, err error) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	stale, ok := mr.staleIn(kind)
	switch {
	case !ok:
		return Update{}, nil, 0, ErrMirrorStale
	case !mk.hasHistory(after):
		return Update{}, nil, 0, ErrHistoryLost
	}
	up = Update{Revision: max(mk.revision, after), Relayed: true, Copy: &Copy{Age: mr.age(mk), Hops: mk.hops}}
	up.Changes = changesAfter(mk.history, after)
	return up, mk.changed, stale, nil
}

// changesAfter returns the changes of a history after a revision.
func changesAfter(history []historyEntry, after Revision) []Change {
	from := sort.Search(len(history), func(nr int) bool { return history[nr].revision > after })
	changes := make([]Change, 0, len(history)-from)
	for _, en := range history[from:] {
		changes = append(changes, en.change)
	}
	return changes
}
