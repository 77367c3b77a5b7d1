package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/roster"
	"damasklatch/core/workload"
)

const team = id.Team("salon")

func peer(vm id.VM, fd id.FailureDomain, link float64) roster.Peer {
	return roster.Peer{VM: vm, Incarnation: 1, FailureDomain: fd, Region: "north", LinkRate: link}
}

func status(vm id.VM, inc id.Incarnation, sent int64) *roster.Status {
	return &roster.Status{Report: roster.Report{VM: vm, Incarnation: inc, Sent: lease.Instant(sent), State: roster.Ready}}
}

func names(peers []roster.Peer) string {
	text := ""
	for _, pr := range peers {
		text += string(pr.VM) + " "
	}
	return text
}

// If a VM is replaced as coordinator while it still counts the requests of a team, both count and the team exceeds its limit.
func TestCoordinator(t *testing.T) {
	Convey("a roster of three VMs of a failure domain", t, func() {
		now := time.Unix(1_800_000_000, 0)
		rs := roster.New(peer("a", "x", 10))
		peers := []roster.Peer{peer("a", "x", 10), peer("b", "x", 10), peer("c", "x", 10)}
		rs.SetPeers(now, peers)
		step := func(dur time.Duration, connected bool) {
			now = now.Add(dur)
			rs.ForgetSilent(now, connected)
		}
		first, _ := rs.Coordinator(now, "x", team)
		for nr := 0; first.VM == "a"; nr++ { // find names with which another VM is the coordinator
			rs = roster.New(peer("a", "x", 10))
			peers[1].VM = id.VM(fmt.Sprint("b", nr))
			rs.SetPeers(now, peers)
			first, _ = rs.Coordinator(now, "x", team)
		}
		So(rs.Receive(now, status(first.VM, 1, 1)), ShouldBeTrue)
		Convey("keeps a silent VM as coordinator until its lease has ended", func() {
			step(6*time.Second, true)
			pr, alive := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldEqual, first.VM)
			So(alive, ShouldBeFalse)
			step(2*time.Second, true)
			pr, _ = rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, first.VM)
		})
		Convey("keeps a VM that sends heartbeats through the store as coordinator", func() {
			for nr := range 5 {
				step(2*time.Second, true)
				for at := range peers {
					peers[at].Heartbeat = uint64(nr + 1)
				}
				rs.SetPeers(now, peers)
			}
			pr, _ := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldEqual, first.VM)
		})
		Convey("keeps a silent VM as coordinator while this VM itself is cut off", func() {
			step(20*time.Second, false)
			pr, _ := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldEqual, first.VM)
			step(6*time.Second, true)
			pr, _ = rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldEqual, first.VM)
			step(2*time.Second, true)
			pr, _ = rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, first.VM)
		})
		Convey("ignores a report that was delayed or comes from an earlier process", func() {
			So(rs.Receive(now, status(first.VM, 1, 1)), ShouldBeFalse)
			So(rs.Receive(now, status(first.VM, 2, 1)), ShouldBeTrue)
			So(rs.Receive(now, status(first.VM, 1, 9)), ShouldBeFalse)
		})
		Convey("chooses another coordinator when a VM shuts down", func() {
			st := status(first.VM, 1, 2)
			st.Report.State = roster.Leaving
			rs.Receive(now, st)
			pr, _ := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, first.VM)
			rs.SetLeaving()
			pr, _ = rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, id.VM("a"))
		})
		Convey("takes over the addresses of a registration that appears after the first report of its process", func() {
			So(rs.Receive(now, status(first.VM, 2, 1)), ShouldBeTrue)
			for at := range peers {
				peers[at].Incarnation, peers[at].StatusAddress = 2, "10.0.0.9:1"
			}
			rs.SetPeers(now, peers)
			pr, _ := rs.Coordinator(now, "x", team)
			So(pr.StatusAddress, ShouldEqual, "10.0.0.9:1")
		})
		Convey("ignores a VM that is not registered", func() {
			So(rs.Receive(now, status("stranger", 1, 1)), ShouldBeFalse)
		})
	})
}

