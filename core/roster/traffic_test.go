package roster_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// Guards against VMs of a region that judge their requests by different sums: requests of a VM that are missing or count twice, or
// requests of other regions.
func TestRegionTraffic(t *testing.T) {
	Convey("a region of two failure domains and another region", t, func() {
		now := time.Unix(1_800_000_000, 0)
		all := []roster.Peer{peer("a", "x", 10), peer("s", "y", 10), peer("m", "y", 10), peer("f", "z", 10)}
		regions := map[id.FailureDomain]id.Region{"x": "north", "y": "north", "z": "south"}
		for at := range all {
			all[at].Region = regions[all[at].FailureDomain]
		}
		self, other, far := roster.New(all[0]), roster.New(all[1]), roster.New(all[3])
		for _, rs := range []*roster.Roster{self, other, far} {
			rs.SetPeers(now, all)
		}
		report := func(vm id.VM, arrived float32) *roster.Status {
			st := status(vm, 1, 1)
			st.Report.Traffic = []roster.Traffic{{
				Pool: "desk", Arrived: arrived, Bound: map[id.Region]float32{"south": 1}, Placed: map[id.Region]float32{"north": arrived - 1},
			}}
			return st
		}
		other.Receive(now, report("m", 5))
		fromOther, fromFar := report("s", 7), report("f", 100)
		fromOther.Summaries = []roster.Summary{other.Summary(now, &fromOther.Report)}
		fromFar.Summaries = []roster.Summary{far.Summary(now, &fromFar.Report)}
		self.Receive(now, fromOther)
		self.Receive(now, fromFar)
		traffic, own := self.RegionTraffic(now, regions)
		So(own, ShouldBeFalse)
		So(traffic, ShouldHaveLength, 1)
		So(traffic[0].Arrived, ShouldEqual, 12)
		So(traffic[0].Bound["south"], ShouldEqual, 2)
		So(traffic[0].Placed["north"], ShouldEqual, 10)
		Convey("an old summary is left out", func() {
			traffic, _ := self.RegionTraffic(now.Add(10*time.Second), regions)
			So(traffic, ShouldBeEmpty)
		})
	})
}
