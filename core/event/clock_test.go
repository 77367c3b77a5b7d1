package event_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/core/event"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a timeline that shows an effect before its cause because the receiver's wall clock is behind the sender's.
func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	Convey("Given two VMs whose wall clocks differ by ten seconds", t, func() {
		base := time.Unix(1_800_000_000, 0)
		var ahead, behind event.Clock
		sender := event.NewRecorder("ahead", &ahead, 4)
		receiver := event.NewRecorder("behind", &behind, 4)

		st := sender.Record(base.Add(10*time.Second), event.Event{Kind: event.KindLoanGranted})
		behind.Observe(base, st)
		receiver.Record(base, event.Event{Kind: event.KindLoanReceived})

		Convey("the merged timeline shows the cause first", func() {
			evs := event.Merge(receiver.Events(nil), sender.Events(nil))
			So(evs[0].Kind, ShouldEqual, event.KindLoanGranted)
			So(evs[1].Kind, ShouldEqual, event.KindLoanReceived)
		})
	})

	Convey("A stamp more than a minute ahead does not move the clock", t, func() {
		now := time.Unix(1_800_000_000, 0)
		var ck event.Clock
		ck.Observe(now, event.Stamp{WallNanos: now.Add(time.Hour).UnixNano()})
		So(ck.Now(now).WallNanos, ShouldEqual, now.UnixNano())
	})
}

func ExampleParseStamp() {
	st, err := event.ParseStamp("1800000000000000000.2")
	fmt.Println(st, err)
	// Output: 1800000000000000000.2 <nil>
}
