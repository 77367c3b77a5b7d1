package target

import (
	"testing"
	"time"

	"damasklatch/core/id"

	. "github.com/smartystreets/goconvey/convey"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against targets that are as fast at a cold start and for new clients as otherwise. Measurements of steering
// would then look too good.
func TestServiceTimes(t *testing.T) {
	op := DefaultOptions()
	op.ServiceTime = ServiceTime{Median: 10 * time.Millisecond}
	op.RouteServiceTime = map[id.Route]ServiceTime{"photos": {Median: time.Second}}
	st := newServiceTimes(op, 1)
	st.restart(epoch)
	for _, tc := range []struct {
		age    time.Duration
		route  id.Route
		client string
		median time.Duration
		want   time.Duration
	}{
		{0, "", "", 0, 40 * time.Millisecond},
		{2500 * time.Millisecond, "", "", 0, 25 * time.Millisecond},
		{5 * time.Second, "", "", 0, 10 * time.Millisecond},
		{5 * time.Second, "photos", "", 0, time.Second},
		{5 * time.Second, "photos", "", 3 * time.Millisecond, 3 * time.Millisecond},
		{5 * time.Second, "", "10.0.0.1", 0, 20 * time.Millisecond},
		{5 * time.Second, "", "10.0.0.1", 0, 10 * time.Millisecond},
	} {
		if got := st.draw(epoch.Add(tc.age), tc.route, tc.client, tc.median); got != tc.want {
			t.Errorf("age %v, route %q, client %q, median %v: %v, want %v", tc.age, tc.route, tc.client, tc.median, got, tc.want)
		}
	}
}

// Guards against service times that differ from run to run with the same seed.
func TestServiceTimesRepeat(t *testing.T) {
	one, two, other := newServiceTimes(DefaultOptions(), 1), newServiceTimes(DefaultOptions(), 1), newServiceTimes(DefaultOptions(), 2)
	differ := false
	for range 20 {
		got := one.draw(epoch, "", "", 0)
		if want := two.draw(epoch, "", "", 0); got != want {
			t.Fatalf("service times %v and %v with the same seed and target", got, want)
		}
		differ = differ || other.draw(epoch, "", "", 0) != got
	}
	if !differ {
		t.Error("targets 1 and 2 have the same service times")
	}
}

// Guards against load reports that are newer than the lag allows, and against reports that change while frozen.
func TestLoadReportsLag(t *testing.T) {
	Convey("Given one more request in flight every 50 ms, and a lag of 300 ms", t, func() {
		lr := &loadReporter{lag: 300 * time.Millisecond}
		for nr := range 20 {
			lr.add(epoch.Add(time.Duration(nr)*samplePeriod), Load{InFlight: nr, Slots: 40})
		}
		So(lr.report(40).InFlight, ShouldEqual, 13)
		lr.setMode(LoadFrozen)
		lr.add(epoch.Add(time.Second), Load{InFlight: 39})
		So(lr.report(40).InFlight, ShouldEqual, 13)
		lr.setMode(LoadTrue)
		lr.add(epoch.Add(2*time.Second), Load{InFlight: 30})
		So(lr.report(40).InFlight, ShouldEqual, 19)
	})
}
