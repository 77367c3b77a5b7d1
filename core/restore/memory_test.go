package restore_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/restore"
)

func ExampleMemory() {
	var mm restore.Memory[string]
	now := time.Unix(0, 0)
	mm.Withdraw(now, "target-1")
	mm.Restored(now.Add(3 * time.Second))
	fmt.Println(mm.Holds(now.Add(4*time.Second), "target-1"), mm.Holds(now.Add(4*time.Second), "target-2"))
	// Output: true false
}

// Guards against withdrawals that a restore undoes, against ones that hold for ever, and against a memory that grows.
func TestMemory(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(secs int) time.Time { return start.Add(time.Duration(secs) * time.Second) }
	Convey("without a restore nothing is held", t, func() {
		var mm restore.Memory[int]
		mm.Withdraw(at(0), 1)
		So(mm.Holds(at(1), 1), ShouldBeFalse)
		So(mm.Prune(at(100)), ShouldBeFalse)
		mm.Restored(at(100))
		So(mm.Holds(at(100), 1), ShouldBeFalse)
	})
	Convey("a withdrawal is older than each copy", t, func() {
		var mm restore.Memory[int]
		mm.Withdraw(at(0), 1)
		mm.Withdraw(at(40), 1)
		mm.Withdraw(at(40), 2)
		mm.Restored(at(41))
		So(mm.Holds(at(42), 1), ShouldBeFalse)
		So(mm.Holds(at(42), 2), ShouldBeTrue)
	})
	Convey("a second restore starts the time anew", t, func() {
		var mm restore.Memory[int]
		mm.Withdraw(at(0), 1)
		mm.Restored(at(1))
		mm.Withdraw(at(8), 2)
		mm.Restored(at(9))
		So(mm.Holds(at(15), 1), ShouldBeTrue)
		So(mm.Holds(at(18), 2), ShouldBeTrue)
		So(mm.Prune(at(18)), ShouldBeFalse)
		So(mm.Holds(at(19), 1), ShouldBeFalse)
		So(mm.Prune(at(19)), ShouldBeTrue)
		So(mm.Prune(at(20)), ShouldBeFalse)
	})
}
