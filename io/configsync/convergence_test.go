package configsync

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/internal/standin/platform"
)

// storeLatency is the processing time of a store call.
const storeLatency = 4 * time.Millisecond

// fleetSize describes a fleet and the limits that it is tested with.
type fleetSize struct {
	name      string
	sizes     []int
	regions   int
	watchers  int
	maxDelay  time.Duration // maximum time until a change is in force everywhere
	changes   int
	quietSpan time.Duration // simulated time from which the calls of an hour without changes are extrapolated
}

func fleets() []fleetSize {
	today, later := slices.Repeat([]int{2}, 6), slices.Repeat([]int{23}, 18)
	for domain := range 6 {
		later[domain]++ // 420 VMs in all
	}
	if underRace {
		return []fleetSize{
			{"12 VMs", today, 3, 2, 2 * time.Second, 20, 10 * time.Minute},
			{"72 VMs", slices.Repeat([]int{4}, 18), 8, 2, 5 * time.Second, 3, time.Minute},
		}
	}
	return []fleetSize{
		{"12 VMs", today, 3, 2, 2 * time.Second, 20, time.Hour},
		{"420 VMs", later, 8, 2, 5 * time.Second, 3, 2 * time.Minute},
	}
}

// Guards against a change that takes longer than its target time to be in force everywhere, if the operator's
// announcement is lost and VMs learn of the change only from the store and from digests. Prints the times and the
// number of store calls.
//
//	go test ./io/configsync -run TestConvergence -v
//
// The fleet is smaller with the race detector, so run it without -race for the full size.
func TestConvergence(t *testing.T) {
	for _, fe := range fleets() {
		synctest.Test(t, func(t *testing.T) {
			wd := newFleet(fe.sizes, fe.regions, fe.watchers, nil)
			defer wd.stop()
			for _, mb := range wd.vms {
				half := storeLatency/2 + wd.oneWay(mb.domain, 0) // the store is in the region of the first domain
				mb.store.SetClientFaults(platform.Faults{DelayBefore: half, DelayAfter: half})
			}
			wd.measureChange(t, fe.maxDelay)
			var took []time.Duration
			for nr := range fe.changes {
				time.Sleep(time.Duration(nr) * 777 * time.Millisecond) // varies the phase relative to watches and digests
				took = append(took, wd.measureChange(t, fe.maxDelay))
			}
			slices.Sort(took)
			t.Logf("%s: a change is in force everywhere after %v (median), %v (longest of %d)",
				fe.name, took[len(took)/2], took[len(took)-1], len(took))
			before := wd.st.Calls().Total()
			wd.measureChange(t, fe.maxDelay)
			t.Logf("%s: %d calls to the store in the %v after a change", fe.name, wd.st.Calls().Total()-before, 2*fe.maxDelay)
			t.Logf("%s: %d calls to the store in an hour without changes, %d if keys need store contacts, extrapolated from %v each",
				fe.name, wd.quietHour(fe.quietSpan, false), wd.quietHour(fe.quietSpan, true), fe.quietSpan)
			if longest := took[len(took)-1]; longest > fe.maxDelay {
				t.Errorf("%s: a change took %v, the target is %v", fe.name, longest, fe.maxDelay)
			}
			if faults := wd.check(); len(faults) > 0 {
				t.Error(faults)
			}
		})
	}
}

// measureChange accepts a change, waits for twice the target time and returns how long it took until the change was in
// force on every VM. The test fails if a VM does not have it by then.
func (wd *simulatedFleet) measureChange(t *testing.T, target time.Duration) time.Duration {
	if err := wd.accept(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	time.Sleep(2 * target)
	_, mf := wd.recordAccepted()
	last := start
	for _, mb := range wd.vms {
		mb.mu.Lock()
		ap := mb.applied[len(mb.applied)-1]
		if ap.gen != mf.Generation {
			t.Fatalf("%s has generation %d, accepted is %d", mb.name, ap.gen, mf.Generation)
		}
		if ap.at.After(last) {
			last = ap.at
		}
		mb.mu.Unlock()
	}
	return last.Sub(start)
}

// quietHour returns the number of store calls in an hour without changes, extrapolated from the simulated span.
func (wd *simulatedFleet) quietHour(span time.Duration, evidence bool) int64 {
	wd.silent.Store(true) // without changes, digests would only slow the test down
	defer wd.silent.Store(false)
	for _, mb := range wd.vms {
		mb.needsContact.Store(evidence)
	}
	before := wd.st.Calls().Total()
	time.Sleep(span)
	return (wd.st.Calls().Total() - before) * int64(time.Hour/span)
}
