package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	. "github.com/smartystreets/goconvey/convey"
)

// errorKind returns the kind of a store error, or "" for any other error or nil.
func errorKind(err error) store.Kind {
	var er *store.Error
	if errors.As(err, &er) {
		return er.Kind
	}
	return ""
}

// runSynctest runs a test in a synctest bubble, with simulated time and a new store.
func runSynctest(t *testing.T, items string, run func(ctx context.Context, st *platform.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(items, t, func() { run(t.Context(), platform.NewStore(platform.StoreOptions{})) })
	})
}

// Guards against a simulated store that accepts a write with a stale version. Tests of write conflicts would then
// pass without a conflict.
func TestConditionalUpdate(t *testing.T) {
	runSynctest(t, "A write needs the current version of the object", func(ctx context.Context, st *platform.Store) {
		first, err := st.Put(ctx, "a", []byte("1"), 0)
		So(err, ShouldBeNil)
		_, err = st.Put(ctx, "a", []byte("2"), 0)
		So(errorKind(err), ShouldEqual, store.Conflict)
		other, err := st.Put(ctx, "b", nil, 0)
		So(err, ShouldBeNil)
		So(other, ShouldBeGreaterThan, first)
		So(errorKind(st.Delete(ctx, "a", other)), ShouldEqual, store.Conflict)
		So(st.Delete(ctx, "a", first), ShouldBeNil)
		So(errorKind(st.Delete(ctx, "a", first)), ShouldEqual, store.NotFound)
		_, err = st.Get(ctx, "a")
		So(errorKind(err), ShouldEqual, store.NotFound)
		_, err = st.Put(ctx, "c", make([]byte, store.MaxObjectBytes+1), 0)
		So(errorKind(err), ShouldEqual, store.TooLarge)
		infos, _, err := st.List(ctx, "")
		So(err, ShouldBeNil)
		So(infos, ShouldResemble, []store.Info{{Key: "b", Version: other}})
	})
}

// Guards against lost or delayed writes that take effect when the fault excludes it, or fail to take effect when it
// doesn't.
func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name      string
		faults    platform.Faults
		kind      store.Kind
		afterCall bool // the write has taken effect when Put returns
		later     bool // the write has taken effect 10 s later
	}{
		{"lost response", platform.Faults{LoseAnswers: 1}, store.Unknown, true, true},
		{"lost request", platform.Faults{LoseRequests: 1}, store.Unknown, false, false},
		{"silent", platform.Faults{Silent: true}, store.Unknown, false, false},
		{"down", platform.Faults{Down: true}, store.Unavailable, false, false},
		{"delayed effect", platform.Faults{DelayBefore: 5 * time.Second}, store.Unknown, false, true},
		{"delayed response", platform.Faults{DelayAfter: 5 * time.Second}, store.Unknown, true, true},
		{"slow", platform.Faults{DelayBefore: time.Second}, "", true, true},
	}
	for _, tc := range cases {
		runSynctest(t, tc.name, func(ctx context.Context, st *platform.Store) {
			st.SetFaults(tc.faults)
			_, err := st.Put(ctx, "a", []byte("1"), 0)
			So(errorKind(err), ShouldEqual, tc.kind)
			st.SetFaults(platform.Faults{})
			_, err = st.Get(ctx, "a")
			So(err == nil, ShouldEqual, tc.afterCall)
			time.Sleep(10 * time.Second)
			_, err = st.Get(ctx, "a")
			So(err == nil, ShouldEqual, tc.later)
		})
	}
}

// Guards against reads and watches that see newer states than the StaleBy fault allows.
func TestStaleReads(t *testing.T) {
	runSynctest(t, "Reads and watches see the state of five seconds ago", func(ctx context.Context, st *platform.Store) {
		first, _ := st.Put(ctx, "a", []byte("1"), 0)
		time.Sleep(10 * time.Second)
		st.SetFaults(platform.Faults{StaleBy: 5 * time.Second})
		second, err := st.Put(ctx, "a", []byte("2"), first)
		So(err, ShouldBeNil)
		obj, err := st.Get(ctx, "a")
		So(err, ShouldBeNil)
		So(obj.Version, ShouldEqual, first)
		start := time.Now()
		changes, _, err := st.Watch(ctx, "a", first, time.Minute)
		So(err, ShouldBeNil)
		So(changes, ShouldResemble, []store.Change{{Key: "a", Version: second}})
		So(time.Since(start), ShouldEqual, 5*time.Second)
	})
}

