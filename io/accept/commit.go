package accept

import (
	"context"
	"errors"
	"fmt"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/io/store"
)

// Result is the outcome of an operation that took effect.
type Result struct {
	OperationID id.Operation
	Generation  id.Generation
	// Earlier is set if the operation had taken effect before this call.
	Earlier bool
}

// moved reports that the manifest has another version than the operation is based on, and that the operation did not
// take effect with this base.
type moved struct{ now *Snapshot }

func (*moved) Error() string { return "the configuration has changed" }

// commit replaces the manifest of the base with next. It returns a *moved error if the base is outdated, and an
// UnknownError if neither success nor failure can be established.
//
// An attempt without an answer may take effect later than the next attempt. Both carry the same condition, so at
// most one of them succeeds, and none succeeds once the version has moved.
func (cl *Client) commit(ctx context.Context, base *Snapshot, next *config.Manifest) (*Result, error) {
	body := next.Encode()
	// A manifest that the daemons refuse would keep every later one from them, as it cannot be taken back.
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
			return cl.settle(ctx, base, next, max(er.Version, base.Version+1))
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
		if !pause(ctx, attempt) {
			return nil, giveUp(next.OperationID, sent, err)
		}
	}
}

func giveUp(op id.Operation, sent bool, err error) error {
	if sent {
		return &UnknownError{OperationID: op, Err: err}
	}
	return &UnreachableError{Doing: "update " + config.ManifestKey, Err: err}
}

// readBack looks once for the effect of an attempt without an answer. A version that has not moved proves nothing,
// since the attempt may still be on its way and the read may be stale.
func (cl *Client) readBack(ctx context.Context, base *Snapshot, next *config.Manifest) (*Result, error, bool) {
	obj, err := cl.st.Get(ctx, config.ManifestKey)
	if err != nil || obj.Version <= base.Version {
		return nil, nil, false
	}
	rs, err := cl.settle(ctx, base, next, obj.Version)
	return rs, err, true
}

// settle decides whether the operation is part of the history at the version, which is later than its base.
func (cl *Client) settle(ctx context.Context, base *Snapshot, next *config.Manifest, version store.Version) (*Result, error) {
	sn, err := cl.atLeast(ctx, version)
	if err != nil {
		return nil, &UnknownError{OperationID: next.OperationID, Err: err}
	}
	if sn.Manifest == nil {
		return nil, &UnknownError{OperationID: next.OperationID, Err: errors.New("the manifest has been removed")}
	}
	if he, ok := sn.Manifest.FindOperation(next.OperationID); ok {
		cl.announce(ctx, sn.Manifest.Encode())
		return &Result{OperationID: he.OperationID, Generation: he.Generation}, nil
	}
	if !sn.Manifest.HistoryCovers(base.generation()) {
		return nil, &UnknownError{OperationID: next.OperationID, Err: fmt.Errorf(
			"the history begins with generation %d, the operation is based on generation %d",
			sn.Manifest.History[0].Generation, base.generation())}
	}
	return nil, &moved{now: sn}
}
