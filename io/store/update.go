package store

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxUpdateAttempts limits the attempts of one Update. With the pauses between them, they take about 10 s.
	maxUpdateAttempts = 16

	minUpdatePause = 20 * time.Millisecond
	maxUpdatePause = time.Second
)

// Update reads an object, computes its next value with change, and writes it on the condition that the object was not
// written in between. It returns the object after the update.
//
// change gets nil if the object does not exist. If it returns nil or an equal value, nothing is written, and the
// returned object may be stale. change is called again after a conflict, so it must have no side effects.
//
// If the effect of a write is unknown, Update reads the object again. If it still has the expected version, Update
// sends the same write again. At most one of the two writes takes effect, because both expect that version. If the
// object has the written value, the write took effect. Otherwise another writer was faster or has replaced the value
// since. Update cannot tell these cases apart and calls change with the value that it read. Therefore:
//
//   - If it matters who wrote a value, the value must differ from the values of all other writers, for example by
//     containing the name and incarnation of the writer. Otherwise two writers of equal bytes may both see success.
//   - change must return its argument if the argument already contains the change. That may be the effect of an
//     earlier call of the same Update. A caller that draws conclusions from the calls of change, for example that it
//     took something over, must keep them from all calls and not only from the last one. The same applies after an
//     error of kind Unknown.
//   - An object that is updated in this way must not be deleted: a delayed write could create it again.
//
// The error has kind Unknown if Update could not find out whether the last write took effect, and kind Conflict if
// other writers were faster in every attempt. Other errors mean that nothing was written. Errors of change are
// returned unchanged.
func Update(
	ctx context.Context, st Store, key string, change func(old []byte) ([]byte, error),
) (Object, error) {
	up := &update{st: st, key: key, change: change}
	pause := minUpdatePause
	for range maxUpdateAttempts {
		obj, done, err := up.attempt(ctx)
		if done {
			return obj, err
		}
		up.last = err
		wait := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return Object{}, up.fail()
		}
		pause = min(2*pause, maxUpdatePause)
	}
	return Object{}, up.fail()
}

// update is the state of one call of Update.
type update struct {
	st     Store
	key    string
	change func(old []byte) ([]byte, error)

	outcomeUnknown bool    // it is unknown whether the last write took effect
	value          []byte  // value of the last write
	expected       Version // version that the last write expected
	last           error   // error of the last attempt
}

// fail returns the error of an update that ran out of attempts or time.
func (up *update) fail() error {
	if up.outcomeUnknown {
		return &Error{Kind: Unknown, Op: "update", Key: up.key, Err: up.last}
	}
	return up.last
}

// attempt reads the object and writes it at most once. It returns true if the update has ended.
func (up *update) attempt(ctx context.Context) (Object, bool, error) {
	obj, err := up.st.Get(ctx, up.key)
	switch {
	case IsKind(err, NotFound):
		obj = Object{Key: up.key}
	case err != nil:
		return Object{}, up.isFinal(err), err
	}
	if up.outcomeUnknown {
		switch {
		case obj.Version < up.expected:
			return Object{}, false, errors.Errorf("read of %q is stale", up.key)
		case obj.Version > up.expected && bytes.Equal(obj.Value, up.value):
			return obj, true, nil
		case obj.Version > up.expected:
			up.outcomeUnknown = false
		}
	}
	if !up.outcomeUnknown {
		next, err := up.change(obj.Value)
		if err != nil {
			return Object{}, true, err
		}
		if next == nil || obj.Version != 0 && bytes.Equal(next, obj.Value) {
			return obj, true, nil
		}
		up.value, up.expected = next, obj.Version
	}
	return up.write(ctx)
}

// write writes the value. It returns true if the update has ended.
func (up *update) write(ctx context.Context) (Object, bool, error) {
	vs, err := up.st.Put(ctx, up.key, up.value, up.expected)
	if err == nil {
		return Object{Key: up.key, Version: vs, Value: up.value}, true, nil
	}
	if IsKind(err, Unknown) {
		up.outcomeUnknown = true
	}
	return Object{}, up.isFinal(err), err
}

// isFinal reports whether an error ends the update. No error does while it is unknown whether a write took effect.
func (up *update) isFinal(err error) bool {
	return !up.outcomeUnknown && !IsKind(err, Conflict) && !IsKind(err, RateLimited)
}
