package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/placement"
)

// pickAll picks a target for many objects at the same time, and returns the targets by name. It ends the attempts at once.
func pickAll(pc *placement.Placer, now time.Time) map[id.Target]placement.Choice {
	found := map[id.Target]placement.Choice{}
	for nr := range 200 {
		ch, rf := pc.Pick(now, request(fmt.Sprint(nr)))
		if rf != nil {
			continue
		}
		found[ch.ID] = ch
		pc.Done(now, &ch, "read", placement.Result{Kind: placement.Dropped})
	}
	return found
}

// Guards against requests sent to a target that has said that it is shutting down, also when the store still lists it as ready or
// lists it again after its registration was missing.
func TestLeavingTarget(t *testing.T) {
	Convey("a target that says that it is leaving", t, func() {
		pc, list, now := newPlacer("a"), targets(4, "north"), start
		pc.SetTargets(now, list)
		ch, ok := pickAll(pc, now)[list[0].ID]
		So(ok, ShouldBeTrue)
		So(pc.HandleNotice(now, &ch, placement.Notice{Leaving: true}), ShouldBeTrue)
		uses := func() bool {
			_, used := pickAll(pc, now)[list[0].ID]
			return used
		}
		Convey("gets no further requests, whatever it or the store says later", func() {
			So(uses(), ShouldBeFalse)
			So(pc.HandleNotice(now, &ch, placement.Notice{}), ShouldBeFalse)
			So(pc.HandleNotice(now, &ch, placement.Notice{Leaving: true}), ShouldBeFalse)
			now = now.Add(time.Minute)
			pc.SetTargets(now, list)
			So(uses(), ShouldBeFalse)
			pc.SetTargets(now, list[1:])
			now = now.Add(time.Minute)
			pc.SetTargets(now, list)
			So(uses(), ShouldBeFalse)
		})
		Convey("is used again when another process has its name or address", func() {
			for _, change := range []func(tg *placement.Target){
				func(tg *placement.Target) { tg.StartUnixMilli = 2 }, func(tg *placement.Target) { tg.Address = "y" },
			} {
				next := append([]placement.Target(nil), list...)
				change(&next[0])
				pc.SetTargets(now, next)
				So(uses(), ShouldBeTrue)
				So(pc.HandleNotice(now, &ch, placement.Notice{Leaving: true}), ShouldBeFalse)
				So(uses(), ShouldBeTrue)
			}
		})
		Convey("leaves no capacity when all others leave, too", func() {
			for _, ot := range pickAll(pc, now) {
				pc.HandleNotice(now, &ot, placement.Notice{Leaving: true})
			}
			_, rf := pc.Pick(now, request("x"))
			So(rf.Reason, ShouldEqual, placement.NoTarget)
			So(rf.RetryAfter, ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against requests sent to a target that has asked for a pause, and against a pause that never ends.
func TestPausedTarget(t *testing.T) {
	Convey("targets that ask for a pause", t, func() {
		pc, list, now := newPlacer("a"), targets(3, "north"), start
		pc.SetTargets(now, list)
		all := pickAll(pc, now)
		So(len(all), ShouldEqual, 3)
		pause := func(nr int, dur time.Duration) {
			ch := all[list[nr].ID]
			pc.HandleNotice(now, &ch, placement.Notice{Pause: dur})
		}
		Convey("get nothing until the end of the longest one", func() {
			pause(0, 3*time.Second)
			pause(0, time.Second)
			now = now.Add(2900 * time.Millisecond)
			So(pickAll(pc, now), ShouldNotContainKey, list[0].ID)
			now = now.Add(100 * time.Millisecond)
			So(pickAll(pc, now), ShouldContainKey, list[0].ID)
		})
		Convey("tell callers when the first of them may be used, if there is no other", func() {
			pause(0, 4*time.Second)
			pause(1, 3*time.Second)
			_, rf := pc.Pick(now, request("x"))
			So(rf, ShouldBeNil)
			pause(2, 5*time.Second)
			now = now.Add(time.Second)
			_, rf = pc.Pick(now, request("x"))
			So(rf.Reason, ShouldEqual, placement.NoTarget)
			So(rf.RetryAfter, ShouldEqual, 2*time.Second)
		})
		Convey("are used again after a bounded time", func() {
			pause(0, 1000*time.Hour)
			now = now.Add(time.Hour)
			So(pickAll(pc, now), ShouldContainKey, list[0].ID)
		})
	})
}

// Guards against a target that is not used because another target has responded at the address that it had before.
func TestMisplacedBeforeMove(t *testing.T) {
	Convey("a target that has moved is used although its old address belongs to another", t, func() {
		pc, list, now := newPlacer("a"), targets(2, "north"), start
		pc.SetTargets(now, list)
		ch := pickAll(pc, now)[list[0].ID]
		list[0].Address = "y"
		pc.SetTargets(now, list)
		pc.Done(now, &ch, "read", placement.Result{Kind: placement.Misplaced})
		So(pickAll(pc, now), ShouldContainKey, list[0].ID)
	})
}
