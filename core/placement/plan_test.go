package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/workload"
)

// shares returns the fractions of requests on many objects that a placer sends to each region.
func shares(pc *placement.Placer, now time.Time, rq func(object string) *placement.Request) map[id.Region]float64 {
	const num = 600
	all := map[id.Region]float64{}
	for nr := range num {
		ch, rf := pc.Pick(now, rq(fmt.Sprint("object-", nr)))
		if rf != nil {
			continue
		}
		all[ch.Region] += 1.0 / num
		pc.Done(now, &ch, "read", placement.Result{Kind: placement.Succeeded, Latency: 50 * time.Millisecond})
	}
	return all
}

// mixedShares returns the fractions of the movable requests that a placer sends to each region, and the fraction of those that must
// run in the north which it sends there. They are the given number of each "of" requests.
func mixedShares(pc *placement.Placer, now time.Time, bound, of int) (movable map[id.Region]float64, north float64) {
	const num = 1050
	movable = map[id.Region]float64{}
	var sum, sumBound float64
	for nr := range num {
		rq := request(fmt.Sprint("object-", nr))
		if nr%of < bound {
			rq.Allowed = only("north")
			sumBound++
		} else {
			sum++
		}
		ch, rf := pc.Pick(now, rq)
		switch {
		case rf != nil:
			continue
		case rq.Allowed == nil:
			movable[ch.Region]++
		case ch.Region == "north":
			north++
		}
		pc.Done(now, &ch, "read", placement.Result{Kind: placement.Succeeded, Latency: 50 * time.Millisecond})
	}
	for name := range movable {
		movable[name] /= sum
	}
	return movable, north / sumBound
}

// afterFirstRequests lets requests arrive at a placer, and returns a later time at which the demand of all regions is known.
func afterFirstRequests(pc *placement.Placer) time.Time {
	pc.CountArrival(start, request("x"))
	pc.Demand(start)
	return start.Add(2 * time.Second)
}

// Guards against a small region that fills up with work that could run elsewhere, while requests of a team that must run there
// are refused.
func TestPlanLeavesRoomForBoundWork(t *testing.T) {
	Convey("work that must run in the small region uses most of it", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, append(targets(2, "north"), targets(8, "south")...))
		demand := map[id.Region]workload.Demand{
			"north": {Slots: 7, Bound: map[id.Region]float64{"north": 3}}, "south": {Slots: 10, Bound: map[id.Region]float64{"north": 3}},
		}
		now := afterFirstRequests(pc)
		pc.UpdatePlan(now, map[id.Pool]map[id.Region]workload.Demand{"desk": demand})
		movable, north := mixedShares(pc, now, 3, 7)
		So(movable["south"], ShouldBeGreaterThan, 0.95)
		So(north, ShouldAlmostEqual, 1)
	})
	Convey("the same demand, all of it movable", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, append(targets(2, "north"), targets(8, "south")...))
		demand := map[id.Region]workload.Demand{"north": {Slots: 7}, "south": {Slots: 10}}
		now := afterFirstRequests(pc)
		pc.UpdatePlan(now, map[id.Pool]map[id.Region]workload.Demand{"desk": demand})
		So(shares(pc, now, request)["north"], ShouldBeGreaterThan, 0.3)
	})
}

// Guards against demand of restricted requests that a VM reports as work which may run anywhere, and against first figures that
// are too low because the moving average starts at zero.
func TestDemandOfBoundWork(t *testing.T) {
	Convey("half of the requests must run in the south", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, append(targets(2, "north"), targets(8, "south")...))
		now := start
		for nr := range 40 {
			rq := request("x")
			if nr%2 == 0 {
				rq.Allowed = func(rg id.Region) bool { return rg == "south" }
			}
			pc.CountArrival(now, rq)
			pc.Demand(now)
			now = now.Add(50 * time.Millisecond)
		}
		dm := pc.Demand(now)["desk"]
		perSlot := objective.Seconds() / 0.05 // one request of this length every 50 ms
		So(dm.Slots, ShouldAlmostEqual, perSlot, 0.1*perSlot)
		So(dm.Bound["south"], ShouldAlmostEqual, perSlot/2, 0.1*perSlot)
		So(dm.Bound, ShouldNotContainKey, id.Region("north"))
	})
}

// Guards against a plan that a VM of a small region makes right after its start, while the reports of other regions are missing
// or too low: the region would keep work that it can't handle for as long as the plan takes to move it away.
func TestPlanAfterStart(t *testing.T) {
	Convey("all VMs have just started", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, append(targets(2, "north"), targets(8, "south")...))
		update := func(now time.Time, north, south float64) {
			pc.Demand(now)
			pc.UpdatePlan(now, map[id.Pool]map[id.Region]workload.Demand{"desk": {"north": {Slots: north}, "south": {Slots: south}}})
		}
		now := start
		for range 10 {
			for range 2 {
				pc.CountArrival(now, request("x"))
			}
			update(now, 0.7, 0)
			now = now.Add(100 * time.Millisecond)
		}
		So(shares(pc, now, request)["north"], ShouldAlmostEqual, 0.4, 0.1)
		Convey("the plan soon follows the measured demand", func() {
			for range 25 {
				for range 2 {
					pc.CountArrival(now, request("x"))
				}
				update(now, 20, 12)
				now = now.Add(100 * time.Millisecond)
			}
			So(shares(pc, now, request)["north"], ShouldAlmostEqual, 0.32, 0.1)
		})
	})
}

// Guards against requests that may run in their own region or in another one and are planned as if half of them ran in each: movable
// requests of a region with room would then leave it to fill the other half.
func TestPlanOfRequestsWithTwoRegions(t *testing.T) {
	Convey("three in ten requests may run in the north or in the south, and the north has room", t, func() {
		pc := newPlacer("a")
		pc.SetTargets(start, slices.Concat(targets(40, "north"), targets(40, "south"), targets(40, "west")))
		placed, refused := map[id.Region]int{}, 0
		now := start
		for nr := range 2000 {
			now = now.Add(5 * time.Millisecond)
			rq := request(fmt.Sprint("object-", nr))
			if nr%10 < 3 {
				rq.Allowed = func(rg id.Region) bool { return rg == "north" || rg == "south" }
			}
			if nr%10 == 9 {
				rq.Allowed = only("south")
			}
			pc.CountArrival(now, rq)
			if nr%10 == 0 {
				own := pc.Demand(now)["desk"]
				pc.UpdatePlan(now, map[id.Pool]map[id.Region]workload.Demand{"desk": {"north": own, "south": own, "west": {}}})
			}
			ch, rf := pc.Pick(now, rq)
			if rf != nil {
				refused++
				continue
			}
			placed[ch.Region]++
			pc.Done(now, &ch, "read", placement.Result{Kind: placement.Succeeded, Latency: 50 * time.Millisecond})
		}
		So(refused, ShouldBeLessThan, 20)
		So(placed["south"], ShouldBeLessThan, 260)
	})
}
