package gateway

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/quota"
	"damasklatch/core/roster"
	"damasklatch/io/status"
)

const limitedTeam = id.Team("salon")

// asked records the questions of a limiter and answers them.
type asked struct {
	mu     sync.Mutex
	counts map[string]int
	answer func(address string) (status.TokenGrant, error)
}

func (as *asked) ask(address string, _ status.TokenRequest, _ time.Duration) (status.TokenGrant, error) {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.counts[address]++
	return as.answer(address)
}

// newTestLimiter returns the limiter of a VM in north-a, with one other VM in each of three failure domains. This VM counts
// only if the one beside it is silent.
func newTestLimiter(as *asked, counting bool) *Limiter {
	now := time.Now()
	regions := map[id.FailureDomain]id.Region{"north-a": "north", "north-b": "north", "south-a": "south"}
	self := roster.Peer{VM: "self", Incarnation: 1, FailureDomain: "north-a", Region: "north"}
	rs := roster.New(self)
	var peers []roster.Peer
	for fd, rg := range regions {
		if fd == "north-a" && counting {
			continue
		}
		peers = append(peers, roster.Peer{VM: id.VM("vm-" + fd), Incarnation: 1, FailureDomain: fd, Region: rg, StatusAddress: string(fd)})
	}
	rs.SetPeers(now, peers)
	for _, pr := range peers {
		rs.Receive(now, &roster.Status{Report: roster.Report{VM: pr.VM, Incarnation: 1, Sent: lease.Instant(1), State: roster.Ready}})
	}
	rs.SetLeaving() // the VM beside it counts, if there is one
	lg := quota.New(len(regions), 0)
	lg.SetLimits(now, map[id.Team]quota.Limit{limitedTeam: {Rate: 30, Burst: 30}}, func(id.Team) bool { return counting })
	lm := NewLimiter(self, lg, rs, regions)
	lm.ask = as.ask
	return lm
}

// A team within its limit must not be refused because the VM that counts has no token, has ended or can't be reached.
func TestLimiterBorrows(t *testing.T) {
	Convey("a VM without tokens", t, func() {
		as := &asked{counts: map[string]int{}}
		Convey("asks the VM that counts", func() {
			as.answer = func(string) (status.TokenGrant, error) { return status.TokenGrant{Tokens: 1, IsCoordinator: true}, nil }
			_, ok := newTestLimiter(as, false).Take(time.Now(), limitedTeam)
			So(ok, ShouldBeTrue)
			So(as.counts, ShouldResemble, map[string]int{"north-a": 1})
		})
		Convey("keeps to its refusal", func() {
			as.answer = func(string) (status.TokenGrant, error) {
				return status.TokenGrant{IsCoordinator: true, Wait: time.Second}, nil
			}
			wait, ok := newTestLimiter(as, false).Take(time.Now(), limitedTeam)
			So(ok, ShouldBeFalse)
			So(wait, ShouldEqual, time.Second)
		})
		Convey("borrows in its region if that one is silent, and does not wait for it again at once", func() {
			as.answer = func(address string) (status.TokenGrant, error) {
				if address == "north-a" {
					return status.TokenGrant{}, status.ErrTimeout
				}
				return status.TokenGrant{Tokens: 1, IsCoordinator: true}, nil
			}
			lm := newTestLimiter(as, false)
			for range 3 {
				_, ok := lm.Take(time.Now(), limitedTeam)
				So(ok, ShouldBeTrue)
			}
			So(as.counts["north-a"], ShouldEqual, 1)
			So(as.counts["south-a"], ShouldEqual, 0)
		})
		Convey("borrows from other regions if its own has nothing", func() {
			as.answer = func(address string) (status.TokenGrant, error) {
				if address == "south-a" {
					return status.TokenGrant{Tokens: 1, IsCoordinator: true}, nil
				}
				return status.TokenGrant{IsCoordinator: true}, nil
			}
			_, ok := newTestLimiter(as, true).Take(time.Now(), limitedTeam)
			So(ok, ShouldBeTrue)
		})
		Convey("does not ask for each request while nobody has anything", func() {
			as.answer = func(string) (status.TokenGrant, error) { return status.TokenGrant{IsCoordinator: true}, nil }
			lm := newTestLimiter(as, true)
			for range 50 {
				wait, ok := lm.Take(time.Now(), limitedTeam)
				So(ok, ShouldBeFalse)
				So(wait, ShouldBeGreaterThan, 0)
			}
			So(as.counts["south-a"], ShouldBeLessThanOrEqualTo, 2)
		})
	})
}
