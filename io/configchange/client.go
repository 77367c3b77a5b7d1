package configchange

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/io/store"
)

// Delays between attempts while the store fails. The maximum is well below the 2 s in which a change must be in force
// everywhere.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Client changes the configuration on behalf of one operator. It is safe for concurrent use. Methods retry until their
// context ends, so the context needs a deadline.
type Client struct {
	st       store.Store
	announce func(ctx context.Context, manifest []byte)
}

// Options configures a Client. Store is required.
type Options struct {
	Store store.Store
	// Announce is called with every manifest that an operation of this client put into effect, also when a call finds
	// that the operation had taken effect before. It may be nil.
	Announce func(ctx context.Context, manifest []byte)
}

// New returns a client of the store in the options.
func New(op Options) *Client {
	cl := &Client{st: op.Store, announce: op.Announce}
	if cl.announce == nil {
		cl.announce = func(context.Context, []byte) {}
	}
	return cl
}

// operationIDBytes is the number of random bytes of an operation id.
const operationIDBytes = 16

// NewOperationID returns a new operation id from random bytes that it reads from rd.
func NewOperationID(rd io.Reader) (id.Operation, error) {
	var src [operationIDBytes]byte
	if _, err := io.ReadFull(rd, src[:]); err != nil {
		return "", fmt.Errorf("read random bytes for an operation id: %w", err)
	}
	return id.Operation(hex.EncodeToString(src[:])), nil
}

// validOperationID reports whether an operation id has the form that NewOperationID returns, so that it can be part of a
// store key.
func validOperationID(op id.Operation) bool {
	src, err := hex.DecodeString(string(op))
	return err == nil && len(src) == operationIDBytes
}

// Snapshot is a manifest as read from the store. If no configuration was accepted yet, Version is zero and Manifest is
// nil.
type Snapshot struct {
	Version  store.Version
	Manifest *config.Manifest
}

// generation returns the generation of the manifest, or zero without one.
func (sn *Snapshot) generation() id.Generation {
	if sn.Manifest == nil {
		return 0
	}
	return sn.Manifest.Generation
}

// kindOf returns the kind of a store error, Invalid for any other error, and the empty kind for nil. An
// UnreachableError is an "other error", even if it wraps a store error.
func kindOf(err error) store.Kind {
	if err == nil {
		return ""
	}
	var ur *UnreachableError
	var er *store.Error
	if !errors.As(err, &ur) && errors.As(err, &er) {
		return er.Kind
	}
	return store.Invalid
}

// temporary reports whether a call that failed with this kind of error may succeed later.
func temporary(kind store.Kind) bool {
	switch kind {
	case store.RateLimited, store.Unavailable, store.Timeout, store.Unknown:
		return true
	default:
		return false
	}
}

// waitBeforeRetry waits before the next attempt. It returns false if the context ends.
func waitBeforeRetry(ctx context.Context, attempt int) bool {
	tm := time.NewTimer(min(minRetryDelay<<min(attempt, 10), maxRetryDelay))
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// get reads an object and retries temporary errors. If the object does not exist, the error has kind NotFound.
func (cl *Client) get(ctx context.Context, key string) (store.Object, error) {
	for attempt := 0; ; attempt++ {
		obj, err := cl.st.Get(ctx, key)
		if err == nil || !temporary(kindOf(err)) {
			return obj, err
		}
		if !waitBeforeRetry(ctx, attempt) {
			return obj, &UnreachableError{Action: "read " + key, Err: err}
		}
	}
}

// Current returns the accepted manifest. A stale read of the store may return an earlier one.
func (cl *Client) Current(ctx context.Context) (*Snapshot, error) {
	obj, err := cl.get(ctx, config.ManifestKey)
	if kindOf(err) == store.NotFound {
		return new(Snapshot), nil
	}
	if err != nil {
		return nil, err
	}
	mf, err := config.ParseManifest(obj.Value)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Version: obj.Version, Manifest: mf}, nil
}

