package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/workload"
)

const (
	// maxShift is the largest part of a region's requests that may run in another region than in the window before.
	maxShift    = 0.15
	shiftWindow = 2 * time.Second
	// shiftTick is the time between two updates of the plans, and reportLag the age of the reports of other VMs.
	shiftTick = 100 * time.Millisecond
	reportLag = 500 * time.Millisecond
	serviceOf = 400 * time.Millisecond
)

// shiftFleet simulates VMs in three regions that place requests on targets in simulated time. The VMs see each other's demand
// with a delay.
type shiftFleet struct {
	rng      *rand.Rand
	regions  []id.Region
	vms      map[id.Region][]*placement.Placer
	list     []placement.Target
	perWhole float64 // requests a second of each region, without a surge

	now      time.Time
	inFlight map[id.Target]int
	ends     map[int64][]shiftEnd
	reports  []shiftReport
	placed   map[id.Region][]shiftPlacement // by region of the caller
	refused  int
	total    int
	wrongful int // refused movable requests that were to run in the south
	// surge is the factor of the requests of the team that must run in the central region.
	surge float64
	// home is the factor of the requests of each region that must run in the south.
	home map[id.Region]float64
}

type shiftEnd struct {
	pc     *placement.Placer
	choice placement.Choice
	began  time.Time
}

type shiftReport struct {
	at      time.Time
	demand  map[id.Pool]map[id.Region]workload.Demand
	traffic map[id.Region]map[id.Pool]placement.Traffic
}

type shiftPlacement struct {
	at     time.Time
	region id.Region
}

// shiftTargets are the numbers of targets of the regions, of 4 slots each. The south is too small for its own requests.
var shiftTargets = map[id.Region]int{"north": 60, "central": 70, "south": 14}

func newShiftFleet(vms int, seed uint64) *shiftFleet {
	fl := &shiftFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), regions: []id.Region{"north", "central", "south"}, vms: map[id.Region][]*placement.Placer{},
		now: start, inFlight: map[id.Target]int{}, ends: map[int64][]shiftEnd{}, placed: map[id.Region][]shiftPlacement{}, surge: 1,
		perWhole: 280, home: map[id.Region]float64{"north": 1, "central": 1, "south": 1},
	}
	for _, rg := range fl.regions {
		fl.list = append(fl.list, targets(shiftTargets[rg], rg)...)
	}
	names := map[id.Region][]id.VM{}
	for nr := range vms {
		rg := fl.regions[nr%3]
		name := id.VM(fmt.Sprint("vm-", nr))
		names[rg] = append(names[rg], name)
		pc := placement.New(placement.Options{Self: name, FailureDomain: id.FailureDomain(rg) + "-a", Region: rg})
		pc.SetTargets(start, fl.list)
		fl.vms[rg] = append(fl.vms[rg], pc)
	}
	for _, all := range fl.vms {
		for _, pc := range all {
			pc.SetVMs(names)
		}
	}
	return fl
}

// run lets requests arrive for the given time.
func (fl *shiftFleet) run(length time.Duration) {
	for end := fl.now.Add(length); fl.now.Before(end); fl.now = fl.now.Add(time.Millisecond) {
		if fl.now.Sub(start)%shiftTick == 0 {
			fl.update()
		}
		for _, en := range fl.ends[fl.now.UnixMilli()] {
			fl.inFlight[en.choice.ID]--
			num := fl.inFlight[en.choice.ID]
			load := placement.NewLoad(min(num, 4), max(num-4, 0), 4)
			en.pc.Done(fl.now, &en.choice, "read", placement.Result{Kind: placement.Succeeded, Latency: fl.now.Sub(en.began), Load: load})
		}
		delete(fl.ends, fl.now.UnixMilli())
		for _, rg := range fl.regions {
			fl.arrive(rg, fl.perWhole*0.78, func(*placement.Request) {})
			fl.arrive(rg, fl.perWhole*0.07, func(rq *placement.Request) { rq.Size = 60 << 10 })
			fl.arrive(rg, fl.perWhole*0.10*fl.surge, func(rq *placement.Request) { rq.Allowed = only("central") })
			fl.arrive(rg, fl.perWhole*0.05*fl.home[rg], func(rq *placement.Request) { rq.Allowed = only("south") })
		}
	}
}

