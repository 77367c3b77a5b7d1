package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
)

// A reader with a slow link delays all changes that it relays. Readers in a single region can be lost in the same outage.
func TestChooseReaders(t *testing.T) {
	fleet := func(regions string, rates ...float64) []candidate {
		var all []candidate
		for nr, rate := range rates {
			all = append(all, candidate{id.VM(string(rune('a' + nr))), id.Region(regions[nr : nr+1]), rate})
		}
		return all
	}
	Convey("the readers", t, func() {
		Convey("are the VMs with the fastest links of their regions", func() {
			So(chooseReaders(fleet("111222333", 10, 200, 50, 10, 10, 100, 5, 6, 7)), ShouldResemble, []id.VM{"b", "f", "i"})
		})
		Convey("are chosen even if no link rate is known", func() {
			So(chooseReaders(fleet("112233", 0, 0, 0, 0, 0, 0)), ShouldResemble, []id.VM{"a", "c", "e"})
		})
		Convey("are several VMs of the same region if there is only one", func() {
			So(chooseReaders(fleet("1111", 5, 9, 7, 1)), ShouldResemble, []id.VM{"b", "c", "a"})
		})
		Convey("are all VMs of a tiny fleet", func() {
			So(chooseReaders(fleet("1", 10)), ShouldResemble, []id.VM{"a"})
			So(chooseReaders(fleet("11", 10, 10)), ShouldResemble, []id.VM{"a", "b"})
		})
	})
}
