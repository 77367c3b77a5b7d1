package balance_test

import (
	"fmt"
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/balance"
	"damasklatch/core/id"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func pool(num, slots int) []balance.Target {
	var all []balance.Target
	for nr := range num {
		all = append(all, balance.Target{Name: id.Target(fmt.Sprint("t", nr)), Slots: slots, MaxConnections: 400})
	}
	return all
}

func states(st *balance.Set) map[balance.State]int {
	all := map[balance.State]int{}
	for _, sc := range st.Status(start) {
		all[sc.State]++
	}
	return all
}

// Guards against dead targets that stay in use or never return to use, and against ejection after a single failure.
func TestDeadTargets(t *testing.T) {
	Convey("Given a pool of three targets", t, func() {
		st := balance.New(1)
		st.SetTargets(start, pool(3, 4))
		fail := func(now time.Time) {
			st.Done(now, "t0", balance.Result{Kind: balance.Broken, Started: now})
		}
		Convey("two consecutive failures eject a target", func() {
			fail(start)
			So(states(st)[balance.Dead], ShouldEqual, 0)
			fail(start)
			So(states(st)[balance.Dead], ShouldEqual, 1)
			for range 8 {
				name, ok := st.Pick(start)
				So(ok, ShouldBeTrue)
				So(name, ShouldNotEqual, id.Target("t0"))
			}
			Convey("an answered poll after the ejection time restores the target with a slow start", func() {
				st.PollAnswered(start.Add(100*time.Millisecond), "t0", balance.Load{Slots: 4})
				So(states(st)[balance.Dead], ShouldEqual, 1)
				back := start.Add(2 * time.Second)
				st.PollAnswered(back, "t0", balance.Load{Slots: 4})
				So(states(st)[balance.Usable], ShouldEqual, 3)
				So(st.FreeSlots(back), ShouldEqual, 1)
				So(st.FreeSlots(back.Add(time.Minute)), ShouldEqual, 4)
			})
		})
		Convey("a failed poll ejects a target, unless it has responded to a request since", func() {
			st.Done(start.Add(time.Second), "t1", balance.Result{Kind: balance.Success, Latency: time.Millisecond})
			st.PollFailed(start.Add(2*time.Second), start, "t1")
			So(states(st)[balance.Dead], ShouldEqual, 0)
			st.PollFailed(start.Add(2*time.Second), start.Add(1500*time.Millisecond), "t1")
			So(states(st)[balance.Dead], ShouldEqual, 1)
		})
		Convey("timeouts of a slow target that still responds do not eject it", func() {
			for range 3 {
				st.Done(start.Add(2*time.Second), "t0", balance.Result{Kind: balance.Success, Latency: time.Second})
				st.Done(start.Add(3*time.Second), "t0", balance.Result{Kind: balance.TimedOut, Started: start.Add(time.Second)})
			}
			So(states(st)[balance.Dead], ShouldEqual, 0)
		})
		Convey("a draining target gets no new work", func() {
			st.PollAnswered(start, "t2", balance.Load{Draining: true})
			drained := pool(3, 4)
			drained[1].Drained = true
			st.SetTargets(start, drained)
			for range 4 {
				name, _ := st.Pick(start)
				So(name, ShouldEqual, id.Target("t0"))
			}
			_, ok := st.Pick(start)
			So(ok, ShouldBeFalse)
			So(st.TakeChanges(), ShouldHaveLength, 2)
		})
	})
}

// Guards against ejection of more than half of a pool when all targets fail for a common reason.
func TestAtMostHalfOutliers(t *testing.T) {
	st := balance.New(1)
	st.SetTargets(start, pool(9, 4))
	for range 100 {
		for nr := range 9 {
			rs := balance.Result{Kind: balance.Success, Started: start, Latency: time.Millisecond}
			if nr < 4 {
				rs.Kind = balance.Failed
			}
			st.Done(start, id.Target(fmt.Sprint("t", nr)), rs)
		}
	}
	if got := states(st)[balance.Outlier]; got != 4 {
		t.Errorf("%d outliers, want the 4 that fail", got)
	}
	for range 100 {
		for nr := range 9 {
			st.Done(start, id.Target(fmt.Sprint("t", nr)), balance.Result{Kind: balance.Failed, Started: start})
		}
	}
	if got := states(st)[balance.Outlier]; got > 4 {
		t.Errorf("%d of 9 targets are ejected as outliers", got)
	}
}

// Guards against more requests than a target has slots when several VMs share it, whatever load the target reports.
func TestSharesOfSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		of, slots := rapid.IntRange(1, 7).Draw(rt, "of"), rapid.IntRange(1, 9).Draw(rt, "slots")
		inFlight := map[id.Target]int{}
		for index := range of {
			st := balance.New(uint64(index))
			st.SetShare(index, of)
			st.SetTargets(start, pool(5, slots))
			for range 5 * slots {
				st.PollAnswered(start, "t0", balance.Load{InFlight: rapid.IntRange(0, 9).Draw(rt, "load")})
				if name, ok := st.Pick(start); ok {
					inFlight[name]++
				}
			}
		}
		for name, num := range inFlight {
			if num != slots {
				rt.Fatalf("%d VMs may send %d requests at once to %s, which has %d slots", of, num, name, slots)
			}
		}
	})
}

// Guards against retries that multiply the load during an outage.
func TestRetryBudget(t *testing.T) {
	var rb balance.RetryBudget
	taken := 0
	for range 10_000 {
		rb.CountRequest()
		if rb.Take() {
			taken++
		}
	}
	if taken > 1_000+25 || taken < 1_000 {
		t.Errorf("%d retries for 10000 requests, want about a tenth", taken)
	}
}

func BenchmarkPick(b *testing.B) {
	st := balance.New(1)
	st.SetTargets(start, pool(30, 4))
	b.ReportAllocs()
	for b.Loop() {
		name, _ := st.Pick(start)
		st.Done(start, name, balance.Result{Kind: balance.Success, Latency: time.Millisecond})
	}
}
