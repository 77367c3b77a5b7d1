package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// Errors of Check. Both mean that the caller is not recognized.
var (
	ErrNoKey      = errors.New("no key")
	ErrUnknownKey = errors.New("unknown key")
)

// Prefix begins every key, so that keys are easy to find in texts where they do not belong.
const Prefix = "dlk_"

// secretLength is the number of random bytes of a key.
const secretLength = 32

// Ring holds the active keys of a configuration. It is immutable.
type Ring struct {
	teams map[config.KeyDigest]entry
}

// entry repeats the digest, so that Check can compare it in constant time after the look-up.
type entry struct {
	digest config.KeyDigest
	team   id.Team
}

// New returns a ring of the keys that are not revoked.
func New(keys []config.Key) *Ring {
	rg := &Ring{teams: make(map[config.KeyDigest]entry, len(keys))}
	for _, ky := range keys {
		if !ky.Revoked {
			rg.teams[ky.Digest] = entry{ky.Digest, ky.Team}
		}
	}
	return rg
}

// Check returns the team of a key, ErrNoKey for an empty key, or ErrUnknownKey for a key that was never issued or
// is revoked.
//
// The map is searched by digest. Its time depends on the digest of what the caller sent, from which nothing about
// the digest of an issued key can be learned without inverting SHA-256. The final comparison takes constant time.
func (rg *Ring) Check(key string) (id.Team, error) {
	if key == "" {
		return "", ErrNoKey
	}
	if rg == nil {
		return "", ErrUnknownKey
	}
	digest := Digest(key)
	en, ok := rg.teams[digest]
	if subtle.ConstantTimeCompare(en.digest[:], digest[:]) != 1 || !ok {
		return "", ErrUnknownKey
	}
	return en.team, nil
}

// Len returns the number of active keys.
func (rg *Ring) Len() int { return len(rg.teams) }

// Digest returns the digest under which a key is stored.
func Digest(key string) config.KeyDigest {
	// The buffer holds every key of the right form, so that a check allocates nothing.
	var buf [64]byte
	return sha256.Sum256(append(buf[:0], key...))
}

// Generate returns a new key made from the random bytes of rd.
func Generate(rd io.Reader) (string, error) {
	var secret [secretLength]byte
	if _, err := io.ReadFull(rd, secret[:]); err != nil {
		return "", fmt.Errorf("random bytes for a key: %w", err)
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(secret[:]), nil
}

// WellFormed reports whether the text has the form of a key.
func WellFormed(key string) bool {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return false
	}
	secret, err := base64.RawURLEncoding.DecodeString(rest)
	return err == nil && len(secret) == secretLength
}