// A VM that is cut off from the store before another VM of its failure domain has registered doesn't know that VM. If both count, the team
// exceeds its limit.
func TestUnregisteredCoordinator(t *testing.T) {
	Convey("a VM that hears from a VM whose registration it does not know", t, func() {
		now := time.Unix(1_800_000_000, 0)
		rs := roster.New(peer("a", "x", 10))
		rs.SetPeers(now, []roster.Peer{peer("a", "x", 10), peer("other", "y", 10)})
		preferred, nr := id.VM(""), 0
		for ; preferred == ""; nr++ { // find a name that is preferred to "a"
			all := roster.New(peer("a", "x", 10))
			all.SetPeers(now, []roster.Peer{peer("a", "x", 10), peer(id.VM(fmt.Sprint("b", nr)), "x", 10)})
			if pr, _ := all.Coordinator(now, "x", team); pr.VM != "a" {
				preferred = pr.VM
			}
		}
		coordinator := func(fd id.FailureDomain) id.VM {
			pr, _ := rs.Coordinator(now, fd, team)
			return pr.VM
		}
		So(coordinator("x"), ShouldEqual, id.VM("a"))
		So(rs.Receive(now, status(preferred, 1, 1)), ShouldBeFalse)
		Convey("does not count, as the other may be of its failure domain", func() {
			pr, alive := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldEqual, preferred)
			So(alive, ShouldBeFalse) // its address is not known
			So(coordinator("y"), ShouldEqual, id.VM("other"))
		})
		Convey("counts again when it no longer hears from it", func() {
			now = now.Add(roster.AliveFor)
			So(coordinator("x"), ShouldEqual, id.VM("a"))
		})
		Convey("counts again when the other is registered in another failure domain", func() {
			rs.SetPeers(now, []roster.Peer{peer("a", "x", 10), peer("other", "y", 10), peer(preferred, "y", 10)})
			So(coordinator("x"), ShouldEqual, id.VM("a"))
		})
		Convey("counts if the other is leaving", func() {
			st := status(preferred, 1, 2)
			st.Report.State |= roster.Leaving
			rs.Receive(now, st)
			So(coordinator("x"), ShouldEqual, id.VM("a"))
		})
	})
}

