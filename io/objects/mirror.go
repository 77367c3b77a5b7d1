package objects

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrMirrorStale means that a mirror does not follow the store at present.
var ErrMirrorStale = errors.New("the mirror does not follow the store")

// mostHistory bounds the changes of a kind that a mirror keeps. Who is further behind lists anew.
const mostHistory = 512

// Mirror is a Reader of what an informer knows. Other VMs read it in place of the store, which counts each call.
type Mirror struct {
	fresh func() bool

	mu    sync.Mutex
	kinds map[Kind]*mirrored
}

// mirrored is the objects of a kind.
type mirrored struct {
	objects  map[string]Object
	revision Revision
	floor    Revision // from which the history is complete
	history  []seen
	changed  chan struct{} // closed at the next change
}

// seen is a change with the revision up to which it was reported.
type seen struct {
	change   Change
	revision Revision
}

// NewMirror returns an empty mirror, which answers while fresh reports true.
func NewMirror(fresh func() bool) *Mirror { return &Mirror{fresh: fresh, kinds: map[Kind]*mirrored{}} }

// Apply takes a snapshot of a kind.
func (mr *Mirror) Apply(kind Kind, sn Snapshot) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	if mk == nil {
		mr.kinds[kind] = &mirrored{
			objects: sn.Objects, revision: sn.Revision, floor: sn.Revision, changed: make(chan struct{}),
		}
		return
	}
	before := len(mk.history)
	for name, ob := range sn.Objects {
		if old, ok := mk.objects[name]; !ok || old.Revision != ob.Revision {
			mk.history = append(mk.history, seen{Change{Object: ob}, sn.Revision})
		}
	}
	for name, ob := range mk.objects {
		if _, ok := sn.Objects[name]; !ok {
			mk.history = append(mk.history, seen{Change{Object: ob, Removed: true}, sn.Revision})
		}
	}
	mk.objects, mk.revision = sn.Objects, max(mk.revision, sn.Revision)
	if over := len(mk.history) - mostHistory; over > 0 {
		mk.floor = mk.history[over-1].revision
		mk.history = append([]seen(nil), mk.history[over:]...)
		before = 0
	}
	if len(mk.history) != before {
		close(mk.changed)
		mk.changed = make(chan struct{})
	}
}

// List implements Reader.
func (mr *Mirror) List(_ context.Context, kind Kind) (Listing, error) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	if mk == nil || !mr.fresh() {
		return Listing{}, ErrMirrorStale
	}
	ls := Listing{Revision: mk.revision, Relayed: true}
	for _, ob := range mk.objects {
		ls.Objects = append(ls.Objects, ob)
	}
	return ls, nil
}

// Watch implements Reader.
func (mr *Mirror) Watch(ctx context.Context, kind Kind, after Revision, wait time.Duration) (Update, error) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for over := false; ; {
		up, changed, err := mr.since(kind, after)
		if err != nil || len(up.Changes) > 0 || over {
			return up, err
		}
		select {
		case <-changed:
		case <-tm.C:
			over = true
		case <-ctx.Done():
			return Update{}, errors.Wrap(ctx.Err(), "watch of a mirror")
		}
	}
}

func (mr *Mirror) since(kind Kind, after Revision) (Update, <-chan struct{}, error) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mk := mr.kinds[kind]
	switch {
	case mk == nil || !mr.fresh():
		return Update{}, nil, ErrMirrorStale
	case after < mk.floor:
		return Update{}, nil, ErrHistoryLost
	}
	up := Update{Revision: max(mk.revision, after), Relayed: true}
	up.Changes = newest(mk.history, after)
	return up, mk.changed, nil
}

// newest returns the newest change of each object after a revision, in order.
func newest(history []seen, after Revision) []Change {
	from := sort.Search(len(history), func(nr int) bool { return history[nr].revision > after })
	last := make(map[string]int, len(history)-from)
	for nr, sn := range history[from:] {
		last[sn.change.Object.Name] = from + nr
	}
	changes := make([]Change, 0, len(last))
	for nr, sn := range history[from:] {
		if last[sn.change.Object.Name] == from+nr {
			changes = append(changes, sn.change)
		}
	}
	return changes
}
