package accept

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// errNoChange tells that the keys are already as the edit wants them.
var errNoChange = errors.New("no change")

// IssueKey adds an active key.
func (cl *Client) IssueKey(ctx context.Context, ch config.Change, ky config.Key) (*Result, error) {
	return cl.editKeys(ctx, ch, cl.checkNext, func(_ *Snapshot) (config.KeyDigest, keyEdit, error) {
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

// WithdrawKey revokes the key whose digest begins with the digits. A key that is revoked already gives a result of
// the generation in which it was seen so, with Earlier set.
func (cl *Client) WithdrawKey(ctx context.Context, ch config.Change, digits string) (*Result, error) {
	// Revoking a key cannot make a valid configuration invalid, and must not wait for the other parts to be read.
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

// Keys returns the keys of a manifest, with their digests.
func (cl *Client) Keys(ctx context.Context, mf *config.Manifest) ([]config.Key, error) {
	var keys []config.Key
	contents := make(map[string][]byte)
	refs := keyParts(mf)
	if err := cl.fetch(ctx, refs, contents); err != nil {
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

// findKey returns the only key whose digest begins with the digits.
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
		return config.Key{}, inputErrorf("%d keys have digests that begin with %q; give more digits", len(found), digits)
	}
}

// keyEdit returns the changed keys of a part, or errNoChange.
type keyEdit func(keys []config.Key) ([]config.Key, error)

// prepareFunc returns the key that is edited and the edit, for a base.
type prepareFunc func(base *Snapshot) (config.KeyDigest, keyEdit, error)

// checkFunc validates the configuration that an edit would give.
type checkFunc func(ctx context.Context, next *config.Manifest) error

// editKeys applies an edit of one part to the accepted configuration, and applies it again to a newer configuration
// as often as another change is accepted first.
func (cl *Client) editKeys(ctx context.Context, ch config.Change, check checkFunc, prepare prepareFunc) (*Result, error) {
	base, err := cl.fresh(ctx)
	for err == nil {
		var rs *Result
		rs, err = cl.editOn(ctx, ch, base, check, prepare)
		if err == nil {
			return rs, nil
		}
		var mv *moved
		if !errors.As(err, &mv) {
			break
		}
		base, err = mv.now, nil
	}
	return nil, err
}

func (cl *Client) editOn(ctx context.Context, ch config.Change, base *Snapshot, check checkFunc, prepare prepareFunc,
) (*Result, error) {
	if base.Manifest == nil {
		return nil, inputErrorf("no configuration has been accepted yet")
	}
	digest, edit, err := prepare(base)
	if err != nil {
		return nil, err
	}
	name, content, err := cl.editPart(ctx, base.Manifest, digest, edit)
	if errors.Is(err, errNoChange) {
		return &Result{OperationID: ch.OperationID, Generation: base.Manifest.Generation, Earlier: true}, nil
	}
	if err != nil {
		return nil, err
	}
	refs := slices.DeleteFunc(slices.Clone(base.Manifest.Parts), func(pr config.PartRef) bool { return pr.Name == name })
	next := base.Manifest.Next(ch, append(refs, config.NewPartRef(name, content)))
	if err := cl.create(ctx, config.PartKey(config.NewPartRef(name, content).SHA256), content); err != nil {
		return nil, err
	}
	if err := check(ctx, next); err != nil {
		return nil, err
	}
	return cl.commit(ctx, base, next)
}

// editPart applies the edit to the part that holds the digest.
func (cl *Client) editPart(ctx context.Context, mf *config.Manifest, digest config.KeyDigest, edit keyEdit) (string, []byte, error) {
	name := config.KeyPartName(digest)
	var keys []config.Key
	if pr, ok := mf.Part(name); ok {
		contents := make(map[string][]byte)
		if err := cl.fetch(ctx, []config.PartRef{pr}, contents); err != nil {
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

// checkNext validates the whole configuration that an edit would give.
func (cl *Client) checkNext(ctx context.Context, next *config.Manifest) error {
	_, err := cl.Load(ctx, next)
	var es config.Errors
	if errors.As(err, &es) {
		return &InputError{Message: es.Error()}
	}
	return err
}

// TeamKeys returns the keys of a team, or of all teams if the name is empty.
func TeamKeys(keys []config.Key, team id.Team) []config.Key {
	if team == "" {
		return keys
	}
	return slices.DeleteFunc(slices.Clone(keys), func(ky config.Key) bool { return ky.Team != team })
}
