package config

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"slices"

	"damasklatch/core/id"
)

// States of a key in the file format of keys.
const (
	keyActive  = "active"
	keyRevoked = "revoked"
)

// String returns the digest as 64 hexadecimal digits.
func (kd KeyDigest) String() string { return hex.EncodeToString(kd[:]) }

// State returns the state of the key, "active" or "revoked".
func (ky Key) State() string {
	if ky.Revoked {
		return keyRevoked
	}
	return keyActive
}

// ParseKeyDigest parses a digest in the format of KeyDigest.String. It also accepts upper-case digits.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var kd KeyDigest
	if len(text) != hex.EncodedLen(len(kd)) {
		return kd, fmt.Errorf("a key digest has %d hexadecimal digits, found %d characters", hex.EncodedLen(len(kd)), len(text))
	}
	if _, err := hex.Decode(kd[:], []byte(text)); err != nil {
		return kd, fmt.Errorf("key digest: %w", err)
	}
	return kd, nil
}

// ParseKeys parses issued keys. Each line has the form "digest team state"; the state is "active" or "revoked". Empty lines
// and text after "#" are ignored. Errors name the file as file. The returned error is of type Errors.
func ParseKeys(file string, src []byte) ([]Key, error) {
	keys, _, err := parseKeys(file, src)
	return keys, err
}

// parseKeys does the same as ParseKeys and also returns the position of each key.
func parseKeys(file string, src []byte) ([]Key, []position, error) {
	cl := new(errorCollector)
	if len(src) > maxFileBytes {
		cl.addf(position{file: file}, "the file has %d bytes, at most %d are allowed", len(src), maxFileBytes)
		return nil, nil, cl.err()
	}
	var keys []Key
	var positions []position
	forEachLine(file, src, func(at position, words []string) {
		if len(words) != 3 {
			cl.addf(at, "expected \"digest team state\", found %d words", len(words))
			return
		}
		digest, err := ParseKeyDigest(words[0])
		if err != nil {
			cl.addf(at, "%v", err)
		}
		if !id.ValidName(words[1]) {
			cl.addf(at, "%q is not a valid name of a team", words[1])
		}
		if words[2] != keyActive && words[2] != keyRevoked {
			cl.addf(at, "the state of a key is %q or %q, found %q", keyActive, keyRevoked, words[2])
		}
		keys = append(keys, Key{Digest: digest, Team: id.Team(words[1]), Revoked: words[2] == keyRevoked})
		positions = append(positions, at)
	})
	if err := cl.err(); err != nil {
		return nil, nil, err
	}
	return keys, positions, nil
}

// EncodeKeys returns the keys in the format that ParseKeys accepts, sorted by digest.
func EncodeKeys(keys []Key) []byte {
	sorted := slices.SortedFunc(slices.Values(keys), func(ka, kb Key) int { return bytes.Compare(ka.Digest[:], kb.Digest[:]) })
	var buf bytes.Buffer
	for _, ky := range sorted {
		fmt.Fprintf(&buf, "%s %s %s\n", ky.Digest, ky.Team, ky.State())
	}
	return buf.Bytes()
}

// KeyPartName returns the name of the part that holds the key with the digest.
func KeyPartName(kd KeyDigest) string { return keysPrefix + kd.String()[:1] }
