package quota_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/quota"
)

// Guards against requests of a team that are refused for its limit while the tokens of requests that did not run are lost, and
// against tokens that are returned so late that the bucket has refilled.
func TestReturnedToken(t *testing.T) {
	Convey("a team that has used its only token", t, func() {
		now := time.Unix(1_800_000_000, 0)
		lg := quota.New(1, 0)
		lg.SetLimits(now, map[id.Team]quota.Limit{team: {Rate: 0.1, Burst: 1}}, func(id.Team) bool { return true })
		now = now.Add(time.Minute)
		take := func() quota.Decision {
			decision, _ := lg.Take(now, team)
			return decision
		}
		So(take(), ShouldEqual, quota.Admitted)
		taken := now
		So(take(), ShouldEqual, quota.Exhausted)
		Convey("gets it back if the request did not run", func() {
			now = now.Add(50 * time.Millisecond)
			lg.Return(now, taken, team)
			So(take(), ShouldEqual, quota.Admitted)
			So(take(), ShouldEqual, quota.Exhausted)
		})
		Convey("does not get it back late", func() {
			now = now.Add(time.Second)
			lg.Return(now, taken, team)
			So(take(), ShouldEqual, quota.Exhausted)
		})
		Convey("can't keep a returned token for later", func() {
			lg.Return(now, taken, team)
			now = now.Add(time.Second)
			So(take(), ShouldEqual, quota.Exhausted)
		})
	})
}
