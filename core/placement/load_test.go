package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/placement"
)

// Guards against requests that wait at a target whose machine is slow at present, although the wait is too long for their objective,
// and against a target that counts as slow long after it has reported so.
func TestPaceOfTarget(t *testing.T) {
	Convey("a target with one request more than slots", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, targets(1, "north"))
		rq := request("x")
		report := func(pace placement.Pace) {
			ch, rf := pc.Pick(start, rq)
			So(rf, ShouldBeNil)
			ld := placement.NewLoad(0, 0, 4)
			ld.Pace = pace
			pc.Done(start, &ch, rq.Route, placement.Result{Kind: placement.Succeeded, Latency: 160 * time.Millisecond, Load: ld})
			for range 4 {
				_, rf := pc.Pick(start, rq)
				So(rf, ShouldBeNil)
			}
		}
		wait := func(now time.Time) time.Duration {
			ch, rf := pc.Pick(now, rq)
			if rf != nil {
				return rf.Best.ExpectedWait
			}
			pc.Done(now, &ch, rq.Route, placement.Result{Kind: placement.Dropped})
			return ch.ExpectedWait
		}
		Convey("that reports no pace", func() {
			report(0)
			So(wait(start), ShouldBeBetween, 0, 160*time.Millisecond)
		})
		Convey("that reports a slow machine", func() {
			report(4)
			slow := wait(start)
			So(slow, ShouldBeGreaterThan, 100*time.Millisecond)
			So(wait(start.Add(2*time.Second)), ShouldBeLessThan, slow/2)
		})
	})
}

// Guards against requests that count as work on unknown objects, because the machine of the target was slow while it did them.
func TestPaceOfObservedWork(t *testing.T) {
	Convey("work that takes three times as long at a third of the pace is usual work", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, targets(1, "north"))
		rq := request("x")
		for nr := range 60 {
			ch, rf := pc.Pick(start, rq)
			So(rf, ShouldBeNil)
			rs := placement.Result{Kind: placement.Succeeded, Latency: 100 * time.Millisecond, Load: placement.NewLoad(0, 0, 4)}
			rs.Load.Pace = 1
			if nr%2 == 0 {
				rs.Latency, rs.Load.Pace = 300*time.Millisecond, 3
			}
			pc.Done(start, &ch, rq.Route, rs)
		}
		var last placement.Choice
		for range 5 {
			ch, rf := pc.Pick(start, rq)
			So(rf, ShouldBeNil)
			last = ch
		}
		So(last.ExpectedWait, ShouldBeBetween, 20*time.Millisecond, 40*time.Millisecond)
	})
}

func ExampleLoad_HasRoom() {
	ld := placement.NewLoad(3, 0, 4)
	fmt.Println(ld.HasRoom())
	ld.Slots.Known = false
	fmt.Println(ld.HasRoom())
	// Output:
	// true
	// false
}
