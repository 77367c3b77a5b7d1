package configchange

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// errNoChange reports that the keys already are as the edit requests.
var errNoChange = errors.New("no change")

// IssueKey adds an active key to the accepted configuration. If the team already has a key with this digest, nothing
// changes and the result has AlreadyInEffect set.
func (cl *Client) IssueKey(ctx context.Context, ch config.Change, ky config.Key) (*Result, error) {
	return cl.editKeys(ctx, ch, cl.validateManifest, func(_ *Snapshot) (config.KeyDigest, keyEdit, error) {
		return ky.Digest, func(keys []config.Key) ([]config.Key, error) {
			nr := slices.IndexFunc(keys, func(have config.Key) bool { return have.Digest == ky.Digest })
			switch {
			case nr < 0:
				return append(keys, ky), nil
			case keys[nr].Team != ky.Team:
				return nil, inputErrorf("key %s belongs to team %q", ky.Digest, keys[nr].Team)
			default:
				return nil, errNoChange
			}
		}, nil
	})
}

// WithdrawKey revokes the key whose digest begins with the digits. If the key is already revoked, nothing changes: the
// result has AlreadyInEffect set and the generation in which the key was found revoked.
func (cl *Client) WithdrawKey(ctx context.Context, ch config.Change, digits string) (*Result, error) {
	// Revoking a key cannot make a valid configuration invalid, and must not be delayed by reading the other parts.
	noCheck := func(context.Context, *config.Manifest) error { return nil }
	return cl.editKeys(ctx, ch, noCheck, func(sn *Snapshot) (config.KeyDigest, keyEdit, error) {
		ky, err := cl.findKey(ctx, sn, digits)
		if err != nil {
			return config.KeyDigest{}, nil, err
		}
		return ky.Digest, func(keys []config.Key) ([]config.Key, error) {
			nr := slices.IndexFunc(keys, func(have config.Key) bool { return have.Digest == ky.Digest })
			if nr < 0 {
				return nil, fmt.Errorf("key %s is not in part %q", ky.Digest, config.KeyPartName(ky.Digest))
			}
			if keys[nr].Revoked {
				return nil, errNoChange
			}
			keys[nr].Revoked = true
			return keys, nil
		}, nil
	})
}

// Keys returns the keys of a manifest with their digests, teams and states.
func (cl *Client) Keys(ctx context.Context, mf *config.Manifest) ([]config.Key, error) {
	var keys []config.Key
	contents := make(map[string][]byte)
	refs := keyPartRefs(mf)
	if err := cl.fetchParts(ctx, refs, contents); err != nil {
		return nil, err
	}
	for _, pr := range refs {
		some, err := config.ParseKeys(pr.Name, contents[pr.SHA256])
		if err != nil {
			return nil, err
		}
		keys = append(keys, some...)
	}
	return keys, nil
}

// findKey returns the only key whose digest begins with the digits, or an *InputError if there is none or more than
// one.
func (cl *Client) findKey(ctx context.Context, sn *Snapshot, digits string) (config.Key, error) {
	var found []config.Key
	if sn.Manifest != nil {
		keys, err := cl.Keys(ctx, sn.Manifest)
		if err != nil {
			return config.Key{}, err
		}
		for _, ky := range keys {
			if strings.HasPrefix(ky.Digest.String(), digits) {
				found = append(found, ky)
			}
		}
	}
	switch len(found) {
	case 0:
		return config.Key{}, inputErrorf("no key has a digest that begins with %q", digits)
	case 1:
		return found[0], nil
	default:
		return config.Key{}, inputErrorf("%d keys have digests that begin with %q; specify more digits", len(found), digits)
	}
}

// keyEdit returns the edited keys of a part, or errNoChange.
type keyEdit func(keys []config.Key) ([]config.Key, error)

// prepareFunc returns the digest of the key to edit and the edit to apply, given the base.
type prepareFunc func(base *Snapshot) (config.KeyDigest, keyEdit, error)

// checkFunc validates the configuration that results from an edit.
type checkFunc func(ctx context.Context, next *config.Manifest) error

// editKeys applies an edit of one key part to the accepted configuration. If another change is accepted first, it
// applies the edit again to the newer configuration.
func (cl *Client) editKeys(ctx context.Context, ch config.Change, check checkFunc, prepare prepareFunc) (*Result, error) {
	base, err := cl.readLatest(ctx)
	for err == nil {
		var rs *Result
		rs, err = cl.editKeysOnBase(ctx, ch, base, check, prepare)
		if err == nil {
			return rs, nil
		}
		var mv *outdatedBaseError
		if !errors.As(err, &mv) {
			break
		}
		base, err = mv.current, nil
	}
	return nil, err
}

// editKeysOnBase applies the edit to the base and commits the result.
func (cl *Client) editKeysOnBase(ctx context.Context, ch config.Change, base *Snapshot, check checkFunc, prepare prepareFunc,
) (*Result, error) {
	if base.Manifest == nil {
		return nil, inputErrorf("no configuration has been accepted yet")
	}
	digest, edit, err := prepare(base)
	if err != nil {
		return nil, err
	}
	name, content, err := cl.editKeyPart(ctx, base.Manifest, digest, edit)
	if errors.Is(err, errNoChange) {
		return &Result{OperationID: ch.OperationID, Generation: base.Manifest.Generation, AlreadyInEffect: true}, nil
	}
	if err != nil {
		return nil, err
	}
	refs := slices.DeleteFunc(slices.Clone(base.Manifest.Parts), func(pr config.PartRef) bool { return pr.Name == name })
	next := base.Manifest.Next(ch, append(refs, config.NewPartRef(name, content)))
	if err := cl.createImmutable(ctx, config.PartKey(config.NewPartRef(name, content).SHA256), content); err != nil {
		return nil, err
	}
	if err := check(ctx, next); err != nil {
		return nil, err
	}
	return cl.commit(ctx, base, next)
}

// editKeyPart applies the edit to the part that holds the digest. It returns the name and the new content of the part.
func (cl *Client) editKeyPart(ctx context.Context, mf *config.Manifest, digest config.KeyDigest, edit keyEdit) (string, []byte, error) {
	name := config.KeyPartName(digest)
	var keys []config.Key
	if pr, ok := mf.Part(name); ok {
		contents := make(map[string][]byte)
		if err := cl.fetchParts(ctx, []config.PartRef{pr}, contents); err != nil {
			return "", nil, err
		}
		var err error
		if keys, err = config.ParseKeys(name, contents[pr.SHA256]); err != nil {
			return "", nil, err
		}
	}
	keys, err := edit(keys)
	if err != nil {
		return "", nil, err
	}
	content := config.EncodeKeys(keys)
	if len(content) >= config.MaxPartBytes {
		return "", nil, inputErrorf("part %q would have %d bytes, it must stay below %d", name, len(content), config.MaxPartBytes)
	}
	return name, content, nil
}

// validateManifest validates the whole configuration that results from an edit.
func (cl *Client) validateManifest(ctx context.Context, next *config.Manifest) error {
	_, err := cl.Load(ctx, next)
	var es config.Errors
	if errors.As(err, &es) {
		return &InputError{Message: es.Error()}
	}
	return err
}

// TeamKeys returns the keys of a team, or all keys if team is empty.
func TeamKeys(keys []config.Key, team id.Team) []config.Key {
	if team == "" {
		return keys
	}
	return slices.DeleteFunc(slices.Clone(keys), func(ky config.Key) bool { return ky.Team != team })
}
