package accept_test

import (
	"encoding/json"
	"testing"

	"damasklatch/core/config"
	"damasklatch/io/accept"
)

// Guards against a stored proposal that makes the operator's command panic, or that it could not store again.
func FuzzParseProposal(f *testing.F) {
	src, err := json.Marshal(accept.Proposal{
		OperationID: "000102030405060708090a0b0c0d0e0f", BaseVersion: 3, BaseGeneration: 2,
		Parts: []config.PartRef{config.NewPartRef(config.BasePartName, []byte("x"))},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Fuzz(func(t *testing.T, src []byte) {
		pp, err := accept.ParseProposal(src)
		if err != nil {
			return
		}
		body, err := json.Marshal(pp)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := accept.ParseProposal(body); err != nil {
			t.Fatalf("the proposal is refused when written again: %v", err)
		}
	})
}