// watcher runs one watch and stores its result.
type watcher struct {
	changes []store.Change
	err     error
	took    time.Duration
	done    chan struct{}
}

func (wa *watcher) run(ctx context.Context, st store.Store, after store.Version) {
	defer close(wa.done)
	start := time.Now()
	wa.changes, _, wa.err = st.Watch(ctx, "a", after, 30*time.Second)
	wa.took = time.Since(start)
}

// Guards against watches that miss a change, return late, or work normally under a fault.
func TestWatch(t *testing.T) {
	cases := []struct {
		name   string
		faults platform.Faults
		kind   store.Kind
		took   time.Duration
		count  int
	}{
		{"reports a change at once", platform.Faults{}, "", 3 * time.Second, 1},
		{"reports a delayed write when it takes effect", platform.Faults{DelayBefore: time.Second}, "", 4 * time.Second, 1},
		{"returns no changes at the end of its wait", platform.Faults{Watch: platform.WatchEmpty}, "", 30 * time.Second, 0},
		{"times out without a response", platform.Faults{Watch: platform.WatchSilent}, store.Timeout, 32 * time.Second, 0},
		{"fails when the store goes down", platform.Faults{Down: true}, store.Unavailable, 3 * time.Second, 0},
	}
	for _, tc := range cases {
		runSynctest(t, tc.name, func(ctx context.Context, st *platform.Store) {
			wa := &watcher{done: make(chan struct{})}
			go wa.run(ctx, st, 0)
			time.Sleep(3 * time.Second)
			st.SetFaults(tc.faults)
			_, _ = st.Put(ctx, "b", nil, 0)
			_, _ = st.Put(ctx, "a", nil, 0)
			<-wa.done
			So(errorKind(wa.err), ShouldEqual, tc.kind)
			So(wa.changes, ShouldHaveLength, tc.count)
			So(wa.took, ShouldBeBetweenOrEqual, tc.took, tc.took+time.Second)
			So(st.Calls().Watch, ShouldEqual, 1)
		})
	}
}

// Guards against a store that accepts calls beyond its limits, against miscounted calls, and against faults of one
// client that affect others.
func TestLimitsAndClients(t *testing.T) {
	runSynctest(t, "Calls beyond the rate limit are refused", func(ctx context.Context, st *platform.Store) {
		st.SetLimits(platform.Limits{ReadsPerSecond: 2})
		for range 3 {
			_, _ = st.VMs(ctx)
		}
		So(st.Calls(), ShouldResemble, platform.Calls{VMs: 3, RateLimited: 1})
		time.Sleep(time.Second)
		_, err := st.VMs(ctx)
		So(err, ShouldBeNil)
	})
	runSynctest(t, "A fault of one client does not affect others", func(ctx context.Context, st *platform.Store) {
		cut := st.NewClient()
		cut.SetClientFaults(platform.Faults{Silent: true})
		_, err := cut.VMs(ctx)
		So(errorKind(err), ShouldEqual, store.Timeout)
		_, err = st.VMs(ctx)
		So(err, ShouldBeNil)
		So(st.Calls().Total(), ShouldEqual, 1)
	})
}

// Guards against a list that omits a live VM. Other VMs would then take over its share.
func TestVMListLags(t *testing.T) {
	runSynctest(t, "A VM is listed at once and removed after the lag", func(ctx context.Context, st *platform.Store) {
		vl := st.VMList()
		vl.SetLag(5 * time.Second)
		rec := store.VMRecord{VM: "north-a-1", State: store.VMLive}
		vl.Set(rec)
		rec.State = store.VMLeaving
		vl.Set(rec)
		vl.Remove(rec.VM)
		recs, err := st.VMs(ctx)
		So(err, ShouldBeNil)
		So(recs[0].State, ShouldEqual, store.VMLive)
		time.Sleep(5 * time.Second)
		recs, _ = st.VMs(ctx)
		So(recs, ShouldBeEmpty)
		rec.State = store.VMLive
		vl.Set(rec)
		vl.Remove(rec.VM)
		vl.Set(rec)
		time.Sleep(time.Minute)
		recs, _ = st.VMs(ctx)
		So(recs, ShouldHaveLength, 1)
	})
}
