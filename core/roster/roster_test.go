package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/roster"
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

// A VM that is taken for gone although it still counts the requests of a team lets the team exceed its limit.
func TestCounter(t *testing.T) {
	Convey("a roster of three VMs of a failure domain", t, func() {
		now := time.Unix(1_800_000_000, 0)
		rs := roster.New(peer("a", "x", 10))
		peers := []roster.Peer{peer("a", "x", 10), peer("b", "x", 10), peer("c", "x", 10)}
		rs.SetPeers(now, peers)
		step := func(dur time.Duration, reached bool) {
			now = now.Add(dur)
			rs.ForgetSilent(now, reached)
		}
		first, _ := rs.Coordinator(now, "x", team)
		for nr := 0; first.VM == "a"; nr++ { // the test needs another VM that counts
			rs = roster.New(peer("a", "x", 10))
			peers[1].VM = id.VM(fmt.Sprint("b", nr))
			rs.SetPeers(now, peers)
			first, _ = rs.Coordinator(now, "x", team)
		}
		So(rs.Receive(now, status(first.VM, 1, 1)), ShouldBeTrue)
		Convey("leaves the right to count to a silent VM until its lease has ended", func() {
			step(6*time.Second, true)
			pr, alive := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldEqual, first.VM)
			So(alive, ShouldBeFalse)
			step(2*time.Second, true)
			pr, _ = rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, first.VM)
		})
		Convey("leaves it to a VM that shows itself in the store", func() {
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
		Convey("leaves it to others while this VM itself is out of touch", func() {
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
		Convey("does not take a report that was delayed or comes from an earlier process", func() {
			So(rs.Receive(now, status(first.VM, 1, 1)), ShouldBeFalse)
			So(rs.Receive(now, status(first.VM, 2, 1)), ShouldBeTrue)
			So(rs.Receive(now, status(first.VM, 1, 9)), ShouldBeFalse)
		})
		Convey("gives the right to another one when a VM shuts down", func() {
			st := status(first.VM, 1, 2)
			st.Report.State = roster.Leaving
			rs.Receive(now, st)
			pr, _ := rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, first.VM)
			rs.SetLeaving()
			pr, _ = rs.Coordinator(now, "x", team)
			So(pr.VM, ShouldNotEqual, id.VM("a"))
		})
		Convey("uses the addresses of the newest registration of a process that was heard before it", func() {
			So(rs.Receive(now, status(first.VM, 2, 1)), ShouldBeTrue)
			for at := range peers {
				peers[at].Incarnation, peers[at].StatusAddress = 2, "10.0.0.9:1"
			}
			rs.SetPeers(now, peers)
			pr, _ := rs.Coordinator(now, "x", team)
			So(pr.StatusAddress, ShouldEqual, "10.0.0.9:1")
		})
		Convey("does not know a VM that is not registered", func() {
			So(rs.Receive(now, status("stranger", 1, 1)), ShouldBeFalse)
		})
	})
}

// A failure domain without speakers is cut off from the others although its VMs run.
func TestSpeakers(t *testing.T) {
	Convey("a failure domain of four other VMs", t, func() {
		now := time.Unix(1_800_000_000, 0)
		rs := roster.New(peer("a", "x", 10))
		rs.SetPeers(now, []roster.Peer{peer("b", "y", 10), peer("c", "y", 200), peer("d", "y", 200), peer("e", "y", 50)})
		So(names(rs.Aggregators(now, "y")), ShouldEqual, "c d ")
		Convey("replaces speakers that fall silent by those that are heard", func() {
			now = now.Add(3 * time.Second)
			rs.Receive(now, status("b", 1, 1))
			rs.Receive(now, status("e", 1, 1))
			So(names(rs.Aggregators(now, "y")), ShouldEqual, "e b ")
		})
		Convey("tries each VM in turn while none is heard", func() {
			tried := map[string]bool{}
			for range 8 {
				now = now.Add(time.Second)
				tried[names(rs.Aggregators(now, "y"))] = true
			}
			So(len(tried), ShouldBeGreaterThanOrEqualTo, 4)
		})
		Convey("does not use a VM that leaves", func() {
			st := status("c", 1, 1)
			st.Report.State = roster.Leaving
			rs.Receive(now, st)
			So(names(rs.Aggregators(now, "y")), ShouldEqual, "d e ")
		})
	})
}

// News that is passed on must not make a VM look alive for longer than it is.
func TestSummaryAges(t *testing.T) {
	Convey("a VM that is heard by a speaker only", t, func() {
		now := time.Unix(1_800_000_000, 0)
		all := []roster.Peer{peer("a", "x", 10), peer("s", "y", 10), peer("m", "y", 10)}
		far, speaker := roster.New(all[0]), roster.New(all[1])
		far.SetPeers(now, all)
		speaker.SetPeers(now, all)
		st := status("m", 1, 1)
		st.Report.Work = map[id.Pool]float32{"desk": 3}
		speaker.Receive(now, st)
		alive := func() bool {
			for _, mb := range far.Members() {
				if mb.VM == "m" {
					return mb.Alive(now)
				}
			}
			return false
		}
		So(alive(), ShouldBeFalse)
		tell := func(sent int64) {
			st := status("s", 1, sent)
			st.Summaries = []roster.Summary{speaker.Summary(now, &st.Report)}
			far.Receive(now, st)
		}
		now = now.Add(1500 * time.Millisecond)
		tell(2)
		So(alive(), ShouldBeTrue)
		work, own := far.SlotDemand(now, map[id.FailureDomain]id.Region{"y": "south"})
		So(own, ShouldBeFalse)
		So(work["south"]["desk"], ShouldEqual, 3)
		now = now.Add(600 * time.Millisecond)
		tell(3)
		So(alive(), ShouldBeFalse)
	})
}
