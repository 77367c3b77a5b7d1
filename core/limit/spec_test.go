package limit_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/limit"
	"damasklatch/core/unit"

	"github.com/google/go-cmp/cmp"
)

// Guards against counting the slots of drained targets, and against limits of other regions in the specs of a failure
// domain.
func TestSpecs(t *testing.T) {
	cfg := modelConfig(100_000, 40_000, 100_000, 5)
	cfg.Sites[0].Targets = append(cfg.Sites[0].Targets, config.Target{Pool: "desk", Slots: 7, Drained: true})
	cfg.Links = []config.Link{
		{From: "south", To: "north", Capacity: 80_000},
		{From: "north", To: "south", Capacity: 80_000},
	}
	cfg.Links = append(cfg.Links, config.Link{From: "south", To: "west", Capacity: 80_000})
	want := []limit.Spec{
		{Resource: "team/salon", Kind: limit.KindBucket, Scope: limit.ScopeFleet, Rate: 100_000, Burst: 40_000},
		{Resource: "pool/north-a/desk", Kind: limit.KindSlots, Scope: limit.ScopeFailureDomain, Slots: 5_000},
		{Resource: "region/north", Kind: limit.KindSlots, Scope: limit.ScopeRegion, Slots: 5_000},
		{Resource: "shift/north", Kind: limit.KindBucket, Scope: limit.ScopeRegion, Rate: 100_000, Burst: 10_000},
		{
			Resource: "link/south/north", Kind: limit.KindBucket, Scope: limit.ScopeLink, Rate: 10_000_000, Burst: 1_000_000,
			From: "south", To: "north",
		},
		{
			Resource: "link/north/south", Kind: limit.KindBucket, Scope: limit.ScopeLink, Rate: 10_000_000, Burst: 1_000_000,
			From: "north", To: "south",
		},
	}
	if diff := cmp.Diff(want, limit.Specs(cfg, "north-a")); diff != "" {
		t.Errorf("specs differ (-want +got):\n%s", diff)
	}
}

// Guards against data races between traffic and the methods of Ledger, and against tokens that are taken twice.
func TestConcurrentTraffic(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	lender, borrower := pair(start, 100_000, 100_000)
	now := start.Add(time.Second)
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				if bk, ok := borrower.Bucket(teamResource); ok && bk.Take(now, unit.One) {
					admitted.Add(1)
				}
			}
		})
	}
	for step := range 100 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, rq := range borrower.Tick(at, lenderPeer) {
			borrower.HandleReply(at, lender.HandleRequest(at, rq))
		}
	}
	wg.Wait()
	if nr := admitted.Load(); nr < 50 || nr > 200 {
		t.Errorf("%d requests admitted in one second, want 50 to 200 with rate 100/s and burst 100", nr)
	}
}
