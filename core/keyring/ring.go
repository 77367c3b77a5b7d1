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

// Errors of Check. Both mean that the caller is not authenticated.
var (
	ErrNoKey      = errors.New("no key")
	ErrUnknownKey = errors.New("unknown key")
)

// Prefix is the start of every key. It makes keys that leaked into logs or source code easy to find.
const Prefix = "dlk_"

// secretLength is the number of random bytes in a key.
const secretLength = 32

// Ring holds the digests of the active keys of a configuration. It is immutable and safe for concurrent use. A nil Ring has no
// keys.
type Ring struct {
	teams map[config.KeyDigest]entry
}

// entry contains the digest as well, so that Check can compare it in constant time after the map look-up.
type entry struct {
	digest config.KeyDigest
	team   id.Team
}

// New returns a ring of those keys that are not revoked.
func New(keys []config.Key) *Ring {
	rg := &Ring{teams: make(map[config.KeyDigest]entry, len(keys))}
	for _, ky := range keys {
		if !ky.Revoked {
			rg.teams[ky.Digest] = entry{ky.Digest, ky.Team}
		}
	}
	return rg
}

// Check returns the team of a key. The error is ErrNoKey for an empty key, and ErrUnknownKey for a key that was never issued or
// is revoked.
//
// Timing does not reveal issued keys. The duration of the map look-up depends on the digest of the caller's key, and using it to
// learn the digest of an issued key would require inverting SHA-256. The final comparison takes constant time.
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

// Len returns the number of active keys. The ring must not be nil.
func (rg *Ring) Len() int { return len(rg.teams) }

// Digest returns the SHA-256 digest of a key. Configurations store the digest and not the key.
func Digest(key string) config.KeyDigest {
	// Every well-formed key fits into the buffer, so that Check does not allocate.
	var buf [64]byte
	return sha256.Sum256(append(buf[:0], key...))
}

// Generate returns a new key made from 32 bytes read from rd, which must be a cryptographic source of randomness.
func Generate(rd io.Reader) (string, error) {
	var secret [secretLength]byte
	if _, err := io.ReadFull(rd, secret[:]); err != nil {
		return "", fmt.Errorf("read random bytes for a key: %w", err)
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(secret[:]), nil
}

// WellFormed reports whether key has the syntax of a key: Prefix followed by 32 bytes in unpadded base64url.
func WellFormed(key string) bool {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return false
	}
	secret, err := base64.RawURLEncoding.DecodeString(rest)
	return err == nil && len(secret) == secretLength
}