func only(region id.Region) func(id.Region) bool {
	return func(rg id.Region) bool { return rg == region }
}

// arrive lets requests arrive in a millisecond at an average rate.
func (fl *shiftFleet) arrive(rg id.Region, perSecond float64, change func(*placement.Request)) {
	for part := perSecond / 1000; part > 0; part-- {
		if fl.rng.Float64() >= part {
			continue
		}
		pc := fl.vms[rg][fl.rng.IntN(len(fl.vms[rg]))]
		rq := request(fmt.Sprint(fl.rng.IntN(20_000)))
		rq.Urgent = false
		change(rq)
		fl.total++
		pc.CountArrival(fl.now, rq)
		ch, rf := pc.Pick(fl.now, rq)
		if rf != nil {
			fl.refused++
			if rq.Allowed == nil && rf.Reason == placement.Full && rf.Region == "south" {
				fl.wrongful++
			}
			continue
		}
		fl.placed[rg] = append(fl.placed[rg], shiftPlacement{fl.now, ch.Region})
		fl.inFlight[ch.ID]++
		took := serviceOf + time.Duration(max(fl.inFlight[ch.ID]-4, 0))*serviceOf/4
		end := fl.now.Add(took).UnixMilli()
		fl.ends[end] = append(fl.ends[end], shiftEnd{pc, ch, fl.now})
	}
}

// update passes the reports of reportLag ago to all VMs and collects new ones.
func (fl *shiftFleet) update() {
	rp := shiftReport{at: fl.now, demand: map[id.Pool]map[id.Region]workload.Demand{"desk": {}}, traffic: map[id.Region]map[id.Pool]placement.Traffic{}}
	for rg, all := range fl.vms {
		var dm workload.Demand
		var sum placement.Traffic
		for _, pc := range all {
			dm.Add(pc.Demand(fl.now)["desk"])
			sum.Add(pc.Traffic(fl.now)["desk"])
		}
		rp.demand["desk"][rg], rp.traffic[rg] = dm, map[id.Pool]placement.Traffic{"desk": sum}
	}
	fl.reports = append(fl.reports, rp)
	for len(fl.reports) > 1 && fl.now.Sub(fl.reports[1].at) >= reportLag {
		fl.reports = fl.reports[1:]
	}
	if old := fl.reports[0]; fl.now.Sub(old.at) >= reportLag {
		for rg, all := range fl.vms {
			for _, pc := range all {
				pc.SetRegionTraffic(fl.now, old.traffic[rg])
				pc.UpdatePlan(fl.now, old.demand)
			}
		}
		return
	}
	for _, all := range fl.vms {
		for _, pc := range all {
			pc.UpdatePlan(fl.now, nil)
		}
	}
}

// largestShift returns the largest part of a region's requests that changed region from one window to the next, and where.
func (fl *shiftFleet) largestShift() (most float64, where string) {
	shares := func(rg id.Region, from time.Duration) (map[id.Region]float64, int) {
		all, num := map[id.Region]float64{}, 0
		for _, pm := range fl.placed[rg] {
			if at := pm.at.Sub(start) - from; at >= 0 && at < shiftWindow {
				all[pm.region]++
				num++
			}
		}
		for name := range all {
			all[name] /= float64(num)
		}
		return all, num
	}
	const minRequests = 200 // below, chance alone moves more
	for _, rg := range fl.regions {
		for from := time.Duration(0); start.Add(from + 2*shiftWindow).Before(fl.now); from += 500 * time.Millisecond {
			before, num := shares(rg, from)
			after, next := shares(rg, from+shiftWindow)
			moved := 0.0
			for _, name := range fl.regions {
				moved += max(after[name]-before[name], 0)
			}
			if num >= minRequests && next >= minRequests && moved > most {
				most, where = moved, fmt.Sprintf("%s at %v: %.2v to %.2v (%d and %d requests)", rg, from+shiftWindow, before, after, num, next)
			}
		}
	}
	return most, where
}

