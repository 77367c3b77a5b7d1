package configchange

import (
	"context"
	"errors"
	"fmt"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/io/store"
)

// Result describes an operation that took effect.
type Result struct {
	OperationID id.Operation
	Generation  id.Generation
	// AlreadyInEffect reports that the operation had taken effect before this call.
	AlreadyInEffect bool
}

// outdatedBaseError reports that the manifest has changed since the base of an operation, and that the operation did
// not take effect on that base.
type outdatedBaseError struct{ current *Snapshot }

func (*outdatedBaseError) Error() string { return "the configuration has changed" }

// commit replaces the manifest of the base with next. It returns an *outdatedBaseError if the base is outdated, and an
// *UnknownError if it cannot find out whether the update took effect.
//
// An attempt without a response may take effect after the next attempt was sent. Both have the same condition, so at
// most one of them succeeds, and none succeeds once the manifest has another version.
func (cl *Client) commit(ctx context.Context, base *Snapshot, next *config.Manifest) (*Result, error) {
	body := next.Encode()
	// A manifest that the daemons refuse cannot be withdrawn and would keep them from getting any later manifest.
	if _, err := config.ParseManifest(body); err != nil {
		return nil, err
	}
	sent := false // an attempt may have taken effect
	for attempt := 0; ; attempt++ {
		_, err := cl.st.Put(ctx, config.ManifestKey, body, base.Version)
		if err == nil {
			cl.announce(ctx, body)
			return &Result{OperationID: next.OperationID, Generation: next.Generation}, nil
		}
		var er *store.Error
		if errors.As(err, &er) && er.Kind == store.Conflict {
			return cl.findOutcome(ctx, base, next, max(er.Version, base.Version+1))
		}
		sent = sent || kindOf(err) == store.Unknown
		if !temporary(kindOf(err)) {
			return nil, err
		}
		if sent {
			if rs, err, done := cl.readBack(ctx, base, next); done {
				return rs, err
			}
		}
		if !waitBeforeRetry(ctx, attempt) {
			return nil, retriesExhausted(next.OperationID, sent, err)
		}
	}
}

// retriesExhausted returns the error of a commit that ran out of time. sent reports whether an attempt may have taken
// effect.
func retriesExhausted(op id.Operation, sent bool, err error) error {
	if sent {
		return &UnknownError{OperationID: op, Err: err}
	}
	return &UnreachableError{Action: "update " + config.ManifestKey, Err: err}
}

// readBack reads the manifest once to find out whether an attempt without a response took effect. An unchanged version
// proves nothing, because the attempt may still arrive and the read may be stale. It returns false if the outcome
// remains open.
func (cl *Client) readBack(ctx context.Context, base *Snapshot, next *config.Manifest) (*Result, error, bool) {
	obj, err := cl.st.Get(ctx, config.ManifestKey)
	if err != nil || obj.Version <= base.Version {
		return nil, nil, false
	}
	rs, err := cl.findOutcome(ctx, base, next, obj.Version)
	return rs, err, true
}

// findOutcome decides whether the operation took effect from the history at the given version or a later one. The
// version must be higher than that of the base.
func (cl *Client) findOutcome(ctx context.Context, base *Snapshot, next *config.Manifest, version store.Version) (*Result, error) {
	sn, err := cl.readAtLeast(ctx, version)
	if err != nil {
		return nil, &UnknownError{OperationID: next.OperationID, Err: err}
	}
	if sn.Manifest == nil {
		return nil, &UnknownError{OperationID: next.OperationID, Err: errors.New("the manifest was deleted from the store")}
	}
	if he, ok := sn.Manifest.FindOperation(next.OperationID); ok {
		cl.announce(ctx, sn.Manifest.Encode())
		return &Result{OperationID: he.OperationID, Generation: he.Generation}, nil
	}
	if !sn.Manifest.HistoryCovers(base.generation()) {
		return nil, &UnknownError{OperationID: next.OperationID, Err: fmt.Errorf(
			"the history lists no generation before %d, but the operation is based on generation %d",
			sn.Manifest.History[0].Generation, base.generation())}
	}
	return nil, &outdatedBaseError{current: sn}
}
