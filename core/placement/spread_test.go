package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/placement"
)

// busyTarget makes so many requests on the object run at its target that a further one would wait too long there. It returns the target.
func busyTarget(pc *placement.Placer, rq *placement.Request) id.Target {
	var first placement.Choice
	for {
		ch, rf := pc.Pick(start, rq)
		if rf != nil {
			return first.ID
		}
		if first.ID == "" {
			first = ch
		}
		if ch.ID != first.ID {
			pc.Done(start, &ch, rq.Route, placement.Result{Kind: placement.Dropped})
			return first.ID
		}
	}
}

// fill makes requests run at all other targets until only so many slots of each are free.
func fill(pc *placement.Placer, list []placement.Target, except id.Target, free int) {
	for _, tg := range list {
		if tg.ID == except {
			continue
		}
		ch := placement.Choice{Target: tg}
		pc.Done(start, &ch, "other", placement.Result{Kind: placement.Dropped, Load: placement.NewLoad(tg.Slots-free, 0, tg.Slots)})
	}
}

// Guards against requests that are refused because the target of their object is full, while other targets have free slots: the hash
// gives some targets more work than others.
func TestSecondTargetOfObject(t *testing.T) {
	list := targets(8, "north")
	fresh := func() *placement.Placer {
		pc := newPlacer("a")
		pc.SetTargets(start, list)
		return pc
	}
	Convey("an object whose target is full", t, func() {
		pc := fresh()
		Convey("goes to the same other target from all VMs while most targets have a free slot", func() {
			for nr := range 10 {
				object := fmt.Sprint(nr)
				pc, other := fresh(), fresh()
				first := busyTarget(pc, request(object))
				So(busyTarget(other, request(object)), ShouldEqual, first)
				fill(pc, list, first, 2)
				fill(other, list, first, 2)
				one, rf := pc.Pick(start, request(object))
				So(rf, ShouldBeNil)
				two, rf := other.Pick(start, request(object))
				So(rf, ShouldBeNil)
				So(one.ID, ShouldNotEqual, first)
				So(one.ID, ShouldEqual, two.ID)
			}
		})
		Convey("is refused while the region is busy", func() {
			fill(pc, list, "", 1)
			for range 5 {
				_, rf := pc.Pick(start, request("x"))
				So(rf, ShouldBeNil)
			}
			_, rf := pc.Pick(start, request("x"))
			So(rf, ShouldNotBeNil)
			So(rf.Reason, ShouldEqual, placement.Full)
		})
	})
}

// Guards against requests that are refused although a target that does not know their object would respond in time, and against ones
// that overflow although it would not.
func TestOverflowWithinObjective(t *testing.T) {
	list := targets(8, "north")
	accepted := func(objective time.Duration) bool {
		pc := newPlacer("a")
		pc.SetTargets(start, list)
		rq := request("x")
		rq.Objective, rq.Remaining = objective, 4*objective
		// The service times of the route are learned from work on known and on unknown objects.
		for nr := range 200 {
			took := 200 * time.Millisecond
			if nr%5 == 0 {
				took = 600 * time.Millisecond
			}
			ch, rf := pc.Pick(start, rq)
			So(rf, ShouldBeNil)
			pc.Done(start, &ch, rq.Route, placement.Result{Kind: placement.Succeeded, Latency: took})
		}
		fill(pc, list, "", 3) // no target is idle
		first := busyTarget(pc, rq)
		second := busyTarget(pc, rq)
		So(second, ShouldNotEqual, first)
		_, rf := pc.Pick(start, rq)
		return rf == nil
	}
	Convey("a request whose first two targets are full", t, func() {
		So(accepted(time.Second), ShouldBeTrue)
		So(accepted(700*time.Millisecond), ShouldBeFalse)
	})
}

// Guards against large responses that cross the link between failure domains although the own one has targets for them.
func TestLargeResponsesStayLocal(t *testing.T) {
	list := targets(8, "north")
	for nr := range list {
		list[nr].FailureDomain = id.FailureDomain([]string{"north-a", "north-b"}[nr%2])
	}
	Convey("after responses of a size, the part that comes from the own failure domain", t, func() {
		local := func(bytes int64) int {
			pc := newPlacer("a")
			pc.SetTargets(start, list)
			num := 0
			for nr := range 200 {
				ch, rf := pc.Pick(start, request(fmt.Sprint(nr)))
				So(rf, ShouldBeNil)
				if nr >= 100 && ch.FailureDomain == "north-a" {
					num++
				}
				pc.Done(start, &ch, "read", placement.Result{Kind: placement.Succeeded, Latency: 100 * time.Millisecond, Bytes: bytes})
			}
			return num
		}
		So(local(90<<10), ShouldEqual, 100)
		So(local(2<<10), ShouldBeBetween, 20, 80)
	})
}

// playTeams sends requests of a team that asks for many times what four targets can do, and a few of another one, which is called small. It
// returns the part of the requests of these two that was served.
func playTeams(small id.Team) (smallServed, largeServed float64) {
	const (
		service = 160 * time.Millisecond
		tick    = 5 * time.Millisecond
		ticks   = 3000
		// measured is the tick from which requests count: before, the shares of the teams are not known yet.
		measured = 600
	)
	type running struct {
		choice placement.Choice
		until  time.Time
	}
	pc := newPlacer("a")
	pc.SetTargets(start, targets(4, "north"))
	busy := map[id.Target]time.Time{} // when the target has done all that it got
	var queue []running
	var asked, served [2]float64
	for nr := range ticks {
		now := start.Add(time.Duration(nr) * tick)
		for len(queue) > 0 && !queue[0].until.After(now) {
			pc.Done(now, &queue[0].choice, "read", placement.Result{Kind: placement.Succeeded, Latency: service})
			queue = queue[1:]
		}
		for at := range 5 { // 1,000 requests a second; the targets can do 100
			rq := request(fmt.Sprint(nr*5 + at))
			rq.Team, rq.Weight = "large", 1
			who := 0
			if nr%20 == 0 && at == nr/20%5 {
				rq.Team, who = small, 1
			}
			ch, rf := pc.Pick(now, rq)
			if nr >= measured {
				asked[who]++
			}
			if rf != nil {
				continue
			}
			if nr >= measured {
				served[who]++
			}
			from := now
			if busy[ch.ID].After(now) {
				from = busy[ch.ID]
			}
			busy[ch.ID] = from.Add(service / 4)
			queue = append(queue, running{ch, busy[ch.ID].Add(service * 3 / 4)})
		}
	}
	return served[1] / asked[1], served[0] / asked[0]
}

// Guards against a team that is refused as often as another one that asks for many times as much. The same requests under the name of
// the large team are the baseline.
func TestTeamsShareFullPool(t *testing.T) {
	Convey("the team that asks for less than its share", t, func() {
		alone, _ := playTeams("large")
		small, large := playTeams("small")
		So(1-small, ShouldBeLessThan, (1-alone)/4)
		So(large, ShouldBeBetween, 0.05, 0.15)
	})
}

// Guards against a team that loses part of what it is entitled to: docs/design.md, section 1.5.
func TestSmallTeamKeepsItsEntitlement(t *testing.T) {
	Convey("the team that asks for less than its share", t, func() {
		small, _ := playTeams("small")
		So(small, ShouldBeGreaterThanOrEqualTo, 0.98)
	})
}
