package limit_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"

	"pgregory.net/rapid"
)

// Guards against a division of a link in which the shares of the VMs of both regions add up to more than its
// capacity, and against a share for a VM of a third region.
func TestLinkShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := &config.Effective{Links: []config.Link{{
			From: "r0", To: "r1", Capacity: unit.BitsPerSecond(rapid.Int64Range(8, 1<<45).Draw(rt, "capacity")),
		}}}
		sp := &limit.Split{FailureDomains: make(map[id.FailureDomain]unit.PPM)}
		left := unit.Whole
		for nr := range 6 {
			rg := id.Region(fmt.Sprint("r", nr%3))
			if nr < 3 {
				cfg.Regions = append(cfg.Regions, config.Region{Name: rg})
			}
			fd := id.FailureDomain(fmt.Sprint("fd", nr))
			cfg.FailureDomains = append(cfg.FailureDomains, config.FailureDomain{Name: fd, Region: rg})
			sp.FailureDomains[fd] = unit.PPM(rapid.Int64Range(0, int64(left)).Draw(rt, "fraction"))
			left -= sp.FailureDomains[fd]
		}
		now := time.Unix(1_800_000_000, 0)
		var sum, total limit.Amount
		for _, fdm := range cfg.FailureDomains {
			sps := limit.Specs(cfg, fdm.Name)
			for rest := sp.FailureDomains[fdm.Name]; rest > 0; {
				ppm := unit.PPM(rapid.Int64Range(max(1, int64(rest)/4), int64(rest)).Draw(rt, "vm"))
				rest -= ppm
				lg := limit.New(id.VMIncarnation{VM: "vm", Incarnation: 1}, limit.Settings{})
				lg.SetSpecs(now, sps)
				lg.SetOwned(now, sp.OwnedFractions(cfg, fdm.Name, ppm))
				for _, st := range lg.Status(now) {
					if st.Resource != limit.LinkResource("r0", "r1") {
						continue
					}
					if fdm.Region == "r2" {
						rt.Fatalf("a VM of %s has a share of the link", fdm.Region)
					}
					addTo(&sum, st.Owned)
				}
			}
			for _, sc := range sps {
				if sc.Scope == limit.ScopeLink {
					total = limit.Amount{Rate: sc.Rate, Burst: sc.Burst}
				}
			}
		}
		if sum.Rate > total.Rate || sum.Burst > total.Burst {
			rt.Fatalf("shares add up to %+v, total is %+v", sum, total)
		}
	})
}

// Guards against a wait that is too short, which makes the caller poll, or too long, which leaves the link unused.
func TestTakeOrWait(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	lg, _ := pair(now, 6_000, 20_000) // 3 tokens a second, burst 10
	bk, _ := lg.Bucket(teamResource)
	if wt := bk.TakeOrWait(now, 5_000); wt != 1_666_666_667*time.Nanosecond {
		t.Fatalf("wait of an empty bucket: %v", wt)
	}
	now = now.Add(1_666_666_666)
	if wt := bk.TakeOrWait(now, 5_000); wt != 1 {
		t.Errorf("wait a nanosecond before the tokens are available: %v", wt)
	}
	if wt := bk.TakeOrWait(now.Add(1), 5_000); wt != 0 {
		t.Errorf("wait after the tokens are available: %v", wt)
	}
	if wt := bk.TakeOrWait(now, 10_001); wt >= 0 {
		t.Errorf("wait for more than the burst: %v, want a negative duration", wt)
	}
}
