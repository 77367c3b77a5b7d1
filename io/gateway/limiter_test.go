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

// fakePeers answers the token requests of a limiter and counts them by address.
type fakePeers struct {
	mu     sync.Mutex
	counts map[string]int
	answer func(address string) (status.TokenGrant, error)
}

func (as *fakePeers) ask(address string, _ status.TokenRequest, _ time.Duration) (status.TokenGrant, error) {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.counts[address]++
	return as.answer(address)
}

// newTestLimiter returns the limiter of a VM in north-a. There is one other VM in each of three failure domains. If
// coordinator is set, there is none in north-a, so that the limiter's VM is the coordinator.
func newTestLimiter(as *fakePeers, coordinator bool) *Limiter {
	now := time.Now()
	regions := map[id.FailureDomain]id.Region{"north-a": "north", "north-b": "north", "south-a": "south"}
	self := roster.Peer{VM: "self", Incarnation: 1, FailureDomain: "north-a", Region: "north"}
	rs := roster.New(self)
	var peers []roster.Peer
	for fd, rg := range regions {
		if fd == "north-a" && coordinator {
			continue
		}
		peers = append(peers, roster.Peer{VM: id.VM("vm-" + fd), Incarnation: 1, FailureDomain: fd, Region: rg, StatusAddress: string(fd)})
	}
	rs.SetPeers(now, peers)
	for _, pr := range peers {
		rs.Receive(now, &roster.Status{Report: roster.Report{VM: pr.VM, Incarnation: 1, Sent: lease.Instant(1), State: roster.Ready}})
	}
	rs.SetLeaving() // makes the other VM in north-a the coordinator, if there is one
	lg := quota.New(len(regions), 0)
	lg.SetLimits(now, map[id.Team]quota.Limit{limitedTeam: {Rate: 30, Burst: 30}}, func(id.Team) bool { return coordinator })
	lm := NewLimiter(self, lg, rs, regions)
	lm.requestTokens = as.ask
	return lm
}

// A team within its limit must not be refused because the coordinator has no tokens, is dead or can't be reached.
func TestLimiterBorrows(t *testing.T) {
	Convey("a VM without tokens", t, func() {
		as := &fakePeers{counts: map[string]int{}}
		Convey("requests tokens from the coordinator", func() {
			as.answer = func(string) (status.TokenGrant, error) { return status.TokenGrant{Tokens: 1, IsCoordinator: true}, nil }
			_, ok := newTestLimiter(as, false).Take(time.Now(), limitedTeam)
			So(ok, ShouldBeTrue)
			So(as.counts, ShouldResemble, map[string]int{"north-a": 1})
		})
		Convey("accepts a refusal of the coordinator", func() {
			as.answer = func(string) (status.TokenGrant, error) {
				return status.TokenGrant{IsCoordinator: true, Wait: time.Second}, nil
			}
			wait, ok := newTestLimiter(as, false).Take(time.Now(), limitedTeam)
			So(ok, ShouldBeFalse)
			So(wait, ShouldEqual, time.Second)
		})
		Convey("borrows in its region if the coordinator doesn't answer, and doesn't ask the coordinator again at once", func() {
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
		Convey("borrows from other regions if its own region has no tokens", func() {
			as.answer = func(address string) (status.TokenGrant, error) {
				if address == "south-a" {
					return status.TokenGrant{Tokens: 1, IsCoordinator: true}, nil
				}
				return status.TokenGrant{IsCoordinator: true}, nil
			}
			_, ok := newTestLimiter(as, true).Take(time.Now(), limitedTeam)
			So(ok, ShouldBeTrue)
		})
		Convey("doesn't request loans for each request while no VM has tokens", func() {
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
