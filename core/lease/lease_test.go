package lease_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/lease"
)

// clock is a clock that a test sets.
type clock struct{ now lease.Instant }

func (ck *clock) read() lease.Instant { return ck.now }

func (ck *clock) advance(dur time.Duration) { ck.now += lease.Instant(dur) }

// A VM that relies on knowledge that is too old would serve a key that was withdrawn.
func TestLeaseEnds(t *testing.T) {
	Convey("a lease of 4 s", t, func() {
		ck := &clock{now: lease.Instant(time.Minute)}
		ls := lease.New(ck.read, 4*time.Second)
		Convey("is not held without evidence", func() { So(ls.Valid(), ShouldBeFalse) })
		Convey("counts from before the store was asked, not from its answer", func() {
			asked := ck.now
			ck.advance(3 * time.Second)
			ls.Renew(asked)
			So(ls.Valid(), ShouldBeTrue)
			ck.advance(time.Second)
			So(ls.Valid(), ShouldBeFalse)
		})
		Convey("ends while the VM is suspended", func() {
			ls.Renew(ck.now)
			ck.advance(time.Hour)
			So(ls.Valid(), ShouldBeFalse)
		})
		Convey("is not shortened by older evidence", func() {
			ls.Renew(ck.now)
			ls.Renew(ck.now - lease.Instant(10*time.Second))
			So(ls.Valid(), ShouldBeTrue)
		})
		Convey("takes a changed life at once", func() {
			ls.Renew(ck.now)
			ck.advance(2 * time.Second)
			ls.SetDuration(time.Second)
			So(ls.Valid(), ShouldBeFalse)
		})
		Convey("does not take evidence without an echo or an age", func() {
			ls.RenewFromPeer(0, 0)
			ls.RenewFromPeer(ck.now, -1)
			So(ls.Valid(), ShouldBeFalse)
		})
	})
}

// A message that was delayed, or lay in a buffer while its receiver was suspended, must not make old evidence look new.
func ExampleLease_RenewFromPeer() {
	ck := &clock{now: lease.Instant(time.Minute)}
	ls := lease.New(ck.read, 4*time.Second)
	echo := ck.now // sent to the other VM, which repeats it with evidence that is 1 s old
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
