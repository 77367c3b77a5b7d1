package lease_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/lease"
)

// clock is a clock that the test sets.
type clock struct{ now lease.Instant }

func (ck *clock) read() lease.Instant { return ck.now }

func (ck *clock) advance(dur time.Duration) { ck.now += lease.Instant(dur) }

// Guards against a lease that stays valid too long: a VM with outdated evidence would serve a key that was withdrawn.
func TestLeaseExpires(t *testing.T) {
	Convey("a lease of 4 s", t, func() {
		ck := &clock{now: lease.Instant(time.Minute)}
		ls := lease.New(ck.read, 4*time.Second)
		Convey("is not valid without evidence", func() { So(ls.Valid(), ShouldBeFalse) })
		Convey("counts from before the store was queried, not from its response", func() {
			queried := ck.now
			ck.advance(3 * time.Second)
			ls.Renew(queried)
			So(ls.Valid(), ShouldBeTrue)
			ck.advance(time.Second)
			So(ls.Valid(), ShouldBeFalse)
		})
		Convey("expires while the VM is suspended", func() {
			ls.Renew(ck.now)
			ck.advance(time.Hour)
			So(ls.Valid(), ShouldBeFalse)
		})
		Convey("is not shortened by older evidence", func() {
			ls.Renew(ck.now)
			ls.Renew(ck.now - lease.Instant(10*time.Second))
			So(ls.Valid(), ShouldBeTrue)
		})
		Convey("applies a changed duration at once", func() {
			ls.Renew(ck.now)
			ck.advance(2 * time.Second)
			ls.SetDuration(time.Second)
			So(ls.Valid(), ShouldBeFalse)
		})
		Convey("ignores evidence without an echo or an age", func() {
			ls.RenewFromPeer(0, 0)
			ls.RenewFromPeer(ck.now, -1)
			So(ls.Valid(), ShouldBeFalse)
		})
	})
}

// A message that was delayed, or buffered while its receiver was suspended, must not make old evidence look recent.
func ExampleLease_RenewFromPeer() {
	ck := &clock{now: lease.Instant(time.Minute)}
	ls := lease.New(ck.read, 4*time.Second)
	echo := ck.now // sent to the other VM, which echoes it and reports evidence that is 1 s old
	ck.advance(2500 * time.Millisecond)
	ls.RenewFromPeer(echo, time.Second)
	age, _ := ls.Age()
	fmt.Println(age, ls.Valid())
	ck.advance(time.Second)
	fmt.Println(ls.Valid())
	// Output:
	// 3.5s true
	// false
}
