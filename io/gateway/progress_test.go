package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Restarting a watch that is up to date costs a call to the store and delays changes. Not restarting a watch that is stuck
// misses changes.
func TestWatchProgress(t *testing.T) {
	Convey("a watch that has delivered all changes up to revision 10", t, func() {
		now := time.Unix(1_800_000_000, 0)
		pg := &watchProgress{}
		pg.advance(now, 10)
		Convey("is not stalled if only known changes are announced", func() {
			pg.announce(now, 9)
			So(pg.stalled(now.Add(time.Minute)), ShouldBeFalse)
		})
		Convey("is not stalled after it has delivered the announced changes", func() {
			pg.announce(now, 12)
			pg.advance(now.Add(maxStall/2), 13)
			So(pg.stalled(now.Add(2*maxStall)), ShouldBeFalse)
		})
		Convey("is not stalled while it makes progress under continuous changes", func() {
			for range 20 {
				pg.announce(now, 12+2*pg.known)
				now = now.Add(maxStall / 2)
				pg.advance(now, 11+pg.known)
				So(pg.stalled(now), ShouldBeFalse)
			}
		})
		Convey("is stalled if an announced change doesn't arrive, and is restarted only once in maxStall", func() {
			pg.announce(now, 12)
			So(pg.stalled(now.Add(maxStall-1)), ShouldBeFalse)
			So(pg.stalled(now.Add(maxStall)), ShouldBeTrue)
			So(pg.stalled(now.Add(maxStall+1)), ShouldBeFalse)
			So(pg.stalled(now.Add(2*maxStall)), ShouldBeTrue)
		})
	})
}
