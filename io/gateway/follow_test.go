package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
)

// A reader with a slow link delays all that it relays, and readers in one region only are lost together.
func TestChooseReaders(t *testing.T) {
	fleet := func(regions string, rates ...float64) []candidate {
		var all []candidate
		for nr, rate := range rates {
			all = append(all, candidate{id.VM(string(rune('a' + nr))), id.Region(regions[nr : nr+1]), rate})
		}
		return all
	}
	Convey("readers", t, func() {
		Convey("are the VMs with the fastest links of their regions", func() {
			So(chooseReaders(fleet("111222333", 10, 200, 50, 10, 10, 100, 5, 6, 7)), ShouldResemble, []id.VM{"b", "f", "i"})
		})
		Convey("are chosen also if no rate is known", func() {
			So(chooseReaders(fleet("112233", 0, 0, 0, 0, 0, 0)), ShouldResemble, []id.VM{"a", "c", "e"})
		})
		Convey("are several of a single region", func() {
			So(chooseReaders(fleet("1111", 5, 9, 7, 1)), ShouldResemble, []id.VM{"b", "c", "a"})
		})
		Convey("are all VMs of a tiny fleet", func() {
			So(chooseReaders(fleet("1", 10)), ShouldResemble, []id.VM{"a"})
			So(chooseReaders(fleet("11", 10, 10)), ShouldResemble, []id.VM{"a", "b"})
		})
	})
}
