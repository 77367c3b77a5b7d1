package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A watch that is renewed although it follows costs calls of the store and delays what it carries; one that is not renewed
// although it is stuck misses changes.
func TestProgress(t *testing.T) {
	Convey("a watch that knows all changes up to revision 10", t, func() {
		now := time.Unix(1_800_000_000, 0)
		pg := &progress{}
		pg.cover(now, 10)
		Convey("is not behind for changes that it knows", func() {
			pg.announce(now, 9)
			So(pg.behind(now.Add(time.Minute)), ShouldBeFalse)
		})
		Convey("is not behind once it has seen what others announced", func() {
			pg.announce(now, 12)
			pg.cover(now.Add(behindFor/2), 13)
			So(pg.behind(now.Add(2*behindFor)), ShouldBeFalse)
		})
		Convey("is not behind while it makes progress under a stream of changes", func() {
			for range 20 {
				pg.announce(now, 12+2*pg.covered)
				now = now.Add(behindFor / 2)
				pg.cover(now, 11+pg.covered)
				So(pg.behind(now), ShouldBeFalse)
			}
		})
		Convey("is behind when a change stays unseen, and then waits again", func() {
			pg.announce(now, 12)
			So(pg.behind(now.Add(behindFor-1)), ShouldBeFalse)
			So(pg.behind(now.Add(behindFor)), ShouldBeTrue)
			So(pg.behind(now.Add(behindFor+1)), ShouldBeFalse)
			So(pg.behind(now.Add(2*behindFor)), ShouldBeTrue)
		})
	})
}
