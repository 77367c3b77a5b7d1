package configsync

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

// inFleet runs a specification in simulated time on one failure domain whose VMs have generation 1 in force.
func inFleet(t *testing.T, items string, vms, watchers int, run func(wd *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(items, t, func() {
			wd := newFleet([]int{vms}, 1, watchers, nil)
			defer wd.stop()
			So(wd.accept(context.Background(), 2), ShouldBeNil)
			time.Sleep(5 * time.Second)
			So(wd.vms[vms-1].generation(), ShouldEqual, 1)
			run(wd)
			So(wd.check(), ShouldBeEmpty)
		})
	})
}

func (mb *simulatedVM) generation() id.Generation {
	gen, _ := mb.fl.Load().Manifest()
	return gen
}

func (mb *simulatedVM) contactAge() time.Duration {
	at, _ := mb.fl.Load().LastStoreContact()
	return time.Since(at)
}

// Guards against a missed change: when the read fails after the watch reported the change, and when the watch waits on
// a dead connection while the freshness rule needs a store contact.
func TestFollowChange(t *testing.T) {
	inFleet(t, "A read that fails after a reported change is repeated", 1, 1, func(wd *simulatedFleet) {
		mb := wd.vms[0]
		mb.store.SetClientFaults(platform.Faults{DelayAfter: 10 * time.Second})
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(10 * time.Second) // the watch reported the change, the read got no response
		mb.store.SetClientFaults(platform.Faults{})
		time.Sleep(5 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
	inFleet(t, "A probe finds a change that a silent watch does not report", 1, 1, func(wd *simulatedFleet) {
		mb := wd.vms[0]
		mb.needsContact.Store(true)
		mb.store.SetClientFaults(platform.Faults{Watch: platform.WatchSilent})
		time.Sleep(time.Second) // the pending watch got the fault and stays silent
		mb.store.SetClientFaults(platform.Faults{})
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against a wrong hint that keeps a VM from fetching the newest configuration from its peers.
func TestFollowWrongHint(t *testing.T) {
	inFleet(t, "A VM that cannot reach the store follows its peers", 3, 2, func(wd *simulatedFleet) {
		mb := wd.vms[2]
		mb.store.SetClientFaults(platform.Faults{Silent: true})
		mb.fl.Load().Hint(1<<62, "nobody")
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(5 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against a store contact that is too old although the store is reachable, and against a recent one while a
// newer configuration, which may revoke keys, is missing.
func TestFollowStoreContact(t *testing.T) {
	const freshness = 5 * time.Second
	for name, fa := range map[string]platform.Faults{
		"a working store": {}, "a store that is down": {Down: true}, "a slow store": {DelayAfter: time.Second},
	} {
		inFleet(t, "The store contact stays recent with "+name, 1, 1, func(wd *simulatedFleet) {
			wd.vms[0].needsContact.Store(true)
			wd.st.SetFaults(fa)
			time.Sleep(10 * time.Second)
			for range 100 {
				time.Sleep(300 * time.Millisecond)
				So(wd.vms[0].contactAge(), ShouldBeLessThan, freshness)
			}
		})
	}
	inFleet(t, "The store contact ages while a newer configuration is missing", 1, 1, func(wd *simulatedFleet) {
		mb := wd.vms[0]
		mb.needsContact.Store(true)
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		_, mf := wd.recordAccepted()
		raw := mf.Next(config.Change{OperationID: "next", Time: time.Now()},
			[]config.PartRef{config.NewPartRef(config.BasePartName, []byte("not in the store"))}).Encode()
		time.Sleep(5 * time.Second)
		mb.fl.Load().Offer(raw)
		time.Sleep(time.Minute)
		So(mb.contactAge(), ShouldBeGreaterThan, 50*time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against an invalid configuration that replaces a valid one or blocks the next one.
func TestFollowRejectsInvalid(t *testing.T) {
	inFleet(t, "A manifest that cannot be built is ignored", 1, 1, func(wd *simulatedFleet) {
		mb := wd.vms[0]
		bad := []byte("no: configuration\n")
		ref := config.NewPartRef(config.BasePartName, bad)
		_, err := wd.st.Put(context.Background(), config.PartKey(ref.SHA256), bad, 0)
		So(err, ShouldBeNil)
		_, mf := wd.recordAccepted()
		next := mf.Next(config.Change{OperationID: "bad", Time: time.Now()}, []config.PartRef{ref})
		mb.fl.Load().Offer(next.Encode())
		mb.fl.Load().Offer([]byte("{}"))
		mb.needsContact.Store(true)
		time.Sleep(10 * time.Second)
		So(mb.generation(), ShouldEqual, 1)
		So(mb.contactAge(), ShouldBeLessThan, 5*time.Second) // the rejected manifest doesn't count as missing, so keys stay fresh
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		time.Sleep(5 * time.Second)
		So(mb.generation(), ShouldEqual, 2)
	})
}

// Guards against a new VM that puts an old configuration in force because the store is stale or silent, and against one
// that waits for the store although its peers have everything.
func TestFollowStart(t *testing.T) {
	for name, fa := range map[string]platform.Faults{"stale": {StaleBy: time.Minute}, "silent": {Silent: true}, "down": {Down: true}} {
		inFleet(t, "A new VM takes the configuration of its peers if the store is "+name, 3, 2, func(wd *simulatedFleet) {
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

// Guards against a new VM that applies an old configuration while it still fetches the parts of the announced one.
func TestFollowStartWaitsForParts(t *testing.T) {
	inFleet(t, "A new VM without peers", 1, 1, func(wd *simulatedFleet) {
		mb := wd.vms[0]
		time.Sleep(time.Minute)
		mb.stop()
		So(wd.accept(context.Background(), 2), ShouldBeNil)
		// The delay makes the announcement arrive before the response of the store in every run.
		wd.st.SetFaults(platform.Faults{StaleBy: 30 * time.Second, DelayAfter: time.Millisecond})
		mb.start()
		mb.fl.Load().Offer([]byte(wd.accepted[2]))
		time.Sleep(startupWait / 2)
		wd.st.SetFaults(platform.Faults{})
		time.Sleep(startupWait)
		So(mb.generation(), ShouldEqual, 2)
		So(mb.applied, ShouldHaveLength, 1)
	})
}
