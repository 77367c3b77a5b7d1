package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/placement"
)

const retryWindow = 10 * time.Second

// Guards against retries beyond the budget, which would multiply the load during an outage.
func TestBudget(t *testing.T) {
	Convey("retries up to 0.2 of the requests within 10 s", t, func() {
		bg := placement.NewRetryBudget(start, 0.2, retryWindow)
		bg.SetSlack(5)
		taken := 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%10 == 0 {
				bg.CountRequest(now, "desk")
			}
			if bg.Take(now, "desk") {
				taken++
			}
		}
		So(taken, ShouldBeGreaterThan, 100)
		So(taken, ShouldBeLessThanOrEqualTo, 0.2*1000+5)
		So(bg.Take(start.Add(time.Minute), "desk"), ShouldBeTrue)
	})
	Convey("requests to one pool allow no retries to another pool", t, func() {
		bg := placement.NewRetryBudget(start, 0.2, retryWindow)
		for range 1000 {
			bg.CountRequest(start, "desk")
		}
		So(bg.Take(start, "desk"), ShouldBeTrue)
		So(bg.Take(start, "reports"), ShouldBeFalse)
	})
}

// Guards against VMs that start with the full slack. If VMs restart, all VMs together would then exceed the limit of the pool in
// a window.
func TestBudgetOfFleet(t *testing.T) {
	const vms, slack, ratio, perSecond = 58, 156.0, 0.2, 400
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	fleet := make([]*placement.RetryBudget, vms)
	restart := func(nr int) {
		fleet[nr] = placement.NewRetryBudget(now, ratio, retryWindow)
		fleet[nr].SetSlack(slack / vms)
	}
	for nr := range fleet {
		restart(nr)
	}
	var requests, retries []time.Time
	const step = 20 * time.Millisecond
	for tick := range 2000 {
		now = now.Add(step)
		if tick%40 == 0 && tick > 600 {
			restart(rng.IntN(vms))
		}
		for range int(perSecond * step.Seconds()) {
			nr := rng.IntN(vms)
			fleet[nr].CountRequest(now, "reports")
			fleet[nr].CountRequest(now, "desk")
			fleet[nr].CountRequest(now, "desk")
			requests = append(requests, now)
			for range 3 {
				if fleet[nr].Take(now, "reports") {
					retries = append(retries, now)
				}
			}
		}
		from := now.Add(-retryWindow)
		for len(requests) > 0 && requests[0].Before(from) {
			requests = requests[1:]
		}
		for len(retries) > 0 && retries[0].Before(from) {
			retries = retries[1:]
		}
		if most := ratio*float64(len(requests)) + slack; float64(len(retries)) > most {
			t.Fatalf("%d retries of %d requests in a window, %g are allowed", len(retries), len(requests), most)
		}
	}
}
