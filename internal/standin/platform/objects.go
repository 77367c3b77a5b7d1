package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damasklatch/io/store"
)

// objectState is one version of an object. A deletion is a version too.
type objectState struct {
	version store.Version
	at      time.Time
	value   []byte
	deleted bool
}

// pendingWrite is a write that takes effect at a set time, even if its caller has stopped waiting by then.
type pendingWrite struct {
	op       Op
	key      string
	value    []byte
	expected store.Version
	at       time.Time

	version store.Version // result: the new version, zero if the write failed
	err     *store.Error  // result: why the write failed, nil if it succeeded
}

// objects holds the current and earlier states of all objects, and the writes that have not taken effect yet.
type objects struct {
	revision store.Version
	states   map[string][]objectState // oldest first
	pending  []*pendingWrite          // ordered by time of effect
}

// enqueue adds a write, which takes effect when applyDue is called at or after its time.
func (ob *objects) enqueue(wr *pendingWrite) {
	at := len(ob.pending)
	for at > 0 && ob.pending[at-1].at.After(wr.at) {
		at--
	}
	ob.pending = slices.Insert(ob.pending, at, wr)
}

// applyDue applies the writes whose time has come and reports whether an object changed.
func (ob *objects) applyDue(now time.Time) bool {
	before := ob.revision
	for len(ob.pending) > 0 && !ob.pending[0].at.After(now) {
		wr := ob.pending[0]
		ob.pending = ob.pending[1:]
		ob.apply(wr)
	}
	return ob.revision != before
}

// apply checks the condition of a write against the current version of the object, then stores the new state or sets
// the error of the write.
func (ob *objects) apply(wr *pendingWrite) {
	var current store.Version
	if sta, ok := ob.stateAt(wr.key, wr.at); ok && !sta.deleted {
		current = sta.version
	}
	switch {
	case wr.op == OpDelete && current == 0:
		wr.err = &store.Error{Kind: store.NotFound}
		return
	case current != wr.expected:
		wr.err = &store.Error{Kind: store.Conflict, Version: current}
		return
	}
	ob.revision++
	wr.version = ob.revision
	sta := objectState{version: ob.revision, at: wr.at, value: wr.value, deleted: wr.op == OpDelete}
	ob.states[wr.key] = append(ob.trimHistory(ob.states[wr.key], wr.at), sta)
}

// trimHistory drops the states that are too old for any stale read.
func (ob *objects) trimHistory(stas []objectState, now time.Time) []objectState {
	oldest := now.Add(-MaxStale)
	for len(stas) > 1 && stas[1].at.Before(oldest) {
		stas = stas[1:]
	}
	return stas
}

// stateAt returns the state that an object had at a time, and false if it had none.
func (ob *objects) stateAt(key string, at time.Time) (objectState, bool) {
	stas := ob.states[key]
	for nr := len(stas) - 1; nr >= 0; nr-- {
		if !stas[nr].at.After(at) {
			return stas[nr], true
		}
	}
	return objectState{}, false
}

// withPrefix returns the keys with a prefix, ordered, the states of these objects at a time, including deletions,
// and the revision of the store at that time.
func (ob *objects) withPrefix(prefix string, at time.Time) ([]string, []objectState, store.Version) {
	var keys []string
	var stas []objectState
	var revision store.Version
	for _, key := range slices.Sorted(maps.Keys(ob.states)) {
		sta, ok := ob.stateAt(key, at)
		if !ok {
			continue
		}
		revision = max(revision, sta.version)
		if strings.HasPrefix(key, prefix) {
			keys, stas = append(keys, key), append(stas, sta)
		}
	}
	return keys, stas, revision
}

// nextVisibleChange returns the earliest time after now at which a watch could see a change without a further call,
// because a pending write takes effect or a change reaches the age lag. The watch sees the state that the store had
// lag ago. The zero time means that no change is due.
func (ob *objects) nextVisibleChange(now time.Time, lag time.Duration) time.Time {
	var next time.Time
	earliest := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, wr := range ob.pending {
		earliest(wr.at)
		earliest(wr.at.Add(lag))
	}
	if lag == 0 {
		return next
	}
	for _, stas := range ob.states {
		for _, sta := range stas {
			earliest(sta.at.Add(lag))
		}
	}
	return next
}
