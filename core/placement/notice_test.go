package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/workload"
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

// Guards against a notice that is forgotten when a registration is missing for a moment, or when the registration of a replaced
// process comes back from the store or from a VM that relays it.
func TestNoticeOutlivesRegistration(t *testing.T) {
	for name, nt := range map[string]placement.Notice{"leaving": {Leaving: true}, "pause": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			Convey("a target that wants no requests", t, func() {
				pc, list, now := newPlacer("a"), targets(4, "north"), start
				pc.SetTargets(now, list)
				ch := pickAll(pc, now)[list[0].ID]
				So(pc.HandleNotice(now, &ch, nt), ShouldBeTrue)
				uses := func() bool {
					_, used := pickAll(pc, now)[list[0].ID]
					return used
				}
				Convey("gets none when its registration was missing", func() {
					pc.SetTargets(now, list[1:])
					now = now.Add(time.Second)
					pc.SetTargets(now, list)
					So(uses(), ShouldBeFalse)
				})
				Convey("gets none when it says so while its registration is missing", func() {
					ot := pickAll(pc, now)[list[1].ID]
					pc.SetTargets(now, list[2:])
					So(pc.HandleNotice(now, &ot, nt), ShouldBeFalse)
					pc.SetTargets(now, list)
					So(pickAll(pc, now), ShouldNotContainKey, list[1].ID)
				})
				Convey("gets none when its registration comes back after that of its successor, which is used", func() {
					next := append([]placement.Target(nil), list...)
					next[0].StartUnixMilli = 2
					for range 3 {
						now = now.Add(time.Second)
						pc.SetTargets(now, next)
						So(uses(), ShouldBeTrue)
						pc.SetTargets(now, list)
						So(uses(), ShouldBeFalse)
					}
				})
			})
		})
	}
}

