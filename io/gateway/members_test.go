package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// Guards against cold targets that get no requests because the VMs chosen to warm them up are not named to callers.
func TestVMsForCallers(t *testing.T) {
	Convey("a region in which most VMs have slow links", t, func() {
		var peers []roster.Peer
		for nr := range 19 {
			pr := roster.Peer{VM: id.VM(fmt.Sprint("vm-", nr)), CallerAddress: fmt.Sprint(nr), LinkRate: 10}
			if nr < 4 {
				pr.LinkRate = 200
			}
			peers = append(peers, pr)
		}
		names := vmsForCallers(map[id.Region][]roster.Peer{"north": peers})
		So(names["north"], ShouldResemble, []id.VM{"vm-0", "vm-1", "vm-2", "vm-3"})
		So(newDirectory(peers).all, ShouldResemble, []string{"0", "1", "2", "3"})
	})
}