// If the clock of a VM jumps back between two starts, the later process has a lower incarnation than the earlier one. If the other VMs
// ignored it, another VM would count the requests of a team at the same time, and the team would exceed its limit.
func TestLowerIncarnation(t *testing.T) {
	Convey("a VM whose process has a lower incarnation than the one before", t, func() {
		now := time.Unix(1_800_000_000, 0)
		registered := peer("b", "x", 10)
		registered.Incarnation = 9
		var rs *roster.Roster
		for nr := 0; ; nr++ { // find a name with which the VM is the coordinator
			registered.VM = id.VM(fmt.Sprint("b", nr))
			rs = roster.New(peer("a", "x", 10))
			rs.SetPeers(now, []roster.Peer{registered})
			if pr, _ := rs.Coordinator(now, "x", team); pr.VM == registered.VM {
				break
			}
		}
		So(rs.Receive(now, status(registered.VM, 9, 1)), ShouldBeTrue)
		later := registered
		later.Incarnation = 5
		restarted := roster.New(later)
		isCoordinator := func() bool {
			pr, _ := rs.Coordinator(now, "x", team)
			return pr.VM == registered.VM
		}
		Convey("stays coordinator while its reports arrive", func() {
			for nr := range 20 {
				now = now.Add(time.Second)
				rs.Receive(now, status(registered.VM, 5, int64(nr+2)))
				rs.ForgetSilent(now, true)
			}
			So(isCoordinator(), ShouldBeTrue)
			So(rs.Members()[0].RunsOutdated(now, time.Second), ShouldBeTrue)
			now = now.Add(8 * time.Second)
			rs.ForgetSilent(now, true)
			So(isCoordinator(), ShouldBeFalse)
		})
		Convey("stays coordinator while its registration changes", func() {
			for range 20 {
				now = now.Add(time.Second)
				later.Heartbeat++
				rs.SetPeers(now, []roster.Peer{later})
				rs.ForgetSilent(now, true)
			}
			So(isCoordinator(), ShouldBeTrue)
			for range 8 {
				now = now.Add(time.Second)
				rs.SetPeers(now, []roster.Peer{later})
				rs.ForgetSilent(now, true)
			}
			So(isCoordinator(), ShouldBeFalse)
		})
		Convey("raises its incarnation when it reads the registration of the earlier process", func() {
			restarted.SetPeers(now, []roster.Peer{peer("a", "x", 10), registered})
			So(restarted.Self().Incarnation, ShouldBeGreaterThan, 9)
			So(rs.Receive(now, status(registered.VM, restarted.Self().Incarnation, 1)), ShouldBeTrue)
		})
		Convey("raises its incarnation when another VM knows a higher one", func() {
			restarted.SetPeers(now, []roster.Peer{peer("a", "x", 10), later})
			So(restarted.Self().Incarnation, ShouldEqual, 5)
			st := status("a", 1, 1)
			st.Report.EchoOf = 9
			restarted.Receive(now, st)
			So(restarted.Self().Incarnation, ShouldBeGreaterThan, 9)
		})
		Convey("keeps its incarnation when a stranger knows a higher one, or when others know lower ones", func() {
			restarted.SetPeers(now, []roster.Peer{peer("a", "x", 10), later})
			st := status("stranger", 1, 1)
			st.Report.EchoOf = 9
			restarted.Receive(now, st)
			st = status("a", 1, 1)
			st.Report.EchoOf = 4
			restarted.Receive(now, st)
			So(restarted.Self().Incarnation, ShouldEqual, 5)
		})
	})
}

// The order in which silent VMs are tried must not depend on the time of day, which may jump or stand still.
func TestSilentVMsAreTriedAtAnyTimeOfDay(t *testing.T) {
	Convey("rosters that were started at different times of day try the same VM after the same time", t, func() {
		for nr := range 5 {
			now := time.Unix(1_800_000_000+int64(nr), 0)
			rs := roster.New(peer("a", "x", 10))
			rs.SetPeers(now, []roster.Peer{peer("b", "y", 10), peer("c", "y", 10), peer("d", "y", 10)})
			So(names(rs.Aggregators(now.Add(10*time.Second), "y")), ShouldEqual, "c ")
		}
	})
}

// A failure domain without a working aggregator is cut off from the others although its VMs run.
func TestAggregators(t *testing.T) {
	Convey("a failure domain of four other VMs", t, func() {
		now := time.Unix(1_800_000_000, 0)
		rs := roster.New(peer("a", "x", 10))
		rs.SetPeers(now, []roster.Peer{peer("b", "y", 10), peer("c", "y", 200), peer("d", "y", 200), peer("e", "y", 50)})
		So(names(rs.Aggregators(now, "y")), ShouldEqual, "c d ")
		Convey("replaces silent aggregators by VMs that are alive", func() {
			now = now.Add(3 * time.Second)
			rs.Receive(now, status("b", 1, 1))
			rs.Receive(now, status("e", 1, 1))
			So(names(rs.Aggregators(now, "y")), ShouldEqual, "e b ")
		})
		Convey("tries each VM in turn while none is alive", func() {
			tried := map[string]bool{}
			for range 8 {
				now = now.Add(time.Second)
				tried[names(rs.Aggregators(now, "y"))] = true
			}
			So(len(tried), ShouldBeGreaterThanOrEqualTo, 4)
		})
		Convey("does not choose a VM that is shutting down", func() {
			st := status("c", 1, 1)
			st.Report.State = roster.Leaving
			rs.Receive(now, st)
			So(names(rs.Aggregators(now, "y")), ShouldEqual, "d e ")
		})
	})
}