// loseHalf takes half of a region's targets away.
func (fl *shiftFleet) loseHalf(rg id.Region) {
	var kept []placement.Target
	lost := 0
	for _, tg := range fl.list {
		if tg.Region == rg && lost < shiftTargets[rg]/2 {
			lost++
			continue
		}
		kept = append(kept, tg)
	}
	fl.list = kept
	for _, all := range fl.vms {
		for _, pc := range all {
			pc.SetTargets(fl.now, kept)
		}
	}
}

// checkShift plays a case with fleets of several sizes and seeds, and checks how many requests of a region change their region.
func checkShift(t *testing.T, vms []int, play func(fl *shiftFleet)) {
	for _, num := range vms {
		seeds := uint64(3)
		if num > 12 {
			seeds = 2 // these take long under the race detector
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", num, seed), func(t *testing.T) {
				t.Parallel()
				fl := newShiftFleet(num, seed)
				play(fl)
				most, where := fl.largestShift()
				t.Logf("largest shift %.3f, %s; refused %d of %d", most, where, fl.refused, fl.total)
				if most > maxShift {
					t.Errorf("%.3f of the requests change their region within %v, want at most %.2f: %s", most, shiftWindow, maxShift, where)
				}
			})
		}
	}
}

// Guards against a region whose VMs start from a plan that leaves out the requests which can't follow it, and then move too many of
// the others at once to make up for them.
func TestShiftWhenTrafficBegins(t *testing.T) {
	checkShift(t, []int{4, 12, 65, 195}, func(fl *shiftFleet) {
		fl.home["south"] = 5
		fl.run(8 * time.Second)
	})
}

// Guards against a region that moves its requests at once, beyond the cap, when another region loses targets.
func TestShiftWhenTargetsAreLost(t *testing.T) {
	checkShift(t, []int{4, 12, 65, 195}, func(fl *shiftFleet) {
		fl.run(6 * time.Second)
		fl.loseHalf("central")
		fl.run(6 * time.Second)
	})
}

// surge lets a team that must run in the central region send ten times its usual for a while.
func surge(fl *shiftFleet) {
	fl.run(6 * time.Second)
	fl.surge = 10
	fl.run(5 * time.Second)
	fl.surge = 1
	fl.run(5 * time.Second)
}

// Guards against a region of which too many requests change their region when a team that must run in another region sends many
// times its usual, and when it stops.
func TestShiftInSurgeOfBoundTeam(t *testing.T) {
	checkShift(t, []int{4, 12}, surge)
}

// The same for fleets whose VMs each get so few requests that only the reports of all of them show the surge.
func TestShiftInSurgeOfBoundTeamOfLargeFleet(t *testing.T) {
	checkShift(t, []int{65, 195}, surge)
}

// Guards against movable requests that go to a full region to make up for the bound ones which that region refuses, and are refused
// there, too.
func TestMovableRequestsAvoidFullRegion(t *testing.T) {
	for _, vms := range []int{4, 12, 65} {
		fl := newShiftFleet(vms, 1)
		for _, rg := range fl.regions {
			fl.home[rg] = 6
		}
		fl.run(10 * time.Second)
		t.Logf("%d VMs: %d of %d requests refused, %d of them movable and in the south", vms, fl.refused, fl.total, fl.wrongful)
		if fl.wrongful > fl.total/100 {
			t.Errorf("%d VMs: %d of %d requests are movable and refused in the full region, want at most 1 in 100", vms, fl.wrongful, fl.total)
		}
	}
}

// Guards against refusals of requests that may run in another region only, while a VM that has just started has no plan to exceed.
func TestNoPlanRefusesNothing(t *testing.T) {
	pc := newPlacer("a")
	pc.SetTargets(start, append(targets(4, "north"), targets(4, "south")...))
	for nr := range 200 {
		rq := request(fmt.Sprint(nr))
		rq.Allowed = only("south")
		now := start.Add(time.Duration(nr) * time.Millisecond)
		pc.CountArrival(now, rq)
		ch, rf := pc.Pick(now, rq)
		if rf != nil {
			t.Fatalf("request %d was refused: %s", nr, rf.Reason)
		}
		finish(pc, now, ch, time.Millisecond)
	}
}
