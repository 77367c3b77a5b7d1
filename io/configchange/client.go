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

// Pauses between attempts while the store fails. The longest is short against the 2 s in which a change is to be in
// force everywhere.
const (
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Client changes the configuration for one operator. It is safe for concurrent use. Every method retries until its
// context ends, so the context needs a deadline.
type Client struct {
	st       store.Store
	announce func(ctx context.Context, manifest []byte)
}

// Options are the parts of a client.
type Options struct {
	Store store.Store
	// Announce is called with every manifest that an operation of this client brought into effect. It may be nil.
	Announce func(ctx context.Context, manifest []byte)
}

// New returns a client.
func New(op Options) *Client {
	cl := &Client{st: op.Store, announce: op.Announce}
	if cl.announce == nil {
		cl.announce = func(context.Context, []byte) {}
	}
	return cl
}

// operationBytes is the number of random bytes of an operation id.
const operationBytes = 16

// NewOperationID returns a new id made from the random bytes of rd.
func NewOperationID(rd io.Reader) (id.Operation, error) {
	var src [operationBytes]byte
	if _, err := io.ReadFull(rd, src[:]); err != nil {
		return "", fmt.Errorf("random bytes for an operation id: %w", err)
	}
	return id.Operation(hex.EncodeToString(src[:])), nil
}

// validOperation reports whether an operation id may be an element of a store key.
func validOperation(op id.Operation) bool {
	src, err := hex.DecodeString(string(op))
	return err == nil && len(src) == operationBytes
}

// Snapshot is a manifest as the store returned it. Without an accepted configuration Version is zero and Manifest
// is nil.
type Snapshot struct {
	Version  store.Version
	Manifest *config.Manifest
}

func (sn *Snapshot) generation() id.Generation {
	if sn.Manifest == nil {
		return 0
	}
	return sn.Manifest.Generation
}

// kindOf returns the kind of a store error, Invalid for any other error, and an empty kind without an error. An
// UnreachableError is another error, whatever the kind of its cause.
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

// temporary reports whether a call with this kind of error may succeed later.
func temporary(kind store.Kind) bool {
	switch kind {
	case store.RateLimited, store.Unavailable, store.Timeout, store.Unknown:
		return true
	default:
		return false
	}
}

// pause waits before the next attempt. It returns false when the context ends.
func pause(ctx context.Context, attempt int) bool {
	tm := time.NewTimer(min(firstPause<<min(attempt, 10), longestPause))
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// get reads an object and retries temporary errors. A missing object is an error of kind NotFound.
func (cl *Client) get(ctx context.Context, key string) (store.Object, error) {
	for attempt := 0; ; attempt++ {
		obj, err := cl.st.Get(ctx, key)
		if err == nil || !temporary(kindOf(err)) {
			return obj, err
		}
		if !pause(ctx, attempt) {
			return obj, &UnreachableError{Action: "read " + key, Err: err}
		}
	}
}

// Current returns the accepted manifest. The store may return an earlier one.
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

// atLeast reads the manifest until the store returns the version or a later one.
func (cl *Client) atLeast(ctx context.Context, version store.Version) (*Snapshot, error) {
	for attempt := 0; ; attempt++ {
		sn, err := cl.Current(ctx)
		if err != nil {
			return nil, err
		}
		if sn.Version >= version {
			return sn, nil
		}
		if !pause(ctx, attempt) {
			return nil, &UnreachableError{Action: "read " + config.ManifestKey,
				Err: fmt.Errorf("the store returns version %d, version %d exists", sn.Version, version)}
		}
	}
}

// neverVersion is a version that no object has: versions are store-wide revisions and count from 1.
const neverVersion store.Version = math.MaxInt64

// version returns the version of an object, zero if it does not exist. Reads may be stale, conditional updates are
// not: an update that expects neverVersion fails and tells the version.
func (cl *Client) version(ctx context.Context, key string) (store.Version, error) {
	for attempt := 0; ; attempt++ {
		_, err := cl.st.Put(ctx, key, nil, neverVersion)
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
		case !pause(ctx, attempt):
			return 0, &UnreachableError{Action: "find the version of " + key, Err: err}
		}
	}
}

// fresh returns a manifest that was the accepted one at some moment after the call began.
func (cl *Client) fresh(ctx context.Context) (*Snapshot, error) {
	version, err := cl.version(ctx, config.ManifestKey)
	if err != nil || version == 0 {
		return new(Snapshot), err
	}
	return cl.atLeast(ctx, version)
}

// existing reads an object that never changes. It is missing only if a conditional update agrees with the read.
func (cl *Client) existing(ctx context.Context, key string) (store.Object, error) {
	obj, err := cl.get(ctx, key)
	if kindOf(err) != store.NotFound {
		return obj, err
	}
	version, probeErr := cl.version(ctx, key)
	if probeErr != nil {
		return obj, probeErr
	}
	for attempt := 0; version != 0; attempt++ {
		if obj, err = cl.get(ctx, key); kindOf(err) != store.NotFound {
			return obj, err
		}
		if !pause(ctx, attempt) {
			return obj, &UnreachableError{Action: "read " + key, Err: err}
		}
	}
	return obj, err
}

// Load reads the parts of a manifest and builds its configuration.
func (cl *Client) Load(ctx context.Context, mf *config.Manifest) (*config.Effective, error) {
	parts := make(map[string][]byte)
	if err := cl.fetch(ctx, mf.Parts, parts); err != nil {
		return nil, err
	}
	return config.Build(mf, parts)
}

// fetch adds the contents of parts to the map by SHA-256.
func (cl *Client) fetch(ctx context.Context, refs []config.PartRef, into map[string][]byte) error {
	for _, pr := range refs {
		if _, ok := into[pr.SHA256]; ok {
			continue
		}
		obj, err := cl.existing(ctx, config.PartKey(pr.SHA256))
		if err != nil {
			return err
		}
		into[pr.SHA256] = obj.Value
	}
	return nil
}

// create writes an object that never changes. It succeeds also if the object exists already.
func (cl *Client) create(ctx context.Context, key string, value []byte) error {
	for attempt := 0; ; attempt++ {
		_, err := cl.st.Put(ctx, key, value, 0)
		kind := kindOf(err)
		if err == nil || kind == store.Conflict {
			return nil
		}
		if !temporary(kind) {
			return err
		}
		if !pause(ctx, attempt) {
			return &UnreachableError{Action: "write " + key, Err: err}
		}
	}
}
