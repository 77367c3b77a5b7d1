package config_test

import (
	"bytes"
	"errors"
	"testing"

	"damasklatch/core/config"
)

// Each fuzz target guards against a parser that panics on untrusted input, accepts a value that does not survive encoding
// and parsing, or reports an error without a position.

// checkErrors checks that err is nil or a list of errors with file, position and message.
func checkErrors(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	var es config.Errors
	if !errors.As(err, &es) || len(es) == 0 {
		t.Fatalf("the error is a %T: %v", err, err)
	}
	for _, er := range es {
		if er.File == "" || er.Message == "" || er.Line < 0 || (er.Line > 0 && er.Column < 1) {
			t.Fatalf("incomplete error: %+v", er)
		}
	}
}

func FuzzParseBase(f *testing.F) {
	f.Add([]byte(baseSource))
	f.Add([]byte("a: [\n"))
	f.Add([]byte("? {a: b}\n: &x *x\n"))
	f.Add([]byte("deployment: d\nteams: [{name: t, rate: 1e9/s, burst: -0}]\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		bs, err := config.ParseBase("base.yaml", src)
		checkErrors(t, err)
		if err == nil {
			_, err := config.Merge(1, bs, nil, nil, nil)
			checkErrors(t, err)
		}
	})
}

func FuzzParseOverlay(f *testing.F) {
	f.Add([]byte(overlaySource))
	f.Add([]byte("site: 'a\nfailure_domain: |\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		_, err := config.ParseOverlay("overlay.yaml", src)
		checkErrors(t, err)
	})
}

func FuzzParseDaemonSettings(f *testing.F) {
	f.Add([]byte("vm: a\nfailure_domain: b\ncaller_address: 127.0.0.1:1\npeer_address: '[::1]:2'\nfleet_secret_file: x\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		_, err := config.ParseDaemonSettings("settings.yaml", src, noFile)
		checkErrors(t, err)
	})
}

func FuzzParseBlocks(f *testing.F) {
	f.Add([]byte("10.0.0.0/8 north-a # comment\n\n2001:db8::/32 south-a"))
	f.Fuzz(func(t *testing.T, src []byte) {
		blocks, err := config.ParseBlocks("blocks.txt", src)
		checkErrors(t, err)
		if err != nil {
			return
		}
		once := config.EncodeBlocks(blocks)
		back, err := config.ParseBlocks("blocks.txt", once)
		if err != nil || len(back) != len(blocks) || !bytes.Equal(config.EncodeBlocks(back), once) {
			t.Fatalf("blocks change after encoding and parsing: %v", err)
		}
	})
}

func FuzzParseKeys(f *testing.F) {
	f.Add(config.EncodeKeys([]config.Key{{Team: "lab"}, {Digest: config.KeyDigest{1}, Team: "shop", Revoked: true}}))
	f.Fuzz(func(t *testing.T, src []byte) {
		keys, err := config.ParseKeys("keys/0", src)
		checkErrors(t, err)
		if err != nil {
			return
		}
		once := config.EncodeKeys(keys)
		back, err := config.ParseKeys("keys/0", once)
		if err != nil || len(back) != len(keys) || !bytes.Equal(config.EncodeKeys(back), once) {
			t.Fatalf("keys change after encoding and parsing: %v", err)
		}
	})
}

func FuzzParseManifest(f *testing.F) {
	var none *config.Manifest
	parts := []config.PartRef{config.NewPartRef("base.yaml", nil), config.NewPartRef("blocks/07", []byte("x"))}
	f.Add(none.Next(config.Change{OperationID: "op", Author: "an"}, parts).Encode())
	f.Fuzz(func(t *testing.T, src []byte) {
		mf, err := config.ParseManifest(src)
		if err != nil {
			return
		}
		back, err := config.ParseManifest(mf.Encode())
		if err != nil || !bytes.Equal(back.Encode(), mf.Encode()) {
			t.Fatalf("the manifest changes after encoding and parsing: %v", err)
		}
	})
}
