package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
)

// A reader with a slow link delays all that it relays, and too few readers of a large fleet do so too.
func TestChooseReaders(t *testing.T) {
	fleet := func(rates ...float64) []candidate {
		var all []candidate
		for nr, rate := range rates {
			all = append(all, candidate{id.VM(string(rune('a' + nr))), rate})
		}
		return all
	}
	Convey("readers", t, func() {
		Convey("are the VMs with the fastest links of their groups", func() {
			So(chooseReaders(fleet(10, 200, 50, 10, 10, 100)), ShouldResemble, []id.VM{"b", "c", "f"})
		})
		Convey("are chosen also if no rate is known", func() {
			So(chooseReaders(fleet(0, 0, 0, 0, 0, 0)), ShouldResemble, []id.VM{"a", "c", "e"})
		})
		Convey("are all VMs of a tiny fleet", func() {
			So(chooseReaders(fleet(10)), ShouldResemble, []id.VM{"a"})
			So(chooseReaders(fleet(10, 10)), ShouldResemble, []id.VM{"a", "b"})
		})
		Convey("grow in number with the fleet", func() {
			So(len(chooseReaders(fleet(make([]float64, 90)...))), ShouldEqual, 7)
		})
	})
}
