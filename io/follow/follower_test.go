package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/standin/platform"

	. "github.com/smartystreets/goconvey/convey"
)

// inWorld runs a specification with one failure domain, in simulated time, after generation 1 is in force.
func inWorld(t *testing.T, items string, vms, watchers int, run func(wd *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(items, t, func() {
			wd := newWorld([]int{vms}, 1, watchers, nil)
			defer wd.stop()
			So(wd.accept(context.Background(), 2), ShouldBeNil)
			time.Sleep(5 * time.Second)
			So(wd.vms[vms-1].generation(), ShouldEqual, 1)
			run(wd)
			So(wd.check(), ShouldBeEmpty)
		})
	})
}

func (mb *member) generation() id.Generation {
	gen, _ := mb.fl.Load().Manifest()
	return gen
}

func (mb *member) evidenceAge() time.Duration {
	at, _ := mb.fl.Load().StoreEvidence()
	return time.Since(at)
}

// Guards against a watch that stays without effect: on a read that fails after the change was reported, and on a
// connection that went silent while the freshness rule needs the store.
func TestFollowChange(t *testing.T) {
	inWorld(t, "A read that fails after the report is repeated", 1, 1, func(wd *world) {
		mb := wd.vms[0]
		mb.store.SetClientFaults(platform.Faults{DelayAfter: 10 * time.Second})
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(10 * time.Second) // the report of the watch has arrived, the read had no answer
		mb.store.SetClientFaults(platform.Faults{})
		time.Sleep(5 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
	inWorld(t, "A probe finds what a silent watch does not report", 1, 1, func(wd *world) {
		mb := wd.vms[0]
		mb.evidence.Store(true)
		mb.store.SetClientFaults(platform.Faults{Watch: platform.WatchSilent})
		time.Sleep(time.Second) // the waiting watch has met the fault and stays silent
		mb.store.SetClientFaults(platform.Faults{})
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against a wrong hint that keeps a VM from the peers that have the newest configuration.
func TestFollowWrongHint(t *testing.T) {
	inWorld(t, "A VM cut off from the store follows its peers", 3, 2, func(wd *world) {
		mb := wd.vms[2]
		mb.store.SetClientFaults(platform.Faults{Silent: true})
		mb.fl.Load().Hint(1<<62, "nobody")
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(5 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against evidence that is too old on a store that is reached, and against evidence that hides that a newer
// configuration, which may revoke keys, is missing.
func TestFollowEvidence(t *testing.T) {
	const freshness = 5 * time.Second
	for name, fa := range map[string]platform.Faults{
		"a store that works": {}, "a store that is down": {Down: true}, "a slow store": {DelayAfter: time.Second},
	} {
		inWorld(t, "Evidence stays fresh with "+name, 1, 1, func(wd *world) {
			wd.vms[0].evidence.Store(true)
			wd.st.SetFaults(fa)
			time.Sleep(10 * time.Second)
			for range 100 {
				time.Sleep(300 * time.Millisecond)
				So(wd.vms[0].evidenceAge(), ShouldBeLessThan, freshness)
			}
		})
	}
	inWorld(t, "Evidence ages while a newer configuration is missing", 1, 1, func(wd *world) {
		mb := wd.vms[0]
		mb.evidence.Store(true)
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		_, mf := wd.learn()
		raw := mf.Next(config.Change{OperationID: "next", Time: time.Now()},
			[]config.PartRef{config.NewPartRef(config.BasePartName, []byte("not in the store"))}).Encode()
		time.Sleep(5 * time.Second)
		mb.fl.Load().Offer(raw)
		time.Sleep(time.Minute)
		So(mb.evidenceAge(), ShouldBeGreaterThan, 50*time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against a bad configuration that replaces a good one or blocks the next one.
func TestFollowHoldsLast(t *testing.T) {
	inWorld(t, "A manifest whose parts can't be built is passed over", 1, 1, func(wd *world) {
		mb := wd.vms[0]
		bad := []byte("no: configuration\n")
		ref := config.NewPartRef(config.BasePartName, bad)
		_, err := wd.st.Put(context.Background(), config.PartKey(ref.SHA256), bad, 0)
		So(err, ShouldBeNil)
		_, mf := wd.learn()
		next := mf.Next(config.Change{OperationID: "bad", Time: time.Now()}, []config.PartRef{ref})
		mb.fl.Load().Offer(next.Encode())
		mb.fl.Load().Offer([]byte("{}"))
		mb.evidence.Store(true)
		time.Sleep(10 * time.Second)
		So(mb.generation(), ShouldEqual, 1)
		So(mb.evidenceAge(), ShouldBeLessThan, 5*time.Second) // it is not missing, so keys stay fresh
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(5 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against a new VM that puts an old configuration in force because the store is stale or silent, and against
// one that needs the store although its peers have everything.
func TestFollowStart(t *testing.T) {
	for name, fa := range map[string]platform.Faults{"stale": {StaleBy: time.Minute}, "silent": {Silent: true}, "down": {Down: true}} {
		inWorld(t, "A new VM takes the configuration of its peers if the store is "+name, 3, 2, func(wd *world) {
			time.Sleep(2 * time.Minute)
			So(wd.accept(context.Background(), 2), ShouldBeNil)
			time.Sleep(5 * time.Second)
			wd.st.SetFaults(fa)
			mb := wd.vms[0]
			mb.stop()
			mb.start()
			time.Sleep(3 * time.Second)
			So(mb.generation(), ShouldEqual, 2)
			So(mb.applied, ShouldHaveLength, 1)
		})
	}
}

// Guards against a new VM that applies an old configuration while the parts of the announced one are on their way.
func TestFollowStartWaitsForParts(t *testing.T) {
	inWorld(t, "A new VM without peers", 1, 1, func(wd *world) {
		mb := wd.vms[0]
		time.Sleep(time.Minute)
		mb.stop()
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		// With the delay, the announcement comes before the answer of the store in every run.
		wd.st.SetFaults(platform.Faults{StaleBy: 30 * time.Second, DelayAfter: time.Millisecond})
		mb.start()
		mb.fl.Load().Offer([]byte(wd.accepted[2]))
		time.Sleep(startWait / 2)
		wd.st.SetFaults(platform.Faults{})
		time.Sleep(startWait)
		So(mb.generation(), ShouldEqual, 2)
		So(mb.applied, ShouldHaveLength, 1)
	})
}