// Guards against a target that begins to leave during a pause, or while it drains, without a log line and a count.
func TestLeavingWhileClosed(t *testing.T) {
	Convey("a notice that a target leaves is reported once", t, func() {
		pc, list, now := newPlacer("a"), targets(2, "north"), start
		pc.SetTargets(now, list)
		all := pickAll(pc, now)
		paused, draining := all[list[0].ID], all[list[1].ID]
		So(pc.HandleNotice(now, &paused, placement.Notice{Pause: time.Second}), ShouldBeTrue)
		So(pc.HandleNotice(now, &paused, placement.Notice{Pause: time.Second}), ShouldBeFalse)
		So(pc.HandleNotice(now, &paused, placement.Notice{Leaving: true}), ShouldBeTrue)
		So(pc.HandleNotice(now, &paused, placement.Notice{Leaving: true}), ShouldBeFalse)
		So(pc.HandleNotice(now.Add(2*time.Second), &paused, placement.Notice{Pause: time.Second}), ShouldBeFalse)
		list[1].Draining = true
		pc.SetTargets(now, list)
		So(pc.HandleNotice(now, &draining, placement.Notice{Leaving: true}), ShouldBeTrue)
		So(pc.HandleNotice(now, &draining, placement.Notice{Leaving: true}), ShouldBeFalse)
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

// fleetPicks returns the number of requests that each of several VMs sends to a target, of 20 on different objects each.
func fleetPicks(now time.Time, vms []*placement.Placer, name id.Target) []int {
	nums := make([]int, len(vms))
	for nr, pc := range vms {
		for object := range 20 {
			ch, rf := pc.Pick(now, request(fmt.Sprint(object)))
			if rf != nil {
				continue
			}
			if ch.ID == name {
				nums[nr]++
			}
			pc.Done(now, &ch, "read", placement.Result{Kind: placement.Dropped})
		}
	}
	return nums
}

func sumOf(nums []int) (sum, senders int) {
	for _, num := range nums {
		sum += num
		if num > 0 {
			senders++
		}
	}
	return sum, senders
}

// Guards against VMs that all send their whole load to a target at the moment when its pause ends.
func TestReturnIsGradual(t *testing.T) {
	for _, num := range []int{10, 58, 195} {
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			Convey("the load of a target grows after its pause", t, func() {
				list, now := targets(4, "north"), start
				var vms []*placement.Placer
				for nr := range num {
					pc := newPlacer(id.VM(fmt.Sprint("vm-", nr)))
					pc.SetTargets(now, list)
					vms = append(vms, pc)
				}
				before, _ := sumOf(fleetPicks(now, vms, list[0].ID))
				for _, pc := range vms {
					ch := pickAll(pc, now)[list[0].ID]
					pc.HandleNotice(now, &ch, placement.Notice{Pause: 3 * time.Second})
				}
				last := 0
				for _, step := range []struct {
					after       time.Duration
					least, most float64
				}{
					{2999 * time.Millisecond, 0, 0},
					{3 * time.Second, 0.02, 0.25},
					{3500 * time.Millisecond, 0.4, 0.7},
					{4 * time.Second, 1, 1},
				} {
					sum, senders := sumOf(fleetPicks(now.Add(step.after), vms, list[0].ID))
					t.Logf("%d VMs, %v after the pause began: %d of %d requests, from %d VMs", num, step.after, sum, before, senders)
					So(float64(sum), ShouldBeGreaterThanOrEqualTo, step.least*float64(before))
					So(float64(sum), ShouldBeLessThanOrEqualTo, step.most*float64(before))
					So(sum, ShouldBeGreaterThanOrEqualTo, last)
					last = sum
				}
			})
		})
	}
}

// Guards against the load of a target that leaves going to a single other one.
func TestLoadOfLeavingTargetIsSpread(t *testing.T) {
	Convey("the requests of a target that leaves are spread over the others", t, func() {
		pc, list, now := newPlacer("a"), targets(8, "north"), start
		pc.SetTargets(now, list)
		counts := func() map[id.Target]int {
			all := map[id.Target]int{}
			for nr := range 2000 {
				ch, rf := pc.Pick(now, request(fmt.Sprint(nr)))
				So(rf, ShouldBeNil)
				all[ch.ID]++
				pc.Done(now, &ch, "read", placement.Result{Kind: placement.Dropped})
			}
			return all
		}
		before := counts()
		ch := pickAll(pc, now)[list[0].ID]
		pc.HandleNotice(now, &ch, placement.Notice{Leaving: true})
		after := counts()
		moved := before[list[0].ID]
		for _, tg := range list[1:] {
			So(after[tg.ID]-before[tg.ID], ShouldBeBetween, 0, moved*3/7)
		}
	})
}

// Guards against a plan that counts the slots of targets that pause or leave.
func TestPlanSeesNotices(t *testing.T) {
	for name, nt := range map[string]placement.Notice{"leaving": {Leaving: true}, "pause": {Pause: 10 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			Convey("half of a region's targets want no requests, and half of its work moves to another region", t, func() {
				pc := newPlacer("a")
				list := append(targets(4, "north"), targets(4, "south")...)
				pc.SetTargets(start, list)
				now := afterFirstRequests(pc)
				demand := map[id.Pool]map[id.Region]workload.Demand{"desk": {"north": {Slots: 8}}}
				pc.UpdatePlan(now, demand)
				So(shares(pc, now, request)["north"], ShouldAlmostEqual, 1)
				for _, tg := range list[:2] {
					So(pc.HandleNotice(now, &placement.Choice{Target: tg}, nt), ShouldBeTrue)
				}
				for range 50 {
					now = now.Add(100 * time.Millisecond)
					pc.CountArrival(now, request("x"))
					pc.UpdatePlan(now, demand)
				}
				So(shares(pc, now, request)["north"], ShouldBeBetween, 0.4, 0.6)
			})
		})
	}
}

