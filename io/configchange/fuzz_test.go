package configchange_test

import (
	"encoding/json"
	"testing"

	"damasklatch/core/config"
	"damasklatch/io/configchange"
)

// Guards against a stored proposal that makes the operator's command panic, and against one that is accepted but
// refused after it is encoded again.
func FuzzParseProposal(f *testing.F) {
	src, err := json.Marshal(configchange.Proposal{
		OperationID: "000102030405060708090a0b0c0d0e0f", BaseVersion: 3, BaseGeneration: 2,
		Parts: []config.PartRef{config.NewPartRef(config.BasePartName, []byte("x"))},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Fuzz(func(t *testing.T, src []byte) {
		pp, err := configchange.ParseProposal(src)
		if err != nil {
			return
		}
		body, err := json.Marshal(pp)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configchange.ParseProposal(body); err != nil {
			t.Fatalf("the proposal is refused when written again: %v", err)
		}
	})
}
