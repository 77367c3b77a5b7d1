package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/placement"
)

// Guards against a target that accepts connections but does not respond and that each VM keeps in use until it has lost several
// requests there, and against VMs that put many targets out of use because their own network fails.
func TestSilentTargets(t *testing.T) {
	const longWait, shortWait = 5 * time.Second, 50 * time.Millisecond
	Convey("a VM with ten targets", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, targets(10, "north"))
		silent := func(num int, took time.Duration) {
			for range num {
				ch, rf := pc.Pick(start, request("x"))
				So(rf, ShouldBeNil)
				pc.Done(start, &ch, "read", placement.Result{Kind: placement.Silent, Latency: took})
			}
		}
		Convey("ejects one that was silent", func() {
			silent(1, longWait)
			So(pc.CountUsable(start), ShouldEqual, 9)
			Convey("and other VMs, told that it is overloaded, avoid it", func() {
				ch, _ := newOther().Pick(start, request("x"))
				ot := newOther()
				ot.ApplyReports(start.Add(time.Second), pc.LoadReports(start, start))
				other, rf := ot.Pick(start.Add(time.Second), request("x"))
				So(rf, ShouldBeNil)
				So(other.ID, ShouldNotEqual, ch.ID)
			})
		})
		Convey("does not eject one because a caller had a short deadline", func() {
			silent(1, shortWait)
			So(pc.CountUsable(start), ShouldEqual, 10)
		})
		Convey("ejects no more than a part of them", func() {
			silent(30, longWait)
			So(pc.CountUsable(start), ShouldBeGreaterThanOrEqualTo, 6)
		})
	})
}

// newOther returns a placer of another VM with the same ten targets.
func newOther() *placement.Placer {
	pc := newPlacer("b")
	pc.SetTargets(start, targets(10, "north"))
	return pc
}
