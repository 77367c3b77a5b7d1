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

// Guards against accepting a revoked, unknown or malformed key.
func TestCheck(t *testing.T) {
	Convey("Given an active and a revoked key", t, func() {
		active, revoked := generate(t), generate(t)
		rg := keyring.New([]config.Key{
			{Digest: keyring.Digest(active), Team: "lab"},
			{Digest: keyring.Digest(revoked), Team: "lab", Revoked: true},
			{Team: "nobody"}, // an all-zero digest, as in the zero entry of a failed map look-up
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
	Convey("A nil ring knows no key", t, func() {
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
		t.Error("a key was generated from only 31 random bytes")
	}
	for text, want := range map[string]bool{key: true, key[4:]: false, key + "A": false, key[:46] + "!": false, "": false} {
		if keyring.WellFormed(text) != want {
			t.Errorf("WellFormed(%q) is %v", text, !want)
		}
	}
}

// Guards against serving teams when a revocation may have been missed, and against refusing service without need.
func TestFresh(t *testing.T) {
	const limit = 5 * time.Second
	type ages map[id.FailureDomain]time.Duration
	domains := []id.FailureDomain{"a", "b", "c"}
	for _, tc := range []struct {
		name    string
		limit   time.Duration
		domains []id.FailureDomain
		store   time.Duration
		ages    ages
		want    bool
	}{
		{"rule disabled", 0, domains, keyring.NoEvidence, nil, true},
		{"store reached now", limit, domains, 0, nil, true},
		{"store reached at the limit", limit, domains, limit, nil, true},
		{"store reached too long ago", limit, domains, limit + 1, nil, false},
		{"no evidence", limit, domains, keyring.NoEvidence, nil, false},
		{"contact with all others", limit, domains, keyring.NoEvidence, ages{"b": 0, "c": limit}, true},
		{"last contact with one too long ago", limit, domains, keyring.NoEvidence, ages{"b": 0, "c": limit + 1}, false},
		{"no contact with one", limit, domains, limit + 1, ages{"a": 0, "b": 0}, false},
		{"one without evidence", limit, domains, keyring.NoEvidence, ages{"b": 0, "c": keyring.NoEvidence}, false},
		{"no other failure domain", limit, domains[:1], keyring.NoEvidence, ages{"a": 0}, false},
		{"no failure domain known", limit, nil, keyring.NoEvidence, nil, false},
	} {
		ev := keyring.Evidence{StoreAge: tc.store, ContactAges: tc.ages}
		if got := keyring.Fresh(tc.limit, "a", tc.domains, ev); got != tc.want {
			t.Errorf("%s: Fresh returned %v, want %v", tc.name, got, tc.want)
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
