package roster_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// vms returns VMs with the given link rates, which alternate between two failure domains.
func vms(rates ...float64) []roster.Peer {
	var list []roster.Peer
	for nr, rate := range rates {
		list = append(list, roster.Peer{
			CallerAddress: fmt.Sprintf("10.0.0.%02d:80", nr), LinkRate: rate, FailureDomain: id.FailureDomain(fmt.Sprint("domain-", nr%2)),
		})
	}
	return list
}

// repeat returns a rate several times.
func repeat(rate float64, num int) []float64 {
	var list []float64
	for range num {
		list = append(list, rate)
	}
	return list
}

// Guards against callers that are sent to VMs with slow links, where their requests queue behind large responses, while VMs with
// fast links have room for all. It also guards against lists that are so short that the loss of a VM or a failure domain leaves
// callers without another one.
func TestListForCallers(t *testing.T) {
	Convey("the number of listed VMs", t, func() {
		num := func(list []roster.Peer) int { return len(roster.ListForCallers(list)) }
		So(num(nil), ShouldEqual, 0)
		So(num(vms(repeat(1000, 10)...)), ShouldEqual, 10)
		So(num(vms(append(repeat(10, 15), repeat(200, 4)...)...)), ShouldEqual, 4)
		Convey("includes slow VMs if the fast ones are too few to carry the load", func() {
			So(num(vms(append(repeat(10, 15), 200)...)), ShouldEqual, 16)
			So(num(vms(append(repeat(100, 12), repeat(200, 4)...)...)), ShouldEqual, 16)
		})
		Convey("is all if a link rate is unknown", func() {
			So(num(vms(200, 200, 200, 200, 0)), ShouldEqual, 5)
		})
		Convey("covers each failure domain", func() {
			list := vms(200, 10, 200, 10, 200, 10, 200, 10)
			So(num(list), ShouldEqual, 8)
			list[2].FailureDomain = "domain-1"
			So(num(list), ShouldEqual, 4)
		})
	})
	Convey("the VMs with the fastest links are listed by address", t, func() {
		list := roster.ListForCallers(vms(10, 200, 200, 10, 200, 200, 10))
		So(list, ShouldHaveLength, 4)
		So(list[0].CallerAddress, ShouldEqual, "10.0.0.01:80")
		So(list[3].CallerAddress, ShouldEqual, "10.0.0.05:80")
	})
}