// readAtLeast reads the manifest until the store returns the given version or a later one.
func (cl *Client) readAtLeast(ctx context.Context, version store.Version) (*Snapshot, error) {
	for attempt := 0; ; attempt++ {
		sn, err := cl.Current(ctx)
		if err != nil {
			return nil, err
		}
		if sn.Version >= version {
			return sn, nil
		}
		if !waitBeforeRetry(ctx, attempt) {
			return nil, &UnreachableError{Action: "read " + config.ManifestKey,
				Err: fmt.Errorf("the store returned version %d although version %d exists", sn.Version, version)}
		}
	}
}

// nonexistentVersion is a version that no object has: versions are store-wide revisions that start at 1.
const nonexistentVersion store.Version = math.MaxInt64

// currentVersion returns the version of an object, or zero if the object does not exist. Reads may be stale, but
// conditional updates are not: an update that expects nonexistentVersion fails and returns the current version.
func (cl *Client) currentVersion(ctx context.Context, key string) (store.Version, error) {
	for attempt := 0; ; attempt++ {
		_, err := cl.st.Put(ctx, key, nil, nonexistentVersion)
		var er *store.Error
		switch {
		case err == nil:
			return 0, fmt.Errorf("the store ignored the condition of an update of %s", key)
		case errors.As(err, &er) && er.Kind == store.Conflict:
			return er.Version, nil
		case kindOf(err) == store.NotFound:
			return 0, nil
		case !temporary(kindOf(err)):
			return 0, err
		case !waitBeforeRetry(ctx, attempt):
			return 0, &UnreachableError{Action: "find the version of " + key, Err: err}
		}
	}
}

// readLatest returns a manifest that was the accepted one at some time after the call began.
func (cl *Client) readLatest(ctx context.Context) (*Snapshot, error) {
	version, err := cl.currentVersion(ctx, config.ManifestKey)
	if err != nil || version == 0 {
		return new(Snapshot), err
	}
	return cl.readAtLeast(ctx, version)
}

// getImmutable reads an object that never changes. It returns an error of kind NotFound only if a conditional update
// confirms that the object does not exist, because the read may be stale.
func (cl *Client) getImmutable(ctx context.Context, key string) (store.Object, error) {
	obj, err := cl.get(ctx, key)
	if kindOf(err) != store.NotFound {
		return obj, err
	}
	version, probeErr := cl.currentVersion(ctx, key)
	if probeErr != nil {
		return obj, probeErr
	}
	for attempt := 0; version != 0; attempt++ {
		if obj, err = cl.get(ctx, key); kindOf(err) != store.NotFound {
			return obj, err
		}
		if !waitBeforeRetry(ctx, attempt) {
			return obj, &UnreachableError{Action: "read " + key, Err: err}
		}
	}
	return obj, err
}

// Load reads the parts of a manifest and builds the effective configuration.
func (cl *Client) Load(ctx context.Context, mf *config.Manifest) (*config.Effective, error) {
	parts := make(map[string][]byte)
	if err := cl.fetchParts(ctx, mf.Parts, parts); err != nil {
		return nil, err
	}
	return config.Build(mf, parts)
}

// fetchParts reads the parts that the map lacks and adds their contents to it by SHA-256.
func (cl *Client) fetchParts(ctx context.Context, refs []config.PartRef, into map[string][]byte) error {
	for _, pr := range refs {
		if _, ok := into[pr.SHA256]; ok {
			continue
		}
		obj, err := cl.getImmutable(ctx, config.PartKey(pr.SHA256))
		if err != nil {
			return err
		}
		into[pr.SHA256] = obj.Value
	}
	return nil
}

// createImmutable writes an object that never changes. It also succeeds if the object already exists.
func (cl *Client) createImmutable(ctx context.Context, key string, value []byte) error {
	for attempt := 0; ; attempt++ {
		_, err := cl.st.Put(ctx, key, value, 0)
		kind := kindOf(err)
		if err == nil || kind == store.Conflict {
			return nil
		}
		if !temporary(kind) {
			return err
		}
		if !waitBeforeRetry(ctx, attempt) {
			return &UnreachableError{Action: "write " + key, Err: err}
		}
	}
}
