package limit_test

import (
	"testing"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"

	. "github.com/smartystreets/goconvey/convey"
)

const teamResource id.Resource = "team/salon"

// pair returns two ledgers with full buckets that own half of a team's limit each.
func pair(now time.Time, rate unit.MilliPerSecond, burst unit.Milli) (lender, borrower *limit.Ledger) {
	sps := []limit.Spec{{
		Resource: teamResource, Kind: limit.KindBucket, Scope: limit.ScopeFleet, Rate: rate, Burst: burst,
	}}
	var lgs []*limit.Ledger
	for _, vm := range []id.VM{"lender", "borrower"} {
		lg := limit.New(id.VMIncarnation{VM: vm, Incarnation: 1}, limit.Settings{})
		lg.SetSpecs(now, sps)
		lg.SetOwned(now, limit.OwnedFractions{PPM: unit.Whole / 2})
		lgs = append(lgs, lg)
	}
	return lgs[0], lgs[1]
}

var lenderPeer = []limit.Peer{{ID: id.VMIncarnation{VM: "lender", Incarnation: 1}}}

func usable(lg *limit.Ledger, now time.Time) limit.Amount { return lg.Status(now)[0].Usable }

// Guards against a loan that is used after its expiry because Tick is not called in time, for example after a pause.
func TestLoanEndsAtExpiry(t *testing.T) {
	Convey("Given a loan to a busy VM", t, func() {
		start := time.Unix(1_800_000_000, 0)
		lender, borrower := pair(start, 100_000, 100_000)
		bk, _ := borrower.Bucket(teamResource)
		now := start.Add(time.Second)
		borrower.Tick(now, lenderPeer)
		for bk.Take(now, unit.One) {
		}
		now = now.Add(100 * time.Millisecond)
		rqs := borrower.Tick(now, lenderPeer)
		So(rqs, ShouldHaveLength, 1)
		borrower.HandleReply(now, lender.HandleRequest(now, rqs[0]))
		expiry := now.Add(limit.DefaultLoanDuration)
		So(usable(borrower, now).Rate, ShouldBeGreaterThan, 50_000)

		Convey("it counts before its expiry and not from then on", func() {
			So(usable(borrower, expiry.Add(-time.Nanosecond)).Rate, ShouldBeGreaterThan, 50_000)
			So(usable(borrower, expiry).Rate, ShouldEqual, 50_000)
		})
		Convey("after a pause the bucket has at most the owned burst of tokens", func() {
			So(bk.Take(now.Add(time.Minute), 50_001), ShouldBeFalse)
			So(bk.Take(now.Add(time.Minute), 50_000), ShouldBeTrue)
		})
		Convey("the lender uses the amount again only after the allowed drift and the margin", func() {
			reuse := now.Add(limit.Settings{}.ReuseAfter())
			lender.Tick(reuse.Add(-time.Nanosecond), nil)
			So(usable(lender, reuse).Rate, ShouldBeLessThan, 50_000)
			lender.Tick(reuse, nil)
			So(usable(lender, reuse).Rate, ShouldEqual, 50_000)
		})
	})
}