// Guards against a request that is sent to a target which began to pause or to leave, or was replaced, while the request waited for a
// connection.
func TestMaySend(t *testing.T) {
	Convey("a request for which a target was chosen", t, func() {
		pc, list, now := newPlacer("a"), targets(2, "north"), start
		pc.SetTargets(now, list)
		ch := pickAll(pc, now)[list[0].ID]
		So(pc.MaySend(now, &ch), ShouldBeTrue)
		Convey("may not be sent during a pause", func() {
			pc.HandleNotice(now, &ch, placement.Notice{Pause: time.Second})
			So(pc.MaySend(now, &ch), ShouldBeFalse)
			So(pc.MaySend(now.Add(time.Second), &ch), ShouldBeTrue)
		})
		Convey("may not be sent once the target leaves", func() {
			pc.HandleNotice(now, &ch, placement.Notice{Leaving: true})
			So(pc.MaySend(now.Add(time.Minute), &ch), ShouldBeFalse)
		})
		Convey("may not be sent once the target drains, is removed or has another process", func() {
			for _, change := range []func(tg *placement.Target){
				func(tg *placement.Target) { tg.Draining = true }, func(tg *placement.Target) { tg.StartUnixMilli = 2 },
				func(tg *placement.Target) { tg.Address = "y" }, func(tg *placement.Target) { tg.ID = "other" },
			} {
				next := append([]placement.Target(nil), list...)
				change(&next[0])
				pc.SetTargets(now, next)
				So(pc.MaySend(now, &ch), ShouldBeFalse)
			}
		})
	})
}

// Guards against requests that wait without bound, or in vain, for the end of a pause of all targets.
func TestWaitForPause(t *testing.T) {
	Convey("all targets of a pool pause for a second", t, func() {
		pc, list, now := newPlacer("a"), targets(3, "north"), start
		pc.SetTargets(now, list)
		pc.SetVMs(map[id.Region][]id.VM{"north": {"a", "b"}, "south": {"c", "d"}})
		So(pc.BeginWait(now, request("x"), time.Minute), ShouldBeFalse)
		for _, tg := range list {
			pc.HandleNotice(now, &placement.Choice{Target: tg}, placement.Notice{Pause: time.Second})
		}
		_, rf := pc.Pick(now, request("x"))
		So(rf.Paused, ShouldBeTrue)
		So(pc.PoolPause(now, request("x")), ShouldEqual, time.Second)
		Convey("a request that can't live so long may not wait", func() {
			So(pc.BeginWait(now, request("x"), time.Second), ShouldBeFalse)
			So(pc.BeginWait(now, request("x"), 3*time.Second), ShouldBeTrue)
		})
		Convey("each VM lets its part of as many requests wait as there are slots, half of it for requests that are not urgent", func() {
			wait := func(urgent bool) int {
				num := 0
				rq := request("x")
				for rq.Urgent = urgent; num < 100 && pc.BeginWait(now, rq, time.Minute); num++ {
				}
				return num
			}
			So(wait(false), ShouldEqual, 2)
			So(wait(true), ShouldEqual, 1)
			pc.EndWait("desk")
			So(wait(true), ShouldEqual, 1)
		})
		Convey("a target that leaves is not waited for", func() {
			for _, tg := range list {
				pc.HandleNotice(now, &placement.Choice{Target: tg}, placement.Notice{Leaving: true})
			}
			So(pc.BeginWait(now, request("x"), time.Minute), ShouldBeFalse)
			So(pc.PoolPause(now, request("x")), ShouldEqual, 0)
		})
	})
}

// Guards against requests that are refused in a region which has lost half of its targets a moment ago, while another region has free
// slots and the plan has not moved work there yet.
func TestRefusedRegionLacksSlots(t *testing.T) {
	for name, nt := range map[string]placement.Notice{"leaving": {Leaving: true}, "pause": {Pause: 10 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			Convey("requests that fill the rest of a region", t, func() {
				pc := newPlacer("a")
				list := append(targets(4, "north"), targets(4, "south")...)
				pc.SetTargets(start, list)
				now := afterFirstRequests(pc)
				demand := map[id.Pool]map[id.Region]workload.Demand{"desk": {"north": {Slots: 8}}}
				pc.UpdatePlan(now, demand)
				north := func(num int) (in int, refused int) {
					for nr := range num {
						ch, rf := pc.Pick(now, request(fmt.Sprint(nr)))
						switch {
						case rf != nil:
							refused++
						case ch.Region == "north":
							in++
						}
					}
					return in, refused
				}
				Convey("are refused if no target is missing", func() {
					_, refused := north(40)
					So(refused, ShouldBeGreaterThan, 0)
				})
				Convey("are sent to the other region if half of them are", func() {
					for _, tg := range list[:2] {
						pc.HandleNotice(now, &placement.Choice{Target: tg}, nt)
					}
					in, refused := north(20)
					So(refused, ShouldEqual, 0)
					So(in, ShouldBeBetween, 4, 16)
				})
			})
		})
	}
}
