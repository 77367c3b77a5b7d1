package configsync

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/internal/standin/platform"
)

// storeLatency is the time that the store takes for a call.
const storeLatency = 4 * time.Millisecond

// fleet is a size of the system.
type fleet struct {
	name     string
	sizes    []int
	regions  int
	watchers int
	target   time.Duration // a change is in force everywhere within this time
	changes  int
	quiet    time.Duration // simulated for the calls of a quiet hour
}

func fleets() []fleet {
	today, later := slices.Repeat([]int{2}, 6), slices.Repeat([]int{23}, 18)
	for domain := range 6 {
		later[domain]++ // 420 VMs in all
	}
	if underRace {
		return []fleet{
			{"12 VMs", today, 3, 2, 2 * time.Second, 20, 10 * time.Minute},
			{"72 VMs", slices.Repeat([]int{4}, 18), 8, 2, 5 * time.Second, 3, time.Minute},
		}
	}
	return []fleet{
		{"12 VMs", today, 3, 2, 2 * time.Second, 20, time.Hour},
		{"420 VMs", later, 8, 2, 5 * time.Second, 3, 2 * time.Minute},
	}
}

// Guards against a change that takes longer than the stated target to be in force everywhere, if the operator's
// announcement is lost and VMs learn of it from the store and from digests only. Prints the times and the calls.
//
//	go test ./io/configsync -run TestConvergence -v
//
// The fleet is smaller with the race detector, so "make test" runs it a second time without.
func TestConvergence(t *testing.T) {
	for _, fe := range fleets() {
		synctest.Test(t, func(t *testing.T) {
			wd := newWorld(fe.sizes, fe.regions, fe.watchers, nil)
			defer wd.stop()
			for _, mb := range wd.vms {
				half := storeLatency/2 + wd.oneWay(mb.domain, 0) // the store is in the region of the first domain
				mb.store.SetClientFaults(platform.Faults{DelayBefore: half, DelayAfter: half})
			}
			wd.measureChange(t, fe.target)
			var took []time.Duration
			for nr := range fe.changes {
				time.Sleep(time.Duration(nr) * 777 * time.Millisecond) // at another phase of watches and digests
				took = append(took, wd.measureChange(t, fe.target))
			}
			slices.Sort(took)
			t.Logf("%s: a change is in force everywhere after %v (median), %v (longest of %d)",
				fe.name, took[len(took)/2], took[len(took)-1], len(took))
			before := wd.st.Calls().Total()
			wd.measureChange(t, fe.target)
			t.Logf("%s: %d calls to the store in the %v after a change", fe.name, wd.st.Calls().Total()-before, 2*fe.target)
			t.Logf("%s: %d calls to the store in a quiet hour, %d if keys need evidence of the store, from %v each",
				fe.name, wd.quietHour(fe.quiet, false), wd.quietHour(fe.quiet, true), fe.quiet)
			if longest := took[len(took)-1]; longest > fe.target {
				t.Errorf("%s: a change took %v, the target is %v", fe.name, longest, fe.target)
			}
			if faults := wd.check(); len(faults) > 0 {
				t.Error(faults)
			}
		})
	}
}

// measureChange accepts a change and returns the time until it is in force on every VM, at most twice the target.
func (wd *world) measureChange(t *testing.T, target time.Duration) time.Duration {
	if err := wd.accept(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	time.Sleep(2 * target)
	_, mf := wd.learn()
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

// quietHour returns the number of calls in an hour without a change, from a simulation of the span.
func (wd *world) quietHour(span time.Duration, evidence bool) int64 {
	wd.silent.Store(true) // nothing is new, so digests would only cost time
	defer wd.silent.Store(false)
	for _, mb := range wd.vms {
		mb.evidence.Store(evidence)
	}
	before := wd.st.Calls().Total()
	time.Sleep(span)
	return (wd.st.Calls().Total() - before) * int64(time.Hour/span)
}
