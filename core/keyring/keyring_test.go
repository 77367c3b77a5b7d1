package keyring_test

import (
	"bytes"
	"crypto/rand"
	"errors"
	"strings"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/keyring"

	. "github.com/smartystreets/goconvey/convey"
)

func generate(tb testing.TB) string {
	tb.Helper()
	key, err := keyring.Generate(rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	return key
}

func TestCheck(t *testing.T) {
	Convey("Given an active and a revoked key", t, func() {
		active, revoked := generate(t), generate(t)
		rg := keyring.New([]config.Key{
			{Digest: keyring.Digest(active), Team: "lab"},
			{Digest: keyring.Digest(revoked), Team: "lab", Revoked: true},
			{Team: "nobody"}, // the digest of zeros, which an entry that is not found has too
		})
		for _, tc := range []struct {
			key  string
			team id.Team
			err  error
		}{
			{active, "lab", nil},
			{revoked, "", keyring.ErrUnknownKey},
			{"", "", keyring.ErrNoKey},
			{active + " ", "", keyring.ErrUnknownKey},
			{strings.TrimPrefix(active, keyring.Prefix), "", keyring.ErrUnknownKey},
			{generate(t), "", keyring.ErrUnknownKey},
		} {
			team, err := rg.Check(tc.key)
			So(team, ShouldEqual, tc.team)
			So(errors.Is(err, tc.err), ShouldBeTrue)
		}
	})
	Convey("A ring that does not exist knows no key", t, func() {
		var rg *keyring.Ring
		_, err := rg.Check(generate(t))
		So(errors.Is(err, keyring.ErrUnknownKey), ShouldBeTrue)
	})
}

// Guards against keys with less randomness than intended.
func TestGenerate(t *testing.T) {
	key, err := keyring.Generate(bytes.NewReader(make([]byte, 32)))
	if want := "dlk_" + strings.Repeat("A", 43); err != nil || key != want {
		t.Errorf("key from zeros is %q (%v), want %q", key, err, want)
	}
	if _, err := keyring.Generate(bytes.NewReader(make([]byte, 31))); err == nil {
		t.Error("made a key from 31 random bytes")
	}
	for text, want := range map[string]bool{key: true, key[4:]: false, key + "A": false, key[:46] + "!": false, "": false} {
		if keyring.WellFormed(text) != want {
			t.Errorf("%q is well formed: %v", text, !want)
		}
	}
}

func TestFresh(t *testing.T) {
	const limit = 5 * time.Second
	type heard map[id.FailureDomain]time.Duration
	domains := []id.FailureDomain{"a", "b", "c"}
	for _, tc := range []struct {
		name    string
		limit   time.Duration
		domains []id.FailureDomain
		store   time.Duration
		heard   heard
		want    bool
	}{
		{"rule off", 0, domains, keyring.NoEvidence, nil, true},
		{"store reached now", limit, domains, 0, nil, true},
		{"store reached at the limit", limit, domains, limit, nil, true},
		{"store reached too long ago", limit, domains, limit + 1, nil, false},
		{"no evidence", limit, domains, keyring.NoEvidence, nil, false},
		{"all others heard", limit, domains, keyring.NoEvidence, heard{"b": 0, "c": limit}, true},
		{"one heard too long ago", limit, domains, keyring.NoEvidence, heard{"b": 0, "c": limit + 1}, false},
		{"one never heard", limit, domains, limit + 1, heard{"a": 0, "b": 0}, false},
		{"one without evidence", limit, domains, keyring.NoEvidence, heard{"b": 0, "c": keyring.NoEvidence}, false},
		{"no other failure domain", limit, domains[:1], keyring.NoEvidence, heard{"a": 0}, false},
		{"no failure domain known", limit, nil, keyring.NoEvidence, nil, false},
	} {
		ev := keyring.Evidence{StoreAge: tc.store, ContactAges: tc.heard}
		if got := keyring.Fresh(tc.limit, "a", tc.domains, ev); got != tc.want {
			t.Errorf("%s: fresh is %v, want %v", tc.name, got, tc.want)
		}
	}
}

func BenchmarkCheck5000(bm *testing.B) {
	keys := make([]config.Key, 5000)
	var known string
	for nr := range keys {
		known = generate(bm)
		keys[nr] = config.Key{Digest: keyring.Digest(known), Team: "lab"}
	}
	rg, unknown := keyring.New(keys), generate(bm)
	for name, key := range map[string]string{"known": known, "unknown": unknown} {
		bm.Run(name, func(bm *testing.B) {
			bm.ReportAllocs()
			for bm.Loop() {
				_, _ = rg.Check(key)
			}
		})
	}
}