// A summary that is passed on must not make a VM look alive for longer than AliveFor after its last report.
func TestSummaryAges(t *testing.T) {
	Convey("a VM that reports only to an aggregator", t, func() {
		now := time.Unix(1_800_000_000, 0)
		all := []roster.Peer{peer("a", "x", 10), peer("s", "y", 10), peer("m", "y", 10)}
		remote, aggregator := roster.New(all[0]), roster.New(all[1])
		remote.SetPeers(now, all)
		aggregator.SetPeers(now, all)
		st := status("m", 1, 1)
		st.Report.SetDemand(map[id.Pool]workload.Demand{"desk": {Slots: 3, Bound: map[id.Region]float64{"north": 2}}})
		aggregator.Receive(now, st)
		alive := func() bool {
			for _, mb := range remote.Members() {
				if mb.VM == "m" {
					return mb.Alive(now)
				}
			}
			return false
		}
		So(alive(), ShouldBeFalse)
		sendSummary := func(sent int64) {
			st := status("s", 1, sent)
			st.Summaries = []roster.Summary{aggregator.Summary(now, &st.Report)}
			remote.Receive(now, st)
		}
		now = now.Add(1500 * time.Millisecond)
		sendSummary(2)
		So(alive(), ShouldBeTrue)
		demand, own := remote.Demand(now, map[id.FailureDomain]id.Region{"y": "south"})
		So(own, ShouldBeFalse)
		So(demand["south"]["desk"], ShouldResemble, workload.Demand{Slots: 3, Bound: map[id.Region]float64{"north": 2}})
		now = now.Add(600 * time.Millisecond)
		sendSummary(3)
		So(alive(), ShouldBeFalse)
	})
}

// If two VMs of a failure domain lose only each other, each is still heard by a third one. Without word of the other, both would count
// the requests of its teams, and the teams would exceed their limits.
func TestVMsThatLoseOnlyEachOther(t *testing.T) {
	Convey("three VMs, of which two don't hear each other", t, func() {
		now := time.Unix(1_800_000_000, 0)
		peers := []roster.Peer{peer("a", "x", 10), peer("b", "x", 10), peer("c", "y", 10)}
		all := map[id.VM]*roster.Roster{}
		for _, pr := range peers {
			all[pr.VM] = roster.New(pr)
			all[pr.VM].SetPeers(now, peers)
		}
		sent := int64(0)
		exchange := func(from, to id.VM) {
			sent++
			st := status(from, 1, sent)
			st.Summaries = append(all[from].UnheardBy(now, to), all[from].Summary(now, &st.Report))
			all[to].Receive(now, st)
		}
		for range 20 {
			now = now.Add(500 * time.Millisecond)
			for _, vm := range []id.VM{"a", "b"} {
				exchange(vm, "c")
				exchange("c", vm)
				all[vm].ForgetSilent(now, true)
			}
		}
		Convey("choose the same coordinator", func() {
			ca, _ := all["a"].Coordinator(now, "x", team)
			cb, _ := all["b"].Coordinator(now, "x", team)
			So(ca.VM, ShouldEqual, cb.VM)
		})
		Convey("get no summaries of VMs that they hear", func() {
			exchange("a", "b")
			exchange("b", "a")
			now = now.Add(500 * time.Millisecond)
			exchange("a", "c")
			So(all["c"].UnheardBy(now, "a"), ShouldBeEmpty)
		})
		Convey("get no word of a VM that is gone", func() {
			now = now.Add(4 * time.Second)
			exchange("a", "c")
			So(all["c"].UnheardBy(now, "a"), ShouldBeEmpty)
		})
	})
}
